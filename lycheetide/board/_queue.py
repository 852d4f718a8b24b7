"""Who waits for memory of several replicas, in an order that all nodes agree on.

Whoever begins to wait takes a number above all that it knows of, so those that wait
longer come first everywhere, whatever clocks say; of two with one number the name
decides. Nothing is held while waiting: an entry that isn't renewed is soon forgotten.
"""

from dataclasses import dataclass

KEPT_S = 1.2
"""How long an entry counts without being renewed; three renewals may be lost."""


@dataclass(frozen=True)
class Waiting:
    """A request that waits for memory.

    Parameters
    ----------
    number : int
        Its place in the order.
    node, job : str
        Whose it is, and its name there.
    tokens : int
        What it wants.
    """

    number: int
    node: str
    job: str
    tokens: int

    @property
    def order(self):
        """Orders all that wait; the same at all nodes."""
        return self.number, self.node, self.job


class MemoryQueue:
    """All that wait for memory, as far as this node knows."""

    def __init__(self):
        self._waiting: dict[tuple[str, str], tuple[Waiting, float]] = {}
        self._last = 0

    def take_number(self):
        """Return the number of a request that begins to wait."""
        return self._last + 1

    def note(self, waiting, *, now_s):
        """Note that a request waits, or goes on to."""
        self._last = max(self._last, waiting.number)
        self._waiting[waiting.node, waiting.job] = (waiting, now_s)

    def drop(self, node, job):
        """Note that a request waits no longer."""
        self._waiting.pop((node, job), None)

    def list_ahead(self, waiting, *, now_s):
        """Return those that come before a request, or all for one without a number.

        Parameters
        ----------
        waiting : Waiting or None
            The request.
        now_s : float
            The present time.
        """
        for key, (_, at_s) in list(self._waiting.items()):
            if now_s - at_s > KEPT_S:
                del self._waiting[key]
        everyone = [one for one, _ in self._waiting.values()]
        if waiting is None:
            return everyone
        return [one for one in everyone if one.order < waiting.order]
