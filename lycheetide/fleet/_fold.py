"""Decide, from the log alone, which changes are in force.

Every node folds the same records in the same order, so all of them take the same
decision on two operators who raced, and nobody has to be asked.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from types import MappingProxyType
from typing import Any

import msgspec

from lycheetide.fleet._check import find_faults
from lycheetide.fleet._model import ENTRY_TYPES, Fleet, decode_entry, encode_entry

NOT_FOLDED = -1


@dataclass(frozen=True)
class Entry:
    """One entry and the version at which it last changed."""

    value: Any
    version: int


@dataclass(frozen=True)
class ConfigState:
    """What the log says up to an offset.

    Parameters
    ----------
    version : int
        The accepted record's offset plus one; 0 before the first.
    folded_offset : int
        The last record that was folded, accepted or not.
    entries : mapping of (str, str) to Entry
        By section and name; a deleted entry keeps its version with value None, so
        that a change made from before the deletion is still found out.
    fleet : Fleet
        The entries, by section.
    """

    version: int = 0
    folded_offset: int = NOT_FOLDED
    entries: Mapping[tuple[str, str], Entry] = field(
        default_factory=lambda: MappingProxyType({})
    )
    fleet: Fleet = field(default_factory=Fleet)


@dataclass(frozen=True)
class Verdict:
    """What became of one change record.

    Parameters
    ----------
    record_id : str
        The id that its author gave it.
    accepted : bool
        Whether it is in force.
    findings : tuple of str
        Why not, all at once.
    """

    record_id: str
    accepted: bool
    findings: tuple[str, ...] = ()


def make_change_record(record_id, *, author, base_version, changes):
    """Return a change as it stands on the log.

    Parameters
    ----------
    record_id : str
        An id that is never used twice.
    author : str
        Who made it.
    base_version : int
        The version that the author saw.
    changes : iterable of (str, str, entry or None)
        Section, name and the new entry; None deletes it.

    Returns
    -------
    dict
        Plain data.
    """
    rows = [
        [section, name, None if entry is None else encode_entry(entry)]
        for section, name, entry in changes
    ]
    return {
        "kind": "change",
        "id": record_id,
        "author": author,
        "base_version": base_version,
        "changes": rows,
    }


def fold(state, offset, record):
    """Take one record into the state.

    Parameters
    ----------
    state : ConfigState
        What the records below ``offset`` gave.
    offset : int
        The record's place on the log.
    record : mapping
        The record as read; it may be broken.

    Returns
    -------
    state : ConfigState
        The new state; the fleet is the old one where the record was refused.
    verdict : Verdict or None
        None for records that are no change, and for records folded before.
    """
    if offset <= state.folded_offset:
        return state, None
    passed = _with_offset(state, offset)
    if not isinstance(record, dict) or record.get("kind") != "change":
        return passed, None
    record_id = str(record.get("id", ""))
    try:
        entries, findings = _apply(state, offset + 1, record)
    except (KeyError, TypeError, ValueError, msgspec.ValidationError) as error:
        return passed, Verdict(record_id, False, (f"malformed record: {error}",))
    if findings:
        return passed, Verdict(record_id, False, tuple(findings))
    fleet = _change_fleet(state.fleet, entries, record["changes"])
    faults = tuple(
        f"{section}/{name} {key}: got {came}, expected {expected}"
        for section, name, key, came, expected in find_faults(
            _narrow(fleet, record["changes"])
        )
    )
    if faults:
        return passed, Verdict(record_id, False, faults)
    accepted = ConfigState(offset + 1, offset, MappingProxyType(entries), fleet)
    return accepted, Verdict(record_id, True)


def _with_offset(state, offset):
    """Return the state with ``offset`` counted as folded."""
    return ConfigState(state.version, offset, state.entries, state.fleet)


def _apply(state, version, record):
    """Return the changed entries and the findings against the change."""
    base_version = int(record["base_version"])
    entries = dict(state.entries)
    findings = []
    for section, name, value in record["changes"]:
        if section not in ENTRY_TYPES:
            findings.append(f"{section}/{name}: unknown section")
            continue
        current = entries.get((section, name))
        if current is not None and current.version > base_version:
            findings.append(
                f"{section}/{name}: made from version {base_version}, "
                f"but it changed at version {current.version}"
            )
            continue
        entry = None if value is None else decode_entry(section, value)
        entries[section, name] = Entry(entry, version)
    return entries, findings


def _narrow(fleet, changes):
    """Return the part of a configuration in which a change can have made faults.

    The configuration before was without faults. Where only upstreams were put, what
    refers to them are the other upstreams of their cells; all else needs no look.
    With 12,000 upstreams a whole check at each of 1.2 changes a second would take the
    whole of a node's time for control.
    """
    if any(section != "upstreams" or not value for section, _, value in changes):
        return fleet
    cells = {value.get("cell") for _, _, value in changes}
    upstreams = {
        name: upstream
        for name, upstream in fleet.upstreams.items()
        if upstream.cell in cells
    }
    return replace(fleet, upstreams=upstreams, operations={})


def _change_fleet(fleet, entries, changes):
    """Return a configuration with the changed entries, copying only their sections."""
    sections: dict[str, dict[str, Any]] = {}
    for section, name, _ in changes:
        if section not in sections:
            sections[section] = dict(getattr(fleet, section))
        value = entries[section, name].value
        if value is None:
            sections[section].pop(name, None)
        else:
            sections[section][name] = value
    return replace(
        fleet, **{name: MappingProxyType(rows) for name, rows in sections.items()}
    )


def _make_fleet(entries):
    """Sort live entries into their sections."""
    sections: dict[str, dict[str, Any]] = {section: {} for section in ENTRY_TYPES}
    for (section, name), entry in entries.items():
        if entry.value is not None:
            sections[section][name] = entry.value
    return Fleet(**{name: MappingProxyType(rows) for name, rows in sections.items()})


def make_snapshot_record(state):
    """Return the state as a record, so that older records may expire."""
    rows = [
        [section, name, None if entry.value is None else encode_entry(entry.value),
         entry.version]
        for (section, name), entry in sorted(state.entries.items())
    ]  # fmt: skip
    return {
        "kind": "snapshot",
        "version": state.version,
        "folded_offset": state.folded_offset,
        "entries": rows,
    }


def restore(record):
    """Rebuild the state from a snapshot record."""
    entries = {
        (section, name): Entry(
            None if value is None else decode_entry(section, value), version
        )
        for section, name, value, version in record["entries"]
    }
    return ConfigState(
        record["version"],
        record["folded_offset"],
        MappingProxyType(entries),
        _make_fleet(entries),
    )


def is_continuous(record, first_retained):
    """Tell whether a snapshot reaches up to the oldest record that is kept.

    A node that was frozen may append its snapshot long after the log has dropped
    records that the snapshot has not seen. Taken for the truth, it would take the
    fleet back to an older configuration; operators would notice a domain that they
    had taken out serving again. Such a snapshot leaves a gap before the oldest record,
    and is passed over.
    """
    return record["folded_offset"] + 1 >= first_retained


def begin(records, first_retained, state):
    """Find the state from which the records can be folded without a gap.

    Parameters
    ----------
    records : sequence of (int, record)
        All records that the log still has, oldest first.
    first_retained : int
        The offset of the oldest record kept.
    state : ConfigState
        What the node knows already.

    Returns
    -------
    ConfigState or None
        None if there is a gap and no snapshot closes it.
    """
    if state.folded_offset + 1 >= first_retained:
        return state
    for _, record in reversed(records):
        if not isinstance(record, dict) or record.get("kind") != "snapshot":
            continue
        if is_continuous(record, first_retained):
            restored = restore(record)
            return restored if restored.version >= state.version else None
    return None
