"""Decode what replicas write of themselves into the store."""

from collections.abc import Iterable, Iterator
from typing import Literal

import msgspec

from lycheetide.exchange import Record
from lycheetide.replicas import Change, Entry


class _Entry(msgspec.Struct, frozen=True, rename="camel"):
    """A replica's record; ``born`` is the Unix millisecond of its start."""

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
) -> Iterator[Change]:
    """Yield the changes that records tell of.

    Parameters
    ----------
    records : iterable of Record
        From the registry.
    services : collection of str
        The services that are configured; others are named by nobody who may write.
    skipped : list of str
        Gets a line for each record that other writers left or that is torn.
    """
    for record in records:
        if record.value is None:
            yield Change(record.key, record.offset, None)
            continue
        try:
            entry = msgspec.json.decode(record.value, type=_Entry)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            skipped.append(f"{record.key}: {error}")
            continue
        if services and entry.service not in services:
            skipped.append(f"{record.key}: no such service {entry.service!r}")
            continue
        yield Change(record.key, record.offset, _make_entry(record.key, entry))


def _make_entry(name, entry):
    """Return an entry in the product's words."""
    return Entry(
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
