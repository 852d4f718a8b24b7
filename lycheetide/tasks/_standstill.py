"""Notice that this process stood still: frozen, starved, or busy within one step.

What it knows grew old meanwhile, through no fault of the others, and what it was told
lies unread. Without a line on it, a late answer can't be told from a lost one.
"""

import time

import anyio

from lycheetide.metrics import get_log

TICK_S = 0.1
STILL_S = 0.4
"""A loop that turns so late stood still; a choice of a place takes hundredths."""

log = get_log("node")


class Standstill:
    """When this process last stood still, as its own loop tells."""

    def __init__(self):
        self._ticked_s = None
        self._ended_s = float("-inf")

    def tick(self, *, now_s):
        """Note a turn of the loop; return how long it stood still before, or 0."""
        since_s = now_s if self._ticked_s is None else self._ticked_s
        self._ticked_s = now_s
        stood_s = now_s - since_s - TICK_S
        if stood_s < STILL_S:
            return 0.0
        self._ended_s = now_s
        return stood_s

    def is_just_over(self, *, now_s, within_s):
        """Tell whether one ended lately, or ends now and wasn't noted yet."""
        if self._ticked_s is not None and now_s - self._ticked_s > STILL_S + TICK_S:
            return True
        return now_s - self._ended_s < within_s


async def watch_standstill(node):
    """Note each standstill of a node's process, for ever."""
    while True:
        stood_s = node.standstill.tick(now_s=time.monotonic())
        if stood_s:
            node.counters.add("node.stood_still")
            log.info("The process stood still.", extra={"for_ms": round(stood_s * 1e3)})
        await anyio.sleep(TICK_S)
