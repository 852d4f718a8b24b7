"""Failover of owners that fail while no new view can be written.

During an outage of the log, no new view can replace a failed owner, and each prompt for
its cells would wait until its deadline. So members depose a member that stays silent:
from then on they don't count towards its majority. Once most members of the view have
deposed it and its lease has expired since, it can't act as an owner any more, and the
next member in the cell's ranking takes over. Any two majorities share a member, so the
two never act at the same time.
"""

POLL_GAP_S = 1.0
"""A member that polled no peer for this long was itself frozen or starved of CPU."""


class FailoverTracker:
    """The deposed members of the present view, as known to one member.

    Parameters
    ----------
    own_id : str
        The id of this member.
    lease_s : float
        The duration of an owner's lease.

    Attributes
    ----------
    deposed : set of str
        Ids of the members that this member has deposed. It never reverts this within a
        view, since another member may already act in their place.
    out : frozenset of str
        Ids of the members that can't act as owners any more.
    """

    def __init__(self, *, own_id, lease_s):
        self.own_id = own_id
        self.lease_s = lease_s
        self.deposed: set[str] = set()
        self.out: frozenset[str] = frozenset()
        self._majority_since_s = {}
        self._last_poll_s = float("-inf")
        self._polling_since_s = float("inf")

    def reset(self):
        """Discard all state; a new view starts without deposed members."""
        self.deposed = set()
        self.out = frozenset()
        self._majority_since_s = {}

    def record_poll(self, *, now_s):
        """Record that this member polls its peers.

        After a gap between polls, this member was itself frozen. Its evidence of the
        others is old because it didn't listen, and doesn't mean that they are silent.
        """
        if now_s - self._last_poll_s > POLL_GAP_S:
            self._polling_since_s = now_s
        self._last_poll_s = now_s

    def depose_silent(self, view, evidence, *, now_s, silent_s):
        """Depose the members that have been silent for too long.

        Parameters
        ----------
        view : View
            The present view.
        evidence : mapping of str to Evidence
            The latest evidence by member id.
        now_s, silent_s : float
            The present time, and how long a member may be silent before it is deposed.
        """
        if view.find(self.own_id) is None:
            return
        for member in view.members:
            item = evidence.get(member.member_id)
            if member.member_id == self.own_id or item is None:
                continue
            if now_s - max(item.at_s, self._polling_since_s) > silent_s:
                self.deposed.add(member.member_id)

    def update_expired(self, view, evidence, *, now_s):
        """Update ``out`` from the evidence; return whether it changed."""
        out = frozenset(
            member.member_id
            for member in view.members
            if self._has_expired(member.member_id, view, evidence, now_s)
        )
        changed = out != self.out
        self.out = out
        return changed

    def _has_expired(self, member_id, view, evidence, now_s):
        """Tell whether most members deposed a member more than a lease ago."""
        if member_id in self.out:
            return True
        count = sum(
            self._has_deposed(member.member_id, member_id, view, evidence)
            for member in view.members
        )
        if count * 2 <= len(view.members):
            return False
        since_s = self._majority_since_s.setdefault(member_id, now_s)
        return now_s - since_s > self.lease_s

    def _has_deposed(self, voter_id, member_id, view, evidence):
        """Tell whether a member is known to have deposed another one."""
        if voter_id == self.own_id:
            return member_id in self.deposed
        item = evidence.get(voter_id)
        if item is None or item.row.view_number != view.number:
            return False
        return member_id in item.row.deposed
