"""Count the resources that a node uses and is charged for, and log them periodically.

The node writes one line every ten seconds, whatever the load, so that the logs of a
large fleet stay small.
"""

import resource
from collections import Counter

LOG_INTERVAL_S = 10.0
"""Interval between two lines."""


class UsageCounter:
    """Resources that this node has used since the last line.

    Parameters
    ----------
    now_s : float
        Current time.
    """

    def __init__(self, *, now_s):
        self.counts: Counter[str] = Counter()
        self._logged_s = now_s
        self._connections = 0

    def add(self, name, amount=1):
        """Add an amount to one counter."""
        self.counts[name] += amount

    def note_connections(self, opened):
        """Update the number of connections opened since the last line."""
        self.add("connections", opened - self._connections)
        self._connections = opened

    def log(self, relay, *, now_s, is_last=False):
        """Log the counters and reset them if the interval is over."""
        if now_s - self._logged_s < LOG_INTERVAL_S and not is_last:
            return
        self.note_connections(relay.pool.opened + relay.peer_pool.opened)
        for name, amount in self.counts.items():
            relay.counters.add(f"used.{name}", amount)
        relay.log.info(
            "What was used.",
            extra={
                "used": {name: self.counts[name] for name in sorted(self.counts)},
                "span_ms": round((now_s - self._logged_s) * 1e3),
                "peak_mb": round(read_peak_memory_mb(), 1),
            },
        )
        self.counts.clear()
        self._logged_s = now_s


def read_peak_memory_mb():
    """Return the peak memory use of this process, in MB."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
