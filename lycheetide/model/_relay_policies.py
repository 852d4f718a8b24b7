"""Policies that place prompts in the model of relays: the product's, and baselines."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from lycheetide.placement import (
    Arrivals,
    Candidate,
    Placement,
    Size,
    choose_prompt,
    count_unknown,
    read_s,
)
from lycheetide.routes import Engine

HELPED_TOKENS = ((60_000, 7), (20_000, 3))
"""Prompts over so many tokens are read together with so many others by the plain relay
with helpers, our baseline."""


@dataclass(frozen=True)
class Asked:
    """What a policy is asked.

    Parameters
    ----------
    engine : Engine
        The replicas' figures.
    size : Size
        The prompt.
    candidates : sequence of Candidate
        The replicas, as nodes know them.
    target_s : float
        When its first event is wanted.
    patience_s : float
        How long its caller waits for that.
    starts_per_s : float
        Requests that nodes placed lately.
    shortest_target_s : float
        The shortest time in which a kind of prompt wants its first event.
    told_s : float
        How late nodes know of one another's work.
    nodes : int
        How many nodes place.
    luck : random.Random
        For what is left to chance.
    """

    engine: Engine
    size: Size
    candidates: Sequence[Candidate]
    target_s: float
    patience_s: float
    starts_per_s: float
    shortest_target_s: float
    told_s: float
    nodes: int
    luck: random.Random


Policy = Callable[[Asked], Placement | None]


def place_as_product(asked):
    """Place, or refuse, as the product does."""
    placement = choose_prompt(
        asked.engine,
        asked.size,
        asked.candidates,
        target_s=asked.target_s,
        patience_s=asked.patience_s,
        arrivals=Arrivals(asked.starts_per_s, asked.shortest_target_s),
        unknown=count_unknown(asked.starts_per_s, asked.told_s, asked.nodes),
        draw=asked.luck.random(),
    )
    if placement is None or not placement.is_worthwhile(asked.patience_s):
        return None
    return placement


def place_least_work(asked):
    """Place where the least reading and the fewest requests wait; the baseline."""
    first = min(asked.candidates, key=lambda one: one.backlog_s + 0.01 * one.writers)
    return Placement(first, (), 0.0, read_s(asked.engine, asked.size.prompt_tokens))


def place_with_helpers(asked):
    """Place as the plain relay does: the better of two, and helpers by length alone."""
    luck = asked.luck
    first = min(luck.sample(asked.candidates, 2), key=lambda one: one.writers)
    others = sorted(
        (one for one in asked.candidates if one.id != first.id),
        key=lambda one: (one.writers + one.helping, luck.random()),
    )
    tokens = asked.size.prompt_tokens
    count = next((n for most, n in HELPED_TOKENS if tokens > most), 0)
    helpers = tuple(others[:count])
    part_s = read_s(asked.engine, tokens) / (1 + len(helpers))
    return Placement(first, helpers, 0.0, part_s)


RELAY_POLICIES = {
    "product": place_as_product,
    "least work": place_least_work,
    "relay with helpers": place_with_helpers,
}
