"""Take callers' requests from the HTTP server."""

import anyio
import msgspec

from lycheetide.relay._outcomes import CallerLeft, Cause, Refusal, StreamCut
from lycheetide.relay._reply import Reply
from lycheetide.relay._serve import make_call, serve_call, wait_for_first_news
from lycheetide.relay._state import read_clock


def make_ingress(relay):
    """Return the application that serves callers.

    Parameters
    ----------
    relay : RelayState
        This node.
    """

    async def ingress(scope, receive, send):
        if scope["type"] == "lifespan":
            return
        if scope["type"] != "http":
            raise StreamCut("only HTTP requests are served")
        await serve_one(relay, scope, receive, send)

    return ingress


async def serve_one(relay, scope, receive, send):
    """Serve one request; it ends at once when its caller leaves."""
    request = read_head(relay, scope)
    reply = Reply(send, lambda: relay.is_leaving)
    watch = _Watch(receive, reply)
    relay.active += 1
    relay.counters.add("requests")
    error: Exception | None = CallerLeft()
    try:
        async with anyio.create_task_group() as group:
            error = await answer(relay, request, reply, watch, group)
            group.cancel_scope.cancel()
    finally:
        relay.active -= 1
        note_end(relay, request, reply, error)
    if isinstance(error, StreamCut):
        # The server breaks the connection of an application that fails, so the part
        # that was written doesn't look like a whole answer.
        raise error


async def answer(relay, request, reply, watch, group):
    """Serve a request; return the error that ended it, or None."""
    try:
        body = await read_body(relay, watch.receive)
        group.start_soon(watch.run, group.cancel_scope)
        await wait_for_first_news(relay, request)
        await serve_call(relay, make_call(relay, request, body), reply)
        return None
    except Refusal as refusal:
        return await refuse(relay, request, refusal, reply)
    except (StreamCut, CallerLeft) as error:
        return error
    except Exception as fault:
        # An unforeseen fault ends its own request and nothing else.
        relay.log.exception(
            "A request failed inside the node.", extra={"request": request.attempt_id}
        )
        relay.counters.add("requests.fault")
        if reply.is_started:
            return StreamCut(repr(fault))
        return await refuse(relay, request, Refusal(500, Cause.INTERNAL), reply)


def read_head(relay, scope):
    """Return the request that a connection's scope describes."""
    target = scope["raw_path"]
    if scope["query_string"]:
        target += b"?" + scope["query_string"]
    return relay.adapter.decode_request(
        method=scope["method"],
        target=target,
        headers=scope["headers"],
        now_s=read_clock(),
    )


async def read_body(relay, receive):
    """Return the whole body.

    Raises
    ------
    CallerLeft
        If the caller left before it was sent.
    Refusal
        If it is too large.
    """
    largest = relay.table.routing.limits.body_bytes if relay.table else 1 << 22
    parts = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerLeft
        parts.append(message.get("body", b""))
        size += len(parts[-1])
        if size > largest:
            raise Refusal(413, Cause.BODY_TOO_LARGE)
        if not message.get("more_body", False):
            return b"".join(parts)


class _Watch:
    """Ends a request when its caller closes the connection.

    Replicas would otherwise work on for nobody. The server tells of the same event
    behind a complete answer, which ends by itself.
    """

    def __init__(self, receive, reply):
        self.receive = receive
        self.reply = reply

    async def run(self, scope):
        """Wait for the caller to leave, then cancel the request."""
        while (await self.receive())["type"] != "http.disconnect":
            continue
        if not self.reply.is_complete:
            scope.cancel()


async def refuse(relay, request, refusal, reply):
    """Answer a request that no replica's answer goes to; return the refusal."""
    headers = relay.adapter.encode_own_answer(
        request, retry_after_s=refusal.retry_after_s
    )
    body = msgspec.json.encode({"error": str(refusal.cause)})
    try:
        await reply.give(refusal.status, headers, body)
    except CallerLeft as left:
        return left
    return refusal


def note_end(relay, request, reply, error):
    """Count and log how a request ended."""
    now_s = read_clock()
    if isinstance(error, CallerLeft):
        outcome = "caller_left"
    elif isinstance(error, Refusal):
        outcome = f"refused.{error.status}.{error.cause}"
    elif error is not None:
        outcome = "cut"
    else:
        outcome = f"answered.{reply.status}"
    relay.counters.add(f"ended.{outcome}")
    kind = outcome.partition(".")[0]
    relay.exposition.observe("request", now_s - request.received_s, kind=kind)
    relay.log.info(
        "A request ended.",
        extra={
            "request": request.attempt_id,
            "outcome": outcome,
            "status": reply.status,
            "took_ms": round((now_s - request.received_s) * 1e3),
            "cause": str(error) if error else "",
            "version": relay.table.routing.version if relay.table else 0,
            **reply.notes,
        },
    )


def make_readiness(relay):
    """Return the application that tells the balancer whether to send callers."""

    async def readiness(scope, receive, send):
        if scope["type"] != "http":
            return
        known = scope["path"] == relay.adapter.READY_PATH
        ready = known and relay.is_ready(now_s=read_clock())
        await Reply(send, lambda: False).give(200 if ready else 503, [], b"")

    return readiness
