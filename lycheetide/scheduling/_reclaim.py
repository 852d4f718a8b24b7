"""Detection of engine memory that belongs to no active request.

Cancel and release calls can be lost or answered too late, and entry nodes can crash. If
memory were freed by these calls alone, an engine would accumulate the memory of ended
requests, and its free memory would shrink from day to day. So the owner of a cell
periodically compares what the engine holds with the active requests, and releases the
rest after a grace period.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class HeldMemory:
    """A memory reservation or a running request, as listed by the engine."""

    holding_id: str
    request_id: str
    tokens: int
    age_s: float


def find_orphans(holdings, active_request_ids, first_seen, *, now_s, grace_s):
    """Return the orphaned holdings to release now and those still in their grace.

    Parameters
    ----------
    holdings : iterable of HeldMemory
        What the engine holds.
    active_request_ids : set of str
        Ids of the requests that have a permit.
    first_seen : mapping of str to float
        For each orphaned holding, when it was first seen as orphaned.
    now_s, grace_s : float
        The present time, and how long a holding may be orphaned before it is
        released: its permit may still be on the way from an earlier owner.

    Returns
    -------
    orphans : list of HeldMemory
        The holdings to release.
    first_seen : dict of str to float
        To be passed to the next call; without the holdings that are no longer
        orphaned or no longer held.
    """
    still_orphaned = {}
    orphans = []
    for holding in holdings:
        if holding.request_id in active_request_ids:
            continue
        since_s = first_seen.get(holding.holding_id, now_s)
        still_orphaned[holding.holding_id] = since_s
        if now_s - since_s >= grace_s:
            orphans.append(holding)
    return orphans, still_orphaned
