"""Find out whether requests were refused although capacity came in time."""

import anyio

from lycheetide.relay._admission import list_ahead
from lycheetide.relay._selection import (
    find_placement,
    is_worthwhile,
    list_candidates,
)
from lycheetide.relay._state import read_clock

CHECK_INTERVAL_S = 0.25
"""Interval of the checks; the shortest targets are about as long."""
MAX_CHECKS = 4
"""Refused requests that are checked in one turn. A placement takes up to a millisecond
to compute, so the checks take less than 2% of a processor."""


async def watch_refusals(relay):
    """Check the refused requests of this node, forever."""
    while True:
        await anyio.sleep(CHECK_INTERVAL_S)
        for _ in range(min(MAX_CHECKS, len(relay.admission.watched))):
            check_refusal(relay, now_s=read_clock())


def check_refusal(relay, *, now_s):
    """Check the request that was refused first, and keep it if nothing is decided.

    Capacity came in time if a replica would take the request at its turn and have its
    first event ready when it is due.
    """
    call, waiting = relay.admission.watched.popleft()
    if now_s >= waiting.due_s:
        return
    candidates, _ = list_candidates(relay, call)
    placement = find_placement(relay, call, candidates, now_s=now_s)
    is_in_time = (
        is_worthwhile(call, placement)
        and now_s + placement.expected_s <= waiting.due_s
        and not list_ahead(relay, waiting, now_s=now_s)
    )
    if is_in_time:
        relay.counters.add("admission.refused_but_capacity_came")
        return
    relay.admission.watched.append((call, waiting))
