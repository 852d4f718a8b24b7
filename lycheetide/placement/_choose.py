"""Choose the replicas for one request.

Short prompts are packed onto few replicas, and long ones are read in parts by others.
"""

from collections.abc import Sequence

import xxhash

from lycheetide.placement._estimate import read_s
from lycheetide.placement._pack import SHORT_READ_S, pack_prompt
from lycheetide.placement._queue import has_memory
from lycheetide.placement._spread import HELPERS_MOST, spread_prompt
from lycheetide.placement._types import Arrivals, Candidate, Placement, Size
from lycheetide.routes import Engine


def rank_replicas(ids):
    """Return each replica's place in an order that all nodes agree on.

    Parameters
    ----------
    ids : iterable of str
        Replicas.

    Returns
    -------
    dict of str to int
    """
    ordered = sorted(ids, key=lambda name: xxhash.xxh32_intdigest(name.encode()))
    return {name: place for place, name in enumerate(ordered)}


def choose_plain(candidates: Sequence[Candidate]):
    """Return the replica for a request without a prompt, or None.

    The one with the most free slots, a near one where that is equal; one that failed
    lately only where the others are full.
    """
    if not candidates:
        return None

    def load(candidate):
        share = candidate.writers / max(1, candidate.slots)
        is_full = candidate.writers >= candidate.slots
        return (is_full, candidate.is_recovering, round(share, 2), candidate.extra_s)

    first = min(candidates, key=load)
    return Placement(first, (), 0.0, 0.0)


def choose_prompt(
    engine: Engine,
    size: Size,
    candidates: Sequence[Candidate],
    *,
    target_s: float,
    left_s: float | None = None,
    patience_s: float = float("inf"),
    arrivals: Arrivals = Arrivals(),  # noqa: B008
    helpers_most: int = HELPERS_MOST,
    unknown: float = 0.0,
    draw: float = 0.0,
):
    """Return where a prompt goes, or None where no replica has the memory.

    Parameters
    ----------
    engine : Engine
        The service's figures.
    size : Size
        The request.
    candidates : sequence of Candidate
        Replicas that may take it.
    target_s : float
        The time within which the first event is wanted.
    left_s : float or None
        What is left of that; None for all of it.
    patience_s : float
        When its caller leaves without one.
    arrivals : Arrivals
        What comes to the service meanwhile.
    helpers_most : int
        How many other replicas may read a part.
    unknown : float
        Requests that may be on their way and aren't counted in the candidates.
    draw : float
        A random number, from 0 up to 1.
    """
    if read_s(engine, size.prompt_tokens) > SHORT_READ_S:
        return spread_prompt(
            engine, size, candidates, target_s=target_s, left_s=left_s,
            patience_s=patience_s, arrivals=arrivals, helpers_most=helpers_most,
        )  # fmt: skip
    fitting = [one for one in candidates if has_memory(engine, size, one)]
    if not fitting:
        return None
    return pack_prompt(engine, size, fitting, unknown=unknown, draw=draw)
