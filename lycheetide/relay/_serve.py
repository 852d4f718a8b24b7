"""Serve one caller's request, from its head to its final answer."""

import anyio

from lycheetide.placement import Size
from lycheetide.relay._call import Call
from lycheetide.relay._outcomes import Cause, Refusal, StreamCut
from lycheetide.relay._place import COME_BACK_S, make_refusal, pick_service
from lycheetide.relay._plain import serve_plain
from lycheetide.relay._state import read_clock
from lycheetide.relay._stream import serve_stream
from lycheetide.routes import Kind, NoCustomer, NoRoute

FIRST_NEWS_LOOK_S = 0.01
ANSWER_MARGIN_S = 0.03
"""Kept back for the final answer's own way to the caller."""


async def wait_for_first_news(relay, request):
    """Wait a moment for configuration and replicas at a node that has just started.

    No longer than its caller would be told to stay away; then it would be refused, and
    come back after the node is ready.
    """
    left_s = COME_BACK_S
    if request.time_left_s is not None:
        left_s = min(left_s, request.time_left_s - ANSWER_MARGIN_S)
    until_s = request.received_s + left_s
    while relay.awaits_first_news() and read_clock() < until_s:
        await anyio.sleep(FIRST_NEWS_LOOK_S)


def make_call(relay, request, body):
    """Return the call that a request is, or refuse it.

    Raises
    ------
    Refusal
        If this node knows no configuration, or the configuration doesn't allow it.
    """
    table = relay.table
    if table is None:
        raise Refusal(503, Cause.NOT_READY, retry_after_s=COME_BACK_S)
    try:
        route = table.find_route(request.host, request.path)
        customer = table.find_customer(route, request.credential)
    except NoRoute as error:
        raise Refusal(404, Cause.NO_ROUTE, message=str(error)) from error
    except NoCustomer as error:
        raise Refusal(401, Cause.UNAUTHENTICATED, message=str(error)) from error
    service = table.services.get(pick_service(relay, route))
    if service is None:
        raise Refusal(503, Cause.NO_REPLICA, retry_after_s=COME_BACK_S)
    left_s = route.timeout_s
    if request.time_left_s is not None:
        left_s = min(left_s, request.time_left_s)
    return Call(
        request=request,
        body=body,
        route=route,
        service=service,
        customer=customer,
        size=Size(request.prompt_tokens, request.answer_tokens),
        deadline_s=request.received_s + left_s - ANSWER_MARGIN_S,
    )


async def serve_call(relay, call, reply):
    """Bring a call its answer, or its refusal when its time is up.

    Raises
    ------
    Refusal
        If it ends without a replica's answer and nothing was written yet.
    StreamCut
        If it ends after a part of the answer was written.
    """
    now_s = read_clock()
    relay.retries(call.service.name).note_request(now_s=now_s)
    reply.note(
        route=call.route.name,
        customer=call.customer.name if call.customer else "",
        target_ms=round(call.route.target_latency_s * 1e3),
        gap_ms=round(call.route.target_gap_s * 1e3),
    )
    serve = serve_stream if call.route.kind is Kind.STREAM else serve_plain
    with anyio.move_on_after(max(0.0, call.left_s(now_s=now_s))) as scope:
        await serve(relay, call, reply)
    if not scope.cancelled_caught:
        return
    if reply.is_started:
        raise StreamCut("its time is up")
    refusal = make_refusal(call, Cause.DEADLINE)
    if call.may_have_run or call.sent:
        refusal = Refusal(504, Cause.DEADLINE)
    raise refusal
