"""Pack short prompts onto few replicas.

Many writing requests on one replica hardly slow one another. Spread evenly they would
stand wherever a long prompt is to be read, and be disturbed by each.
"""

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


def count_among(starts_per_s, told_s):
    """Return among how many replicas nodes should spread what they pack.

    Parameters
    ----------
    starts_per_s : float
        Requests that all nodes send to the service.
    told_s : float
        How late a node knows of another one's.

    Returns
    -------
    int
        One more than the requests that a node doesn't know of yet. With fewer, nodes
        that choose at the same moment all take the first replica that has room, and
        fill it beyond its slots.

    Examples
    --------
    >>> count_among(60.0, 0.003), count_among(90.0, 0.045)
    (1, 5)
    """
    return 1 + round(starts_per_s * told_s)


def pack_prompt(engine, size, candidates, *, among=1, draw=0.0):
    """Return the placement of a short prompt.

    Parameters
    ----------
    engine : Engine
        The service's figures.
    size : Size
        The prompt.
    candidates : sequence of Candidate
        Replicas that have the memory for it.
    among : int
        Among how many replicas with room it is packed at random.
    draw : float
        That random number, from 0 up to 1.
    """
    roomy = [one for one in candidates if _has_room(one)]
    if roomy:
        roomy.sort(key=lambda one: one.rank)
        first = roomy[int(draw * min(among, len(roomy)))]
    else:
        first = min(candidates, key=lambda one: expect_alone_s(engine, one, size))
    return Placement(
        first,
        (),
        expected_s=expect_alone_s(engine, first, size),
        part_read_s=read_s(engine, size.prompt_tokens),
        waits_s=first.backlog_s + slot_wait_s(engine, first, size),
    )


def _has_room(candidate):
    """Tell whether a short prompt may be packed onto a replica."""
    return (
        candidate.writers < min(SHORT_WRITERS_MOST, candidate.slots - SLOTS_KEPT)
        and candidate.backlog_s <= SHORT_BACKLOG_S
        and not (candidate.is_recovering or candidate.is_cold)
    )
