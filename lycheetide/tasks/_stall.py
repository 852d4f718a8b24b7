"""Detect stalls of this process: suspended, short of CPU, or blocking its event loop.

During a stall the process's knowledge of others becomes old through no fault of theirs,
and what they sent meanwhile is still unread. Without a log line about it, answers that
came late can't be told from lost ones.
"""

import time

import anyio

from lycheetide.metrics import get_logger

TICK_S = 0.1
STALL_MIN_S = 0.4
"""A tick of the event loop that is this late counts as a stall. Choosing a replica also
blocks the loop, for hundredths of a second."""
LATE_TICK_S = 0.15
"""An overload begins with a tick that is this late. A process with a small share of a
core may pause for 0.1 s at a time."""
PROMPT_TICK_S = 0.05
"""An overload ends with a tick that is less late than this."""

log = get_logger("node")


class StallDetector:
    """Detects when this process last stalled, from the ticks of its event loop."""

    def __init__(self):
        self._last_tick_s = None
        self._ended_s = float("-inf")
        self._overloaded_since_s = None

    def tick(self, *, now_s):
        """Record a tick; return the length of the stall that it ends, or 0."""
        since_s = now_s if self._last_tick_s is None else self._last_tick_s
        self._last_tick_s = now_s
        stalled_s = now_s - since_s - TICK_S
        if stalled_s < PROMPT_TICK_S:
            self._overloaded_since_s = None
        elif stalled_s >= LATE_TICK_S and self._overloaded_since_s is None:
            self._overloaded_since_s = since_s
        if stalled_s < STALL_MIN_S:
            return 0.0
        self._ended_s = now_s
        return stalled_s

    def overloaded_since_s(self, *, now_s):
        """Return since when the process gets more work than it can do, or None.

        Each turn of the event loop then takes long. A process that was suspended is
        taken for overloaded until its next tick. The overload began at the last tick
        before the first late one.
        """
        if self._overloaded_since_s is not None or self._last_tick_s is None:
            return self._overloaded_since_s
        is_overdue = now_s - self._last_tick_s - TICK_S >= LATE_TICK_S
        return self._last_tick_s if is_overdue else None

    def has_stalled(self, *, now_s, within_s):
        """Return whether a stall ended recently, or ends now and has no tick yet."""
        if (
            self._last_tick_s is not None
            and now_s - self._last_tick_s > STALL_MIN_S + TICK_S
        ):
            return True
        return now_s - self._ended_s < within_s


async def watch_standstill(node):
    """Log and count the stalls of a node's process; never returns."""
    while True:
        stalled_s = node.stall_detector.tick(now_s=time.monotonic())
        if stalled_s:
            node.counters.add("node.stood_still")
            log.info(
                "The process stood still.", extra={"for_ms": round(stalled_s * 1e3)}
            )
        await anyio.sleep(TICK_S)
