"""Send requests to nodes as a caller does and collect the results."""

import json
import time
from dataclasses import dataclass, field
from typing import Any

import httpx

# One client for all calls, since creating a client takes longer than a call.
# Connections are not kept alive, since tests kill and suspend the nodes at their ends.
CLIENT = httpx.Client(
    verify=False,
    trust_env=False,
    limits=httpx.Limits(max_connections=500, max_keepalive_connections=0),
)


@dataclass(frozen=True)
class CallResult:
    """Result of one call.

    Parameters
    ----------
    status : int
        The HTTP status; 0 if no response was received.
    body : object
        The decoded body; for a stream, its error event, or None if it had none.
    request_id : str
        The id that the node assigned to the request; empty if it is not known.
    texts : tuple of str
        The streamed tokens.
    whole : bool
        Whether the stream ended with ``data: [DONE]``.
    first_token_s, total_s : float
        Seconds from the start of the call to its first token and to its end.
    headers : dict
        The response headers.
    expected_tokens : int
        The number of tokens that were requested.
    """

    status: int
    body: Any
    request_id: str = ""
    texts: tuple[str, ...] = ()
    whole: bool = False
    first_token_s: float = 0.0
    total_s: float = 0.0
    headers: dict = field(default_factory=dict)
    expected_tokens: int = 0

    @property
    def outcome(self):
        """The outcome that the error states; "answered" if the call succeeded."""
        error = (self.body or {}).get("error") if isinstance(self.body, dict) else None
        if error:
            return error.get("outcome", "unknown")
        return "answered" if 200 <= self.status < 300 else "unknown"

    @property
    def reason(self):
        """The reason that the error states; empty if the call succeeded."""
        return self.body["error"]["reason"] if self.outcome != "answered" else ""


def make_headers(customer="kestrel", request_class="quote", deadline_s=None, key=None):
    """Return the request headers of a caller."""
    headers = {"authorization": f"Bearer {customer}-token", "x-class": request_class}
    if deadline_s is not None:
        headers["x-deadline-ms"] = str(int(deadline_s * 1000))
    if key is not None:
        headers["idempotency-key"] = key
    return headers


def make_prompt(tokens, *, seed=0):
    """Return a prompt of ``tokens`` tokens, two of which hold the seed."""
    head = f"{seed:08d}"
    return head + "abcd" * max(0, tokens - 2)


def send_prompt(
    node, tokens, *, max_tokens=4, seed=0, prompt=None, model="assistant",
    timeout_s=60.0, **header_fields,
):  # fmt: skip
    """Send a prompt and read the streamed response to its end."""
    body = {
        "model": model,
        "prompt": make_prompt(tokens, seed=seed) if prompt is None else prompt,
        "max_tokens": max_tokens,
        "stream": True,
    }
    start_s = time.monotonic()
    texts = []
    first_token_s = 0.0
    whole = False
    error = None
    try:
        with CLIENT.stream(
            "POST", f"{node.url}/v1/completions", json=body, timeout=timeout_s,
            headers=make_headers(**header_fields),
        ) as response:  # fmt: skip
            request_id = response.headers.get("x-request-id", "")
            headers = dict(response.headers)
            if response.status_code >= 400:
                error = json.loads(response.read())
            for line in response.iter_lines() if error is None else ():
                if line == "data: [DONE]":
                    whole = True
                elif line.startswith("data: "):
                    event = json.loads(line[6:])
                    if "error" in event:
                        error = event
                        continue
                    first_token_s = first_token_s or time.monotonic() - start_s
                    texts.append(event["choices"][0]["text"])
            status = response.status_code
    except httpx.HTTPError as failure:
        lost = {"error": {"outcome": "unknown", "reason": f"connection: {failure!r}"}}
        return CallResult(
            0, lost, texts=tuple(texts), total_s=time.monotonic() - start_s
        )
    return CallResult(
        status, error, request_id, tuple(texts), whole, first_token_s,
        time.monotonic() - start_s, headers, max_tokens,
    )  # fmt: skip


def post(node, path, body, *, timeout_s=60.0, content=None, **header_fields):
    """Send a POST request and return its result."""
    start_s = time.monotonic()
    sent = {"json": body} if content is None else {"content": content}
    try:
        response = CLIENT.post(
            f"{node.url}{path}", timeout=timeout_s,
            headers=make_headers(**header_fields), **sent,
        )  # fmt: skip
        decoded = response.json()
    except (httpx.HTTPError, ValueError) as failure:
        lost = {"error": {"outcome": "unknown", "reason": f"connection: {failure!r}"}}
        return CallResult(0, lost, total_s=time.monotonic() - start_s)
    return CallResult(
        response.status_code, decoded, response.headers.get("x-request-id", ""),
        total_s=time.monotonic() - start_s, headers=dict(response.headers),
    )  # fmt: skip


def request_idempotency_key(node, **header_fields):
    """Request a new idempotency key from a node."""
    return post(node, "/v1/keys", {}, **header_fields).body["key"]


def book(node, key, *, amount=100, **fields):
    """Send a deposit request with an idempotency key."""
    return post(
        node, "/v1/services/booking/deposit", {"amount": amount}, key=key, **fields
    )


def count_runs(fleet, key):
    """Count the executions of an idempotency key over all booking replicas."""
    return sum(fleet.record(name)["runs"].get(key, 0) for name in fleet.services)


def list_started_request_ids(fleet):
    """Return the ids of all requests that a running upstream has started."""
    started: set[str] = set()
    for name in (*fleet.engines, *fleet.services):
        if fleet.processes[name].is_running():
            rows = fleet.record(name)["starts"]
            started.update(row["request_id"] for row in rows)
    return started


def sum_kv_used_tokens(fleet):
    """Return the KV memory in use on all running engines, in tokens."""
    return sum(
        fleet.record(name)["kv_used_tokens"]
        for name, engine in fleet.engines.items()
        if engine.is_running()
    )
