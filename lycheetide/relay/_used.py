"""Count what a node uses that is paid for, by reason, and log it now and then.

One line in ten seconds, whatever the load, so that logs of a large fleet stay small.
"""

import resource
from collections import Counter

LOG_S = 10.0
"""Pause between two lines."""


class Used:
    """What this node has used since the last line.

    Parameters
    ----------
    now_s : float
        The present time.
    """

    def __init__(self, *, now_s):
        self.counts: Counter[str] = Counter()
        self._logged_s = now_s
        self._connections = 0

    def add(self, name, amount=1):
        """Add to one reason."""
        self.counts[name] += amount

    def note_connections(self, opened):
        """Take in how many connections were opened since the start."""
        self.add("connections", opened - self._connections)
        self._connections = opened

    def log(self, relay, *, now_s, is_last=False):
        """Log what was used and begin anew, if it is time for that."""
        if now_s - self._logged_s < LOG_S and not is_last:
            return
        self.note_connections(relay.pool.opened)
        for name, amount in self.counts.items():
            relay.counters.add(f"used.{name}", amount)
        relay.log.info(
            "What was used.",
            extra={
                "used": {name: self.counts[name] for name in sorted(self.counts)},
                "span_ms": round((now_s - self._logged_s) * 1e3),
                "peak_mb": round(find_peak_mb(), 1),
            },
        )
        self.counts.clear()
        self._logged_s = now_s


def find_peak_mb():
    """Return the most memory that this process had at once, in MB."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
