"""Callers that keep their connections, and a record of each attempt."""

import time
from dataclasses import dataclass

import anyio
import httpx

from soak.deployment import HOST, KEY, PATIENT_MS, SECOND_KEY

CALLERS = 24
PAUSE_S = 0.25
DEADLINE_S = 3.0
HUGE_TOKENS = 150_000
"""Above one replica's memory, so that several have to hold it."""
KINDS = ("stream",) * 9 + ("once", "huge", "leave", "look", "look", "look",
         "book", "book", "book", "second_key")  # fmt: skip
PATIENT_KINDS = KINDS + ("patient",) * 12
"""With streams long enough to meet two silences, within a longer time limit."""
DEADLINES_S = {"patient": PATIENT_MS / 1e3}
"""Where they differ."""
PATIENCE_S = {"stream": 2.0, "once": 2.0, "patient": 2.0, "huge": 10.0}
"""Without an event for so long callers give a stream up: 2 s, 4 times its target or 8
times the gap of its route, whichever is longest."""


def find_deadline_s(kind):
    """Return the time limit of one kind of call."""
    return DEADLINES_S.get(kind, DEADLINE_S)


@dataclass(frozen=True)
class Attempt:
    """One attempt of a caller, as it saw it.

    Parameters
    ----------
    id : str
        Its attempt id.
    kind : str
        One of ``KINDS``.
    node : str
        Which node it went to.
    begun_s, ended_s : float
        On this process's clock.
    status : int
        Of the answer; 0 for none.
    headers : dict
        Of the answer.
    body : bytes
        Of the answer, as far as it came.
    is_whole : bool
        Whether the answer ended in order.
    fault : str
        What the client said otherwise.
    silent_s : float
        How long nothing had come when it ended.
    gave_up : bool
        Whether its caller ended it for that.
    """

    id: str
    kind: str
    node: str
    begun_s: float
    ended_s: float
    status: int = 0
    headers: tuple = ()
    body: bytes = b""
    is_whole: bool = False
    fault: str = ""
    silent_s: float = 0.0
    gave_up: bool = False

    @property
    def is_success(self):
        """Whether it got a whole good answer."""
        return self.is_whole and 200 <= self.status < 300


async def call_for_ever(deployment, attempts, luck, name, kinds=KINDS):
    """Be one caller; attempts are added to a list as they end."""
    count = 0
    node = None
    async with httpx.AsyncClient(
        timeout=DEADLINE_S + 3.0,
        trust_env=False,
        # Loading certificates takes 30 ms for each caller, in the loop that plays all.
        verify=False,
        limits=httpx.Limits(max_connections=4, max_keepalive_connections=4),
    ) as client:
        while True:
            await anyio.sleep(luck.expovariate(1.0 / PAUSE_S))
            if node is None:
                node = luck.choice(deployment.rotation())
            count += 1
            attempt = await call(
                client, node, luck.choice(kinds), f"{name:04x}{count:012x}"
            )
            attempts.append(attempt)
            closes = dict(attempt.headers).get("connection") == "close"
            if not attempt.is_whole or attempt.status >= 429 or closes:
                node = None


async def call(client, node, kind, attempt_id):
    """Make one attempt."""
    request = make_request(client, node, kind, attempt_id)
    begun_s = time.monotonic()
    status, headers, parts = 0, (), []
    is_whole, fault = False, ""
    answer = None
    last_s = begun_s
    patience_s = PATIENCE_S.get(kind)
    try:
        try:
            with anyio.move_on_after(patience_s) as patience:
                answer = await client.send(request, stream=True)
                status, headers = answer.status_code, tuple(answer.headers.items())
                with anyio.move_on_after(0.06 if kind == "leave" else None):
                    async for part in answer.aiter_raw():
                        parts.append(part)
                        last_s = time.monotonic()
                        if patience_s is not None:
                            patience.deadline = anyio.current_time() + patience_s
                    is_whole = True
        finally:
            if answer is not None:
                await answer.aclose()
    except httpx.HTTPError as error:
        fault = repr(error)
    ended_s = time.monotonic()
    return Attempt(
        attempt_id, kind, node.name, begun_s, ended_s, status, headers,
        b"".join(parts), is_whole, fault, ended_s - last_s, patience.cancelled_caught,
    )  # fmt: skip


def make_request(client, node, kind, attempt_id):
    """Return the request of one kind of call."""
    headers = {
        "host": HOST,
        "lycheetide-attempt-id": attempt_id,
        "lycheetide-deadline-ms": str(int(find_deadline_s(kind) * 1000)),
        "lycheetide-credential": SECOND_KEY if kind == "second_key" else KEY,
    }
    method, path, tokens = {
        "look": ("GET", "/look/a", None),
        "second_key": ("GET", "/look/b", None),
        "book": ("POST", "/book/b", None),
        "huge": ("POST", "/huge/stream", HUGE_TOKENS),
        "once": ("POST", "/stream-once/s", 1_000),
        "patient": ("POST", "/patient/stream", 1_000),
        "leave": ("POST", "/stream/long", 1_000),
    }.get(kind, ("POST", "/stream/s", 1_000))
    if tokens:
        headers["lycheetide-token-count"] = f"{tokens},200"
    content = b"a body" if method == "POST" else None
    url = f"http://{node.front.address}{path}"
    return client.build_request(method, url, headers=headers, content=content)
