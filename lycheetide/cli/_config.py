"""``lycheetide config``: check, publish and show a fleet's configuration."""

import json
import secrets
import sys
import time
from dataclasses import dataclass
from typing import Annotated

import anyio
import cappa

from lycheetide.cli._exits import (
    EXIT_INVALID,
    EXIT_REJECTED,
    EXIT_UNREACHABLE,
    print_findings,
)
from lycheetide.cli._output import fetch_json
from lycheetide.fleet import make_change_record, restore_snapshot, validate_document
from lycheetide.fleet._validation import add_line_numbers
from lycheetide.settings import SettingsError

VERDICT_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.1

NodeAddress = Annotated[
    str, cappa.Arg(long="--node", help="a node's operator address, ip:port")
]


def load_fleet_file(path):
    """Load a configuration file; print all findings and exit if it is invalid.

    Returns
    -------
    Fleet
        The checked configuration.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
        document = json.loads(text)
    except OSError as error:
        raise cappa.Exit(f"{path}: {error.strerror}", code=EXIT_INVALID) from None
    except json.JSONDecodeError as error:
        raise cappa.Exit(
            f"{path}:{error.lineno}: not JSON: {error.msg}", code=EXIT_INVALID
        ) from None
    try:
        return validate_document(document, place=path)
    except* SettingsError as group:
        findings = add_line_numbers(text, list_findings(group))
        print_findings([str(finding) for finding in findings])
        raise cappa.Exit(code=EXIT_INVALID) from None


def list_findings(group):
    """Return the findings of all settings errors in an exception group."""
    return [error.finding for error in group.exceptions]


def list_changes(fleet, state):
    """Yield the changes that turn the configuration in force into ``fleet``.

    Parameters
    ----------
    fleet : Fleet
        Desired configuration.
    state : ConfigState
        Configuration in force.

    Yields
    ------
    tuple of (str, str, entry or None)
        Section, name and new entry; None deletes the entry.
    """
    for section in vars(fleet):
        desired = getattr(fleet, section)
        current = getattr(state.fleet, section)
        for name, entry in desired.items():
            if current.get(name) != entry:
                yield section, name, entry
        for name in current:
            if name not in desired:
                yield section, name, None


@cappa.command(
    name="publish",
    help="Publish a configuration file and wait until it is accepted or refused.",
    description="Example: lycheetide config publish fleet.json --node 10.0.0.1:9002 "
    "--log-url http://10.0.0.9:9000 --author maeve",
)
@dataclass
class PublishCommand:
    """Publish a configuration.

    Parameters
    ----------
    file : str
        Configuration file as printed by the operators' library.
    node : str
        Operator address of the node that the current configuration and the verdict are
        read from.
    log_url : str
        URL of the log service.
    author : str
        Who publishes the change; visible to other operators.
    base : int or None
        Version that the file was made from; the current version by default.
    """

    file: str
    node: NodeAddress
    log_url: Annotated[str, cappa.Arg(long=True, help="the log service's URL")]
    author: Annotated[str, cappa.Arg(long=True, help="who publishes")]
    base: Annotated[
        int | None, cappa.Arg(long=True, help="the version the file was made from")
    ] = None

    def __call__(self):
        """Publish the configuration and wait for the verdict."""
        from lycheetide.cli._publish import append_record

        fleet = load_fleet_file(self.file)
        current = fetch_json(self.node, "/config")
        state = restore_snapshot(current["snapshot"])
        base = state.version if self.base is None else self.base
        changes = list(list_changes(fleet, state))
        if not changes:
            print(f"version {state.version} is already in force; nothing to change")
            return
        record_id = secrets.token_hex(8)
        record = make_change_record(
            record_id, author=self.author, base_version=base, changes=changes
        )
        anyio.run(append_record, self.log_url, record)
        verdict = wait_for_verdict(self.node, record_id)
        if not verdict["accepted"]:
            for finding in verdict["findings"]:
                print(finding, file=sys.stderr)
            raise cappa.Exit("refused", code=EXIT_REJECTED)
        print(f"accepted: {len(changes)} entries changed, record {record_id}")


def wait_for_verdict(node, record_id):
    """Wait until a node has processed a record and return its verdict."""
    started_s = time.monotonic()
    while time.monotonic() - started_s < VERDICT_TIMEOUT_S:
        try:
            return fetch_json(node, f"/verdicts/{record_id}")
        except cappa.Exit:
            time.sleep(POLL_INTERVAL_S)
    raise cappa.Exit(
        f"{node} has not processed record {record_id} within {VERDICT_TIMEOUT_S:g} s",
        code=EXIT_UNREACHABLE,
    )


@cappa.command(
    name="show",
    help="Show the configuration in force at a node, and since when.",
    description=" ",
)
@dataclass
class ShowCommand:
    """Show the configuration in force.

    Parameters
    ----------
    node : str
        The node's operator address.
    """

    node: NodeAddress

    def __call__(self):
        """Print the configuration."""
        current = fetch_json(self.node, "/config")
        print(f"version {current['version']}, in force for {current['since_s']} s")
        for section, name, value, version in current["snapshot"]["entries"]:
            if value is not None:
                print(f"{section}/{name} (version {version}): {json.dumps(value)}")


@cappa.command(
    name="print",
    help="Check a configuration file and list its entries.",
)
@dataclass
class PrintCommand:
    """Check a configuration file and list its entries.

    Parameters
    ----------
    file : str
        Configuration file as printed by the operators' library.
    """

    file: str

    def __call__(self):
        """Print the names of the entries, one line per section."""
        fleet = load_fleet_file(self.file)
        for section, entries in vars(fleet).items():
            print(f"{section}: {', '.join(sorted(entries)) or 'none'}")


@cappa.command(
    name="config", help="Check, publish or show a configuration.", description=" "
)
@dataclass
class ConfigCommand:
    """Commands for the configuration.

    Parameters
    ----------
    command : object
        Command to run.
    """

    command: cappa.Subcommands[PrintCommand | PublishCommand | ShowCommand]
