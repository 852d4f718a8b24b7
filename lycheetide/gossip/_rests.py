"""Replicas that have turned a request away and asked for rest.

A request for rest binds only the node that got it. The other nodes prefer other
replicas meanwhile: if each had to be turned away itself, a call would use up its
attempts at replicas that are known to take nothing.
"""

MAX_REST_S = 60.0
"""Longest time of rest; a longer one, such as an hour named in place of seconds, counts
as this one."""


class RestTable:
    """Times of rest that replicas have asked for."""

    def __init__(self):
        self._ends_s = {}
        self._peers_end_s = {}

    def ask(self, life, rest_s, *, now_s):
        """Record that a replica asked this node for rest.

        Parameters
        ----------
        life : Life
            The replica.
        rest_s : float
            Time for which it wants nothing from this node, in seconds.
        now_s : float
            Current time.

        Returns
        -------
        bool
            Whether the replica wasn't resting from this node before.
        """
        is_new = self.left_s(life, now_s=now_s) == 0.0
        end_s = now_s + min(rest_s, MAX_REST_S)
        self._ends_s[life] = max(end_s, self._ends_s.get(life, end_s))
        return is_new

    def note_peer(self, life, rest_s, *, now_s, draw):
        """Record that a replica asked another node for rest.

        Nodes that all prefer the replica again at the same moment would all be turned
        away, so each waits up to twice as long.

        Parameters
        ----------
        life, rest_s, now_s
            As for ``ask``.
        draw : float
            Random number, at least 0 and less than 1.
        """
        end_s = now_s + min(rest_s, MAX_REST_S) * (1.0 + draw)
        self._peers_end_s[life] = max(end_s, self._peers_end_s.get(life, end_s))

    def left_s(self, life, *, now_s):
        """Return for how many seconds this node may send a replica nothing."""
        return max(0.0, self._ends_s.get(life, now_s) - now_s)

    def list_spared(self, *, now_s):
        """Return the replicas that asked another node for rest."""
        return [life for life, end_s in self._peers_end_s.items() if now_s < end_s]

    def list_resting(self, *, now_s):
        """Return the replicas that this node may send nothing."""
        return [life for life, end_s in self._ends_s.items() if now_s < end_s]

    def drop_outdated(self, *, now_s):
        """Drop the times of rest that are over."""
        for ends_s in (self._ends_s, self._peers_end_s):
            for life in [one for one, end_s in ends_s.items() if end_s <= now_s]:
                del ends_s[life]
