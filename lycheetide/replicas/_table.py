"""The table of usable replicas, built from the records of the registry.

The registry is delayed, may deliver old records again, and loses entries of live
replicas during an outage. Without the ordering done here, a node would send requests to
replicas that have left, or would know of no replicas after an outage.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace

import xxhash

RECOVERY_GRACE_S = 2.0
"""How long after an outage of the registry a removed entry may still return.

The platform guarantees that the entries of live replicas are back within about two
seconds.
"""
MAX_TOMBSTONES = 2_000
"""Removed replicas whose order keys are kept, to recognize outdated records."""


@dataclass(frozen=True)
class RegistryEntry:
    """An entry that a replica writes into the registry.

    Parameters
    ----------
    id : str
        The id of the replica.
    service : str
        The service that it belongs to.
    address : str
        Its address, "ip:port".
    failure_domain : str
        The failure domain in which it runs.
    slots : int
        The number of requests that it processes concurrently.
    is_draining : bool
        Whether it is about to leave.
    cold_s : float
        The remaining duration of its cold start when the entry was written.
    born_ms : int
        The start of its process in Unix milliseconds; 0 if unknown.
    sequence : int
        The sequence number of the entry, counted from the start of the process.
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
    def order_key(self):
        """The sort key of the entries of one replica."""
        return self.born_ms, self.sequence


@dataclass(frozen=True)
class RegistryChange:
    """A record of the registry: a new entry, or None if the entry was removed."""

    id: str
    offset: int
    entry: RegistryEntry | None


@dataclass(frozen=True)
class Replica:
    """A replica as known to this node; all times are on this node's clock.

    Parameters
    ----------
    entry : RegistryEntry
        Its latest entry.
    offset : int
        The offset of that entry in the registry.
    cold_until_s : float
        When its cold start ends.
    first_seen_s : float
        When this node first saw an entry of its current process.
    removed_from_s : float or None
        The time from which it counts as removed; may lie in the future after an outage
        of the registry.
    """

    entry: RegistryEntry
    offset: int
    cold_until_s: float
    first_seen_s: float
    removed_from_s: float | None = None

    def is_usable(self, *, now_s):
        """Tell whether the replica may be sent new requests."""
        if self.entry.is_draining:
            return False
        return self.removed_from_s is None or now_s < self.removed_from_s

    def is_cold(self, *, now_s):
        """Tell whether the replica can handle only its cold limit."""
        return now_s < self.cold_until_s


class ReplicaTable:
    """All replicas that are known from the registry."""

    def __init__(self):
        self.replicas: dict[str, Replica] = {}
        self.end = 0
        self._latest_keys: dict[str, tuple[int, int]] = {}
        self._digest: int | None = None
        self._ids_by_address: dict[str, str] = {}

    def find_at(self, address):
        """Return the replica at an address, None if none is registered there."""
        found = self.replicas.get(self._ids_by_address.get(address, ""))
        if found is None or found.entry.address != address:
            return None
        return found

    def apply(self, changes: Iterable[RegistryChange], *, now_s, outage_ended_s=None):
        """Apply records of the registry.

        Parameters
        ----------
        changes : iterable of RegistryChange
            The records in the registry's order.
        now_s : float
            The present time.
        outage_ended_s : float or None
            When the registry last recovered from an outage.

        Returns
        -------
        list of RegistryChange
            Those that made a difference, such as a new, removed or draining replica.
        """
        applied = [
            change
            for change in changes
            if self._apply_change(change, now_s=now_s, outage_ended_s=outage_ended_s)
        ]
        self._drop_removed(now_s=now_s)
        return applied

    def _apply_change(self, change, *, now_s, outage_ended_s):
        """Apply one record; return whether it made a difference."""
        self._digest = None
        current = self.replicas.get(change.id)
        if current is not None and change.offset <= current.offset:
            return False
        if change.entry is None:
            return self._apply_removal(
                current, change, now_s=now_s, outage_ended_s=outage_ended_s
            )
        return self._apply_entry(current, change, now_s=now_s)

    def _apply_removal(self, current, change, *, now_s, outage_ended_s):
        """Mark a replica as removed, after a grace period if the registry was out."""
        if current is None:
            return False
        removed_from_s = now_s
        if outage_ended_s is not None:
            removed_from_s = max(now_s, outage_ended_s + RECOVERY_GRACE_S)
        if current.removed_from_s is not None:
            removed_from_s = min(removed_from_s, current.removed_from_s)
        self.replicas[change.id] = replace(
            current, offset=change.offset, removed_from_s=removed_from_s
        )
        return True

    def _apply_entry(self, current, change, *, now_s):
        """Store an entry unless it is older than the stored one."""
        entry = change.entry
        last = self._latest_keys.get(change.id, (0, -1))
        if entry.order_key <= last and not self._is_repeated(current, entry):
            return False
        self._latest_keys[change.id] = max(last, entry.order_key)
        self._ids_by_address[entry.address] = change.id
        is_new = current is None or entry.born_ms != current.entry.born_ms
        turned_cold = entry.cold_s > 0 and not (
            current and current.is_cold(now_s=now_s)
        )
        self.replicas[change.id] = Replica(
            entry=entry,
            offset=change.offset,
            cold_until_s=now_s + entry.cold_s if entry.cold_s > 0 else now_s,
            first_seen_s=now_s if is_new else current.first_seen_s,
        )
        if is_new or turned_cold or current.removed_from_s is not None:
            return True
        return current.entry.is_draining != entry.is_draining

    @staticmethod
    def _is_repeated(current, entry):
        """Tell whether an entry repeats the stored one, as some replicas send it."""
        return current is not None and entry.order_key == current.entry.order_key

    def apply_listing(
        self, changes: Iterable[RegistryChange], end, *, now_s, outage_ended_s=None
    ):
        """Apply a complete listing; replicas that it lacks are marked as removed.

        A listing may be older than the table, which shows in its ``end``. Then no
        replica is marked as removed for being absent.

        Returns
        -------
        list of RegistryChange
            As for ``apply``.
        """
        listed = list(changes)
        applied = self.apply(listed, now_s=now_s, outage_ended_s=outage_ended_s)
        if end < self.end:
            return applied
        listed_ids = {change.id for change in listed}
        removals = (
            RegistryChange(name, max(end, replica.offset + 1), None)
            for name, replica in list(self.replicas.items())
            if name not in listed_ids and replica.offset < end
        )
        applied += self.apply(removals, now_s=now_s, outage_ended_s=outage_ended_s)
        self.end = end
        return applied

    def usable(self, service, *, now_s, closed=frozenset()) -> Iterator[Replica]:
        """Yield the replicas of a service that may be sent new requests.

        Parameters
        ----------
        service : str
            The name of the service.
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
        """Return a hash that is equal on nodes that know the same replicas."""
        if self._digest is None:
            self._digest = self._compute_digest()
        return self._digest

    def _compute_digest(self):
        """Compute the digest of the present table."""
        lines = sorted(
            f"{name} {replica.entry.born_ms} {replica.entry.is_draining}"
            for name, replica in self.replicas.items()
            if replica.removed_from_s is None
        )
        return xxhash.xxh32_intdigest("\n".join(lines).encode())

    def _drop_removed(self, *, now_s):
        """Drop replicas that were removed over a minute ago, and surplus order keys."""
        gone = [
            name
            for name, replica in self.replicas.items()
            if replica.removed_from_s is not None
            and now_s - replica.removed_from_s > 60.0
        ]
        for name in gone:
            address = self.replicas.pop(name).entry.address
            if self._ids_by_address.get(address) == name:
                del self._ids_by_address[address]
        while len(self._latest_keys) > MAX_TOMBSTONES + len(self.replicas):
            self._latest_keys.pop(next(iter(self._latest_keys)))
