"""Choose the replica for a call, within the limits of cold replicas and named ones."""

import anyio

from lycheetide.gossip import START_WINDOW_S
from lycheetide.placement import (
    MAX_HELPERS,
    PROPAGATION_DELAY_S,
    SHORT_PREFILL_S,
    Arrivals,
    estimate_prefill_s,
    estimate_unknown_requests,
    find_send_share,
    may_send,
    place_prompt,
    share_cold_limits,
)
from lycheetide.relay._admission import (
    LOOK_INTERVAL_S,
    UNQUEUED,
    bound_retry_delay_s,
    find_patience_s,
    hold_position,
)
from lycheetide.relay._broadcast import estimate_propagation_s
from lycheetide.relay._capacity import (
    find_margin_tokens,
    find_open_replicas,
    list_restarted,
    place_plain_call,
)
from lycheetide.relay._named_limits import list_unconfirmed, make_opening_finder
from lycheetide.relay._outcomes import Cause, Refusal
from lycheetide.relay._state import read_clock
from lycheetide.routes import DEFAULT_ENGINE

DEFAULT_RETRY_DELAY_S = 0.5
"""Delay in the Retry-After header when no replica takes work: changes in the registry
arrive within 1 s."""
MAX_WAIT_SHARE = 0.5
"""Longest wait for a placement, as a share of the target time of the first event. A
call that waited longer is refused, so that its caller can retry in time."""


def pick_service(relay, route):
    """Draw the service for a request at random, by the weights of its route."""
    shares = route.shares
    if len(shares) == 1:
        return shares[0].service
    weights = [share.weight for share in shares]
    return relay.random.choices([share.service for share in shares], weights)[0]


def is_within_cold_limit(
    relay,
    service,
    candidate,
    *,
    find_allowance,
    now_s,
    send_share=1.0,
    is_last_resort=False,
):
    """Tell whether one more request may go to a replica within its cold limit.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    service : Service
        The service of the replica.
    candidate : Candidate
        The replica.
    find_allowance : callable
        Returns this node's share of a cold limit, as made by ``share_cold_limits``.
    now_s : float
        The present time.
    send_share : float, default=1
        This node's share of the rest of a limit, from ``find_send_share``.
    is_last_resort : bool, default=False
        Whether the call would be refused otherwise; see ``may_send``.
    """
    limit = service.cold_requests_per_s
    if limit <= 0:
        return True
    own_starts = relay.own_starts(candidate.id, START_WINDOW_S, now_s=now_s)
    all_starts = relay.job_table.starts_within(
        candidate.id, START_WINDOW_S, now_s=now_s
    )
    if not (candidate.is_cold or own_starts or all_starts):
        # True of most replicas in a large fleet. Skips the computation of this node's
        # share for each of them, which would dominate the cost of a placement.
        return True
    return may_send(
        limit,
        allowance=find_allowance(limit, candidate.id),
        own_starts=own_starts,
        own_recent=relay.own_recent(candidate.id, now_s=now_s),
        all_starts=all_starts,
        is_cold=candidate.is_cold,
        is_last_resort=is_last_resort,
        send_share=send_share,
    )


def list_candidates(relay, call):
    """Return the replicas that a call may be sent to at present.

    Returns
    -------
    admissible : list of Candidate
        Replicas within their cold limits and within the limits that they name.
    usable : list of Candidate
        All replicas that take work.
    """
    relay.receive_datagrams()
    now_s = read_clock()
    usable = list_usable(
        relay, call, now_s=now_s, without=relay.list_withheld(now_s=now_s)
    )
    living = relay.list_alive_nodes(now_s=now_s)
    find_allowance = share_cold_limits(relay.node, living)
    find_opening_s = make_opening_finder(relay, living, now_s=now_s)
    own_starts, all_starts = relay.job_table.count_starts(
        relay.node, unknown_s=PROPAGATION_DELAY_S, now_s=now_s
    )
    send_share = find_send_share(own_starts, all_starts, len(living))
    within_limits = [
        one for one in usable if not one.is_limited or find_opening_s(one.id) <= 0.0
    ]
    for is_last_resort in (False, True):
        admissible = [
            one
            for one in within_limits
            if is_within_cold_limit(
                relay,
                call.service,
                one,
                find_allowance=find_allowance,
                send_share=send_share,
                now_s=now_s,
                is_last_resort=is_last_resort,
            )
        ]
        if admissible:
            break
    return admissible, usable


def list_usable(relay, call, *, now_s, without=frozenset()):
    """Return the replicas that take work and that a call may be sent to.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    call : Call
        The call.
    now_s : float
        The present time.
    without : set of str
        Ids of replicas to leave out, besides those that the call excludes.
    """
    return relay.candidates(
        call.service,
        now_s=now_s,
        without=call.list_excluded(now_s=now_s) - list_restarted(relay, call) | without,
        homes=call.list_homes(),
    )


def find_placement(relay, call, candidates, *, now_s):
    """Return the placement for a call, or None if there is none.

    The first attempt of a short request goes to a replica of which it isn't known
    whether it still names its limit, if there is one.
    """
    engine = call.service.engine or DEFAULT_ENGINE
    is_short = estimate_prefill_s(engine, call.size.prompt_tokens) <= SHORT_PREFILL_S
    unconfirmed = list_unconfirmed(relay, candidates, now_s=now_s)
    if unconfirmed and is_short and call.sent == 0:
        placement = find_best_placement(relay, call, unconfirmed, now_s=now_s)
        if is_worthwhile(call, placement):
            return placement
    return find_best_placement(relay, call, candidates, now_s=now_s)


def find_best_placement(relay, call, candidates, *, now_s):
    """Return the placement for a call by the load of the candidates, or None."""
    if not call.size.prompt_tokens:
        return place_plain_call(relay, call, candidates, now_s=now_s)
    open_candidates = find_open_replicas(relay, candidates)
    if call.is_begun:
        # Its caller has a part of the answer and can't be asked to retry.
        open_candidates = open_candidates or candidates
    arrivals = estimate_arrivals(relay, call, candidates, now_s=now_s)
    engine = call.service.engine or DEFAULT_ENGINE
    # A replica refuses a prompt if one of its helpers is shutting down. Other nodes may
    # not know that yet while the store is unavailable, so a second attempt with helpers
    # would be refused as well.
    return place_prompt(
        engine,
        call.size,
        open_candidates,
        target_s=call.route.target_latency_s,
        left_s=find_first_event_due_s(call) - now_s,
        patience_s=find_patience_s(call),
        arrivals=arrivals,
        max_helpers=0 if call.helpers_refused else MAX_HELPERS,
        unknown=estimate_unknown_requests(
            relay.job_table.starts_per_s(now_s=now_s),
            estimate_propagation_s(relay, now_s=now_s),
            len(relay.peers.alive(now_s=now_s)) + 1,
        ),
        draw=relay.random.random(),
        reserved=count_reserved(relay, call, candidates, now_s=now_s),
        margin_tokens=find_margin_tokens(
            relay, engine, candidates, arrivals, now_s=now_s
        ),
        is_contended=relay.activation.is_contended,
    )


def count_reserved(relay, call, candidates, *, now_s):
    """Return how many replicas are kept for short prompts of a call's service.

    It is 0 for a short prompt, which may use all of them, and where requests don't
    compete for capacity.
    """
    engine = call.service.engine or DEFAULT_ENGINE
    prefill_s = estimate_prefill_s(engine, call.size.prompt_tokens)
    if not relay.activation.is_contended or prefill_s <= SHORT_PREFILL_S:
        return 0
    return relay.demand.count_reserved(
        call.service.name, engine, len(candidates), now_s=now_s
    )


def estimate_arrivals(relay, call, candidates, *, now_s):
    """Return the request rate and the shortest target of a call's service."""
    starts = sum(
        relay.job_table.starts_within(one.id, START_WINDOW_S, now_s=now_s)
        for one in candidates
    )
    target_s = relay.route_table.find_shortest_target_s(call.service.name)
    return Arrivals(starts / START_WINDOW_S, target_s)


def has_placement(relay, call, *, now_s):
    """Tell whether a replica would take a call at present."""
    admissible, _ = list_candidates(relay, call)
    return is_worthwhile(call, find_placement(relay, call, admissible, now_s=now_s))


def find_first_event_due_s(call):
    """Return the time at which the first event of a call's answer is due."""
    return call.request.received_s + call.route.target_latency_s


async def choose_placement(relay, call, *, wait_s):
    """Return a placement for a call, waiting for one if necessary.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    call : Call
        The call.
    wait_s : float
        Longest wait for a placement, as returned by ``find_placement_wait_s``.

    Raises
    ------
    Refusal
        If no replica takes the call in time.
    """
    begun_s = read_clock()
    with hold_position(relay, call, wait_s=wait_s, now_s=begun_s) as position:
        wait_s = position.find_wait_s(wait_s)
        while True:
            candidates, usable = list_candidates(relay, call)
            now_s = read_clock()
            placement = find_placement(relay, call, candidates, now_s=now_s)
            if is_worthwhile(call, placement) and position.may_take(
                placement, candidates, now_s=now_s
            ):
                position.record_served()
                return placement
            opening_s = find_earliest_opening_s(relay, call, usable, now_s=read_clock())
            is_unservable = opening_s > wait_s and not call.is_begun
            must_leave = position.must_leave(candidates, now_s=now_s)
            is_refused = is_unservable or must_leave
            if is_refused or read_clock() - begun_s >= wait_s:
                raise make_placement_refusal(
                    relay, call, placement, candidates,
                    rest_s=0.0 if usable else opening_s, position=position,
                )  # fmt: skip
            position.announce(now_s=now_s)
            await anyio.sleep(position.look_interval_s)


def find_earliest_opening_s(relay, call, usable, *, now_s):
    """Return after how long some replica takes a request of this node, in seconds.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    call : Call
        The call.
    usable : list of Candidate
        Replicas that take work; if there are none, those that rest are considered.
    now_s : float
        The present time.

    Returns
    -------
    float
        0 if a replica takes one now; infinity if none is known to take any.
    """
    if not usable:
        waiting_ids = {one.id for one in list_usable(relay, call, now_s=now_s)}
        return min(
            (
                relay.rests.left_s(life, now_s=now_s)
                for life in relay.rests.list_resting(now_s=now_s)
                if life.replica in waiting_ids
            ),
            default=float("inf"),
        )
    if not all(one.is_limited for one in usable):
        return 0.0
    living = relay.list_alive_nodes(now_s=now_s)
    find_opening_s = make_opening_finder(relay, living, now_s=now_s)
    return min((find_opening_s(one.id) for one in usable), default=float("inf"))


def find_placement_wait_s(call):
    """Return how long a call waits for a placement, in seconds.

    Before any of the answer was sent, the wait is short: a cold replica soon takes more
    requests, or memory becomes free. Afterwards the caller can't be asked to retry, so
    the call waits for as long as the caller waits for an event.
    """
    if call.is_begun:
        return find_patience_s(call)
    return MAX_WAIT_SHARE * call.route.target_latency_s


def is_worthwhile(call, placement):
    """Tell whether a call should use a placement; False if there is none.

    A stream that has begun takes any placement. Its caller has a part of the answer and
    can't be asked to retry: without a placement the connection would be aborted.
    """
    if placement is None:
        return False
    return call.is_begun or placement.is_worthwhile(find_patience_s(call))


def make_placement_refusal(
    relay, call, placement, candidates, *, rest_s=0.0, position=UNQUEUED
):
    """Log why a call got no placement, and return its refusal.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    call : Call
        The call.
    placement : Placement or None
        The best placement, which isn't worthwhile.
    candidates : list of Candidate
        Replicas that the call could have been sent to.
    rest_s : float, default=0
        Time until the first replica has rested, if all do; infinity if none will.
    position : QueuePosition or UnqueuedPosition
        The call's position in the queue.
    """
    is_full = candidates and not find_open_replicas(relay, candidates)
    if placement is not None or is_full:
        cause = Cause.NO_ROOM
    else:
        cause = Cause.NO_MEMORY if candidates else Cause.NO_REPLICA
    prefill_wait_s = placement.prefill_wait_s if placement is not None else 0.0
    harm = placement.harm if placement is not None else 0.0
    retry_delay_s = max(DEFAULT_RETRY_DELAY_S, prefill_wait_s)
    if placement is not None and harm > placement.worth:
        retry_delay_s = max(retry_delay_s, call.route.target_latency_s)
    if 0.0 < rest_s < float("inf"):
        retry_delay_s = max(rest_s, LOOK_INTERVAL_S)
    relay.log.info(
        "A request could not be placed.",
        extra={"request": call.request.attempt_id, "cause": str(cause),
               "open_replicas": len(candidates),
               "waits_ms": round(prefill_wait_s * 1e3),
               "harm": round(harm, 1), "sent": call.sent},
    )  # fmt: skip
    retry_delay_s = position.defer(
        candidates,
        retry_delay_s=retry_delay_s,
        is_rest=0.0 < rest_s < float("inf"),
        now_s=read_clock(),
    )
    if relay.activation.is_contended:
        retry_delay_s = bound_retry_delay_s(call, retry_delay_s, now_s=read_clock())
    return make_refusal(call, cause, retry_delay_s=retry_delay_s)


def make_refusal(call, cause, *, message="", retry_delay_s=DEFAULT_RETRY_DELAY_S):
    """Return the final answer to a call that failed.

    Only a call that no replica can have started is reported as not run (status 503).
    """
    if call.may_have_run:
        return Refusal(502, cause, message=message)
    return Refusal(503, cause, retry_after_s=retry_delay_s, message=message)
