"""Send a planned load and measure the latencies of each answer."""

import itertools
import time
from dataclasses import dataclass

import anyio
import httpx
import msgspec

from lycheetide.streams import EventSplitter, EventTooLongError, find_data

REQUEST_TIMEOUT_S = 600.0
DONE_DATA = b"[DONE]"


@dataclass(frozen=True)
class RequestResult:
    """Result of one request.

    Parameters
    ----------
    planned : PlannedRequest
        The request as planned.
    outcome : str
        "answered", "not_run", "failed" or "unknown".
    reason : str
        Why there was no answer; empty if there was one.
    sent_s, first_token_s, total_s : float
        Time from the start of the load until the request was sent, and from then until
        the first token and until the end.
    token_gaps_s : tuple of float
        Times between successive tokens.
    """

    planned: object
    outcome: str
    reason: str
    sent_s: float
    first_token_s: float
    total_s: float
    token_gaps_s: tuple[float, ...] = ()


async def run_load(urls, plan, *, token, model, verify=True):
    """Send all requests at their planned times and wait until all have ended.

    Parameters
    ----------
    urls : sequence of str
        URLs of the nodes, used in turn.
    plan : iterable of PlannedRequest
        Requests to send.
    token : str
        Token of the customer.
    model : str
        Name of the model.
    verify : bool or str, default=True
        TLS verification, as in ``httpx.AsyncClient``.

    Returns
    -------
    list of RequestResult
        Results in the order of the plan.
    """
    planned = list(plan)
    outcomes: list[RequestResult | None] = [None] * len(planned)
    limits = httpx.Limits(max_connections=1000, max_keepalive_connections=200)
    started_s = time.monotonic()
    async with (
        httpx.AsyncClient(
            timeout=REQUEST_TIMEOUT_S, limits=limits, verify=verify, trust_env=False
        ) as http,
        anyio.create_task_group() as group,
    ):

        async def send(index, request):
            url = urls[index % len(urls)]
            outcomes[index] = await _send(
                http, url, request, token=token, model=model, started_s=started_s
            )

        for index, request in enumerate(planned):
            await anyio.sleep(max(0.0, started_s + request.at_s - time.monotonic()))
            group.start_soon(send, index, request)
    return [outcome for outcome in outcomes if outcome is not None]


async def _send(http, url, request, *, token, model, started_s):
    """Send one request and measure the latencies of its answer."""
    body = {
        "model": model,
        "prompt": f"{request.seed:08d}" + "abcd" * (request.prompt_tokens - 2),
        "max_tokens": request.answer_tokens,
        "stream": True,
    }
    headers = {
        "authorization": f"Bearer {token}",
        "x-class": request.request_class,
        "content-type": "application/json",
    }
    content = msgspec.json.encode(body)
    sent_s = time.monotonic()
    token_times_s: list[float] = []
    outcome, reason = "unknown", "connection"
    try:
        async with http.stream(
            "POST", f"{url}/v1/completions", content=content, headers=headers
        ) as response:
            if response.status_code >= 400:
                outcome, reason = _read_error(await response.aread())
            else:
                outcome, reason = await _read_stream(response, token_times_s)
    except httpx.HTTPError as error:
        reason = type(error).__name__
    ended_s = time.monotonic()
    token_gaps_s = tuple(
        later - earlier for earlier, later in itertools.pairwise(token_times_s)
    )
    first_token_s = token_times_s[0] - sent_s if token_times_s else 0.0
    return RequestResult(
        request,
        outcome,
        reason,
        sent_s - started_s,
        first_token_s,
        ended_s - sent_s,
        token_gaps_s,
    )


async def _read_stream(response, token_times_s):
    """Read a streamed answer and append the time of each token to ``token_times_s``."""
    splitter = EventSplitter()
    async for piece in response.aiter_bytes():
        try:
            rows = [find_data(event.data) for event in splitter.split(piece)]
        except EventTooLongError:
            return "unknown", "malformed"
        for data in rows:
            if data == DONE_DATA:
                return "answered", ""
            if data is None:
                continue
            if data.startswith(b'{"error"'):
                return _read_error(data)
            token_times_s.append(time.monotonic())
    return "unknown", "cut"


def _read_error(content):
    """Return the outcome and the reason in an error body."""
    try:
        error = msgspec.json.decode(content)["error"]
        return error["outcome"], error["reason"]
    except (msgspec.MsgspecError, KeyError, TypeError):
        return "unknown", "malformed"
