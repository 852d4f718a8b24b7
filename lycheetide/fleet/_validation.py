"""Validate a configuration as a whole and report every error with its location."""

import json

import msgspec

from lycheetide.fleet._model import ENTRY_TYPES, Fleet, decode_entry
from lycheetide.settings import Finding, SettingsError

DOMAIN_STATES = ("in", "out", "returning")
UPSTREAM_STATES = ("in", "leaving")
UPSTREAM_KINDS = ("engine", "service")
SHA256_HEX_DIGITS = 64


def find_invalid_entries(fleet):
    """Yield a finding for each invalid entry and each dangling reference.

    Parameters
    ----------
    fleet : Fleet
        The configuration.

    Yields
    ------
    tuple of (str, str, str, str, str)
        Section, entry name, field, actual value and expected value.
    """
    yield from _find_invalid_domains(fleet)
    yield from _find_invalid_upstreams(fleet)
    yield from _find_invalid_cells(fleet)
    yield from _find_invalid_classes(fleet)
    yield from _find_invalid_customers(fleet)
    yield from _find_invalid_operations(fleet)


def _find_invalid_domains(fleet):
    for name, domain in fleet.failure_domains.items():
        if domain.state not in DOMAIN_STATES:
            expected = " or ".join(DOMAIN_STATES)
            yield "failure_domains", name, "state", repr(domain.state), expected


def _find_invalid_upstreams(fleet):
    section = "upstreams"
    services = {operation.service for operation in fleet.operations.values()}
    for name, upstream in fleet.upstreams.items():
        if upstream.kind not in UPSTREAM_KINDS:
            expected = " or ".join(UPSTREAM_KINDS)
            yield section, name, "kind", repr(upstream.kind), expected
        if upstream.state not in UPSTREAM_STATES:
            expected = " or ".join(UPSTREAM_STATES)
            yield section, name, "state", repr(upstream.state), expected
        if upstream.failure_domain not in fleet.failure_domains:
            came = repr(upstream.failure_domain)
            yield section, name, "failure_domain", came, "a known failure domain"
        known_names = fleet.models if upstream.kind == "engine" else services
        if upstream.serves not in known_names:
            yield section, name, "serves", repr(upstream.serves), "a configured name"
        if not upstream.url.startswith(("http://", "https://")):
            yield section, name, "url", repr(upstream.url), "an HTTP URL"
        if not 0 < upstream.cold_limit_requests <= upstream.warm_limit_requests:
            came = str(upstream.cold_limit_requests)
            expected = "from 1 to warm_limit_requests"
            yield section, name, "cold_limit_requests", came, expected
        if upstream.prefill_tokens_per_s <= 0:
            came = str(upstream.prefill_tokens_per_s)
            yield section, name, "prefill_tokens_per_s", came, "more than 0"


def _find_invalid_cells(fleet):
    """Check that the replicas of a cell serve one name in one region.

    A cell has a single owner.
    """
    scopes: dict[str, tuple[str, str | None]] = {}
    for name, upstream in fleet.upstreams.items():
        domain = fleet.failure_domains.get(upstream.failure_domain)
        region = domain.region if domain else None
        first = scopes.setdefault(upstream.cell, (upstream.serves, region))
        if first != (upstream.serves, region):
            expected = f"a cell of {upstream.serves} in {region}"
            yield "upstreams", name, "cell", repr(upstream.cell), expected


def _find_invalid_classes(fleet):
    for name, request_class in fleet.classes.items():
        for key in ("deadline_s", "aging_s", "max_wait_s"):
            value = getattr(request_class, key)
            if value <= 0:
                yield "classes", name, key, str(value), "more than 0"


def _find_invalid_customers(fleet):
    owners: dict[str, str] = {}
    for name, customer in fleet.customers.items():
        if len(customer.token_sha256) != SHA256_HEX_DIGITS:
            came = f"{len(customer.token_sha256)} digits"
            yield "customers", name, "token_sha256", came, f"{SHA256_HEX_DIGITS} digits"
        elif owners.setdefault(customer.token_sha256, name) != name:
            came = f"the token of {owners[customer.token_sha256]}"
            yield "customers", name, "token_sha256", came, "a unique token"
        if customer.weight <= 0:
            yield "customers", name, "weight", str(customer.weight), "more than 0"


def _find_invalid_operations(fleet):
    served = {
        upstream.serves
        for upstream in fleet.upstreams.values()
        if upstream.kind == "service"
    }
    for name, operation in fleet.operations.items():
        if operation.service not in served:
            came = repr(operation.service)
            yield "operations", name, "service", came, "a service with an upstream"


def validate_document(document, *, place):
    """Validate plain data and build a fleet from it.

    Parameters
    ----------
    document : mapping
        A list of entries for each section.
    place : str
        The source of the document, reported in the findings.

    Returns
    -------
    Fleet
        The validated configuration.

    Raises
    ------
    ExceptionGroup
        With one ``SettingsError`` for each finding.
    """
    findings = []
    sections = {}
    for section, rows in document.items():
        if section not in ENTRY_TYPES:
            findings.append(
                Finding(place, section, "", 0, "an unknown section", "a known one")
            )
            continue
        sections[section] = _decode_rows(section, rows, place, findings)
    fleet = Fleet(**sections)
    findings.extend(
        Finding(place, f"{section}/{name}", key, 0, came, expected)
        for section, name, key, came, expected in find_invalid_entries(fleet)
    )
    if findings:
        raise ExceptionGroup(
            "invalid configuration", [SettingsError(finding) for finding in findings]
        )
    return fleet


def _decode_rows(section, rows, place, findings):
    """Decode one section; append a finding for each row that can't be decoded."""
    entries = {}
    for index, row in enumerate(rows):
        name = entry_name(section, row)
        try:
            entry = decode_entry(section, row)
        except (msgspec.ValidationError, TypeError) as error:
            findings.append(
                Finding(
                    place,
                    f"{section}/{name or index}",
                    "",
                    0,
                    str(error),
                    "a valid entry",
                )
            )
            continue
        if name in entries:
            findings.append(
                Finding(place, f"{section}/{name}", "name", 0, "twice", "once")
            )
        entries[name] = entry
    return entries


def entry_name(section, row):
    """Return the name under which an entry, given as plain data, is stored."""
    if not isinstance(row, dict):
        return ""
    if section == "operations":
        return f"{row.get('service', '')}/{row.get('name', '')}"
    return str(row.get("name", ""))


def add_line_numbers(text, findings):
    """Add line numbers to findings about a JSON text.

    The line is the one that holds the name of the entry.

    Parameters
    ----------
    text : str
        The document with one entry per line, as ``print_fleet`` writes it.
    findings : iterable of Finding
        Findings without line numbers.

    Yields
    ------
    Finding
        The same findings; the line is 0 where the name was not found.
    """
    lines = text.splitlines()
    for finding in findings:
        name = json.dumps(finding.section.rpartition("/")[2])
        name_field = f'"name": {name}'
        line = next((n for n, row in enumerate(lines, 1) if name_field in row), 0)
        yield Finding(
            finding.place,
            finding.section,
            finding.key,
            line,
            finding.came,
            finding.expected,
        )
