"""What is believed of each replica, and on what evidence.

A node's own answers from a replica weigh most. The word of peers says that it lives,
but not that it lives now. A refused connection and a silence speak against it at once,
and answers that broke off do where several of one failure domain come together.
"""

from dataclasses import dataclass, replace

from lycheetide.board._board import FORGET_S

NEVER_S = float("-inf")
SUSPECT_S = 3.0
"""How long a replica that was silent is left alone; doubles up to the next constant."""
LONGEST_SUSPECT_S = 12.0
RECOVERING_S = 15.0
"""How long a silent replica stays the second choice unless it answers."""
TOLD_AGE_S = 1.3
"""How old a peer's word may be that a replica answered: peers name those that they
heard within a second, and greet each 0.3 s."""
MOST_DOUBLINGS = 4
DOUBT_S = 0.5
"""How long a replica that broke an answer off is the second choice, unless it answers.
Replicas that die together are found one by one; those that only lost one connection
are heard again within this time."""


@dataclass(frozen=True)
class Suspicion:
    """What speaks against a replica.

    Parameters
    ----------
    since_s : float
        When it was first waited for in vain; it is left alone from then on.
    last_s : float
        When it last was.
    times : int
        How often it was so after it had been left alone.
    """

    since_s: float
    last_s: float
    times: int

    @property
    def ends_s(self):
        """From when on it may be tried again."""
        doubled_s = SUSPECT_S * 2 ** (self.times - 1)
        return self.since_s + min(doubled_s, LONGEST_SUSPECT_S)


class Trust:
    """The evidence for and against each replica, as far as this node has it."""

    def __init__(self):
        self._answered_s: dict[str, float] = {}
        self._told_s: dict[str, float] = {}
        self._troubled_s: dict[str, float] = {}
        self._suspects: dict[str, Suspicion] = {}

    def hear(self, replica, *, now_s):
        """Note an answer of a replica to this node."""
        self._answered_s[replica] = now_s
        self._suspects.pop(replica, None)

    def hear_of(self, replica, *, now_s):
        """Note that a peer had an answer of a replica lately.

        A replica that has just refused a connection was heard by some peer a moment
        before. If that word ended the suspicion, every request would try the replica
        again until the peers fall silent on it.
        """
        self._told_s[replica] = now_s
        found = self._suspects.get(replica)
        if found is not None and now_s - found.last_s > TOLD_AGE_S:
            del self._suspects[replica]

    def doubt(self, replica, *, now_s):
        """Note that a replica broke an answer off, which alone proves little.

        Returns
        -------
        bool
            Whether it wasn't in doubt already.
        """
        is_new = not self.is_doubted(replica, now_s=now_s)
        self._troubled_s[replica] = now_s
        return is_new

    def suspect(self, replica, *, now_s):
        """Note that a replica was waited for in vain, or refused a connection.

        All who wait for it meet the same silence, which is one piece of evidence. Each
        of them counted, a replica that read one long prompt would be left alone four
        times as long.

        Returns
        -------
        bool
            Whether it wasn't being left alone already.
        """
        self._troubled_s[replica] = now_s
        found = self._suspects.get(replica)
        is_new = found is None or now_s >= found.ends_s
        if found is None:
            self._suspects[replica] = Suspicion(now_s, now_s, 1)
        elif is_new:
            times = min(found.times + 1, MOST_DOUBLINGS)
            self._suspects[replica] = Suspicion(now_s, now_s, times)
        else:
            self._suspects[replica] = replace(found, last_s=now_s)
        return is_new

    def answered_s(self, replica):
        """Return when a replica last answered this node."""
        return self._answered_s.get(replica, NEVER_S)

    def heard_s(self, replica):
        """Return when a replica was last known to live, also by a peer's word."""
        return max(self.answered_s(replica), self._told_s.get(replica, NEVER_S))

    def troubled_s(self, replica):
        """Return when a replica last failed this node, or a peer that told of it."""
        return self._troubled_s.get(replica, NEVER_S)

    def list_answered(self, *, since_s):
        """Return the replicas that answered this node itself lately.

        Only these may be told to peers. Nodes that passed on one another's word would
        keep a dead replica alive for ever.
        """
        return [name for name, at_s in self._answered_s.items() if at_s > since_s]

    def is_suspect(self, replica, *, now_s):
        """Tell whether a replica should be left alone for now."""
        found = self._suspects.get(replica)
        return found is not None and now_s < found.ends_s

    def is_doubted(self, replica, *, now_s):
        """Tell whether a replica failed a moment ago and hasn't answered since."""
        troubled_s = self.troubled_s(replica)
        return now_s - troubled_s < DOUBT_S and self.answered_s(replica) < troubled_s

    def is_recovering(self, replica, *, now_s):
        """Tell whether a replica is the second choice, for what it did lately."""
        if self.is_doubted(replica, now_s=now_s):
            return True
        found = self._suspects.get(replica)
        return found is not None and now_s - found.last_s < RECOVERING_S

    def forget(self, present, *, now_s):
        """Drop what is known of replicas that are gone and of which nothing is heard.

        Parameters
        ----------
        present : collection of str
            Replicas that aren't gone.
        now_s : float
            The present time.
        """
        known = {*self._answered_s, *self._told_s, *self._troubled_s}
        for replica in known - set(present):
            last_s = max(self.heard_s(replica), self.troubled_s(replica))
            if now_s - last_s > FORGET_S:
                self._answered_s.pop(replica, None)
                self._told_s.pop(replica, None)
                self._troubled_s.pop(replica, None)
                self._suspects.pop(replica, None)
