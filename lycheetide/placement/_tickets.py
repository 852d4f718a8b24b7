"""Share the memory of a prompt that is too large for one replica."""

from collections.abc import Sequence

from lycheetide.placement._types import Candidate, MemoryShare

LARGEST_SHARE = 0.6
"""Part of a replica's memory that one prompt may take, so that short work has room."""
OWN_SHARE = 0.45
"""Part of its memory that the first replica keeps of the prompt; it also writes."""


def needs_sharing(engine, tokens):
    """Tell whether a request takes more of one replica's memory than it should."""
    return tokens > LARGEST_SHARE * engine.kv_tokens


def count_room(engine, candidates: Sequence[Candidate]):
    """Return how many tokens of prompts replicas together may set aside."""
    return sum(
        max(0, int(LARGEST_SHARE * (engine.kv_tokens - one.kv_tokens)))
        for one in candidates
    )


def share_memory(engine, tokens, candidates: Sequence[Candidate]):
    """Return which replicas set how much memory aside.

    The emptiest come first, and those with little to read before others, since each
    also reads a part of the prompt.

    Parameters
    ----------
    engine : Engine
        The service's figures.
    tokens : int
        Prompt and answer.
    candidates : sequence of Candidate
        Replicas that may take part.

    Returns
    -------
    first : Candidate or None
        Gets the request and keeps the rest of its memory; None where the replicas
        together don't have the room.
    shares : tuple of MemoryShare
        The others.
    """
    order = sorted(
        candidates, key=lambda one: (one.kv_tokens, one.backlog_s, -one.rank)
    )
    if not order:
        return None, ()
    first, *others = order
    room = engine.kv_tokens - first.kv_tokens
    left = tokens - int(min(OWN_SHARE * engine.kv_tokens, 0.8 * room))
    shares = []
    for other in others:
        if left <= 0:
            break
        room = LARGEST_SHARE * (engine.kv_tokens - other.kv_tokens)
        part = int(min(left, room))
        shares.append(MemoryShare(other, part))
        left -= part
    if left > 0:
        return None, ()
    return first, tuple(shares)
