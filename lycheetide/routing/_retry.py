"""Whether a broken attempt is followed by another; no other layer repeats anything."""

from enum import StrEnum

LARGEST_ATTEMPTS = 4


class RetryDecision(StrEnum):
    """What to do after a broken attempt."""

    RETRY = "retry"
    GIVE_UP = "give_up"


def decide_retry(*, attempts, started_maybe, repeatable, left_s, spend):
    """Decide on another attempt.

    Parameters
    ----------
    attempts : int
        How many there were.
    started_maybe : bool
        Whether the upstream may have begun.
    repeatable : bool
        Whether the work may be done twice.
    left_s : float
        The time left.
    spend : callable
        Takes one retry from the customer's budget; returns whether it could. It is
        called only where all else allows the retry.

    Returns
    -------
    RetryDecision
        What to do.
    """
    if started_maybe and not repeatable:
        return RetryDecision.GIVE_UP
    if attempts >= LARGEST_ATTEMPTS or left_s <= 0:
        return RetryDecision.GIVE_UP
    return RetryDecision.RETRY if spend() else RetryDecision.GIVE_UP
