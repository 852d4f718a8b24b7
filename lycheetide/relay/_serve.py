"""Serve one caller's request, from its decoded head to the final answer."""

import anyio

from lycheetide.placement import RequestSize
from lycheetide.quarantine import hash_parts
from lycheetide.relay._buffered import serve_buffered
from lycheetide.relay._call import Call
from lycheetide.relay._outcomes import Cause, Refusal, StreamAborted
from lycheetide.relay._quarantine import (
    cancelled_by_quarantine,
    check_quarantine,
    make_quarantine_refusal,
    make_unsettled_refusal,
    wait_until_settled,
)
from lycheetide.relay._selection import (
    DEFAULT_RETRY_DELAY_S,
    make_refusal,
    pick_service,
)
from lycheetide.relay._state import read_clock
from lycheetide.relay._stop import make_stop_refusal, may_outlast_stop
from lycheetide.relay._stream import serve_stream
from lycheetide.relay._writer import serve_buffered_reply
from lycheetide.routes import CustomerNotFound, RouteKind, RouteNotFound

INITIAL_STATE_POLL_S = 0.01
ANSWER_MARGIN_S = 0.03
"""Time reserved before the caller's deadline for sending the final answer."""


async def wait_for_initial_state(relay, request):
    """Wait briefly for configuration and registry on a node that has just started.

    The wait is no longer than the retry delay that a refusal would give the caller:
    otherwise the request would be refused, and retried after the node is ready.
    """
    remaining_s = DEFAULT_RETRY_DELAY_S
    if request.time_left_s is not None:
        remaining_s = min(remaining_s, request.time_left_s - ANSWER_MARGIN_S)
    until_s = request.received_s + remaining_s
    while relay.is_loading_first_state() and read_clock() < until_s:
        await anyio.sleep(INITIAL_STATE_POLL_S)


def make_call(relay, request, body):
    """Return the call for a request.

    Raises
    ------
    Refusal
        If this node has no configuration yet, or the configuration doesn't permit the
        request.
    """
    route_table = relay.route_table
    if route_table is None:
        raise Refusal(503, Cause.NOT_READY, retry_after_s=DEFAULT_RETRY_DELAY_S)
    try:
        route = route_table.find_route(request.host, request.path)
        customer = route_table.find_customer(route, request.credential)
    except RouteNotFound as error:
        raise Refusal(404, Cause.NO_ROUTE, message=str(error)) from error
    except CustomerNotFound as error:
        raise Refusal(401, Cause.UNAUTHENTICATED, message=str(error)) from error
    service = route_table.services.get(pick_service(relay, route))
    if service is None:
        raise Refusal(503, Cause.NO_REPLICA, retry_after_s=DEFAULT_RETRY_DELAY_S)
    remaining_s = route.timeout_s
    if request.time_left_s is not None:
        remaining_s = min(remaining_s, request.time_left_s)
    return Call(
        request=request,
        body=body,
        route=route,
        service=service,
        customer=customer,
        size=RequestSize(request.prompt_tokens, request.answer_tokens),
        deadline_s=request.received_s + remaining_s - ANSWER_MARGIN_S,
        parts=make_call_parts(service, request),
    )


def make_call_parts(service, request):
    """Return the hashes of a prompt's parts, its own one last; empty for no prompt."""
    if not request.prompt_id and not request.shared_parts:
        return ()
    own = request.prompt_id or request.attempt_id
    return hash_parts(service.name, (*request.shared_parts, own))


async def serve_call(relay, call, reply):
    """Send the caller its answer, or refuse the call at its deadline.

    Raises
    ------
    Refusal
        If the call ends without an answer of a replica and nothing was sent yet.
    StreamAborted
        If the call ends after a part of the answer was sent.
    """
    now_s = read_clock()
    relay.retries(call.service.name).record_request(now_s=now_s)
    reply.note(
        route=call.route.name,
        customer=call.customer.name if call.customer else "",
        target_ms=round(call.route.target_latency_s * 1e3),
        gap_ms=round(call.route.target_gap_s * 1e3),
    )
    if may_outlast_stop(relay, call, now_s=now_s):
        raise make_stop_refusal(relay)
    if not await wait_until_settled(relay, call):
        raise make_unsettled_refusal(relay, call)
    check_quarantine(relay, call, now_s=now_s)
    serve = serve_stream if call.route.kind is RouteKind.STREAM else serve_buffered
    with (
        anyio.move_on_after(max(0.0, call.remaining_s(now_s=now_s))) as scope,
        cancelled_by_quarantine(relay, call, scope),
    ):
        if relay.activation.is_contended:
            await serve_buffered_reply(relay, call, reply, serve)
        else:
            await serve(relay, call, reply)
    if not scope.cancelled_caught:
        return
    if call.is_quarantined:
        refusal = make_quarantine_refusal(relay, call)
        if reply.is_started:
            raise StreamAborted("the prompt is in quarantine")
        raise refusal
    if reply.is_started:
        raise StreamAborted("the deadline passed before the response was complete")
    refusal = make_refusal(call, Cause.DEADLINE)
    if call.may_have_run or call.sent:
        refusal = Refusal(504, Cause.DEADLINE)
    raise refusal
