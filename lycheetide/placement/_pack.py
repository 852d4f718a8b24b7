"""Pack short prompts onto few replicas.

Decoding requests of one replica hardly slow one another, so many of them can share it.
If they were spread evenly, every replica would have some, and the prefill of each long
prompt would delay them wherever it ran.
"""

from bisect import bisect_right

from lycheetide.placement._estimate import estimate_prefill_s
from lycheetide.placement._types import Placement
from lycheetide.placement._waits import estimate_slot_wait_s, estimate_unsplit_s

SHORT_PREFILL_S = 0.06
"""Longest prefill time of a prompt that counts as short."""
MAX_PACKED_REQUESTS = 8
"""Number of requests that are packed onto one replica before the next one is used."""
RESERVED_SLOTS = 1
"""Slots of each replica that packing leaves free, because the requests that other nodes
send become known with a delay."""
MAX_PACKING_BACKLOG_S = 0.02
"""Largest prefill backlog of a replica that short prompts are packed onto: less than
the prefill of one short prompt."""
SLOTS_PER_UNKNOWN_REQUEST = 4.0
"""Free slots to choose from at random for each request that may be in flight. Among
four slots, few requests choose the same one."""
MAX_PACKING_PACE = 1.5
"""Largest pace of a replica that short prompts are packed onto, relative to the fastest
one. At a slower one, an answer takes so long that its pauses are noticed."""
BURST_NODE_SHARE = 0.02
"""Fraction of the nodes that may have sent a request that the measured rate doesn't
include yet, for example when all callers reconnect at once."""


def estimate_unknown_requests(starts_per_s, propagation_delay_s, nodes):
    """Return the estimated number of requests in flight that a node doesn't know of.

    Parameters
    ----------
    starts_per_s : float
        Requests per second that all nodes together send to the service.
    propagation_delay_s : float
        Time until a node learns of a request that another node sent, in seconds.
    nodes : int
        Number of nodes that send requests.

    Returns
    -------
    float

    Examples
    --------
    >>> estimate_unknown_requests(60.0, 0.003, 9)
    0.36
    >>> estimate_unknown_requests(160.0, 0.1, 195)
    19.9
    """
    return starts_per_s * propagation_delay_s + BURST_NODE_SHARE * nodes


def pack_prompt(engine, size, candidates, *, unknown=0.0, draw=0.0):
    """Return the placement of a short prompt.

    Nodes that choose by the same outdated load would all find the same replica the
    best one, and send it more requests than it has slots. Each node therefore chooses
    a free slot at random. The number of slots to choose from grows with the number of
    requests that may be in flight; if that is 0, the first free slot is taken.

    Parameters
    ----------
    engine : EngineProfile
        Performance model of the service's replicas.
    size : RequestSize
        Tokens of the request.
    candidates : sequence of Candidate
        Replicas that have memory for the request.
    unknown : float, default=0.0
        Estimated number of requests in flight that the candidates' load doesn't
        include.
    draw : float, default=0.0
        Random number, at least 0 and less than 1.

    Returns
    -------
    Placement
        If no short prompt may be packed onto any replica, the one with the earliest
        expected first event.
    """
    max_pace = MAX_PACKING_PACE * min(replica.pace for replica in candidates)
    available = [
        replica
        for replica in candidates
        if _has_room(replica) and replica.pace <= max_pace
    ]
    if available:
        available.sort(key=lambda replica: replica.rank)
        first = _draw_replica(available, SLOTS_PER_UNKNOWN_REQUEST * unknown, draw)
    else:
        first = min(
            candidates, key=lambda replica: estimate_unsplit_s(engine, replica, size)
        )
    return Placement(
        first,
        (),
        expected_s=estimate_unsplit_s(engine, first, size),
        part_prefill_s=estimate_prefill_s(engine, size.prompt_tokens),
        prefill_wait_s=first.backlog_s + estimate_slot_wait_s(engine, first, size),
    )


def _draw_replica(available, slots_needed, draw):
    """Return the replica of a random one of the first free slots.

    Parameters
    ----------
    available : list of Candidate
        Replicas with free slots, in the order in which they are filled.
    slots_needed : float
        Number of free slots to choose from. Replicas are added until it is reached.
    draw : float
        Random number, at least 0 and less than 1.
    """
    cumulative_slots: list[int] = []
    for replica in available:
        cumulative_slots.append(
            (cumulative_slots[-1] if cumulative_slots else 0)
            + _count_free_slots(replica)
        )
        if cumulative_slots[-1] >= slots_needed:
            break
    return available[bisect_right(cumulative_slots, draw * cumulative_slots[-1])]


def _count_free_slots(candidate):
    """Return the number of slots of a replica that are left for packing."""
    limit = min(MAX_PACKED_REQUESTS, candidate.slots - RESERVED_SLOTS)
    return limit - candidate.writers


def _has_room(candidate):
    """Return whether a short prompt may be packed onto a replica."""
    return (
        _count_free_slots(candidate) > 0
        and candidate.backlog_s <= MAX_PACKING_BACKLOG_S
        and not (candidate.is_recovering or candidate.is_cold)
    )
