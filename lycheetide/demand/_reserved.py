"""Number of replicas that are kept for arriving short prompts.

Each prefill of a long prompt closes a replica to short prompts for its duration, and
makes those that decode there pause. At high load all replicas prefill long prompts at
once, so that short prompts, which need few replicas, find none.
"""

import math

from lycheetide.demand._rates import PromptClass
from lycheetide.placement import RESERVED_SLOTS

DEMAND_MARGIN = 1.2
"""Factor on the estimated number of short prompts in progress, since they don't arrive
evenly."""
SPARE_REPLICAS = 1
"""Replicas reserved beyond the need: the last of those in use is only partly free."""
MIN_RESERVED = 2
"""Smallest number of reserved replicas: a single one may fail."""
MAX_RESERVED_SHARE = 0.5
"""Largest fraction of the replicas that is reserved."""
DECREASE_INTERVAL_S = 0.3
"""Shortest time between two decreases by one. The estimates vary with the arrivals,
and a replica that takes a long prompt is closed for seconds."""


def count_reserved(rates, engine, replicas, *, response_s, now_s, in_flight=0):
    """Return how many replicas are reserved for the short prompts of a service.

    Parameters
    ----------
    rates : ArrivalRates
        Arrivals at all nodes.
    engine : EngineProfile
        Performance model of the service's replicas.
    replicas : int
        Number of replicas that take work.
    response_s : float
        Mean duration of a short prompt's response, in seconds.
    now_s : float
        Current time.
    in_flight : int, default=0
        Short prompts in progress that are known. A node that has just started knows
        them before it has measured a rate.

    Returns
    -------
    int
        At least 2 and at most half of the replicas; 0 if there is no short prompt.
    """
    needed = count_needed(
        rates, engine, response_s=response_s, in_flight=in_flight, now_s=now_s
    )
    return limit_reserved(needed, replicas)


def count_needed(rates, engine, *, response_s, now_s, in_flight=0):
    """Return the number for ``count_reserved`` in a service with enough replicas."""
    rate_per_s = rates.rate_per_s(PromptClass.SHORT, now_s=now_s)
    in_progress = max(rate_per_s * response_s, in_flight)
    if in_progress <= 0.0:
        return 0
    packed_slots = max(1, engine.slots - RESERVED_SLOTS)
    needed = math.ceil(DEMAND_MARGIN * in_progress / packed_slots) + SPARE_REPLICAS
    return max(MIN_RESERVED, needed)


def limit_reserved(needed, replicas):
    """Return a number of reserved replicas that leaves enough for long prompts."""
    return min(needed, int(MAX_RESERVED_SHARE * replicas))


def limit_decrease(needed, *, previous, changed_s, now_s):
    """Return a number of reserved replicas that decreases slowly.

    Parameters
    ----------
    needed : int
        Number that is needed now.
    previous : int
        Number that was reserved before.
    changed_s : float
        Time from which ``previous`` was needed, or of its last decrease.
    now_s : float
        Current time.

    Returns
    -------
    reserved : int
        At least ``needed``.
    changed_s : float
        Argument for the next call.
    """
    if needed >= previous:
        return needed, now_s
    steps = int((now_s - changed_s) / DECREASE_INTERVAL_S)
    reserved = max(needed, previous - steps)
    return reserved, changed_s + steps * DECREASE_INTERVAL_S
