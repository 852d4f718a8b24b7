"""Supervised tasks, and detection of stalls of the process."""

from lycheetide.tasks._guard import GuardedTasks, keep_running
from lycheetide.tasks._stall import TICK_S, StallDetector, watch_standstill

__all__ = [
    "TICK_S",
    "GuardedTasks",
    "StallDetector",
    "keep_running",
    "watch_standstill",
]
