"""Limit the bytes of answers that a node holds, those that never end among them."""

from collections.abc import Hashable

ANSWER_SHARE = 0.15
"""Share of a process's memory for the answers that it holds. Joining an answer, and
writing it to its caller, take the same once more for a moment."""
DEFAULT_LIMIT_BYTES = 64_000_000
"""Limit if the memory that the process may use is unknown."""


def compute_answer_limit_bytes(memory_mb):
    """Return how many bytes of answers a process may hold.

    Examples
    --------
    >>> compute_answer_limit_bytes(300.0)
    45000000
    >>> compute_answer_limit_bytes(0.0)
    64000000
    """
    if memory_mb <= 0:
        return DEFAULT_LIMIT_BYTES
    return int(ANSWER_SHARE * memory_mb * 1e6)


class AnswerBudget:
    """Bytes of the answers that a node holds, read in part or whole.

    An answer without end can't be told from a long one until all answers together need
    too much. The longest of those that are still being read is given up then: it is the
    one without end, or the one whose loss helps most.

    Parameters
    ----------
    limit_bytes : int
        Largest number of bytes for all answers together.

    Attributes
    ----------
    total : int
        Bytes held.

    Examples
    --------
    >>> budget = AnswerBudget(100)
    >>> budget.add("a", 60), budget.add("b", 30), budget.add("b", 20)
    (None, None, 'a')
    """

    def __init__(self, limit_bytes):
        self.limit_bytes = limit_bytes
        self.total = 0
        self._reading: dict[Hashable, int] = {}
        self._whole: dict[Hashable, int] = {}

    def add(self, key, size):
        """Count bytes that were read of an answer.

        Returns
        -------
        hashable or None
            Key of the answer to give up, if all together need too much.
        """
        self._reading[key] = self._reading.get(key, 0) + size
        self.total += size
        if self.total <= self.limit_bytes:
            return None
        return max(self._reading, key=lambda one: self._reading[one])

    def finish(self, key):
        """Count an answer as whole: it is held until its caller has it."""
        self._whole[key] = self._whole.get(key, 0) + self._reading.pop(key, 0)

    def drop(self, key):
        """Stop counting what was read of an answer that isn't whole."""
        self.total -= self._reading.pop(key, 0)

    def release(self, key):
        """Stop counting all answers with a key."""
        self.drop(key)
        self.total -= self._whole.pop(key, 0)
