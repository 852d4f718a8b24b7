"""HTTP routes for callers; answers are JSON or a stream of server-sent events."""

from collections.abc import AsyncIterator

import msgspec
from starlette.applications import Starlette
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from lycheetide.metrics import get_logger
from lycheetide.node._answer_stream import start_answer
from lycheetide.node._booking_errors import make_refused_key_error
from lycheetide.node._booking_keys import issue_key, validate_key
from lycheetide.node._bookings import serve_booking
from lycheetide.node._disconnects import (
    CallerDisconnected,
    remember_disconnect,
    serve_while_connected,
)
from lycheetide.node._lifecycle import wait_for_stall_recovery
from lycheetide.node._lookups import serve_lookup
from lycheetide.node._prompts import Prompt, to_request_error
from lycheetide.node._state import STALL_RECOVERY_S, generate_id, read_clock
from lycheetide.outcomes import NotRunError, Reason, RequestError
from lycheetide.routing import (
    AdmittedRequest,
    authenticate,
    check_body_size,
    estimate_tokens,
    find_deadline,
    find_request_class,
)

DONE_EVENT = b"data: [DONE]\n\n"
MAX_ANSWER_TOKENS = 32_768
REQUEST_ID_HEADER = "x-request-id"
CLIENT_CLOSED_REQUEST = 499
"""Status of a response to a caller that has disconnected (as nginx uses it)."""

log = get_logger("door")


class PromptBody(msgspec.Struct, frozen=True):
    """The body of ``POST /v1/completions``."""

    model: str
    prompt: str
    max_tokens: int = 256
    stream: bool = False


async def read_body(request, max_bytes):
    """Read a request body of at most ``max_bytes`` bytes.

    Raises
    ------
    NotRunError
        If the body is larger.
    """
    content_length = request.headers.get("content-length", "")
    if content_length.isdigit():
        check_body_size(int(content_length), max_bytes)
    parts = []
    size = 0
    async for part in request.stream():
        size += len(part)
        check_body_size(size, max_bytes)
        parts.append(part)
    return b"".join(parts)


async def admit(node, request, request_id):
    """Authenticate a request and determine its class and deadline.

    Raises
    ------
    NotRunError
        If the node does not accept requests, or a header is invalid.
    """
    now_s = read_clock()
    await wait_for_stall_recovery(
        node, until_s=now_s + find_recovery_wait_s(request.headers)
    )
    if not node.has_state_flag("accepting"):
        raise NotRunError(
            Reason.NOT_READY,
            f"this node accepts no requests (state {node.lifecycle_state})",
            retry_after_s=1.0,
        )
    headers = request.headers
    customer = authenticate(
        headers.get("authorization", ""), node.fleet.customers.values()
    )
    request_class = find_request_class(headers.get("x-class", ""), node.fleet.classes)
    deadline_s = find_deadline(
        headers.get("x-deadline-ms", ""), request_class, now_s=now_s
    )
    return AdmittedRequest(request_id, customer, request_class, now_s, deadline_s)


def find_recovery_wait_s(headers):
    """Return how long a request may wait for its node to recover from a stall.

    The wait comes before the class of the request is determined, so only the deadline
    header limits it. A header that is not a number is reported later.

    Examples
    --------
    >>> find_recovery_wait_s({"x-deadline-ms": "500"})
    0.5
    >>> find_recovery_wait_s({"x-deadline-ms": "soon"})
    2.0
    >>> find_recovery_wait_s({"x-deadline-ms": chr(0xB2)})
    2.0
    """
    header = headers.get("x-deadline-ms", "")
    return int(header) / 1e3 if header.isdecimal() else STALL_RECOVERY_S


def parse_prompt(body, fleet):
    """Parse and validate the body of a completion request.

    Raises
    ------
    NotRunError
        If the body is invalid; the message names the value and what was expected.
    """
    try:
        parsed = msgspec.json.decode(body, type=PromptBody)
    except msgspec.MsgspecError as error:
        raise NotRunError(Reason.BAD_BODY, str(error), status=400) from None
    model = fleet.models.get(parsed.model)
    if model is None:
        known = ", ".join(sorted(fleet.models)) or "none"
        raise NotRunError(
            Reason.UNKNOWN_MODEL,
            f"got model {parsed.model!r}, known are {known}",
            status=404,
        )
    if not 0 < parsed.max_tokens <= MAX_ANSWER_TOKENS:
        raise NotRunError(
            Reason.BAD_BODY,
            f"got max_tokens {parsed.max_tokens}, "
            f"expected from 1 to {MAX_ANSWER_TOKENS}",
            status=400,
        )
    tokens = estimate_tokens(parsed.prompt)
    if tokens > model.max_prompt_tokens:
        raise NotRunError(
            Reason.PROMPT_TOO_LONG,
            f"got {tokens} tokens, expected at most {model.max_prompt_tokens}",
            status=413,
        )
    return parsed


def make_error_response(error, request_id):
    """Return the JSON response for a request that ended with an error."""
    headers = {REQUEST_ID_HEADER: request_id}
    if error.retry_after_s:
        headers["retry-after"] = str(max(1, round(error.retry_after_s)))
    return JSONResponse(
        {"error": describe_error(error)}, status_code=error.status, headers=headers
    )


def describe_error(error):
    """Return the fields of a ``RequestError`` that are sent to the caller."""
    described = {
        "outcome": str(error.outcome),
        "reason": str(error.reason),
        "message": error.message,
    }
    if error.retry_after_s:
        described["retry_after_ms"] = int(error.retry_after_s * 1000)
    return described


class CallerApi:
    """The HTTP routes that one node serves to callers.

    Parameters
    ----------
    node : NodeState
        The node.
    """

    def __init__(self, node):
        self.node = node

    def make_app(self):
        """Return the HTTP application."""
        app = Starlette(
            routes=[
                Route("/healthz", self.get_health),
                Route("/readyz", self.get_readiness),
                Route("/v1/completions", self.complete, methods=["POST"]),
                Route("/v1/keys", self.create_key, methods=["POST"]),
                Route(
                    "/v1/services/{service}/{operation}",
                    self.call_service,
                    methods=["POST"],
                ),
            ]
        )
        return remember_disconnect(app)

    async def get_health(self, request):
        """Liveness probe: report that the process runs."""
        return JSONResponse({"node": self.node.own.host})

    async def get_readiness(self, request):
        """Readiness probe: tell the load balancer whether to route callers here."""
        ready = self.node.has_state_flag("ready")
        return JSONResponse({"state": self.node.lifecycle_state}, 200 if ready else 503)

    async def _run_handler(self, request, serve):
        """Run the handler of one request and turn any exception into a response.

        ``serve`` returns the response and whether the request stays active after it,
        as a streamed one does until its stream has ended.
        """
        request_id = generate_id()
        node = self.node
        node.counters.add("requests")
        node.active[request_id] = read_clock()
        keeps_active = False
        try:
            response, keeps_active = await serve(request, request_id)
            return response
        except CallerDisconnected:
            return self._record_disconnect(request_id)
        except Exception as caught:
            if not isinstance(caught, RequestError):
                log.exception("A request failed inside the node.")
            error = to_request_error(caught)
            self._record_error(request_id, error)
            return make_error_response(error, request_id)
        finally:
            if not keeps_active:
                node.active.pop(request_id, None)

    def _record_error(self, request_id, error):
        """Count and log an error, and record it for ``lycheetide explain``."""
        self.node.counters.add_refusal(error)
        self.node.note(
            request_id, "The request ended with an error.",
            outcome=str(error.outcome), reason=str(error.reason),
        )  # fmt: skip
        log.info(
            "A request ended with an error.",
            extra={"request_id": request_id, "outcome": str(error.outcome),
                   "reason": str(error.reason), "cause": error.message},
        )  # fmt: skip

    def _record_disconnect(self, request_id):
        """Count and log a disconnect; return a response that is never read."""
        self.node.counters.add("requests.caller_left")
        self.node.note(request_id, "The caller disconnected.")
        log.info("The caller disconnected.", extra={"request_id": request_id})
        return Response(status_code=CLIENT_CLOSED_REQUEST)

    async def create_key(self, request):
        """Issue an idempotency key."""
        return await self._run_handler(request, self._create_key)

    async def _create_key(self, request, request_id):
        admitted = await admit(self.node, request, request_id)
        key = issue_key(self.node, admitted.customer, now_s=read_clock())
        body = {"key": key.text, "mode": key.mode.name.lower()}
        return JSONResponse(body, headers={REQUEST_ID_HEADER: request_id}), False

    async def call_service(self, request):
        """Call an operation of a service."""
        return await self._run_handler(request, self._call_service)

    async def _call_service(self, request, request_id):
        node = self.node
        try:
            admitted = await admit(node, request, request_id)
        except NotRunError as refusal:
            if not request.headers.get("idempotency-key"):
                raise
            raise make_refused_key_error(refusal) from None
        params = request.path_params
        name = f"{params['service']}/{params['operation']}"
        operation = node.fleet.operations.get(name)
        if operation is None:
            raise NotRunError(
                Reason.UNKNOWN_SERVICE, f"got {name!r}, expected a known operation",
                status=404,
            )  # fmt: skip
        body = await read_body(request, node.settings.max_body_bytes)
        try:
            msgspec.json.decode(body)
        except msgspec.MsgspecError as error:
            raise NotRunError(Reason.BAD_BODY, str(error), status=400) from None

        async def serve():
            if operation.idempotent:
                return await serve_lookup(node, admitted, operation, body)
            key = validate_key(
                request.headers.get("idempotency-key", ""), admitted.customer
            )
            return await serve_booking(node, admitted, operation, body, key)

        answer = await serve_while_connected(request, serve)
        node.counters.add("answers")
        headers = {REQUEST_ID_HEADER: request_id}
        return JSONResponse(answer.body, answer.status, headers), False

    async def complete(self, request):
        """Complete a prompt."""
        return await self._run_handler(request, self._complete)

    async def _complete(self, request, request_id):
        node = self.node
        admitted = await admit(node, request, request_id)
        body = await read_body(request, node.settings.max_body_bytes)
        parsed = parse_prompt(body, node.fleet)
        prompt = Prompt(parsed.model, parsed.prompt, parsed.max_tokens)
        node.note(
            request_id, "The request was admitted.",
            customer=admitted.customer.name, request_class=admitted.request_class.name,
            tokens=estimate_tokens(prompt.text),
        )  # fmt: skip
        answer = start_answer(node, admitted, prompt)
        if not parsed.stream:
            return await serve_while_connected(
                request, lambda: self._collect(answer, parsed, request_id)
            ), False
        first = await serve_while_connected(request, answer.receive_first)
        events = self._stream(answer, first, parsed, request_id)
        headers = {REQUEST_ID_HEADER: request_id, "cache-control": "no-store"}
        response = StreamingResponse(
            events, media_type="text/event-stream", headers=headers
        )
        return response, True

    async def _collect(self, answer, parsed, request_id):
        """Wait for the whole answer and return it in one response."""
        try:
            texts = [token.text async for token in answer]
        finally:
            answer.cancel()
        self.node.counters.add("answers")
        body = {
            "id": request_id,
            "model": parsed.model,
            "choices": [{"text": "".join(texts), "finish_reason": "length"}],
            "usage": {
                "prompt_tokens": estimate_tokens(parsed.prompt),
                "completion_tokens": len(texts),
            },
        }
        return JSONResponse(body, headers={REQUEST_ID_HEADER: request_id})

    async def _stream(self, answer, first, parsed, request_id) -> AsyncIterator[bytes]:
        """Yield the answer as server-sent events.

        An error is sent as the last event, and ``[DONE]`` is not sent after it.
        """
        try:
            if first is not None:
                yield encode_token(request_id, parsed.model, first)
            async for token in answer:
                yield encode_token(request_id, parsed.model, token)
            self.node.counters.add("answers")
            yield DONE_EVENT
        except RequestError as error:
            self._record_error(request_id, error)
            event = msgspec.json.encode({"error": describe_error(error)})
            yield b"event: error\ndata: " + event + b"\n\n"
        finally:
            answer.cancel()
            self.node.active.pop(request_id, None)


def encode_token(request_id, model, token):
    """Return one token as a server-sent event."""
    event = {
        "id": request_id,
        "model": model,
        "choices": [{"index": 0, "text": token.text, "seq": token.seq}],
    }
    return b"data: " + msgspec.json.encode(event) + b"\n\n"
