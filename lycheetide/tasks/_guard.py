"""Supervision of tasks, so that an error in one does not end the whole node."""

import anyio

from lycheetide.metrics import get_logger

RESTART_S = 0.5

log = get_logger("node")


async def keep_running(node, part, *args):
    """Run a background task of a node for ever, restarting it after errors.

    Without a restart, an unforeseen answer of one upstream would end the task group and
    with it every request of the node, and callers would see their streams cut.

    Parameters
    ----------
    node : NodeState
        State of the node, passed to ``part``.
    part : callable
        A coroutine function that never returns. Its name is part of a metric name.
    *args : object
        Further arguments for ``part``.
    """
    while True:
        try:
            await part(node, *args)
        except Exception:
            name = part.__name__
            log.exception(
                "A background task has failed; it is restarted.", extra={"part": name}
            )
            node.counters.add(f"node.part_failed.{name}")
        await anyio.sleep(RESTART_S)


class GuardedTasks:
    """Task group in which an error of a task is logged and does not end the group.

    Parameters
    ----------
    group : anyio.abc.TaskGroup
        Task group that runs the tasks.
    counters : Counters
        Metrics in which errors are counted.
    """

    def __init__(self, group, counters):
        self.group = group
        self.counters = counters

    def start_soon(self, function, *args):
        """Start a task; the function's name is part of a metric name."""
        self.group.start_soon(self._run, function, args)

    async def _run(self, function, args):
        """Run a task and log the error that ends it, if any."""
        try:
            await function(*args)
        except Exception:
            name = function.__name__
            log.exception("A task has failed.", extra={"task": name})
            self.counters.add(f"node.task_failed.{name}")
