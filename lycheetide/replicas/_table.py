"""Fold the registry's records into the replicas that may be used.

The registry is late, may repeat old records, and drops entries of living replicas
while it is out. Without the order kept here a node would send to replicas that left,
or to none at all after an outage.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace

import xxhash

RETURN_GRACE_S = 2.0
"""How long after an outage of the registry an entry may still come back.

From the platform's promise that entries of living replicas are back within about two
seconds.
"""
TOMBSTONES_KEPT = 2_000
"""Removed replicas whose last counts are remembered, so that old records stay old."""


@dataclass(frozen=True)
class Entry:
    """What a replica last said of itself.

    Parameters
    ----------
    id : str
        Names one start of a replica.
    service : str
        What it serves.
    address : str
        "ip:port".
    failure_domain : str
        What it fails together with.
    slots : int
        Requests it processes at once.
    is_draining : bool
        Whether it is about to leave.
    cold_s : float
        How much longer it was cold when it wrote this.
    born_ms : int
        Start of the process, Unix milliseconds; 0 where unknown.
    sequence : int
        Counts its records since then.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    is_draining: bool = False
    cold_s: float = 0.0
    born_ms: int = 0
    sequence: int = 0

    @property
    def age_key(self):
        """Orders the records of one replica."""
        return self.born_ms, self.sequence


@dataclass(frozen=True)
class Change:
    """A record of the registry: an entry, or None where it was removed."""

    id: str
    offset: int
    entry: Entry | None


@dataclass(frozen=True)
class Replica:
    """A replica as this node knows it.

    Parameters
    ----------
    entry : Entry
        Its last entry.
    offset : int
        Where in the registry that stands.
    cold_until_s : float
        On this node's clock.
    seen_s : float
        When this node first saw this start of it.
    gone_s : float or None
        From when on it is gone; may lie ahead after an outage of the registry.
    """

    entry: Entry
    offset: int
    cold_until_s: float
    seen_s: float
    gone_s: float | None = None

    def is_usable(self, *, now_s):
        """Tell whether it takes new work."""
        if self.entry.is_draining:
            return False
        return self.gone_s is None or now_s < self.gone_s

    def is_cold(self, *, now_s):
        """Tell whether it bears only its cold limit."""
        return now_s < self.cold_until_s


class ReplicaTable:
    """All replicas that the registry told of."""

    def __init__(self):
        self.replicas: dict[str, Replica] = {}
        self.end = 0
        self._ages: dict[str, tuple[int, int]] = {}
        self._digest: int | None = None

    def apply(self, changes: Iterable[Change], *, now_s, returned_s=None):
        """Take records in.

        Parameters
        ----------
        changes : iterable of Change
            In the registry's order.
        now_s : float
            The present time.
        returned_s : float or None
            When the registry was last back after an outage.

        Returns
        -------
        list of Change
            Those that changed what this node believes.
        """
        taken = [
            change
            for change in changes
            if self._apply_one(change, now_s=now_s, returned_s=returned_s)
        ]
        self._forget(now_s=now_s)
        return taken

    def _apply_one(self, change, *, now_s, returned_s):
        """Take one record in; tell whether it changed anything."""
        self._digest = None
        known = self.replicas.get(change.id)
        if known is not None and change.offset <= known.offset:
            return False
        if change.entry is None:
            return self._remove(known, change, now_s=now_s, returned_s=returned_s)
        return self._put(known, change, now_s=now_s)

    def _remove(self, known, change, *, now_s, returned_s):
        """Mark a replica as gone, after a grace if the registry was just out."""
        if known is None:
            return False
        gone_s = now_s
        if returned_s is not None:
            gone_s = max(now_s, returned_s + RETURN_GRACE_S)
        if known.gone_s is not None:
            gone_s = min(gone_s, known.gone_s)
        self.replicas[change.id] = replace(known, offset=change.offset, gone_s=gone_s)
        return True

    def _put(self, known, change, *, now_s):
        """Take an entry in unless it is older than what is known."""
        entry = change.entry
        last = self._ages.get(change.id, (0, -1))
        if entry.age_key <= last and not self._is_repeat(known, entry):
            return False
        self._ages[change.id] = max(last, entry.age_key)
        is_new = known is None or entry.born_ms != known.entry.born_ms
        turned_cold = entry.cold_s > 0 and not (known and known.is_cold(now_s=now_s))
        self.replicas[change.id] = Replica(
            entry=entry,
            offset=change.offset,
            cold_until_s=now_s + entry.cold_s if entry.cold_s > 0 else now_s,
            seen_s=now_s if is_new else known.seen_s,
        )
        if is_new or turned_cold or known.gone_s is not None:
            return True
        return known.entry.is_draining != entry.is_draining

    @staticmethod
    def _is_repeat(known, entry):
        """Tell whether an entry repeats the last one, as some replicas' do."""
        return known is not None and entry.age_key == known.entry.age_key

    def list_all(self, changes: Iterable[Change], end, *, now_s, returned_s=None):
        """Take a whole listing in; what it lacks is gone.

        A listing may be older than what is known, and says so by its end; then
        nothing is taken for gone by its absence.

        Returns
        -------
        list of Change
            As ``apply``.
        """
        listed = list(changes)
        taken = self.apply(listed, now_s=now_s, returned_s=returned_s)
        if end < self.end:
            return taken
        present = {change.id for change in listed}
        missing = (
            Change(name, max(end, replica.offset + 1), None)
            for name, replica in list(self.replicas.items())
            if name not in present and replica.offset < end
        )
        taken += self.apply(missing, now_s=now_s, returned_s=returned_s)
        self.end = end
        return taken

    def usable(self, service, *, now_s, closed=frozenset()) -> Iterator[Replica]:
        """Yield the replicas of a service that take new work.

        Parameters
        ----------
        service : str
            Its name.
        now_s : float
            The present time.
        closed : set of str
            Failure domains that operators have taken out.
        """
        for replica in self.replicas.values():
            entry = replica.entry
            if entry.service != service or entry.failure_domain in closed:
                continue
            if replica.is_usable(now_s=now_s):
                yield replica

    def digest(self):
        """Return a number that is the same at nodes that know the same replicas."""
        if self._digest is None:
            self._digest = self._make_digest()
        return self._digest

    def _make_digest(self):
        """Return the digest of what is known now."""
        known = sorted(
            f"{name} {replica.entry.born_ms} {replica.entry.is_draining}"
            for name, replica in self.replicas.items()
            if replica.gone_s is None
        )
        return xxhash.xxh32_intdigest("\n".join(known).encode())

    def _forget(self, *, now_s):
        """Drop replicas that have been gone for long."""
        gone = [
            name
            for name, replica in self.replicas.items()
            if replica.gone_s is not None and now_s - replica.gone_s > 60.0
        ]
        for name in gone:
            del self.replicas[name]
        while len(self._ages) > TOMBSTONES_KEPT + len(self.replicas):
            self._ages.pop(next(iter(self._ages)))
