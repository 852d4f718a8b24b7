"""Limit a node's retries to its share of a budget that all nodes keep together.

Unlimited retries multiply the load of a failing service, which keeps it failing.
"""

from collections import deque

SAFETY_FACTOR = 0.7
"""Fraction of the budget that is used, because the shares are computed from delayed
information about the other nodes."""


class RetryWindow:
    """Retries and requests of one service at one node, over a sliding window.

    Parameters
    ----------
    ratio : float
        Number of retries allowed per request.
    extra : float
        Number of further retries allowed, for all nodes together.
    window_s : float
        Length of the sliding window, in seconds.
    """

    def __init__(self, *, ratio, extra, window_s):
        self.ratio = ratio
        self.extra = extra
        self.window_s = window_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, *, now_s):
        """Record a request."""
        self._requests.append(now_s)
        self._drop_expired(now_s)

    def has_retry_left(self, nodes, *, now_s):
        """Return whether the budget allows another retry.

        Parameters
        ----------
        nodes : int
            Number of nodes that share the budget, including this node.
        now_s : float
            Current time, in seconds.
        """
        self._drop_expired(now_s)
        allowed = self.ratio * len(self._requests) + self.extra / max(1, nodes)
        return len(self._retries) + 1 <= allowed * SAFETY_FACTOR

    def spend(self, nodes, *, now_s):
        """Use one retry if the budget allows it.

        Parameters
        ----------
        nodes : int
            Number of nodes that share the budget, including this node.
        now_s : float
            Current time, in seconds.

        Returns
        -------
        bool
            Whether the retry is allowed.
        """
        if not self.has_retry_left(nodes, now_s=now_s):
            return False
        self._retries.append(now_s)
        return True

    def _drop_expired(self, now_s):
        """Remove requests and retries that are older than the window."""
        for times in (self._requests, self._retries):
            while times and now_s - times[0] > self.window_s:
                times.popleft()
