"""Choose the replicas for a request.

Short prompts are packed onto few replicas. Long prompts are split into parts, which
other replicas prefill in parallel.
"""

from collections.abc import Sequence

import xxhash

from lycheetide.placement._estimate import estimate_prefill_s
from lycheetide.placement._pack import SHORT_PREFILL_S, pack_prompt
from lycheetide.placement._replica_memory import has_memory
from lycheetide.placement._slots import has_enough_slots, queue_prompt
from lycheetide.placement._spread import MAX_HELPERS, spread_prompt
from lycheetide.placement._types import Arrivals, Candidate, RequestSize
from lycheetide.routes import EngineProfile


def rank_replicas(ids):
    """Return the position of each replica in an order that all nodes agree on.

    Parameters
    ----------
    ids : iterable of str
        Replica ids.

    Returns
    -------
    dict of str to int
        Position by replica id, ordered by the hash of the id.
    """
    ordered = sorted(ids, key=lambda name: xxhash.xxh32_intdigest(name.encode()))
    return {name: place for place, name in enumerate(ordered)}


def place_prompt(
    engine: EngineProfile,
    size: RequestSize,
    candidates: Sequence[Candidate],
    *,
    target_s: float,
    left_s: float | None = None,
    patience_s: float = float("inf"),
    arrivals: Arrivals = Arrivals(),  # noqa: B008
    max_helpers: int = MAX_HELPERS,
    unknown: float = 0.0,
    draw: float = 0.0,
    reserved: int = 0,
    margin_tokens: int = 0,
    is_contended: bool = False,
):
    """Return the placement of a prompt, or None if no replica has memory for it.

    Parameters
    ----------
    engine : EngineProfile
        Performance model of the service's replicas.
    size : RequestSize
        Tokens of the request.
    candidates : sequence of Candidate
        Replicas that may be sent the request.
    target_s : float
        Target time to the first event, in seconds.
    left_s : float or None, default=None
        Remaining part of the target; None for all of it.
    patience_s : float, default=inf
        Time after which the caller disconnects without a first event, in seconds.
    arrivals : Arrivals
        Arrival rate of the service's requests.
    max_helpers : int
        Maximum number of other replicas that prefill a part.
    unknown : float, default=0.0
        Estimated number of requests in flight that the candidates' load doesn't
        include.
    draw : float, default=0.0
        Random number, at least 0 and less than 1.
    reserved : int, default=0
        Number of replicas, the first by rank, that are kept for short prompts.
    margin_tokens : int, default=0
        Memory of each replica that is left free for unknown requests.
    is_contended : bool, default=False
        Whether short prompts for which there is no slot in time are refused.

    Returns
    -------
    Placement or None
    """
    if estimate_prefill_s(engine, size.prompt_tokens) > SHORT_PREFILL_S:
        return spread_prompt(
            engine, size, candidates, target_s=target_s, left_s=left_s,
            patience_s=patience_s, arrivals=arrivals, max_helpers=max_helpers,
            reserved=reserved, margin_tokens=margin_tokens,
        )  # fmt: skip
    fitting = [
        candidate
        for candidate in candidates
        if has_memory(engine, size, candidate, margin_tokens)
    ]
    if not fitting:
        return None
    if is_contended and not has_enough_slots(fitting, unknown):
        placement = queue_prompt(
            engine, size, fitting, left_s=target_s if left_s is None else left_s,
            patience_s=patience_s, unknown=unknown, draw=draw,
        )  # fmt: skip
        if placement is not None:
            return placement
    return pack_prompt(engine, size, fitting, unknown=unknown, draw=draw)
