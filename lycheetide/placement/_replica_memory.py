"""Keep the requests at a replica within its memory and close to its slots.

The engine of a replica fails if the requests that it holds need more KV cache than it
has, and they count there from their arrival, begun or not. A node knows what it sent
itself, and with a delay what others sent, so it leaves a margin for the requests that
it doesn't know of yet.
"""

from collections.abc import Sequence

from lycheetide.placement._types import Candidate

MAX_QUEUED_REQUESTS = 2
"""Requests that a replica may have beyond its slots. A few keep its slots in use while
news of ended requests is under way; more would wait for the length of an answer."""
MAX_MARGIN_SHARE = 0.4
"""Largest fraction of a replica's memory that is left for unknown requests. A prompt
that isn't shared takes up to 0.6 of it, and would otherwise fit on no idle replica
during a burst."""

MIN_MARGIN_TOKENS = 5_000
"""Memory that is left free for unknown requests if none is in flight, since several
nodes may receive the first ones at once: about one short request."""
SHARE_LIMITS = (0.25, 0.5)
"""Largest fractions of a replica's free memory that one share of a prompt uses while
others may be unknown, the preferred one first. In a phase of huge prompts, up to four
of them were placed on one replica within 30 ms, so four shares should fit."""
SPARE_READERS = 4
"""Equally cheap replicas to choose from, besides as many as are needed."""


def list_open_replicas(candidates: Sequence[Candidate]):
    """Return the replicas that may be sent one more request by their slots."""
    return [one for one in candidates if one.writers < one.slots + MAX_QUEUED_REQUESTS]


def estimate_margin_tokens(
    engine,
    candidates: Sequence[Candidate],
    *,
    arrivals_per_s: float,
    propagation_delay_s: float,
):
    """Return the memory to leave free at each replica for unknown requests, in tokens.

    The unknown requests are those that arrive while news is under way. All of them may
    have been sent to the same replica. They are assumed to be as large as the mean of
    those in flight; long answers are over-represented there, so the mean is rather too
    high than too low.

    Parameters
    ----------
    engine : EngineProfile
        Performance model of the service's replicas.
    candidates : sequence of Candidate
        Replicas of the service, with the load that this node knows.
    arrivals_per_s : float
        Requests per second that all nodes together send to the service.
    propagation_delay_s : float
        Time until a node learns of a request that another node sent, in seconds.
    """
    writers = sum(one.writers for one in candidates)
    mean_tokens = sum(one.kv_tokens for one in candidates) / max(1, writers)
    unknown_tokens = arrivals_per_s * propagation_delay_s * mean_tokens
    margin_tokens = max(MIN_MARGIN_TOKENS, unknown_tokens)
    return int(min(MAX_MARGIN_SHARE * engine.kv_tokens, margin_tokens))


def count_free_tokens(engine, candidate, margin_tokens=0):
    """Return how many tokens of a replica's memory may be used; below 0 if too many."""
    return engine.kv_tokens - candidate.kv_tokens - margin_tokens


def has_memory(engine, size, candidate, margin_tokens=0):
    """Return whether a replica has enough KV cache memory for a request."""
    return size.tokens <= count_free_tokens(engine, candidate, margin_tokens)


def choose_memory_margins(size, margin_tokens):
    """Return the margins to try for a long prompt, in tokens, the preferred one first.

    Nodes with the same news choose the same replicas. The mean request is far smaller
    than a long prompt, so a replica is preferred that could hold the prompt twice. If
    there is none, the prompt is not refused for a second one that is improbable.
    """
    if not margin_tokens:
        return (0,)
    return max(margin_tokens, size.tokens), margin_tokens


def list_share_limits(margin_tokens):
    """Return the largest fractions of a replica's free memory for one share to try."""
    return SHARE_LIMITS if margin_tokens else (1.0,)


def limit_share_tokens(engine, candidate, margin_tokens=0, share_limit=1.0):
    """Return the largest share of a prompt that a replica may hold, in tokens."""
    free_tokens = count_free_tokens(engine, candidate)
    limit_tokens = min(free_tokens - margin_tokens, share_limit * free_tokens)
    return max(0, int(limit_tokens))


def rotate_equals(readers, count, draw):
    """Return readers in another order among those that are equally cheap.

    Nodes with the same news would all choose the same ones, and together exceed their
    memory.

    Parameters
    ----------
    readers : list
        Objects with a ``cost``, the cheapest first.
    count : int
        Number of readers that are needed.
    draw : float
        Random number, at least 0 and less than 1.
    """
    places = min(len(readers), count + SPARE_READERS)
    equals = sum(one.cost == readers[0].cost for one in readers[:places])
    first = int(draw * equals)
    return readers[first:equals] + readers[:first] + readers[equals:]
