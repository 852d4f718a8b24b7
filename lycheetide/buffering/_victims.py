"""Choose the stream that is aborted when memory is short."""

from collections import Counter
from collections.abc import Hashable
from dataclasses import dataclass

CUSTOMER_SHARE = 0.25
"""Largest share of the node's limit that the responses held for one customer may take.
Above it, this customer's slowest reader is aborted before others are affected."""


@dataclass(frozen=True)
class SlowReader:
    """A caller for which a node holds a part of its response.

    Parameters
    ----------
    caller : hashable
        Identifies the caller's request.
    customer : str
        Name of its customer.
    held_bytes : int
        Bytes of its response that are held.
    behind_s : float
        How long the oldest of them have been held.
    is_complete : bool
        Whether its response has been received completely from the replica.
    """

    caller: Hashable
    customer: str
    held_bytes: int
    behind_s: float
    is_complete: bool = False


def choose_victim(readers):
    """Return the caller whose stream is aborted, or None if nothing is held.

    This is the slowest reader of the customer with the most bytes held. A complete
    response is chosen only if no other is left: its work is done, and it frees its
    memory as soon as it is read.

    Parameters
    ----------
    readers : iterable of SlowReader
        All callers for which bytes may be held.
    """
    holding = [reader for reader in readers if reader.held_bytes > 0]
    holding = [reader for reader in holding if not reader.is_complete] or holding
    if not holding:
        return None
    totals: Counter[str] = Counter()
    for reader in holding:
        totals[reader.customer] += reader.held_bytes
    # The name decides between equal totals, so that the result doesn't depend on the
    # order of the streams.
    customer = max(totals, key=lambda name: (totals[name], name))
    slowest = max(
        (reader for reader in holding if reader.customer == customer),
        key=lambda reader: (reader.behind_s, reader.held_bytes),
    )
    return slowest.caller


def is_above_bound(held_bytes, limit_bytes):
    """Tell whether the responses held for a customer take more than its share."""
    return 0 < limit_bytes * CUSTOMER_SHARE < held_bytes
