"""The stand-in engine counts exactly the requests that it has in flight."""

import json

import anyio
import pytest

from standins.engine import EngineSettings, make_app


async def post_and_disconnect(app, path, body):
    """Send a request whose caller disconnects right after sending it."""
    data = json.dumps(body).encode()
    messages = [
        {"type": "http.request", "body": data, "more_body": False},
        {"type": "http.disconnect"},
    ]

    async def receive():
        return messages.pop(0) if messages else {"type": "http.disconnect"}

    async def send(_):
        await anyio.sleep(0)

    await app(make_scope("POST", path), receive, send)


async def get_json(app, path):
    """Return the decoded response to a GET request."""
    parts = []

    async def receive():
        return {"type": "http.request", "body": b"", "more_body": False}

    async def send(message):
        parts.append(message.get("body", b""))

    await app(make_scope("GET", path), receive, send)
    return json.loads(b"".join(parts))


def make_scope(method, path):
    return {
        "type": "http",
        "asgi": {"version": "3.0", "spec_version": "2.1"},
        "http_version": "1.1",
        "method": method,
        "path": path,
        "raw_path": path.encode(),
        "query_string": b"",
        "headers": [],
        "client": ("127.0.0.1", 1),
        "server": ("127.0.0.1", 2),
        "scheme": "http",
    }


@pytest.mark.anyio
async def test_a_caller_that_leaves_before_the_first_byte_is_not_counted_for_ever():
    """On a busy machine a node cancels a request before the engine starts to respond.

    The stand-in engine counted such a request as in flight for ever. While cold, it
    then failed under fewer requests than its limit, and a test took that for a fault of
    the nodes.
    """
    app = make_app(EngineSettings(name="e", cold_s=60.0, cold_limit=2))
    body = {"request_id": "r", "attempt_id": "a", "prompt": "x" * 40, "max_tokens": 4}
    for _ in range(5):
        await post_and_disconnect(app, "/v1/completions", body)
    record = await get_json(app, "/record")
    assert len(record["starts"]) == 5
    assert record["worst_cold_in_flight"] == 1
    assert record["fallen_over"] == 0
