"""Keep one part's fault from ending the whole node."""

import anyio

from lycheetide.metrics import get_log

RESTART_S = 0.5

log = get_log("node")


async def keep_running(node, part, *args):
    """Run a part for ever; after an error it is started again.

    Without this an unforeseen answer from one upstream would end the task group, and
    with it every request of the node; callers would see their streams cut.

    Parameters
    ----------
    node : NodeState
        Passed to the part.
    part : callable
        A coroutine function that never returns.
    *args : object
        Passed on as well.
    """
    while True:
        try:
            await part(node, *args)
        except Exception:
            name = part.__name__
            log.exception("A part has failed; it starts again.", extra={"part": name})
            node.counters.add(f"node.part_failed.{name}")
        await anyio.sleep(RESTART_S)


class GuardedTasks:
    """A task group whose tasks log their errors instead of ending it.

    Parameters
    ----------
    group : anyio.abc.TaskGroup
        Where they run.
    counters : Counters
        Count the errors.
    """

    def __init__(self, group, counters):
        self.group = group
        self.counters = counters

    def start_soon(self, function, *args):
        """Start a task."""
        self.group.start_soon(self._run, function, args)

    async def _run(self, function, args):
        """Run a task and log its error."""
        try:
            await function(*args)
        except Exception:
            name = function.__name__
            log.exception("A task has failed.", extra={"task": name})
            self.counters.add(f"node.task_failed.{name}")
