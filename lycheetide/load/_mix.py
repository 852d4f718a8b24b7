"""Draw a load of mixed prompt lengths from a seed."""

import math
import random
from dataclasses import dataclass

SHORTEST_TOKENS = 1_000
LONGEST_TOKENS = 1_000_000
HUGE_FROM_TOKENS = 100_000
HUGE_SHARE = 1 / 50
SHORT_MEDIAN_TOKENS = 3_000
SHORT_SPREAD = 0.8


@dataclass(frozen=True)
class PlannedRequest:
    """One request of a load.

    Parameters
    ----------
    at_s : float
        When it is sent, from the load's start.
    prompt_tokens, answer_tokens : int
        Its size.
    request_class : str
        Its class.
    seed : int
        Makes its prompt unlike the others'.
    """

    at_s: float
    prompt_tokens: int
    answer_tokens: int
    request_class: str
    seed: int


def plan_requests(
    count,
    *,
    rate_per_s,
    random_state,
    huge_share=HUGE_SHARE,
    longest_tokens=LONGEST_TOKENS,
    answer_tokens=16,
    short_class="quote",
    huge_class="archive",
):
    """Yield requests whose lengths and arrivals are drawn from a seed.

    Parameters
    ----------
    count : int
        How many.
    rate_per_s : float
        How many arrive a second on average; arrivals are a Poisson process, which
        doesn't wait for answers.
    random_state : int or random.Random
        The seed.
    huge_share : float, default=1/50
        The share of prompts above 100,000 tokens.
    longest_tokens : int, default=1,000,000
        The longest prompt.
    answer_tokens : int, default=16
        The tokens of each answer.
    short_class, huge_class : str
        The classes.

    Yields
    ------
    PlannedRequest
        In order of time.

    Examples
    --------
    >>> plan = list(plan_requests(50, rate_per_s=10.0, random_state=0))
    >>> len(plan), plan == list(plan_requests(50, rate_per_s=10.0, random_state=0))
    (50, True)
    """
    draw = random_state
    if not isinstance(draw, random.Random):
        draw = random.Random(random_state)
    at_s = 0.0
    for index in range(count):
        at_s += draw.expovariate(rate_per_s)
        is_huge = draw.random() < huge_share and longest_tokens > HUGE_FROM_TOKENS
        tokens = _draw_huge(draw, longest_tokens) if is_huge else _draw_short(draw)
        yield PlannedRequest(
            at_s,
            min(tokens, longest_tokens),
            answer_tokens,
            huge_class if is_huge else short_class,
            index,
        )


def _draw_short(draw):
    """Draw the length of a short prompt."""
    tokens = int(draw.lognormvariate(math.log(SHORT_MEDIAN_TOKENS), SHORT_SPREAD))
    return min(max(tokens, SHORTEST_TOKENS), HUGE_FROM_TOKENS - 1)


def _draw_huge(draw, longest_tokens):
    """Draw the length of a huge prompt, evenly on a logarithmic scale."""
    low = math.log(HUGE_FROM_TOKENS)
    return int(math.exp(draw.uniform(low, math.log(longest_tokens))))
