"""Tasks whose faults don't end the process."""

from lycheetide.tasks._guard import GuardedTasks, keep_running

__all__ = ["GuardedTasks", "keep_running"]
