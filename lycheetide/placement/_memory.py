"""Distribute the KV cache of a prompt that is too large for one replica."""

from collections.abc import Sequence

from lycheetide.placement._replica_memory import count_free_tokens
from lycheetide.placement._types import Candidate, MemoryShare

MAX_MEMORY_SHARE = 0.6
"""Largest fraction of a replica's memory that one prompt may use. The rest is left for
short prompts."""
FIRST_MEMORY_SHARE = 0.45
"""Largest fraction of the first replica's memory that its share of the prompt uses. It
is smaller, since this replica also generates the answer."""


def needs_several_replicas(engine, tokens):
    """Return whether a request needs more memory than one replica may give it."""
    return tokens > MAX_MEMORY_SHARE * engine.kv_tokens


def count_reservable_tokens(engine, candidates: Sequence[Candidate]):
    """Return how many prompt tokens the replicas together can reserve memory for."""
    return sum(
        max(0, int(MAX_MEMORY_SHARE * (engine.kv_tokens - candidate.kv_tokens)))
        for candidate in candidates
    )


def share_memory(engine, tokens, candidates: Sequence[Candidate], *, margin_tokens=0):
    """Return how a request's KV cache is distributed over replicas.

    Replicas with the least memory in use are chosen first. Ties go to the smallest
    prefill backlog, since each replica also prefills a part of the prompt.

    Parameters
    ----------
    engine : EngineProfile
        Performance model of the service's replicas.
    tokens : int
        Tokens of the prompt and the answer together.
    candidates : sequence of Candidate
        Replicas that may take part.
    margin_tokens : int, default=0
        Memory of each replica that is left free for unknown requests.

    Returns
    -------
    first : Candidate or None
        Replica that receives the request and holds the rest of its memory; None if the
        replicas together don't have enough memory.
    shares : tuple of MemoryShare
        Memory that the other replicas reserve.
    """
    order = sorted(
        candidates,
        key=lambda candidate: (
            candidate.kv_tokens,
            candidate.backlog_s,
            -candidate.rank,
        ),
    )
    if not order:
        return None, ()
    first, *others = order
    room = engine.kv_tokens - first.kv_tokens
    free = max(0, count_free_tokens(engine, first, margin_tokens))
    left = tokens - int(min(FIRST_MEMORY_SHARE * engine.kv_tokens, 0.8 * room, free))
    shares = []
    for other in others:
        if left <= 0:
            break
        room = MAX_MEMORY_SHARE * (engine.kv_tokens - other.kv_tokens)
        part = int(min(left, room, count_free_tokens(engine, other, margin_tokens)))
        if part <= 0:
            break
        shares.append(MemoryShare(other, part))
        left -= part
    if left > 0:
        return None, ()
    return first, tuple(shares)
