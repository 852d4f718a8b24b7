"""Placement policies for the simulation of relays: this project's, and baselines."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from lycheetide.placement import (
    Arrivals,
    Candidate,
    Placement,
    RequestSize,
    estimate_prefill_s,
    estimate_unknown_requests,
    place_prompt,
)
from lycheetide.routes import EngineProfile

HELPERS_BY_PROMPT_TOKENS = ((60_000, 7), (20_000, 3))
"""Pairs of a prompt length and the number of helper replicas with which the baseline
"relay with helpers" prefills longer prompts."""


@dataclass(frozen=True)
class PlacementQuery:
    """Input of a placement policy.

    Parameters
    ----------
    engine : EngineProfile
        Performance figures of the replicas.
    size : RequestSize
        Size of the request.
    candidates : sequence of Candidate
        The replicas with their load as the nodes know it.
    target_s : float
        Target time to the first event.
    patience_s : float
        How long the caller waits for the first event before it leaves.
    starts_per_s : float
        Recent rate of requests placed by all nodes.
    shortest_target_s : float
        Shortest target time to the first event of all kinds of prompts.
    gossip_delay_s : float
        Delay with which nodes learn of one another's placements.
    nodes : int
        Number of nodes that place requests.
    rng : random.Random
        Source of random choices.
    reserved : int, default=0
        Number of replicas that the nodes keep for short prompts.
    """

    engine: EngineProfile
    size: RequestSize
    candidates: Sequence[Candidate]
    target_s: float
    patience_s: float
    starts_per_s: float
    shortest_target_s: float
    gossip_delay_s: float
    nodes: int
    rng: random.Random
    reserved: int = 0


PlacementPolicy = Callable[[PlacementQuery], Placement | None]


def place_lycheetide(asked, *, reserved=0, is_contended=False):
    """Place or refuse a request as this project's relay does."""
    placement = place_prompt(
        asked.engine,
        asked.size,
        asked.candidates,
        target_s=asked.target_s,
        patience_s=asked.patience_s,
        arrivals=Arrivals(asked.starts_per_s, asked.shortest_target_s),
        unknown=estimate_unknown_requests(
            asked.starts_per_s, asked.gossip_delay_s, asked.nodes
        ),
        draw=asked.rng.random(),
        reserved=reserved,
        is_contended=is_contended,
    )
    if placement is None or not placement.is_worthwhile(asked.patience_s):
        return None
    return placement


def place_with_reservation(asked):
    """Place as ``place_lycheetide`` does, with replicas reserved for short prompts."""
    return place_lycheetide(asked, reserved=asked.reserved)


def place_contended(asked):
    """Place as a relay does whose requests compete: also refuse for lack of slots."""
    return place_lycheetide(asked, reserved=asked.reserved, is_contended=True)


def place_least_work(asked):
    """Place on the replica with the least prefill backlog and fewest requests.

    A baseline.
    """
    first = min(
        asked.candidates,
        key=lambda candidate: candidate.backlog_s + 0.01 * candidate.writers,
    )
    return Placement(
        first, (), 0.0, estimate_prefill_s(asked.engine, asked.size.prompt_tokens)
    )


def place_with_helpers(asked):
    """Place on the better of two random replicas, with helpers by prompt length alone.

    This is the baseline "relay with helpers".
    """
    rng = asked.rng
    first = min(
        rng.sample(asked.candidates, 2), key=lambda candidate: candidate.writers
    )
    others = sorted(
        (candidate for candidate in asked.candidates if candidate.id != first.id),
        key=lambda candidate: (candidate.writers + candidate.helping, rng.random()),
    )
    tokens = asked.size.prompt_tokens
    count = next(
        (
            helper_count
            for limit, helper_count in HELPERS_BY_PROMPT_TOKENS
            if tokens > limit
        ),
        0,
    )
    helpers = tuple(others[:count])
    part_s = estimate_prefill_s(asked.engine, tokens) / (1 + len(helpers))
    return Placement(first, helpers, 0.0, part_s)


RELAY_POLICIES = {
    "product": place_lycheetide,
    "with reservation": place_with_reservation,
    "contended": place_contended,
    "least work": place_least_work,
    "relay with helpers": place_with_helpers,
}
