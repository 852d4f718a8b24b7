"""Stand in for members that died while no view can be written.

In an outage of the log no new view replaces a dead owner, and each of its prompts
would wait until its time is up. So a member that stays silent is deposed: those that
depose it don't count for its majority any more. When most members of the view have
done so and its lease has run out since, it can't act, and the next member in the
cell's order stands in. Two majorities share a member, so the two never act at once.
"""

AWAKE_GAP_S = 1.0
"""A member that asked nobody for so long was frozen or starved itself."""


class Deputies:
    """Who is deposed in the present view, as one member knows.

    Parameters
    ----------
    own_id : str
        This member.
    lease_s : float
        How long evidence lets an owner act.

    Attributes
    ----------
    deposed : set of str
        Members that this one has deposed; it never takes that back within a view,
        since a deputy may act on it already.
    out : frozenset of str
        Members that can't act any more.
    """

    def __init__(self, *, own_id, lease_s):
        self.own_id = own_id
        self.lease_s = lease_s
        self.deposed: set[str] = set()
        self.out: frozenset[str] = frozenset()
        self._most_since_s = {}
        self._asked_s = float("-inf")
        self._awake_since_s = float("inf")

    def begin_view(self):
        """Forget all; a new view names its members anew."""
        self.deposed = set()
        self.out = frozenset()
        self._most_since_s = {}

    def note_awake(self, *, now_s):
        """Note that this member asks others what they know.

        After a gap it was this member that slept: what it heard of the others is old
        because it didn't listen, and says nothing of them.
        """
        if now_s - self._asked_s > AWAKE_GAP_S:
            self._awake_since_s = now_s
        self._asked_s = now_s

    def depose_silent(self, view, evidence, *, now_s, silent_s):
        """Depose the members that were silent for long.

        Parameters
        ----------
        view : View
            The present view.
        evidence : mapping of str to Evidence
            What was heard, by member id.
        now_s, silent_s : float
            The present time and how long is long.
        """
        if view.find(self.own_id) is None:
            return
        for member in view.members:
            known = evidence.get(member.member_id)
            if member.member_id == self.own_id or known is None:
                continue
            if now_s - max(known.at_s, self._awake_since_s) > silent_s:
                self.deposed.add(member.member_id)

    def refresh(self, view, evidence, *, now_s):
        """Find out who can't act any more; return whether that changed."""
        out = frozenset(
            member.member_id
            for member in view.members
            if self._is_out(member.member_id, view, evidence, now_s)
        )
        changed = out != self.out
        self.out = out
        return changed

    def _is_out(self, member_id, view, evidence, now_s):
        """Tell whether most members deposed a member a lease ago."""
        if member_id in self.out:
            return True
        count = sum(
            self._has_deposed(member.member_id, member_id, view, evidence)
            for member in view.members
        )
        if count * 2 <= len(view.members):
            return False
        since_s = self._most_since_s.setdefault(member_id, now_s)
        return now_s - since_s > self.lease_s

    def _has_deposed(self, by_id, member_id, view, evidence):
        """Tell whether one member is known to have deposed another."""
        if by_id == self.own_id:
            return member_id in self.deposed
        known = evidence.get(by_id)
        if known is None or known.row.view_number != view.number:
            return False
        return member_id in known.row.deposed
