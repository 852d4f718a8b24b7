"""Choose where a call goes now, within cold limits and the retry budget."""

import anyio

from lycheetide.board import START_WINDOW_S
from lycheetide.placement import (
    HELPERS_MOST,
    Arrivals,
    caller_patience_s,
    choose_plain,
    choose_prompt,
    count_unknown,
    may_send,
    share_cold_limits,
)
from lycheetide.relay._outcomes import Cause, Refusal
from lycheetide.relay._spreading import find_told_s
from lycheetide.relay._state import read_clock
from lycheetide.routes import ANY_ENGINE

COME_BACK_S = 0.5
"""When to ask again where no replica takes work: a registry's news come within 1 s."""
WAIT_S = 0.04
"""Pause before a call looks again for a place."""
WAIT_TARGETS = 0.5
"""Part of its target for which a call waits for a place; one that comes later than
that is refused, so that its caller can come back in time."""


def pick_service(relay, route):
    """Return the service that a route's weights give this request to."""
    shares = route.shares
    if len(shares) == 1:
        return shares[0].service
    weights = [share.weight for share in shares]
    return relay.random.choices([share.service for share in shares], weights)[0]


def is_open(
    relay, service, candidate, *, find_allowance, now_s, nodes=1, is_last_resort=False
):
    """Tell whether one more request may go to a replica within its cold limit.

    ``find_allowance`` tells this node's share among ``nodes``, as of
    ``share_cold_limits``.
    """
    limit = service.cold_requests_per_s
    if limit <= 0:
        return True
    own_starts = relay.own_starts(candidate.id, START_WINDOW_S, now_s=now_s)
    all_starts = relay.board.starts_within(candidate.id, START_WINDOW_S, now_s=now_s)
    if not (candidate.is_cold or own_starts or all_starts):
        # Most of a large fleet's replicas; the shares of each would cost the most.
        return True
    return may_send(
        limit,
        allowance=find_allowance(limit, candidate.id),
        own_starts=own_starts,
        own_recent=relay.own_recent(candidate.id, now_s=now_s),
        all_starts=all_starts,
        is_cold=candidate.is_cold,
        is_last_resort=is_last_resort,
        nodes=nodes,
    )


def list_candidates(relay, call):
    """Return the replicas that may get a call now.

    Returns
    -------
    open_now : list of Candidate
        Those within their cold limits.
    usable : list of Candidate
        All that take work.
    """
    relay.take_news()
    now_s = read_clock()
    homes = (call.route.regions, call.customer.regions if call.customer else ())
    usable = relay.candidates(
        call.service, now_s=now_s, without=call.list_closed(now_s=now_s), homes=homes
    )
    living = relay.living_nodes(now_s=now_s)
    find_allowance = share_cold_limits(relay.node, living)
    for is_last_resort in (False, True):
        open_now = [
            one
            for one in usable
            if is_open(
                relay,
                call.service,
                one,
                find_allowance=find_allowance,
                nodes=len(living),
                now_s=now_s,
                is_last_resort=is_last_resort,
            )
        ]
        if open_now:
            break
    return open_now, usable


def find_place(relay, call, candidates, *, now_s):
    """Return where a call goes, or None."""
    if not call.size.prompt_tokens:
        return choose_plain(candidates)
    engine = call.service.engine or ANY_ENGINE
    # A replica refuses a prompt if one of its helpers is leaving, which the others may
    # not know yet while the store is out. Helped again, it would be refused again.
    return choose_prompt(
        engine,
        call.size,
        candidates,
        target_s=call.route.target_latency_s,
        left_s=find_due_s(call) - now_s,
        patience_s=find_patience_s(call),
        arrivals=count_arrivals(relay, call, candidates, now_s=now_s),
        helpers_most=0 if call.helpers_refused else HELPERS_MOST,
        unknown=count_unknown(
            relay.board.starts_per_s(now_s=now_s),
            find_told_s(relay, now_s=now_s),
            len(relay.peers.alive(now_s=now_s)) + 1,
        ),
        draw=relay.random.random(),
    )


def count_arrivals(relay, call, candidates, *, now_s):
    """Return what comes to a call's service meanwhile."""
    starts = sum(
        relay.board.starts_within(one.id, START_WINDOW_S, now_s=now_s)
        for one in candidates
    )
    target_s = relay.table.find_shortest_target_s(call.service.name)
    return Arrivals(starts / START_WINDOW_S, target_s)


def has_place(relay, call, *, now_s):
    """Tell whether a replica would take a call now."""
    open_now, _ = list_candidates(relay, call)
    return is_worthwhile(call, find_place(relay, call, open_now, now_s=now_s))


def find_due_s(call):
    """Return when the first event of a call's answer is wanted."""
    return call.request.received_s + call.route.target_latency_s


def find_patience_s(call):
    """Return how long a call's caller waits for an event, in seconds."""
    return caller_patience_s(call.route.target_latency_s, call.route.target_gap_s)


async def choose(relay, call, *, wait_s):
    """Return where a call goes.

    Parameters
    ----------
    relay : RelayState
        This node.
    call : Call
        The call.
    wait_s : float
        How long it may look for a place, as ``find_place_wait_s`` tells.

    Raises
    ------
    Refusal
        If no replica takes it in time.
    """
    begun_s = read_clock()
    while True:
        candidates, usable = list_candidates(relay, call)
        placement = find_place(relay, call, candidates, now_s=read_clock())
        if is_worthwhile(call, placement):
            return placement
        is_hopeless = not usable and not call.is_begun
        if is_hopeless or read_clock() - begun_s >= wait_s:
            raise refuse_place(relay, call, placement, candidates)
        await anyio.sleep(WAIT_S)


def find_place_wait_s(call):
    """Return how long a call looks for a place, in seconds.

    Before it has begun that is a moment: a cold replica takes more soon, or memory
    becomes free. Afterwards its caller can't be told to come back, so it looks for as
    long as its caller waits for an event.
    """
    if call.is_begun:
        return find_patience_s(call)
    return WAIT_TARGETS * call.route.target_latency_s


def is_worthwhile(call, placement):
    """Tell whether a call should take a place, or None for no place, now.

    A stream that has begun takes any. Its caller has a part of the answer, and can't be
    told to come back: without a place the connection would be broken off.
    """
    if placement is None:
        return False
    return call.is_begun or placement.is_worthwhile(find_patience_s(call))


def refuse_place(relay, call, placement, candidates):
    """Return the refusal of a call that found no place, and log what decided it."""
    if placement is not None:
        cause = Cause.NO_ROOM
    else:
        cause = Cause.NO_MEMORY if candidates else Cause.NO_REPLICA
    waits_s = placement.waits_s if placement is not None else 0.0
    harm = placement.harm if placement is not None else 0.0
    come_back_s = max(COME_BACK_S, waits_s)
    if placement is not None and harm > placement.worth:
        come_back_s = max(come_back_s, call.route.target_latency_s)
    relay.log.info(
        "A request finds no place.",
        extra={"request": call.request.attempt_id, "cause": str(cause),
               "open_replicas": len(candidates), "waits_ms": round(waits_s * 1e3),
               "harm": round(harm, 1), "sent": call.sent},
    )  # fmt: skip
    return make_refusal(call, cause, come_back_s=come_back_s)


def make_refusal(call, cause, *, message="", come_back_s=COME_BACK_S):
    """Return the final answer of a call that brought none.

    Only a call that no replica can have begun is told that it hasn't run.
    """
    if call.may_have_run:
        return Refusal(502, cause, message=message)
    return Refusal(503, cause, retry_after_s=come_back_s, message=message)
