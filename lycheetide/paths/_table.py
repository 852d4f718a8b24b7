"""Which direct paths to replicas this node has lost.

A path counts as lost only on the evidence of a peer that reaches the replica while this
node doesn't. Paths to several replicas are often lost together, all of them or those of
one failure domain, so the loss of two without any new connection in between counts for
their whole group.
"""

from collections import defaultdict
from dataclasses import dataclass, replace

NEVER_S = float("-inf")
MIN_LOST = 2
"""Number of replicas of a group whose paths are lost together for all to count as
lost."""
FIRST_RETRY_S = 0.5
"""Time after which a lost path is tried again; it doubles with each failed try."""
MAX_RETRY_S = 4.0
RELAPSE_S = 10.0
"""A path that is lost again this soon after it was restored is tried again as if the
loss had continued. Otherwise a path that comes and goes would cost callers a failed
connection each time."""
RETENTION_S = 30.0
"""How long a loss is remembered without new evidence."""
PEER_AVOIDANCE_S = 1.0
"""How long other peers are preferred to one that opened no tunnel."""
EVERYWHERE = ""
"""Group of all replicas; the others are named by their failure domains."""


@dataclass(frozen=True)
class Loss:
    """The loss of the direct path to one replica.

    Parameters
    ----------
    since_s, last_s : float
        Times of the first and of the latest evidence.
    retry_s : float
        Interval between tries of the path.
    restored_s : float or None
        When a connection could be opened again; None if the path is still lost.
    """

    since_s: float
    last_s: float
    retry_s: float = FIRST_RETRY_S
    restored_s: float | None = None


class PathTable:
    """State of this node's direct paths, by the address of the replica."""

    def __init__(self):
        self._losses: dict[str, Loss] = {}
        self._group_losses: dict[str, dict[str, float]] = defaultdict(dict)
        self._received_s: dict[str, float] = {}
        self._retried_s: dict[str, float] = {}
        self._checked_s: dict[str, float] = {}
        self._failed_peers_s: dict[str, float] = {}

    def note_received(self, address, *, now_s):
        """Record that a replica answered on a direct connection."""
        self._received_s[address] = now_s

    def note_connected(self, address, domain, *, now_s):
        """Record that a direct connection was opened; return whether that is news.

        An answer on an older connection isn't enough: connections may live on while new
        ones are refused.
        """
        self.note_received(address, now_s=now_s)
        for group in (domain, EVERYWHERE):
            self._group_losses.pop(group, None)
        found = self._losses.get(address)
        if found is None or found.restored_s is not None:
            return False
        self._losses[address] = replace(found, restored_s=now_s)
        return True

    def note_lost(self, address, domain, *, now_s):
        """Record that a peer reaches a replica which this node doesn't reach.

        Returns
        -------
        bool
            Whether the path was not known as lost.
        """
        for group in (domain, EVERYWHERE):
            self._group_losses[group].setdefault(address, now_s)
        found = self._losses.get(address)
        if found is None or now_s - found.last_s >= RETENTION_S:
            self._losses[address] = Loss(now_s, now_s)
            return True
        if found.restored_s is None:
            self._losses[address] = replace(found, last_s=now_s)
            return False
        is_relapse = now_s - found.restored_s < RELAPSE_S
        retry_s = min(2 * found.retry_s, MAX_RETRY_S) if is_relapse else FIRST_RETRY_S
        self._losses[address] = Loss(now_s, now_s, retry_s)
        self._retried_s[address] = now_s
        return True

    def note_retry_failed(self, address, *, now_s):
        """Record that a lost path was tried again in vain."""
        found = self._losses.get(address)
        if found is not None and found.restored_s is None:
            retry_s = min(2 * found.retry_s, MAX_RETRY_S)
            self._losses[address] = replace(found, last_s=now_s, retry_s=retry_s)

    def lost_since_s(self, address, domain, *, now_s):
        """Return since when the direct path to a replica is lost, None if it isn't."""
        found = self._losses.get(address)
        if found is not None and now_s - found.last_s < RETENTION_S:
            if found.restored_s is None:
                return found.since_s
            if now_s - found.restored_s < found.retry_s:
                return None
        for group in (domain, EVERYWHERE):
            since_s = self._group_lost_since_s(group, now_s=now_s)
            if since_s is not None:
                return since_s
        return None

    def _group_lost_since_s(self, group, *, now_s):
        """Return since when the paths of a group are lost, None if they aren't."""
        lost_s = self._group_losses.get(group, {})
        recent_s = [at_s for at_s in lost_s.values() if now_s - at_s < RETENTION_S]
        return min(recent_s) if len(recent_s) >= MIN_LOST else None

    def is_cut_off(self, *, now_s):
        """Tell whether this node has lost its direct paths to all replicas."""
        return self._group_lost_since_s(EVERYWHERE, now_s=now_s) is not None

    def claim_retry(self, address, *, now_s):
        """Tell whether a lost path is due to be tried again; if so, record the try."""
        found = self._losses.get(address)
        retry_s, since_s = FIRST_RETRY_S, NEVER_S
        if found is not None:
            retry_s, since_s = found.retry_s, found.since_s
        if now_s - max(since_s, self._retried_s.get(address, NEVER_S)) < retry_s:
            return False
        self._retried_s[address] = now_s
        return True

    def note_check(self, address, *, now_s):
        """Record that the path to a silent replica is checked."""
        self._checked_s[address] = now_s

    def last_check_s(self, address):
        """Return when the path to a silent replica was last checked."""
        return self._checked_s.get(address, NEVER_S)

    def last_received_s(self, address):
        """Return when a replica last answered on a direct connection."""
        return self._received_s.get(address, NEVER_S)

    def find_latest(self, *, without):
        """Return the replica that answered on a direct connection last, or None.

        Parameters
        ----------
        without : str
            Address of a replica that doesn't count.
        """
        others = self._received_s.keys() - {without}
        return max(others, key=self._received_s.__getitem__, default=None)

    def avoid_peer(self, address, *, now_s):
        """Record that a peer opened no tunnel, or not in time."""
        self._failed_peers_s[address] = now_s

    def is_peer_avoided(self, address, *, now_s):
        """Tell whether other peers are preferred to one that opened no tunnel."""
        return now_s - self._failed_peers_s.get(address, NEVER_S) < PEER_AVOIDANCE_S

    def drop_absent(self, addresses, *, now_s):
        """Drop the state of replicas that are gone.

        Parameters
        ----------
        addresses : set of str
            The addresses of the replicas that exist.
        now_s : float
            The present time.
        """
        for table in (
            self._losses,
            self._received_s,
            self._retried_s,
            self._checked_s,
        ):
            for address in table.keys() - addresses:
                del table[address]
        for lost_s in self._group_losses.values():
            for address in lost_s.keys() - addresses:
                del lost_s[address]
        self._failed_peers_s = {
            peer: at_s
            for peer, at_s in self._failed_peers_s.items()
            if now_s - at_s < PEER_AVOIDANCE_S
        }
