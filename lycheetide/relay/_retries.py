"""Decide whether a call may be sent to one more replica."""

from enum import StrEnum

from lycheetide.relay._quarantine import is_quarantined, wait_until_settled
from lycheetide.relay._selection import has_placement
from lycheetide.relay._state import read_clock


class RetryDenial(StrEnum):
    """Why a call may not be sent to another replica; each reason has a counter."""

    NOT_REPEATABLE = "not_repeatable"
    QUARANTINED = "quarantined"
    UNSETTLED = "unsettled"
    NO_TIME = "no_time"
    NO_ATTEMPTS = "no_attempts"
    NO_BUDGET = "no_budget"
    NO_PLACE = "no_place"
    NO_TURN = "no_turn"


async def claim_retry(relay, call, *, min_attempt_s):
    """Tell whether a call may be sent to one more replica, and charge the retry budget.

    A denial is counted and logged. The decision waits until it is known whether too
    many replicas have crashed under the call.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    call : Call
        The call.
    min_attempt_s : float
        Shortest remaining time in which another attempt is worth starting.
    """
    denial = find_request_denial(call, min_attempt_s=min_attempt_s, now_s=read_clock())
    if denial is None and not await wait_until_settled(relay, call):
        denial = RetryDenial.UNSETTLED
    if denial is None and is_quarantined(relay, call):
        denial = RetryDenial.QUARANTINED
    if denial is None and not ensure_retry(relay, call):
        denial = RetryDenial.NO_BUDGET
    if denial is None:
        return True
    relay.counters.add(f"not_retried.{denial}")
    relay.log.info(
        "A request is not retried.",
        extra={
            "request": call.request.attempt_id,
            "why": str(denial),
            "sent": call.sent,
            "may_have_run": call.may_have_run,
            "is_begun": call.is_begun,
        },
    )
    return False


def prepare_next_attempt(relay, call, *, min_attempt_s, now_s):
    """Charge the retry budget for an attempt that follows one that is still running.

    Returns
    -------
    RetryDenial or None
        Why no other replica can take over the call, in which case the budget isn't
        charged; None if one can.
    """
    # The replica of the running attempt may have started work even if the head of its
    # answer hasn't arrived.
    if not call.route.is_repeatable:
        return RetryDenial.NOT_REPEATABLE
    denial = find_request_denial(call, min_attempt_s=min_attempt_s, now_s=now_s)
    if denial is not None:
        return denial
    if not is_retry_available(relay, call, now_s=now_s):
        return RetryDenial.NO_BUDGET
    if not has_placement(relay, call, now_s=now_s):
        return RetryDenial.NO_PLACE
    ensure_retry(relay, call)
    return None


def find_request_denial(call, *, min_attempt_s, now_s):
    """Return which limit of the request itself forbids another attempt, or None."""
    if call.may_have_run and not call.route.is_repeatable:
        return RetryDenial.NOT_REPEATABLE
    if call.remaining_s(now_s=now_s) <= min_attempt_s:
        return RetryDenial.NO_TIME
    if call.sent >= call.route.max_attempts:
        return RetryDenial.NO_ATTEMPTS
    return None


def is_retry_available(relay, call, *, now_s):
    """Tell whether the retry budget allows a call's next attempt."""
    if call.sent == 0 or call.has_retry:
        return True
    nodes = len(relay.list_alive_nodes(now_s=now_s))
    return relay.retries(call.service.name).has_retry_left(nodes, now_s=now_s)


def ensure_retry(relay, call):
    """Tell whether a call has a retry for its next attempt, taking one if necessary.

    The retry is kept until the call is sent, so that an attempt at an unreachable
    replica uses none of the budget.
    """
    if call.sent > 0 and not call.has_retry:
        call.has_retry = spend_retry(relay, call)
    return call.sent == 0 or call.has_retry


def spend_retry(relay, call):
    """Take one retry from the budget of a call's service; tell whether one was left."""
    now_s = read_clock()
    nodes = len(relay.list_alive_nodes(now_s=now_s))
    return relay.retries(call.service.name).spend(nodes, now_s=now_s)
