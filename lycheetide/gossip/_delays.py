"""Estimate how late messages of other nodes arrive, without synchronized clocks.

The clocks of two nodes have an unknown offset and run at the same rate. So the smallest
difference between arrival time and send time is kept for each node. It stands for a
message without delay, and the delay of any other message is its excess over it.
"""

from dataclasses import dataclass

WINDOW_S = 10.0
"""A node's smallest difference is kept for this time, or for up to twice as long. It
has to expire, since the clock offset of a node changes when the node is suspended."""
SMOOTHING = 1 / 32
"""Weight of one message in the exponential moving average."""
MAX_DELAY_S = 1.0
"""Longer delays are counted as this. They come from a change of clock offset, or are so
long that no node can place requests well."""
SENT_MODULUS_MS = 1 << 31
"""Send times are in milliseconds modulo this, which is 25 days."""


def make_sent_ms(now_s):
    """Return a time in the form of ``Started.sent_ms``."""
    return int(now_s * 1e3) % SENT_MODULUS_MS


@dataclass
class _TransitMinimum:
    """Smallest difference between arrival and send time, over two windows.

    Parameters
    ----------
    since_s : float
        Start of the current window.
    current_ms, previous_ms : float
        Minimum in the current window and in the one before.
    """

    since_s: float
    current_ms: float
    previous_ms: float


class DelayEstimator:
    """Estimator of the mean delay of other nodes' messages."""

    def __init__(self):
        self._minimums: dict[str, _TransitMinimum] = {}
        self._mean_s = 0.0

    def note(self, node, sent_ms, *, now_s):
        """Record a message that was sent at ``sent_ms`` and arrived at ``now_s``."""
        took_ms = now_s * 1e3 - sent_ms
        found = self._minimums.get(node)
        if found is None:
            self._minimums[node] = _TransitMinimum(now_s, took_ms, took_ms)
            return
        if now_s - found.since_s > WINDOW_S:
            found.since_s, found.previous_ms = now_s, found.current_ms
            found.current_ms = took_ms
        found.current_ms = min(found.current_ms, took_ms)
        delay_s = (took_ms - min(found.current_ms, found.previous_ms)) / 1e3
        self._mean_s += SMOOTHING * (min(MAX_DELAY_S, delay_s) - self._mean_s)

    def mean_s(self):
        """Return the moving average of the delay, in seconds."""
        return self._mean_s

    def drop_absent(self, living):
        """Drop the state of nodes that are not in ``living``."""
        for node in set(self._minimums) - set(living):
            del self._minimums[node]
