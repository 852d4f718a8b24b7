"""Decode the registry records that replicas write about themselves."""

from collections.abc import Iterable, Iterator
from typing import Literal

import msgspec

from lycheetide.exchange import DECODE_ERRORS, Record
from lycheetide.replicas import RegistryChange, RegistryEntry


class _Entry(msgspec.Struct, frozen=True, rename="camel"):
    """A replica's record; ``born`` is its start time in Unix milliseconds."""

    service: str
    address: str
    zone: str
    slots: int
    state: Literal["ready", "draining"]
    seq: int
    cold_remaining_ms: float = 0.0
    born: int = 0


def decode_registry_records(
    records: Iterable[Record], *, services, skipped: list[str]
) -> Iterator[RegistryChange]:
    """Decode registry records into changes of the registry.

    Parameters
    ----------
    records : iterable of Record
        Records of the registry topic.
    services : collection of str
        The configured services; if empty, any service is accepted. Records that name
        another service come from unauthorized writers and are skipped.
    skipped : list of str
        A line is appended for each skipped record: one that names an unknown service or
        that can't be decoded.

    Yields
    ------
    RegistryChange
        The new entry of a replica, or None as the entry if it was removed.
    """
    for record in records:
        if record.value is None:
            yield RegistryChange(record.key, record.offset, None)
            continue
        try:
            entry = msgspec.json.decode(record.value, type=_Entry)
        except DECODE_ERRORS as error:
            skipped.append(f"{record.key}: {error}")
            continue
        if services and entry.service not in services:
            skipped.append(f"{record.key}: no such service {entry.service!r}")
            continue
        yield RegistryChange(record.key, record.offset, _make_entry(record.key, entry))


def _make_entry(name, entry):
    """Convert an entry to the type of this project."""
    return RegistryEntry(
        id=name,
        service=entry.service,
        address=entry.address,
        failure_domain=entry.zone,
        slots=entry.slots,
        is_draining=entry.state == "draining",
        cold_s=entry.cold_remaining_ms / 1e3,
        born_ms=entry.born,
        sequence=entry.seq,
    )
