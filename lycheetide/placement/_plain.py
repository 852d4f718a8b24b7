"""Choose the replica for a request without a prompt."""

import math
from collections.abc import Collection, Sequence

from lycheetide.placement._types import Candidate, Placement

COST_DIGITS = 4
"""Decimals of the costs that are compared; smaller differences don't matter, and the
replica with the most free slots is chosen."""


def _find_none_unknown(_):
    """Return 0; the default where all requests are assumed to be known."""
    return 0.0


def place_plain_request(
    candidates: Sequence[Candidate],
    *,
    service_s: float | None = None,
    find_unknown=_find_none_unknown,
):
    """Return the placement of a request without a prompt, or None if there is none.

    The replica with the largest fraction of free slots is chosen. Ties go to a replica
    in this node's failure domain. If the usual duration of an answer is given, the
    replica with the smallest sum of expected wait and distance is chosen instead, so
    that a near replica is left only when waiting there takes longer than the way to the
    next domain and back. A full replica, or one that failed recently, is used only if
    all others are full.

    Parameters
    ----------
    candidates : sequence of Candidate
        Replicas that may be sent the request.
    service_s : float or None, default=None
        Usual duration of an answer that doesn't wait for a slot, in seconds; None to
        choose by free slots.
    find_unknown : callable
        Takes a candidate; returns the expected number of requests that other nodes have
        sent there and that this node doesn't know of yet.

    Returns
    -------
    Placement or None
    """
    if not candidates:
        return None

    def load(candidate):
        share = candidate.writers / max(1, candidate.slots)
        is_full = candidate.writers >= candidate.slots
        cost_s = candidate.penalty_s
        if service_s is None:
            return is_full, candidate.is_recovering, round(share, 2), cost_s
        unknown = find_unknown(candidate)
        cost_s += estimate_plain_wait_s(candidate, service_s, unknown=unknown)
        return (
            is_full,
            candidate.is_recovering,
            round(cost_s, COST_DIGITS),
            round(share, 2),
        )

    first = min(candidates, key=load)
    return Placement(first, (), 0.0, 0.0)


def estimate_plain_wait_s(candidate, service_s, *, unknown=0.0):
    """Return the expected time until a slot is free for one more request, in seconds.

    The number of unknown requests is assumed to be Poisson distributed. All slots
    together finish ``slots`` requests in ``service_s``.

    Parameters
    ----------
    candidate : Candidate
        The replica.
    service_s : float
        Usual duration of an answer, in seconds.
    unknown : float, default=0.0
        Expected number of requests there that this node doesn't know of yet.

    Examples
    --------
    >>> full = Candidate("r", "10.0.0.1:80", 0, 6, writers=8)
    >>> round(estimate_plain_wait_s(full, 0.022), 3)
    0.011
    """
    free_slots = candidate.slots - candidate.writers - 1
    queued = unknown - free_slots
    if unknown > 0:
        chance = math.exp(-unknown)
        for count in range(max(0, free_slots)):
            queued += (free_slots - count) * chance
            chance *= unknown / (count + 1)
    pass_s = candidate.pace * service_s / max(1, candidate.slots)
    return max(0.0, queued) * pass_s


def prefer_other_domains(candidates: Sequence[Candidate], failed: Collection[str]):
    """Return the replicas for another attempt after a replica reported an error.

    The cause of a server error is often shared by a failure domain. Replicas of other
    domains are therefore preferred, as long as one of them is healthy and has a free
    slot.

    Parameters
    ----------
    candidates : sequence of Candidate
        Replicas that may be sent the request.
    failed : collection of str
        Failure domains of the replicas that reported an error.
    """
    elsewhere = [one for one in candidates if one.failure_domain not in failed]
    is_free = any(
        one.writers < one.slots and not (one.is_recovering or one.is_cold)
        for one in elsewhere
    )
    return elsewhere if is_free else candidates
