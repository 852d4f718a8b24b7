"""Choose where a call goes now, within cold limits and the retry budget."""

from lycheetide.placement import (
    choose_plain,
    choose_prompt,
    cold_allowance,
    may_send_to_cold,
)
from lycheetide.relay._outcomes import Cause, Refusal
from lycheetide.relay._state import read_clock
from lycheetide.routes import ANY_ENGINE

COME_BACK_S = 0.5
"""When to ask again where no replica takes work: a registry's news come within 1 s."""
START_WINDOW_S = 1.0
"""Cold limits are given per second."""


def pick_service(relay, route):
    """Return the service that a route's weights give this request to."""
    shares = route.shares
    if len(shares) == 1:
        return shares[0].service
    weights = [share.weight for share in shares]
    return relay.random.choices([share.service for share in shares], weights)[0]


def is_open(relay, service, candidate, *, now_s):
    """Tell whether one more request may go to a replica within its cold limit."""
    limit = service.cold_requests_per_s
    if limit <= 0:
        return True
    nodes = relay.living_nodes(now_s=now_s)
    allowance = cold_allowance(limit, relay.node, nodes, candidate.id)
    own = relay.own_starts(candidate.id, START_WINDOW_S, now_s=now_s)
    everyone = relay.board.starts_within(candidate.id, START_WINDOW_S, now_s=now_s)
    return may_send_to_cold(
        limit, allowance=allowance, own_starts=own, all_starts=everyone
    )


def list_candidates(relay, call):
    """Return the replicas that may get a call now."""
    now_s = read_clock()
    candidates = relay.candidates(call.service, now_s=now_s, without=call.tried)
    return [one for one in candidates if is_open(relay, call.service, one, now_s=now_s)]


def choose(relay, call):
    """Return where a call goes.

    Raises
    ------
    Refusal
        If no replica takes it; it isn't kept waiting.
    """
    candidates = list_candidates(relay, call)
    if call.size.prompt_tokens:
        engine = call.service.engine or ANY_ENGINE
        placement = choose_prompt(
            engine, call.size, candidates, target_s=call.route.target_latency_s
        )
    else:
        placement = choose_plain(candidates)
    if placement is None:
        cause = Cause.NO_MEMORY if candidates else Cause.NO_REPLICA
        raise make_refusal(call, cause)
    return placement


def make_refusal(call, cause, *, message=""):
    """Return the final answer of a call that brought none.

    Only a call that no replica can have begun is told that it hasn't run.
    """
    if call.may_have_run:
        return Refusal(502, cause, message=message)
    return Refusal(503, cause, retry_after_s=COME_BACK_S, message=message)


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
    now_s = read_clock()
    if call.may_have_run and not call.route.is_repeatable:
        return False
    if call.left_s(now_s=now_s) <= needs_s:
        return False
    if call.sent == 0:
        return True
    if call.sent >= call.route.max_attempts:
        return False
    nodes = len(relay.living_nodes(now_s=now_s))
    return relay.retries(call.service.name).spend(nodes, now_s=now_s)
