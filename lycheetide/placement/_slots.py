"""Place short prompts while slots are short.

Nodes that learn of one another's placements with a delay all see the same last free
slots. More prompts are then sent there than there are slots, and the estimate for each
of them leaves out the others. All of them wait, and as long as as many arrive as end,
every later one is late as well. While fewer slots are known to be free than requests
may be on their way, a prompt is therefore placed as if these requests held slots
already, and is refused if it would be late.
"""

from bisect import bisect_right
from dataclasses import replace
from itertools import accumulate

from lycheetide.placement._estimate import estimate_prefill_s
from lycheetide.placement._pack import MAX_PACKING_BACKLOG_S, RESERVED_SLOTS
from lycheetide.placement._types import LATENESS_LOSS, Placement
from lycheetide.placement._waits import estimate_slot_wait_s, estimate_unsplit_s

SLOTS_PER_UNKNOWN_REQUEST = 2.0
"""Free slots needed for each request that may be in flight. With one each, nodes that
draw at random among them often draw the same: 37% of them would get no request."""
MAX_LEVEL_SHARE = 2
"""Largest number of requests at a replica that is considered, as a multiple of its
slots. With more of them, each waits for longer than a whole response."""


def has_enough_slots(candidates, unknown):
    """Return whether the free slots suffice for the requests that may be in flight."""
    missing = SLOTS_PER_UNKNOWN_REQUEST * unknown
    for candidate in candidates:
        # Mostly the first few replicas suffice, which keeps this check cheap.
        if missing <= 0.0:
            break
        if _is_open(candidate):
            missing -= max(0, candidate.slots - RESERVED_SLOTS - candidate.writers)
    return missing <= 0.0


def queue_prompt(engine, size, candidates, *, left_s, patience_s, unknown, draw):
    """Return the placement of a short prompt while slots are short, or None.

    Requests that may be in flight are assumed to fill the replicas to the same level.
    The replica is drawn from those below it, in proportion to what they lack.

    Parameters
    ----------
    engine : EngineProfile
        Performance model of the service's replicas.
    size : RequestSize
        Tokens of the request.
    candidates : sequence of Candidate
        Replicas that have memory for the request.
    left_s : float
        Remaining part of the target time to the first event, in seconds.
    patience_s : float
        Time after which the caller disconnects without a first event, in seconds.
    unknown : float
        Estimated number of requests in flight that the candidates' load doesn't
        include.
    draw : float
        Random number, at least 0 and less than 1.

    Returns
    -------
    Placement or None
        None if no replica is free of long prompts, or all are beyond the largest
        level.
    """
    open_replicas = [candidate for candidate in candidates if _is_open(candidate)]
    level = _find_level(
        engine, open_replicas, max(1.0, SLOTS_PER_UNKNOWN_REQUEST * unknown)
    )
    cumulative = list(
        accumulate(max(0, level - replica.writers) for replica in open_replicas)
    )
    if not cumulative or cumulative[-1] == 0:
        return None
    first = open_replicas[bisect_right(cumulative, draw * cumulative[-1])]
    filled = replace(first, writers=max(first.writers, level - 1))
    expected_s = estimate_unsplit_s(engine, filled, size)
    worth = size.weight * (1.0 - LATENESS_LOSS * (expected_s > left_s))
    return Placement(
        first,
        (),
        expected_s=expected_s,
        part_prefill_s=estimate_prefill_s(engine, size.prompt_tokens),
        prefill_wait_s=first.backlog_s + estimate_slot_wait_s(engine, filled, size),
        # The slot that it takes makes another short prompt late.
        harm=LATENESS_LOSS * size.weight,
        worth=worth if expected_s < patience_s else 0.0,
    )


def _find_level(engine, replicas, needed):
    """Return the number of requests per replica at which the needed ones fit."""
    highest = MAX_LEVEL_SHARE * engine.slots
    levels = range(engine.slots, highest)
    return next(
        (
            level
            for level in levels
            if _count_free(level - replica.writers for replica in replicas) >= needed
        ),
        highest,
    )


def _count_free(differences):
    """Return the sum of the positive differences."""
    return sum(difference for difference in differences if difference > 0)


def _is_open(candidate):
    """Return whether a replica is free of long prompts and can be trusted."""
    return candidate.backlog_s <= MAX_PACKING_BACKLOG_S and not (
        candidate.is_recovering or candidate.is_cold
    )
