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
