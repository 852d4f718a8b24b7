"""Arrival rates of short and long prompts."""

import math
from collections import defaultdict, deque
from enum import StrEnum

from lycheetide.placement import SHORT_PREFILL_S

FAST_WINDOW_S = 0.5
"""Window in which an increase is noticed."""
SLOW_WINDOW_S = 1.5
"""Window over which a steady rate is averaged. After a decrease, the old rate is
forgotten within this time, below the two seconds in which the nodes have to adapt."""
MIN_WINDOW_S = 0.25
"""Shortest time over which a rate is computed while a node has just started."""
BUCKET_S = 0.05
"""Resolution of the windows. Counts instead of times keep the cost of an estimate
independent of the rate."""
SURGE_DEVIATIONS = 2.5
"""Standard deviations by which the fast window must exceed the slow one before its rate
is used. Arrivals at random at a constant rate exceed it in 1 of 160 windows."""


class PromptClass(StrEnum):
    """Class of a prompt by the time of its prefill."""

    SHORT = "short"
    LONG = "long"


def classify_prefill(prefill_s):
    """Return the class of a prompt with a prefill time at one replica, in seconds."""
    return PromptClass.SHORT if prefill_s <= SHORT_PREFILL_S else PromptClass.LONG


class ArrivalRates:
    """Arrivals per second by kind, from the placements that all nodes report."""

    def __init__(self):
        self._counts: dict[str, deque[list]] = defaultdict(deque)
        self._begun_s = math.inf

    def note(self, kind, *, now_s):
        """Record the arrival of a request."""
        self._begun_s = min(self._begun_s, now_s)
        bucket = int(now_s / BUCKET_S)
        counts = self._counts[kind]
        if counts and counts[-1][0] >= bucket:
            counts[-1][1] += 1
            return
        counts.append([bucket, 1])
        _drop_before(counts, bucket - round(SLOW_WINDOW_S / BUCKET_S))

    def rate_per_s(self, kind, *, now_s):
        """Return the estimated rate of a kind.

        The average over the slow window is steady. If the fast window has clearly more
        arrivals than this average explains, its rate is used.
        """
        counts = self._counts.get(kind)
        if not counts:
            return 0.0
        bucket = int(now_s / BUCKET_S)
        _drop_before(counts, bucket - round(SLOW_WINDOW_S / BUCKET_S))
        begins = bucket - round(FAST_WINDOW_S / BUCKET_S)
        known_s = max(MIN_WINDOW_S, now_s - self._begun_s)
        # The latest bucket has just begun, so a window is up to one bucket shorter.
        missing_s = (bucket + 1) * BUCKET_S - now_s
        fast_s = min(FAST_WINDOW_S - missing_s, known_s)
        recent = sum(count for at, count in counts if at > begins)
        total = sum(count for _, count in counts)
        average = total / min(SLOW_WINDOW_S - missing_s, known_s)
        expected = average * fast_s
        if recent > expected + SURGE_DEVIATIONS * math.sqrt(max(1.0, expected)):
            return recent / fast_s
        return average


def _drop_before(counts, first):
    """Drop the counts of the buckets up to and including one."""
    while counts and counts[0][0] <= first:
        counts.popleft()
