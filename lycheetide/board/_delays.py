"""How late what nodes tell arrives, by their own clocks.

Clocks of nodes have nothing in common but their pace. So of each node the message that
came soonest after it was sent is remembered; what others take longer is their delay.
"""

from dataclasses import dataclass

FORGET_S = 10.0
"""How long the soonest message of a node is remembered, and up to twice that; a node
that was suspended sends by another time from then on."""
SHARE = 1 / 32
"""Weight of one message in the mean."""
LONGEST_S = 1.0
"""A longer delay counts as this: it comes from a clock, or nobody can place well."""
CLOCK_MS = 1 << 31
"""Times are sent in milliseconds modulo this, 25 days."""


def make_sent_ms(now_s):
    """Return a time as messages carry it."""
    return int(now_s * 1e3) % CLOCK_MS


@dataclass
class _Soonest:
    """The shortest time from a node's clock to this one's, of two spans of time."""

    since_s: float
    newer_ms: float
    older_ms: float


class Delays:
    """The delays of what other nodes tell."""

    def __init__(self):
        self._soonest: dict[str, _Soonest] = {}
        self._mean_s = 0.0

    def note(self, node, sent_ms, *, now_s):
        """Take in when a message was sent and that it came now."""
        took_ms = now_s * 1e3 - sent_ms
        found = self._soonest.get(node)
        if found is None:
            self._soonest[node] = _Soonest(now_s, took_ms, took_ms)
            return
        if now_s - found.since_s > FORGET_S:
            found.since_s, found.older_ms = now_s, found.newer_ms
            found.newer_ms = took_ms
        found.newer_ms = min(found.newer_ms, took_ms)
        delay_s = (took_ms - min(found.newer_ms, found.older_ms)) / 1e3
        self._mean_s += SHARE * (min(LONGEST_S, delay_s) - self._mean_s)

    def mean_s(self):
        """Return by how much messages are later than the soonest ones, on average."""
        return self._mean_s

    def forget(self, living):
        """Drop what is known of nodes that are gone."""
        for node in set(self._soonest) - set(living):
            del self._soonest[node]
