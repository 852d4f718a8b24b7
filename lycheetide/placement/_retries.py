"""A node's share of the retries that all nodes may make together.

Without a bound a failing service gets its load many times over, which keeps it
failing.
"""

from collections import deque

SAFETY = 0.7
"""Part of the budget that is used: shares are reckoned from lagging knowledge."""


class RetryWindow:
    """Retries and requests of one service at one node, over a sliding window.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request.
    extra : float
        Retries allowed besides, for all nodes together.
    window_s : float
        Over which both are counted.
    """

    def __init__(self, *, ratio, extra, window_s):
        self.ratio = ratio
        self.extra = extra
        self.window_s = window_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def note_request(self, *, now_s):
        """Count a request."""
        self._requests.append(now_s)
        self._drop(now_s)

    def has_left(self, nodes, *, now_s):
        """Tell whether a retry is left.

        Parameters
        ----------
        nodes : int
            Nodes that share the budget, this one among them.
        now_s : float
            The present time.
        """
        self._drop(now_s)
        allowed = self.ratio * len(self._requests) + self.extra / max(1, nodes)
        return len(self._retries) + 1 <= allowed * SAFETY

    def spend(self, nodes, *, now_s):
        """Take one retry, if there is one left; parameters as of ``has_left``."""
        if not self.has_left(nodes, now_s=now_s):
            return False
        self._retries.append(now_s)
        return True

    def _drop(self, now_s):
        """Forget what lies before the window."""
        for times in (self._requests, self._retries):
            while times and now_s - times[0] > self.window_s:
                times.popleft()
