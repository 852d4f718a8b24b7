"""Decide whether a call goes to one more replica."""

from enum import StrEnum

from lycheetide.relay._place import has_place
from lycheetide.relay._state import read_clock


class Hindrance(StrEnum):
    """Why a call may not go to another replica; each has a counter."""

    NOT_REPEATABLE = "not_repeatable"
    NO_TIME = "no_time"
    NO_ATTEMPTS = "no_attempts"
    NO_BUDGET = "no_budget"
    NO_PLACE = "no_place"


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
    hindrance = find_own_hindrance(call, needs_s=needs_s, now_s=read_clock())
    if hindrance is None and not take_retry(relay, call):
        hindrance = Hindrance.NO_BUDGET
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


def prepare_successor(relay, call, *, needs_s, now_s):
    """Take the retry for an attempt that follows one that is still running.

    Returns
    -------
    Hindrance or None
        Why no other replica can take the call over; then no retry is taken.
    """
    # The running attempt may have begun its work, whether its head has come or not.
    if not call.route.is_repeatable:
        return Hindrance.NOT_REPEATABLE
    hindrance = find_own_hindrance(call, needs_s=needs_s, now_s=now_s)
    if hindrance is not None:
        return hindrance
    if not has_retry(relay, call, now_s=now_s):
        return Hindrance.NO_BUDGET
    if not has_place(relay, call, now_s=now_s):
        return Hindrance.NO_PLACE
    take_retry(relay, call)
    return None


def find_own_hindrance(call, *, needs_s, now_s):
    """Return which limit of its own keeps a call from another replica, or None."""
    if call.may_have_run and not call.route.is_repeatable:
        return Hindrance.NOT_REPEATABLE
    if call.left_s(now_s=now_s) <= needs_s:
        return Hindrance.NO_TIME
    if call.sent >= call.route.max_attempts:
        return Hindrance.NO_ATTEMPTS
    return None


def has_retry(relay, call, *, now_s):
    """Tell whether a call's next attempt is within the budget."""
    if call.sent == 0 or call.has_retry:
        return True
    nodes = len(relay.living_nodes(now_s=now_s))
    return relay.retries(call.service.name).has_left(nodes, now_s=now_s)


def take_retry(relay, call):
    """Take a call's next retry from the budget, once; tell whether it has one.

    It is kept until the call is sent, so a replica that can't be reached uses up none.
    """
    if call.sent > 0 and not call.has_retry:
        call.has_retry = spend_retry(relay, call)
    return call.sent == 0 or call.has_retry


def spend_retry(relay, call):
    """Take one retry from the budget of a call's service, if there is one left."""
    now_s = read_clock()
    nodes = len(relay.living_nodes(now_s=now_s))
    return relay.retries(call.service.name).spend(nodes, now_s=now_s)
