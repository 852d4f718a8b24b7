"""Draw a random load of mixed prompt lengths from a seed."""

import math
import random
from dataclasses import dataclass

MIN_PROMPT_TOKENS = 1_000
MAX_PROMPT_TOKENS = 1_000_000
MIN_HUGE_TOKENS = 100_000
HUGE_SHARE = 1 / 50
SHORT_MEDIAN_TOKENS = 3_000
SHORT_SIGMA = 0.8


@dataclass(frozen=True)
class PlannedRequest:
    """One request of a load.

    Parameters
    ----------
    at_s : float
        Time at which it is sent, from the start of the load.
    prompt_tokens, answer_tokens : int
        Lengths of the prompt and of the answer, in tokens.
    request_class : str
        Request class.
    seed : int
        Number that makes its prompt differ from all others.
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
    longest_tokens=MAX_PROMPT_TOKENS,
    answer_tokens=16,
    short_class="quote",
    huge_class="archive",
):
    """Yield requests with random lengths and arrival times.

    Parameters
    ----------
    count : int
        Number of requests.
    rate_per_s : float
        Mean arrival rate. Arrivals are a Poisson process, which doesn't wait for
        answers (open loop).
    random_state : int or random.Random
        Seed or random number generator.
    huge_share : float, default=1/50
        Share of huge prompts, which have at least 100,000 tokens.
    longest_tokens : int, default=1,000,000
        Length of the longest prompt.
    answer_tokens : int, default=16
        Length of each answer in tokens.
    short_class, huge_class : str
        Request classes of short and of huge prompts.

    Yields
    ------
    PlannedRequest
        Requests ordered by arrival time.

    Examples
    --------
    >>> plan = list(plan_requests(50, rate_per_s=10.0, random_state=0))
    >>> len(plan), plan == list(plan_requests(50, rate_per_s=10.0, random_state=0))
    (50, True)
    """
    rng = random_state
    if not isinstance(rng, random.Random):
        rng = random.Random(random_state)
    at_s = 0.0
    for index in range(count):
        at_s += rng.expovariate(rate_per_s)
        is_huge = rng.random() < huge_share and longest_tokens > MIN_HUGE_TOKENS
        tokens = _draw_huge(rng, longest_tokens) if is_huge else _draw_short(rng)
        yield PlannedRequest(
            at_s,
            min(tokens, longest_tokens),
            answer_tokens,
            huge_class if is_huge else short_class,
            index,
        )


def _draw_short(rng):
    """Draw the length of a short prompt from a log-normal distribution."""
    tokens = int(rng.lognormvariate(math.log(SHORT_MEDIAN_TOKENS), SHORT_SIGMA))
    return min(max(tokens, MIN_PROMPT_TOKENS), MIN_HUGE_TOKENS - 1)


def _draw_huge(rng, longest_tokens):
    """Draw the length of a huge prompt from a log-uniform distribution."""
    low = math.log(MIN_HUGE_TOKENS)
    return int(math.exp(rng.uniform(low, math.log(longest_tokens))))
