"""Queue of the requests that wait for memory of several replicas, shared by all nodes.

A request that starts to wait gets a number above all that its node knows of, as in a
Lamport clock. So requests that have waited longer come first on all nodes, whatever
their clocks say; ties are broken by the names of the node and the job. A waiting
request holds no memory, and an entry that isn't renewed soon expires.
"""

from dataclasses import dataclass

ENTRY_LIFETIME_S = 1.2
"""Lifetime of an entry that isn't renewed; three renewals may be lost."""


@dataclass(frozen=True)
class WaitingRequest:
    """A request that waits for memory.

    Parameters
    ----------
    number : int
        Its number in the queue; lower ones come first.
    node, job : str
        Node that the request waits at, and the id of the entry within that node.
    tokens : int
        Size of the KV cache that it needs, in tokens.
    """

    number: int
    node: str
    job: str
    tokens: int

    @property
    def order(self):
        """Sort key of the queue, the same on all nodes."""
        return self.number, self.node, self.job


class MemoryQueue:
    """All requests that wait for memory, as far as this node knows."""

    def __init__(self):
        self._waiting: dict[tuple[str, str], tuple[WaitingRequest, float]] = {}
        self._last = 0

    def next_number(self):
        """Return the number for a request that starts to wait."""
        return self._last + 1

    def note(self, waiting, *, now_s):
        """Add a waiting request, or renew its entry."""
        self._last = max(self._last, waiting.number)
        self._waiting[waiting.node, waiting.job] = (waiting, now_s)

    def drop(self, node, job):
        """Remove a request that no longer waits."""
        self._waiting.pop((node, job), None)

    def list_ahead(self, waiting, *, now_s):
        """Return the requests ahead of one, or all for a request that has no entry.

        Parameters
        ----------
        waiting : WaitingRequest or None
            The request; None where it has not started to wait.
        now_s : float
            Current time.
        """
        for key, (_, at_s) in list(self._waiting.items()):
            if now_s - at_s > ENTRY_LIFETIME_S:
                del self._waiting[key]
        queued = [waiter for waiter, _ in self._waiting.values()]
        if waiting is None:
            return queued
        return [waiter for waiter in queued if waiter.order < waiting.order]
