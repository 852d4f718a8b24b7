r"""Python interface for operators: build a configuration and print it as JSON.

Examples
--------
>>> fleet = FleetBuilder()
>>> fleet.add_failure_domain("cork-a", region="munster")
>>> fleet.add_model("assistant")
>>> fleet.add_upstream("a1", kind="engine", serves="assistant",
...                    failure_domain="cork-a", url="http://10.0.0.1:80")
>>> print_fleet(fleet)[:18]
'{"models": [\n    {'
"""

import hashlib
import json
from typing import Any

from lycheetide.fleet._model import (
    Customer,
    FailureDomain,
    Model,
    Operation,
    RequestClass,
    Upstream,
    encode_entry,
)
from lycheetide.fleet._validation import validate_document

REPLICAS_PER_CELL = 8


class FleetBuilder:
    """Builder of a fleet configuration.

    Parameters
    ----------
    replicas_per_cell : int, default=8
        The maximum number of replicas in a cell. A cell holds replicas of one model
        in one region and is owned by one node.
    """

    def __init__(self, *, replicas_per_cell=REPLICAS_PER_CELL):
        self.replicas_per_cell = replicas_per_cell
        self._entries: dict[str, list[Any]] = {
            "models": [],
            "failure_domains": [],
            "classes": [],
            "customers": [],
            "operations": [],
        }
        self._upstreams = []

    def add_model(self, name, **fields):
        """Add a model; fields as in ``Model``."""
        self._entries["models"].append(Model(name, **fields))

    def add_failure_domain(self, name, *, region, state="in"):
        """Add a failure domain."""
        self._entries["failure_domains"].append(FailureDomain(name, region, state))

    def add_upstream(self, name, **fields):
        """Add a replica; fields as in ``Upstream``. Its cell is assigned."""
        self._upstreams.append((name, fields))

    def add_class(self, name, **fields):
        """Add a request class; fields as in ``RequestClass``."""
        self._entries["classes"].append(RequestClass(name, **fields))

    def add_customer(self, name, *, token, **fields):
        """Add a customer; only the SHA-256 hash of its token is stored."""
        digest = hashlib.sha256(token.encode()).hexdigest()
        self._entries["customers"].append(Customer(name, digest, **fields))

    def add_operation(self, service, name, *, idempotent):
        """Add an operation of a service that is not a model engine."""
        self._entries["operations"].append(Operation(service, name, idempotent))

    def make_document(self):
        """Return the configuration as plain data, with a cell for each replica."""
        document = {
            section: [encode_entry(entry) for entry in entries]
            for section, entries in self._entries.items()
        }
        document["upstreams"] = [encode_entry(row) for row in self._assign_cells()]
        return document

    def _assign_cells(self):
        """Yield the replicas with their cells; each cell spans failure domains.

        If a cell lay in a single failure domain, taking that domain out of service
        would leave the cell's owner with queued requests and no replica.
        """
        regions = {d.name: d.region for d in self._entries["failure_domains"]}
        groups: dict[tuple[str, str], list[Any]] = {}
        for name, fields in self._upstreams:
            region = regions.get(fields["failure_domain"], "unknown")
            groups.setdefault((fields["serves"], region), []).append((name, fields))
        for (serves, region), rows in groups.items():
            rows.sort(key=lambda row: (row[1]["failure_domain"], row[0]))
            cells = -(-len(rows) // self.replicas_per_cell)
            for index, (name, fields) in enumerate(rows):
                cell = f"{serves}.{region}.{index % cells}"
                yield Upstream(name=name, **({"cell": cell} | fields))


def print_fleet(builder):
    """Validate a configuration and return it as the JSON text to publish.

    Parameters
    ----------
    builder : FleetBuilder
        The configuration.

    Returns
    -------
    str
        JSON with one entry per line.

    Raises
    ------
    ExceptionGroup
        With one ``SettingsError`` for each finding.
    """
    document = builder.make_document()
    validate_document(document, place="the configuration")
    sections = []
    for section, rows in document.items():
        lines = ",\n".join("    " + json.dumps(row) for row in rows)
        sections.append(f"{json.dumps(section)}: [\n{lines}\n  ]")
    return "{" + ",\n  ".join(sections) + "}\n"
