"""Decide whether a call goes to one more replica."""

from enum import StrEnum

from lycheetide.relay._attempt import spend_retry
from lycheetide.relay._state import read_clock


class Hindrance(StrEnum):
    """Why a call may not go to another replica; each has a counter."""

    NOT_REPEATABLE = "not_repeatable"
    NO_TIME = "no_time"
    NO_ATTEMPTS = "no_attempts"
    NO_BUDGET = "no_budget"


def may_try_again(relay, call, *, needs_s):
    """Tell whether a call may go to one more replica, and take that from the budget.

    Parameters
    ----------
    relay : RelayState
        This node.
    call : Call
        The call.
    needs_s : float
        What another attempt would take.
    """
    hindrance = find_hindrance(relay, call, needs_s=needs_s, now_s=read_clock())
    if hindrance is None:
        return True
    relay.counters.add(f"not_retried.{hindrance}")
    relay.log.info(
        "A request isn't tried again.",
        extra={
            "request": call.request.attempt_id,
            "why": str(hindrance),
            "sent": call.sent,
            "may_have_run": call.may_have_run,
            "is_begun": call.is_begun,
        },
    )
    return False


def find_hindrance(relay, call, *, needs_s, now_s):
    """Return why a call may not go to another replica, or None.

    A retry is taken from the budget where nothing else stands against it.
    """
    if call.may_have_run and not call.route.is_repeatable:
        return Hindrance.NOT_REPEATABLE
    if call.left_s(now_s=now_s) <= needs_s:
        return Hindrance.NO_TIME
    if call.sent == 0:
        return None
    if call.sent >= call.route.max_attempts:
        return Hindrance.NO_ATTEMPTS
    if not spend_retry(relay, call):
        return Hindrance.NO_BUDGET
    return None
