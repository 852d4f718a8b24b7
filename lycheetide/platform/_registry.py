"""Decode the registry records that replicas write about themselves."""

from collections.abc import Iterable, Iterator
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from lycheetide.exchange import DECODE_ERRORS, Record
from lycheetide.replicas import RegistryChange, RegistryEntry

MAX_PORT = 65_535

_Name = Annotated[str, Meta(pattern=r"\A[!-~]{1,200}\Z")]
"""An id; it is sent in headers."""


class _Entry(msgspec.Struct, frozen=True, rename="camel"):
    """A replica's record; ``born`` is its start time in Unix milliseconds."""

    service: Annotated[str, Meta(min_length=1, max_length=200)]
    address: Annotated[str, Meta(pattern=r"\A[0-9A-Za-z.:\[\]_-]{1,253}:[0-9]{1,5}\Z")]
    zone: Annotated[str, Meta(max_length=200)]
    slots: Annotated[int, Meta(ge=1, le=1_000_000)]
    state: Literal["ready", "draining"]
    seq: Annotated[int, Meta(ge=0, lt=1 << 53)]
    cold_remaining_ms: Annotated[float, Meta(le=86_400_000.0)] = 0.0
    born: Annotated[int, Meta(ge=0, lt=10**13)] = 0


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
            entry = _decode_entry(record)
        except DECODE_ERRORS as error:
            skipped.append(f"{record.key}: {error}")
            continue
        if services and entry.service not in services:
            skipped.append(f"{record.key}: no such service {entry.service!r}")
            continue
        yield RegistryChange(record.key, record.offset, _make_entry(record.key, entry))


def _decode_entry(record):
    """Decode an entry that any writer may have left.

    Raises
    ------
    msgspec.MsgspecError, ValueError, RecursionError
        If it can't be that of a replica.
    """
    msgspec.convert(record.key, _Name)
    entry = msgspec.json.decode(record.value, type=_Entry)
    port = int(entry.address.rpartition(":")[2])
    if not 0 < port <= MAX_PORT:
        raise ValueError(f"port {port} is out of range")
    return entry


def _make_entry(name, entry):
    """Convert an entry to the type of this project."""
    return RegistryEntry(
        id=name,
        service=entry.service,
        address=entry.address,
        failure_domain=entry.zone,
        slots=entry.slots,
        is_draining=entry.state == "draining",
        cold_s=max(0.0, entry.cold_remaining_ms) / 1e3,
        born_ms=entry.born,
        sequence=entry.seq,
    )
