"""Calls to model engines."""

from dataclasses import dataclass

import httpx
import msgspec

from lycheetide.exchange import DECODE_ERRORS
from lycheetide.scheduling import HeldMemory, LoadReport
from lycheetide.streams import (
    EventSplitter,
    EventTooLongError,
    find_data,
    parse_chunk,
)
from lycheetide.upstreams._client import (
    raise_for_error,
    read_body,
    request_body,
    translate_errors,
)
from lycheetide.upstreams._errors import UpstreamBrokenError

CONTROL_TIMEOUT_S = 2.0
MAX_BODY_BYTES = 4_000_000
"""Longest answer that is no stream; a list of holdings has 100 bytes for each."""
NO_READ_TIMEOUT = httpx.Timeout(CONTROL_TIMEOUT_S, read=None, write=None)
"""For calls whose maximum silence is enforced by the caller."""


@dataclass(frozen=True)
class EngineCall:
    """A completion request to an engine.

    Parameters
    ----------
    request_id, attempt_id : str
        The ids of the request and of the attempt; each attempt has an id of its own.
    prompt : str
        The prompt, or the last segment of a prompt that spans several engines.
    max_tokens : int
        The maximum length of the answer.
    priority : int
        The priority of the prefill; 0 is the highest.
    prefix_key : str
        The key for the engine's prefix cache. It includes the customer, so that the
        time to the first token does not reveal what another customer has sent.
    resume_from : int
        The index of the first token to send.
    holding_id : str or None
        The id of memory reserved before, if any.
    segments : tuple of str
        Handles of the prompt segments held by other engines.
    """

    request_id: str
    attempt_id: str
    prompt: str
    max_tokens: int
    priority: int
    prefix_key: str
    resume_from: int
    holding_id: str | None = None
    segments: tuple[str, ...] = ()


async def _post_json(http, url, body, *, timeout=CONTROL_TIMEOUT_S):
    """Send a JSON request and return the decoded response."""
    status, content = await request_body(
        http,
        "POST",
        url,
        max_bytes=MAX_BODY_BYTES,
        content=msgspec.json.encode(body),
        headers={"content-type": "application/json"},
        timeout=timeout,
    )
    answer = _decode_json(content)
    raise_for_error(status, answer)
    return answer


async def _get_json(http, url):
    """Fetch and decode a JSON response."""
    status, content = await request_body(
        http, "GET", url, max_bytes=MAX_BODY_BYTES, timeout=CONTROL_TIMEOUT_S
    )
    answer = _decode_json(content)
    raise_for_error(status, answer)
    return answer


def _decode_json(content):
    """Decode JSON; raise ``UpstreamBrokenError`` if it is malformed."""
    try:
        return msgspec.json.decode(content)
    except DECODE_ERRORS as error:
        raise UpstreamBrokenError(f"not JSON: {error}") from error


async def fetch_report(http, upstream):
    """Return the load report of an engine."""
    answer = await _get_json(http, f"{upstream.url}/load")
    known_fields = {field: answer[field] for field in _REPORT_FIELDS if field in answer}
    try:
        return msgspec.convert(known_fields, LoadReport)
    except msgspec.ValidationError as error:
        raise UpstreamBrokenError(str(error)) from error


_REPORT_FIELDS = (
    "boot_id",
    "warm",
    "running",
    "waiting_prefill_tokens",
    "kv_used_tokens",
    "kv_capacity_tokens",
)


async def fetch_holdings(http, upstream):
    """Return all memory holdings of an engine."""
    _, holdings = await fetch_boot_id_and_holdings(http, upstream)
    return holdings


async def fetch_boot_id_and_holdings(http, upstream):
    """Return the boot id of an engine and all its memory holdings.

    The boot id identifies the run of the engine process since its last start.
    """
    answer = await _get_json(http, f"{upstream.url}/held")
    return answer["boot_id"], msgspec.convert(answer["holdings"], list[HeldMemory])


async def release_holding(http, upstream, holding_id):
    """Release memory of an engine; the engine stops the work that used it."""
    await _post_json(http, f"{upstream.url}/release", {"holding_id": holding_id})


async def reserve_memory(http, upstream, *, request_id, tokens, silence):
    """Reserve memory on an engine and return the holding id."""
    body = {"request_id": request_id, "tokens": tokens}
    silence.begin(CONTROL_TIMEOUT_S)
    answer = await _post_json(
        http, f"{upstream.url}/reserve", body, timeout=NO_READ_TIMEOUT
    )
    silence.end()
    return answer["holding_id"]


async def send_segment(http, upstream, *, holding_id, prompt, priority):
    """Let an engine prefill one segment of a prompt that spans several engines.

    Returns the handle of the segment.
    """
    body = {"holding_id": holding_id, "prompt": prompt, "priority": priority}
    url = f"{upstream.url}/segment"
    answer = await _post_json(http, url, body, timeout=NO_READ_TIMEOUT)
    return answer["handle"]


async def stream_answer(
    http, upstream, call, *, first_s, between_s, silence, on_accepted
):
    """Send a prompt and yield the chunks of the answer.

    Parameters
    ----------
    http : httpx.AsyncClient
        The HTTP client.
    upstream : Upstream
        The engine.
    call : EngineCall
        The request to send.
    first_s, between_s : float
        The maximum silence before the first token and between tokens.
    silence : SilenceTimer
        Records when the call waits for the engine.
    on_accepted : callable
        Called with the holding id and the boot id when the engine has accepted the
        request.

    Yields
    ------
    Chunk
        The chunks as received, not validated.

    Raises
    ------
    UpstreamError
        If the call fails; the subclass tells whether it may have been started.
    """
    body = msgspec.json.encode(call)
    timeout = httpx.Timeout(
        first_s, connect=http.timeout.connect, read=None, write=None
    )
    limit_s = first_s
    with translate_errors():
        request = http.build_request(
            "POST",
            f"{upstream.url}/v1/completions",
            content=body,
            headers={"content-type": "application/json"},
            timeout=timeout,
        )
        silence.begin(limit_s)
        response = await http.send(request, stream=True)
        silence.begin(limit_s)
        try:
            if response.status_code >= 400:
                content = await read_body(response, max_bytes=MAX_BODY_BYTES)
                raise_for_error(response.status_code, _decode_json(content))
            headers = response.headers
            on_accepted(headers.get("x-holding-id", ""), headers.get("x-boot-id", ""))
            async for event in read_events(response.aiter_bytes()):
                silence.end()
                data = find_data(event.data)
                if data is not None:
                    limit_s = between_s
                    yield _parse_chunk(data)
                silence.begin(limit_s)
            silence.end()
        finally:
            await response.aclose()


async def read_events(pieces):
    """Yield the events of an answer as soon as they are whole.

    Parameters
    ----------
    pieces : asynchronous iterator of bytes
        The answer, cut anywhere. What follows the last whole event is no event.

    Raises
    ------
    UpstreamBrokenError
        If an event is too long.
    """
    splitter = EventSplitter()
    async for piece in pieces:
        try:
            for event in splitter.split(piece):
                yield event
        except EventTooLongError as endless:
            raise UpstreamBrokenError(str(endless)) from endless


def _parse_chunk(data):
    """Parse the chunk in the data of an event."""
    try:
        return parse_chunk(data)
    except DECODE_ERRORS as error:
        raise UpstreamBrokenError(f"malformed chunk: {error}") from error
