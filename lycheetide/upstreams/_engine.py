"""The calls to a model engine."""

from dataclasses import dataclass

import httpx
import msgspec

from lycheetide.scheduling import HeldMemory, Report
from lycheetide.streams import parse_chunk
from lycheetide.upstreams._client import check_started, translate_errors
from lycheetide.upstreams._errors import UpstreamBroke

CONTROL_S = 2.0
UNLIMITED = httpx.Timeout(CONTROL_S, read=None, write=None)
"""For calls whose silence their caller watches."""
DATA = "data: "


@dataclass(frozen=True)
class EngineCall:
    """What an engine is asked.

    Parameters
    ----------
    request_id, attempt_id : str
        Whose answer it is; the attempt's id is never used twice.
    prompt : str
        The prompt, or the last segment of a spanning one.
    max_tokens : int
        The longest answer.
    priority : int
        0 is read first.
    prefix_key : str
        The key of the engine's prefix cache; it names the customer as well, so the
        time to the first token tells nobody what a rival has asked.
    resume_from : int
        The first token that is still wanted.
    holding_id : str or None
        Memory reserved before.
    segments : tuple of str
        Handles of the segments that other engines hold.
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


async def _post(http, url, body, *, timeout=CONTROL_S):
    """Send a small order and return the decoded answer."""
    with translate_errors():
        response = await http.post(
            url,
            content=msgspec.json.encode(body),
            headers={"content-type": "application/json"},
            timeout=timeout,
        )
    answer = _decode(response.content)
    check_started(response, answer)
    return answer


async def _get(http, url):
    """Fetch and decode a small answer."""
    with translate_errors():
        response = await http.get(url, timeout=CONTROL_S)
    answer = _decode(response.content)
    check_started(response, answer)
    return answer


def _decode(content):
    """Decode JSON, or raise what a broken answer raises."""
    try:
        return msgspec.json.decode(content)
    except msgspec.MsgspecError as error:
        raise UpstreamBroke(f"not JSON: {error}") from error


async def fetch_report(http, upstream):
    """Return an upstream's load report."""
    answer = await _get(http, f"{upstream.url}/load")
    known = {field: answer[field] for field in _REPORT_FIELDS if field in answer}
    try:
        return msgspec.convert(known, Report)
    except msgspec.ValidationError as error:
        raise UpstreamBroke(str(error)) from error


_REPORT_FIELDS = (
    "boot_id",
    "warm",
    "running",
    "waiting_prefill_tokens",
    "kv_used_tokens",
    "kv_capacity_tokens",
)


async def fetch_holdings(http, upstream):
    """Return all that an engine holds memory for."""
    _, holdings = await fetch_life(http, upstream)
    return holdings


async def fetch_life(http, upstream):
    """Return the life that an engine is in, and all that it holds memory for."""
    answer = await _get(http, f"{upstream.url}/held")
    return answer["boot_id"], msgspec.convert(answer["holdings"], list[HeldMemory])


async def release_holding(http, upstream, holding_id):
    """Let an engine free memory; the work that used it stops."""
    await _post(http, f"{upstream.url}/release", {"holding_id": holding_id})


async def reserve_memory(http, upstream, *, request_id, tokens, silence):
    """Reserve memory and return its holding id."""
    body = {"request_id": request_id, "tokens": tokens}
    silence.begin(CONTROL_S)
    answer = await _post(http, f"{upstream.url}/reserve", body, timeout=UNLIMITED)
    silence.end()
    return answer["holding_id"]


async def send_segment(http, upstream, *, holding_id, prompt, priority):
    """Have one engine read its part of a spanning prompt; return the handle."""
    body = {"holding_id": holding_id, "prompt": prompt, "priority": priority}
    url = f"{upstream.url}/segment"
    answer = await _post(http, url, body, timeout=UNLIMITED)
    return answer["handle"]


async def stream_answer(
    http, upstream, call, *, first_s, between_s, silence, on_accepted
):
    """Send a prompt and yield the answer's chunks.

    Parameters
    ----------
    http : httpx.AsyncClient
        The connections.
    upstream : Upstream
        The engine.
    call : EngineCall
        What it is asked.
    first_s, between_s : float
        How long it may be silent before the first token and between tokens.
    silence : Silence
        Told of each wait.
    on_accepted : callable
        Called with the holding id and the boot id when the engine has taken the
        request.

    Yields
    ------
    Chunk
        Unchecked, as they come.

    Raises
    ------
    UpstreamError
        By what may have happened.
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
                check_started(response, _decode(await response.aread()))
            headers = response.headers
            on_accepted(headers.get("x-holding-id", ""), headers.get("x-boot-id", ""))
            async for line in response.aiter_lines():
                silence.end()
                if line.startswith(DATA):
                    limit_s = between_s
                    yield _parse(line)
                silence.begin(limit_s)
            silence.end()
        finally:
            await response.aclose()


def _parse(line):
    """Read one event's chunk."""
    try:
        return parse_chunk(line[len(DATA) :])
    except msgspec.MsgspecError as error:
        raise UpstreamBroke(f"malformed chunk: {error}") from error
