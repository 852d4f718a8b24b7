"""Callers abandon a silent stream as those of the platform do; replicas resume."""

import time
from types import SimpleNamespace

import anyio
import httpx
import pytest

from soak import callers
from soak.replicas import RecordingReplica
from standins.http import HttpServer
from standins.replica import chunk, make_event

pytestmark = pytest.mark.anyio

SILENCE_TIMEOUT_S = 0.4


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
def short_silence_timeout(monkeypatch):
    """Shorten the silence timeout of callers."""
    monkeypatch.setitem(callers.SILENCE_TIMEOUT_S, "stream", SILENCE_TIMEOUT_S)


async def call(write):
    """Return the attempt of a caller at a node whose responses a function writes."""
    server = HttpServer(write, passes_stream=True)
    async with server.run(), httpx.AsyncClient(timeout=5.0, trust_env=False) as client:
        node = SimpleNamespace(
            name="entry-0", front=SimpleNamespace(address=server.address)
        )
        return await callers.call(client, node, "stream", "a1")


def write_events(*pauses_s):
    """Return a handler that writes an event after each pause."""

    async def write(_, stream):
        await stream.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for number, pause_s in enumerate(pauses_s, start=1):
            await anyio.sleep(pause_s)
            await stream.send(chunk(make_event(number)))
        await stream.send(b"0\r\n\r\n")

    return write


async def test_stream_with_gaps_below_the_timeout_is_read_completely(
    short_silence_timeout,
):
    attempt = await call(write_events(0.25, 0.25, 0.25))
    assert attempt.is_complete
    assert not attempt.gave_up


@pytest.mark.parametrize("pauses_s", [(5.0,), (0.05, 0.05, 5.0)])
async def test_caller_abandons_a_stream_after_the_silence_timeout(
    short_silence_timeout, pauses_s
):
    attempt = await call(write_events(*pauses_s))
    assert attempt.gave_up
    assert not attempt.is_complete
    assert SILENCE_TIMEOUT_S - 0.05 <= attempt.silent_s < 2.0
    assert attempt.body == b"".join(
        make_event(number) for number in range(1, len(pauses_s))
    )


async def test_caller_abandons_a_call_without_a_response(short_silence_timeout):
    async def say_nothing(_, stream):
        await anyio.sleep(5.0)

    attempt = await call(say_nothing)
    assert (attempt.status, attempt.gave_up) == (0, True)


async def test_silent_replica_resumes_after_its_longest_silence():
    replica = RecordingReplica("r-0")
    started_s = time.monotonic()
    replica.go_silent(0.3)
    replica.go_silent(0.1)
    await replica.wait_before_writing()
    assert 0.25 < time.monotonic() - started_s < 2.0
