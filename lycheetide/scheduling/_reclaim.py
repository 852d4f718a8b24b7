"""Find memory at an engine that nobody owns any more.

Cancel and release calls are lost, or answered too late, and entry nodes die. If
freeing memory rested on those calls alone, an engine would fill up with the remains
of dead requests, and operators would see its free memory shrink from day to day. So
the owner compares, again and again, what the engine says it holds with the requests
that are alive, and releases the rest after a grace.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class HeldMemory:
    """One reservation or running request, as the engine lists it."""

    holding_id: str
    request_id: str
    tokens: int
    age_s: float


def find_orphans(holdings, alive_request_ids, first_seen, *, now_s, grace_s):
    """Return what to release now, and what to keep an eye on.

    Parameters
    ----------
    holdings : iterable of HeldMemory
        What the engine holds.
    alive_request_ids : set of str
        The requests that hold a permit.
    first_seen : mapping of str to float
        For each holding without an owner, when that was first seen.
    now_s, grace_s : float
        The present time, and how long a holding may be without an owner: a permit
        may be on its way from an earlier owner.

    Returns
    -------
    orphans : list of HeldMemory
        To be released.
    first_seen : dict of str to float
        For the next call; what is held no longer is forgotten.
    """
    seen = {}
    orphans = []
    for holding in holdings:
        if holding.request_id in alive_request_ids:
            continue
        since_s = first_seen.get(holding.holding_id, now_s)
        seen[holding.holding_id] = since_s
        if now_s - since_s >= grace_s:
            orphans.append(holding)
    return orphans, seen
