"""Find out how near a node is to the limit of its memory."""

from enum import IntEnum

HYSTERESIS_SHARE = 0.05
"""Share of the limit by which the use of memory must fall below the threshold of a
stage before the stage ends. Otherwise a node at a threshold would be taken in and out
of rotation with each body that it receives."""
RESIDENT_INTERVAL_S = 0.25
"""Shortest time between two readings of the process's resident size. In this time a
link of 100 Mbit/s delivers 3 MB, less than 2% of the smallest host's memory."""
LONG_BODY_BYTES = 65_536
"""Bodies longer than this count as long: prompts of more than about 16,000 tokens. One
of them takes as much memory as ten or more short requests."""


class MemoryStage(IntEnum):
    """How near a node is to the limit of its memory, and what it does about it."""

    NORMAL = 0
    NO_LONG_BODIES = 1
    NO_REQUESTS = 2
    ABORT_SLOWEST = 3


THRESHOLDS = {
    MemoryStage.NO_LONG_BODIES: 0.7,
    MemoryStage.NO_REQUESTS: 0.8,
    MemoryStage.ABORT_SLOWEST: 0.9,
}
"""Share of the limit at which each stage begins."""


def find_memory_stage(
    held_bytes, used_bytes, limit_bytes, *, previous=MemoryStage.NORMAL
):
    """Return the stage of a node.

    Parameters
    ----------
    held_bytes : int
        Bytes held for callers.
    used_bytes : int
        Memory that the process uses, with these bytes; 0 if unknown.
    limit_bytes : int
        Memory that it may use; 0 for no limit.
    previous : MemoryStage
        The stage until now.

    Examples
    --------
    >>> find_memory_stage(0, 72, 100).name
    'NO_LONG_BODIES'
    >>> find_memory_stage(0, 77, 100, previous=MemoryStage.NO_REQUESTS).name
    'NO_REQUESTS'
    """
    if limit_bytes <= 0:
        return MemoryStage.NORMAL
    share = max(held_bytes, used_bytes) / limit_bytes
    reached = [
        stage
        for stage, threshold in THRESHOLDS.items()
        if share >= threshold - (HYSTERESIS_SHARE if stage <= previous else 0.0)
    ]
    return max(reached, default=MemoryStage.NORMAL)


def accepts_body(stage, size):
    """Tell whether a node in a stage accepts a body of at least ``size`` bytes."""
    return stage is MemoryStage.NORMAL or size <= LONG_BODY_BYTES


class MemoryGauge:
    """Estimates the memory that the process uses, between readings of its size.

    Parameters
    ----------
    read_resident_bytes : callable
        Returns the resident size of the process; None if it isn't known.
    """

    def __init__(self, read_resident_bytes):
        self._read_resident_bytes = read_resident_bytes
        self._resident_bytes = None
        self._held_bytes = 0
        self._read_s = float("-inf")

    def reset(self):
        """Have the next estimate read the size again."""
        self._read_s = float("-inf")

    def estimate(self, held_bytes, *, now_s):
        """Return the memory in use: the last reading and what was held since.

        Bytes released since count as free at once, although the allocator may keep
        their pages. Otherwise one shortage would abort a stream per call until the next
        reading.
        """
        if now_s - self._read_s >= RESIDENT_INTERVAL_S:
            self._read_s = now_s
            self._resident_bytes = self._read_resident_bytes()
            self._held_bytes = held_bytes
        if self._resident_bytes is None:
            return held_bytes
        return max(held_bytes, self._resident_bytes + held_bytes - self._held_bytes)
