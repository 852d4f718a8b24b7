"""Send a planned load and time each answer."""

import itertools
import time
from dataclasses import dataclass

import anyio
import httpx
import msgspec

ANSWER_S = 600.0
DATA = "data: "
DONE = "data: [DONE]"


@dataclass(frozen=True)
class Outcome:
    """What became of one request.

    Parameters
    ----------
    planned : PlannedRequest
        The request.
    outcome : str
        "answered", "not_run", "failed" or "unknown".
    reason : str
        Why there was no answer.
    sent_s, first_s, total_s : float
        From the load's start to the sending, and from there to the first token and
        to the end.
    gaps_s : tuple of float
        The times between tokens.
    """

    planned: object
    outcome: str
    reason: str
    sent_s: float
    first_s: float
    total_s: float
    gaps_s: tuple[float, ...] = ()


async def run_load(urls, plan, *, token, model, verify=True):
    """Send all requests when they are due and wait for their ends.

    Parameters
    ----------
    urls : sequence of str
        The nodes' addresses, used in turn.
    plan : iterable of PlannedRequest
        What to send.
    token : str
        The customer's token.
    model : str
        The model.
    verify : bool or str, default=True
        As httpx takes it, for nodes with TLS.

    Returns
    -------
    list of Outcome
        In the order of the plan.
    """
    planned = list(plan)
    outcomes: list[Outcome | None] = [None] * len(planned)
    limits = httpx.Limits(max_connections=1000, max_keepalive_connections=200)
    begun_s = time.monotonic()
    async with (
        httpx.AsyncClient(
            timeout=ANSWER_S, limits=limits, verify=verify, trust_env=False
        ) as http,
        anyio.create_task_group() as group,
    ):

        async def send(index, request):
            url = urls[index % len(urls)]
            outcomes[index] = await _send(
                http, url, request, token=token, model=model, begun_s=begun_s
            )

        for index, request in enumerate(planned):
            await anyio.sleep(max(0.0, begun_s + request.at_s - time.monotonic()))
            group.start_soon(send, index, request)
    return [outcome for outcome in outcomes if outcome is not None]


async def _send(http, url, request, *, token, model, begun_s):
    """Send one request and time its answer."""
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
    stamps: list[float] = []
    outcome, reason = "unknown", "connection"
    try:
        async with http.stream(
            "POST", f"{url}/v1/completions", content=content, headers=headers
        ) as response:
            if response.status_code >= 400:
                outcome, reason = _read_error(await response.aread())
            else:
                outcome, reason = await _read_stream(response, stamps)
    except httpx.HTTPError as error:
        reason = type(error).__name__
    ended_s = time.monotonic()
    gaps_s = tuple(later - earlier for earlier, later in itertools.pairwise(stamps))
    first_s = stamps[0] - sent_s if stamps else 0.0
    return Outcome(
        request, outcome, reason, sent_s - begun_s, first_s, ended_s - sent_s, gaps_s
    )


async def _read_stream(response, stamps):
    """Read a streamed answer; put a stamp for each token into ``stamps``."""
    async for line in response.aiter_lines():
        if line == DONE:
            return "answered", ""
        if not line.startswith(DATA):
            continue
        if line.startswith('data: {"error"'):
            return _read_error(line[len(DATA) :])
        stamps.append(time.monotonic())
    return "unknown", "cut"


def _read_error(content):
    """Return the outcome and the reason of an error body."""
    try:
        error = msgspec.json.decode(content)["error"]
        return error["outcome"], error["reason"]
    except (msgspec.MsgspecError, KeyError, TypeError):
        return "unknown", "malformed"
