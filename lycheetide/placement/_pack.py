"""Pack short prompts onto few replicas.

Many writing requests on one replica hardly slow one another. Spread evenly they would
stand wherever a long prompt is to be read, and be disturbed by each.
"""

from bisect import bisect_right

from lycheetide.placement._estimate import read_s
from lycheetide.placement._queue import expect_alone_s, slot_wait_s
from lycheetide.placement._types import Placement

SHORT_READ_S = 0.06
"""Prompts that are read within this time count as short."""
SHORT_WRITERS_MOST = 8
"""Requests that are packed onto one replica before the next one is used."""
SLOTS_KEPT = 1
"""Slots that packing leaves free, since what others send is known a little late."""
SHORT_BACKLOG_S = 0.02
"""Reading ahead of a short prompt up to which packing goes on: less than one more."""
PLACES_PER_UNKNOWN = 4.0
"""Free places that are enough for one request that may be on its way: of those that
choose one of four at random, few meet."""
BEGINNING_SHARE = 0.02
"""Part of the nodes that may have sent a request which no rate shows yet, as when all
callers come back at once."""


def count_unknown(starts_per_s, told_s, nodes):
    """Return how many requests may be on their way that a node doesn't know of.

    Parameters
    ----------
    starts_per_s : float
        Requests that all nodes send to the service.
    told_s : float
        How late a node knows of another one's.
    nodes : int
        How many nodes send.

    Examples
    --------
    >>> count_unknown(60.0, 0.003, 9), count_unknown(160.0, 0.1, 195)
    (0.36, 19.9)
    """
    return starts_per_s * told_s + BEGINNING_SHARE * nodes


def pack_prompt(engine, size, candidates, *, unknown=0.0, draw=0.0):
    """Return the placement of a short prompt.

    Nodes that choose by the same late news all find the same replica the best, and fill
    it beyond its slots. So each takes a place at random, among as many as are enough
    for all that may be on its way; with none of that the first one.

    Parameters
    ----------
    engine : Engine
        The service's figures.
    size : Size
        The prompt.
    candidates : sequence of Candidate
        Replicas that have the memory for it.
    unknown : float
        Requests that may be on their way and aren't counted in the candidates.
    draw : float
        A random number, from 0 up to 1.
    """
    roomy = [one for one in candidates if _has_room(one)]
    if roomy:
        roomy.sort(key=lambda one: one.rank)
        first = _draw_place(roomy, PLACES_PER_UNKNOWN * unknown, draw)
    else:
        first = min(candidates, key=lambda one: expect_alone_s(engine, one, size))
    return Placement(
        first,
        (),
        expected_s=expect_alone_s(engine, first, size),
        part_read_s=read_s(engine, size.prompt_tokens),
        waits_s=first.backlog_s + slot_wait_s(engine, first, size),
    )


def _draw_place(roomy, wanted, draw):
    """Return the replica of one of the first free places, at random.

    Parameters
    ----------
    roomy : list of Candidate
        Replicas with room, in the order in which they are filled.
    wanted : float
        How many places are enough.
    draw : float
        A random number, from 0 up to 1.
    """
    fills: list[int] = []
    for one in roomy:
        fills.append((fills[-1] if fills else 0) + _count_places(one))
        if fills[-1] >= wanted:
            break
    return roomy[bisect_right(fills, draw * fills[-1])]


def _count_places(candidate):
    """Return how many more short prompts may be packed onto a replica."""
    most = min(SHORT_WRITERS_MOST, candidate.slots - SLOTS_KEPT)
    return most - candidate.writers


def _has_room(candidate):
    """Tell whether a short prompt may be packed onto a replica."""
    return (
        _count_places(candidate) > 0
        and candidate.backlog_s <= SHORT_BACKLOG_S
        and not (candidate.is_recovering or candidate.is_cold)
    )
