"""Decide whether a failed attempt is retried. No other layer retries requests."""

from enum import StrEnum

MAX_ATTEMPTS = 4


class RetryDecision(StrEnum):
    """What to do after a failed attempt."""

    RETRY = "retry"
    GIVE_UP = "give_up"


def decide_retry(*, attempts, may_have_started, repeatable, left_s, spend):
    """Decide whether a request is retried after a failed attempt.

    Parameters
    ----------
    attempts : int
        Number of attempts so far.
    may_have_started : bool
        Whether the upstream may have started the request.
    repeatable : bool
        Whether the request may be executed twice.
    left_s : float
        Remaining time until the request's deadline, in seconds.
    spend : callable
        Takes one retry from the customer's budget and returns whether the budget
        allowed it. It is called only if all other conditions allow a retry.

    Returns
    -------
    RetryDecision
    """
    if may_have_started and not repeatable:
        return RetryDecision.GIVE_UP
    if attempts >= MAX_ATTEMPTS or left_s <= 0:
        return RetryDecision.GIVE_UP
    return RetryDecision.RETRY if spend() else RetryDecision.GIVE_UP
