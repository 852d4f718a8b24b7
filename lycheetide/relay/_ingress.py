"""Receive callers' requests from the ASGI server."""

import anyio
import msgspec

from lycheetide.relay._memory import HeldBody
from lycheetide.relay._outcomes import CallerDisconnected, Cause, Refusal, StreamAborted
from lycheetide.relay._reply import Reply
from lycheetide.relay._serve import make_call, serve_call, wait_for_initial_state
from lycheetide.relay._state import read_clock

DISCARD_BODY_S = 0.5
"""How long the rest of a refused body is read: 0.6 MB on a link of 10 Mbit/s."""


def make_caller_app(relay):
    """Return the ASGI application that serves callers.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    """

    async def ingress(scope, receive, send):
        if scope["type"] == "lifespan":
            return
        if scope["type"] != "http":
            raise StreamAborted("only HTTP requests are served")
        await serve_request(relay, scope, receive, send)

    return ingress


async def serve_request(relay, scope, receive, send):
    """Serve one request; it is cancelled at once when its caller disconnects."""
    request = decode_head(relay, scope)
    reply = Reply(send, lambda: relay.is_leaving)
    watcher = _DisconnectWatcher(receive, reply)
    relay.active += 1
    relay.counters.add("requests")
    error: Exception | None = CallerDisconnected()
    try:
        async with anyio.create_task_group() as group:
            reply.group = group
            held_body = None
            if relay.activation.is_contended:
                held_body = HeldBody(relay, request, find_body_size(scope["headers"]))
            error = await answer_request(
                relay, request, reply, watcher, group, held_body
            )
            group.cancel_scope.cancel()
    finally:
        relay.active -= 1
        record_end(relay, request, reply, error)
    if isinstance(error, StreamAborted):
        # The server aborts the connection of an application that raises an error, so
        # that the caller doesn't take the part that was sent for the whole answer.
        raise error


async def answer_request(relay, request, reply, watcher, group, held_body):
    """Serve a request; return the error that ended it, or None."""
    try:
        body = await read_body(relay, watcher.receive, held_body)
        group.start_soon(watcher.run, group.cancel_scope)
        await wait_for_initial_state(relay, request)
        call = make_call(relay, request, body)
        if held_body is not None:
            held_body.assign(call.customer.name if call.customer else "")
        await serve_call(relay, call, reply)
        return None
    except Refusal as refusal:
        if refusal.cause is Cause.NODE_MEMORY:
            return await refuse(relay, request, refusal, reply, unread=watcher.receive)
        return await refuse(relay, request, refusal, reply)
    except (StreamAborted, CallerDisconnected) as error:
        return error
    except Exception as fault:
        # An unexpected error must end only the request in which it occurred.
        relay.log.exception(
            "A request failed inside the node.", extra={"request": request.attempt_id}
        )
        relay.counters.add("requests.fault")
        if reply.is_started:
            return StreamAborted(repr(fault))
        return await refuse(relay, request, Refusal(500, Cause.INTERNAL), reply)
    finally:
        if held_body is not None:
            held_body.release()


def decode_head(relay, scope):
    """Return the request that an ASGI connection scope describes."""
    target = scope["raw_path"]
    if scope["query_string"]:
        target += b"?" + scope["query_string"]
    return relay.adapter.decode_request(
        method=scope["method"],
        target=target,
        headers=scope["headers"],
        now_s=read_clock(),
    )


def find_body_size(headers):
    """Return the declared size of a body; 0 if it isn't declared."""
    for name, value in headers:
        if name == b"content-length" and value.isdigit():
            return int(value)
    return 0


async def read_body(relay, receive, held_body=None):
    """Return the whole body of a request.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    receive : callable
        The ASGI ``receive`` function.
    held_body : HeldBody or None
        Counts the body, and refuses it if memory is short.

    Raises
    ------
    CallerDisconnected
        If the caller disconnected before the body was complete.
    Refusal
        If the body is too large, or the node has no memory for it.
    """
    if held_body is not None:
        held_body.check(now_s=read_clock())
    max_bytes = (
        relay.route_table.routing.limits.body_bytes if relay.route_table else 1 << 22
    )
    parts = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerDisconnected
        parts.append(message.get("body", b""))
        size += len(parts[-1])
        if held_body is not None:
            held_body.add(len(parts[-1]), now_s=read_clock())
        if size > max_bytes:
            raise Refusal(413, Cause.BODY_TOO_LARGE)
        if not message.get("more_body", False):
            return b"".join(parts)


class _DisconnectWatcher:
    """Cancels a request when its caller closes the connection.

    Replicas would otherwise continue to work on an answer that nobody reads. The server
    reports a disconnect after a complete answer as well; such a request ends by itself.
    """

    def __init__(self, receive, reply):
        self.receive = receive
        self.reply = reply

    async def run(self, scope):
        """Wait for the caller to disconnect, then cancel the request."""
        while (await self.receive())["type"] != "http.disconnect":
            continue
        if not self.reply.is_complete:
            scope.cancel()


async def refuse(relay, request, refusal, reply, *, unread=None):
    """Answer a request on behalf of this node; return the refusal.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    request : CallerRequest
        The request.
    refusal : Refusal
        The answer.
    reply : Reply
        Writes to the caller.
    unread : callable or None
        The ASGI ``receive`` function, if the body wasn't read to its end.

    Returns
    -------
    Refusal or CallerDisconnected
        The refusal, or the error if the caller disconnected before it was sent.
    """
    headers = relay.adapter.encode_node_response_headers(
        request, retry_after_s=refusal.retry_after_s
    )
    body = msgspec.json.encode({"error": str(refusal.cause)})
    try:
        if unread is None:
            await reply.send_whole(refusal.status, headers, body)
        else:
            await reply.start(refusal.status, headers, length=len(body))
            await reply.write(body)
            await discard_body(unread)
            await reply.end()
    except CallerDisconnected as disconnected:
        return disconnected
    return refusal


async def discard_body(receive):
    """Read the rest of a refused body for a while, without keeping it.

    If the connection were closed before, the system would reset it, and a caller that
    still sends its body would lose the answer.
    """
    with anyio.move_on_after(DISCARD_BODY_S):
        while True:
            message = await receive()
            if message["type"] == "http.disconnect" or not message.get("more_body"):
                return


def record_end(relay, request, reply, error):
    """Count and log the outcome of a request."""
    now_s = read_clock()
    if isinstance(error, CallerDisconnected):
        outcome = "caller_left"
    elif isinstance(error, Refusal):
        outcome = f"refused.{error.status}.{error.cause}"
    elif error is not None:
        outcome = "cut"
    else:
        outcome = f"answered.{reply.status}"
    relay.counters.add(f"ended.{outcome}")
    kind = outcome.partition(".")[0]
    relay.metrics_exporter.observe("request", now_s - request.received_s, kind=kind)
    relay.log.info(
        "A request ended.",
        extra={
            "request": request.attempt_id,
            "outcome": outcome,
            "status": reply.status,
            "took_ms": round((now_s - request.received_s) * 1e3),
            "cause": str(error) if error else "",
            "version": relay.route_table.routing.version if relay.route_table else 0,
            **reply.notes,
        },
    )


def make_readiness_app(relay):
    """Return the ASGI application that tells the load balancer of readiness."""

    async def readiness(scope, receive, send):
        if scope["type"] != "http":
            return
        is_ready_path = scope["path"] == relay.adapter.READY_PATH
        ready = is_ready_path and relay.is_ready(now_s=read_clock())
        await Reply(send, lambda: False).send_whole(200 if ready else 503, [], b"")

    return readiness
