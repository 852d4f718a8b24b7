"""Tasks whose faults don't end the process."""

from lycheetide.tasks._guard import GuardedTasks, keep_running
from lycheetide.tasks._standstill import Standstill, watch_standstill

__all__ = ["GuardedTasks", "Standstill", "keep_running", "watch_standstill"]
