"""Callers with persistent connections, and a record of each attempt."""

import time
from dataclasses import dataclass

import anyio
import httpx

from soak.deployment import API_KEY, HOST, PATIENT_TIMEOUT_MS, SECOND_KEY

CALLER_COUNT = 24
BAD_CALLER_COUNT = 3
BAD_PER_S = 1.0
"""Prompts of one bad caller per second, without repeats."""
BAD_PART = "bad0bad0"
FATAL_PER_S = 0.15
"""Requests of one caller per second that end each replica which works on them."""
FATAL_TRIES = 4
FATAL_PAUSE_S = 0.4
"""Longest pause before the next try of such a request."""
FATAL_MARK = "fatal"
UPLOAD_PER_S = 3.0
UPLOAD_BYTES = 3_000_000
UPLOAD_CALLER_NAME = 0xF000
FATAL_PATHS = ("/stream/long", "/stream-once/s", "/look/a", "/book/b")
SYSTEM_PART = "5e5e5e5e"
OTHER_PARTS = 5
"""Parts that prompts share, besides the one that all have."""
MEAN_PAUSE_S = 0.25
DEADLINE_S = 3.0
HUGE_TOKENS = 150_000
"""More than the memory of one replica, so that several must share the prompt."""
CALL_KINDS = ("stream",) * 9 + ("once", "huge", "leave", "look", "look", "look",
         "book", "book", "book", "second_key")  # fmt: skip
CALL_KINDS_WITH_PATIENT = CALL_KINDS + ("patient",) * 12
"""Adds streams long enough to meet two silences, with a longer deadline."""
SMALL_CALL_KINDS = tuple(kind for kind in CALL_KINDS if kind != "huge")
"""Kinds that need no memory of several replicas."""
DEADLINE_OVERRIDES_S = {"patient": PATIENT_TIMEOUT_MS / 1e3}
"""Deadlines of the kinds that don't use ``DEADLINE_S``."""
SILENCE_TIMEOUT_S = {"stream": 2.0, "once": 2.0, "patient": 2.0, "huge": 10.0}
"""Time without an event after which callers abandon a stream: the longest of 2 s, 4
times its target and 8 times the gap of its route."""


def find_deadline_s(kind):
    """Return the deadline of one kind of call."""
    return DEADLINE_OVERRIDES_S.get(kind, DEADLINE_S)


@dataclass(frozen=True)
class Attempt:
    """One attempt as its caller observed it.

    Parameters
    ----------
    id : str
        Attempt id.
    kind : str
        One of ``CALL_KINDS_WITH_PATIENT``.
    node : str
        Name of the node that the attempt was sent to.
    started_s, ended_s : float
        Start and end, on the monotonic clock of this process.
    status : int
        Status of the response; 0 if there was none.
    headers : tuple of (str, str)
        Headers of the response.
    body : bytes
        Body of the response, as far as it was received.
    is_complete : bool
        Whether the response ended without an error.
    error_text : str
        Error of the HTTP client, if there was one.
    silent_s : float
        Time since the last data when the attempt ended.
    gave_up : bool
        Whether the caller ended the attempt because of this silence.
    """

    id: str
    kind: str
    node: str
    started_s: float
    ended_s: float
    status: int = 0
    headers: tuple = ()
    body: bytes = b""
    is_complete: bool = False
    error_text: str = ""
    silent_s: float = 0.0
    gave_up: bool = False

    @property
    def is_successful(self):
        """Whether it received a complete response with a 2xx status."""
        return self.is_complete and 200 <= self.status < 300


async def run_caller(deployment, attempts, rng, name, kinds=CALL_KINDS):
    """Send calls until cancelled; append each attempt to a list as it ends."""
    count = bursts = 0
    node = None
    async with httpx.AsyncClient(
        timeout=DEADLINE_S + 3.0,
        trust_env=False,
        # Loading certificates takes 30 ms per caller, in the event loop that all share.
        verify=False,
        limits=httpx.Limits(max_connections=4, max_keepalive_connections=4),
    ) as client:
        while True:
            await anyio.sleep(rng.expovariate(1.0 / MEAN_PAUSE_S))
            if node is None or bursts != deployment.bursts:
                node, bursts = deployment.choose_node(rng), deployment.bursts
            count += 1
            attempt = await call(
                client, node, rng.choice(kinds), f"{name:04x}{count:012x}"
            )
            attempts.append(attempt)
            closes = dict(attempt.headers).get("connection") == "close"
            if not attempt.is_complete or attempt.status >= 429 or closes:
                node = None


async def call(client, node, kind, attempt_id):
    """Make one attempt and return its record."""
    request = make_request(client, node, kind, attempt_id)
    started_s = time.monotonic()
    status, headers, parts = 0, (), []
    is_complete, error_text = False, ""
    answer = None
    last_s = started_s
    silence_timeout_s = SILENCE_TIMEOUT_S.get(kind)
    try:
        try:
            with anyio.move_on_after(silence_timeout_s) as silence_scope:
                answer = await client.send(request, stream=True)
                status, headers = answer.status_code, tuple(answer.headers.items())
                with anyio.move_on_after(0.06 if kind == "leave" else None):
                    async for part in answer.aiter_raw():
                        parts.append(part)
                        last_s = time.monotonic()
                        if silence_timeout_s is not None:
                            silence_scope.deadline = (
                                anyio.current_time() + silence_timeout_s
                            )
                    is_complete = True
        finally:
            if answer is not None:
                await answer.aclose()
    except httpx.HTTPError as error:
        error_text = repr(error)
    ended_s = time.monotonic()
    return Attempt(
        attempt_id, kind, node.name, started_s, ended_s, status, headers,
        b"".join(parts), is_complete, error_text, ended_s - last_s,
        silence_scope.cancelled_caught,
    )  # fmt: skip


async def run_bad_caller(deployment, attempts, rng, name):
    """Send prompts with a part that crashes replicas until cancelled.

    Each prompt goes to two nodes, on a connection of its own.
    """
    count = 0
    while True:
        await anyio.sleep(rng.expovariate(BAD_PER_S))
        for _ in range(2):
            count += 1
            node = rng.choice(deployment.list_rotation())
            async with httpx.AsyncClient(
                timeout=DEADLINE_S + 3.0, trust_env=False, verify=False
            ) as client:
                attempt = await call(client, node, "bad", f"{name:04x}{count:012x}")
            attempts.append(attempt)


async def run_fatal_caller(deployment, attempts, rng, name):
    """Send requests that end each replica which works on them, until cancelled.

    Each is tried at several nodes, on connections of its own.
    """
    count = 0
    while True:
        await anyio.sleep(rng.expovariate(FATAL_PER_S))
        count += 1
        for number in range(FATAL_TRIES):
            node = rng.choice(deployment.list_rotation())
            async with httpx.AsyncClient(
                timeout=DEADLINE_S + 3.0, trust_env=False, verify=False
            ) as client:
                attempt_id = f"{name:04x}{count:010x}{number:02x}"
                attempt = await call(client, node, "fatal", attempt_id)
            attempts.append(attempt)
            await anyio.sleep(rng.uniform(0.0, FATAL_PAUSE_S))


async def run_upload_caller(deployment, attempts, rng, name):
    """Send long bookings until cancelled, each on a connection of its own."""
    count = 0
    while True:
        await anyio.sleep(rng.expovariate(UPLOAD_PER_S))
        count += 1
        node = rng.choice(deployment.list_rotation())
        async with httpx.AsyncClient(
            timeout=DEADLINE_S + 3.0, trust_env=False, verify=False
        ) as client:
            attempt = await call(client, node, "upload", f"{name:04x}{count:012x}")
        attempts.append(attempt)


def is_fatal(request):
    """Tell whether a replica ends as it works on a request, as it receives it."""
    return FATAL_MARK in request.target


def name_fatal_request(attempt_id):
    """Return what the tries of one such request have in common."""
    return attempt_id[:-2]


def make_fatal_target(attempt_id):
    """Return the path and query of a request that ends replicas."""
    content = name_fatal_request(attempt_id)
    path = FATAL_PATHS[int(content, 16) % len(FATAL_PATHS)]
    return f"{path}?{FATAL_MARK}={content}"


def make_prompt_parts(kind, attempt_id):
    """Return the list of the parts of a prompt, drawn by its attempt id."""
    own = name_fatal_request(attempt_id) if kind == "fatal" else attempt_id
    number = int(own, 16)
    parts = [SYSTEM_PART, f"{number % OTHER_PARTS:08x}"]
    if kind == "bad":
        parts.insert(number % 3, BAD_PART)
    return ",".join(f"{part}:40" for part in (*parts, f"{own}:900"))


def make_request(client, node, kind, attempt_id):
    """Return the HTTP request of one kind of call."""
    headers = {
        "host": HOST,
        "lycheetide-attempt-id": attempt_id,
        "lycheetide-deadline-ms": str(int(find_deadline_s(kind) * 1000)),
        "lycheetide-credential": SECOND_KEY if kind == "second_key" else API_KEY,
    }
    method, path, tokens = {
        "look": ("GET", "/look/a", None),
        "second_key": ("GET", "/look/b", None),
        "book": ("POST", "/book/b", None),
        "upload": ("POST", "/book/u", None),
        "huge": ("POST", "/huge/stream", HUGE_TOKENS),
        "once": ("POST", "/stream-once/s", 1_000),
        "patient": ("POST", "/patient/stream", 1_000),
        "leave": ("POST", "/stream/long", 1_000),
    }.get(kind, ("POST", "/stream/s", 1_000))
    if kind == "fatal":
        path = make_fatal_target(attempt_id)
        method = "GET" if "look" in path else "POST"
        tokens = 1_000 if "stream" in path else None
    if tokens:
        headers["lycheetide-token-count"] = f"{tokens},200"
        headers["lycheetide-prompt-prefix"] = make_prompt_parts(kind, attempt_id)
    content = b"a body" if method == "POST" else None
    if kind == "upload":
        content = bytes(UPLOAD_BYTES)
    url = f"http://{node.front.address}{path}"
    return client.build_request(method, url, headers=headers, content=content)
