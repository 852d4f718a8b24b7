"""Count the bytes that a node holds, by customer and caller."""

from collections import Counter
from collections.abc import Hashable


class HeldBytes:
    """Bytes held for callers: bodies of requests, and events that aren't read yet.

    Attributes
    ----------
    total : int
        Bytes held by the node.
    peak : int
        Largest total so far.

    Examples
    --------
    >>> held = HeldBytes()
    >>> held.hold("hule", 1, 300)
    >>> held.hold("hule", 2, 50)
    >>> held.release("hule", 1, 100)
    >>> held.total, held.count_caller("hule", 1), held.count_customer("hule")
    (250, 200, 250)
    """

    def __init__(self):
        self.total = 0
        self.peak = 0
        self._customers: Counter[str] = Counter()
        self._callers: Counter[tuple[str, Hashable]] = Counter()

    def hold(self, customer, caller, size):
        """Add bytes that are held for a caller."""
        self.total += size
        self.peak = max(self.peak, self.total)
        self._customers[customer] += size
        self._callers[customer, caller] += size

    def release(self, customer, caller, size=None):
        """Remove bytes held for a caller, all of them by default.

        Never more than the caller holds, so that a release that is repeated can't make
        the totals negative.
        """
        held = self._callers.get((customer, caller), 0)
        size = held if size is None else min(size, held)
        self.total -= size
        _subtract(self._customers, customer, size)
        _subtract(self._callers, (customer, caller), size)

    def count_customer(self, customer):
        """Return the bytes held for all callers of a customer."""
        return self._customers.get(customer, 0)

    def count_caller(self, customer, caller):
        """Return the bytes held for one caller."""
        return self._callers.get((customer, caller), 0)


def _subtract(counts, key, size):
    """Subtract from a count, and remove it at 0."""
    counts[key] -= size
    if counts[key] <= 0:
        del counts[key]
