"""Callers of the soak give a stream up as the platform's do; its replicas go on."""

import time
from types import SimpleNamespace

import anyio
import httpx
import pytest

from soak import callers
from soak.replicas import SoakReplica
from standins.http import HttpServer
from standins.replica import chunk, make_event

pytestmark = pytest.mark.anyio

PATIENCE_S = 0.4


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
def patience(monkeypatch):
    """Let callers give a stream up sooner."""
    monkeypatch.setitem(callers.PATIENCE_S, "stream", PATIENCE_S)


async def call(write):
    """Return the attempt of a caller at a node that writes as a function says."""
    server = HttpServer(write, raw=True)
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


async def test_a_stream_with_gaps_that_a_caller_bears_is_read_to_its_end(patience):
    attempt = await call(write_events(0.25, 0.25, 0.25))
    assert attempt.is_whole
    assert not attempt.gave_up


@pytest.mark.parametrize("pauses_s", [(5.0,), (0.05, 0.05, 5.0)])
async def test_a_caller_gives_a_stream_up_after_too_long_a_gap(patience, pauses_s):
    attempt = await call(write_events(*pauses_s))
    assert attempt.gave_up
    assert not attempt.is_whole
    assert PATIENCE_S - 0.05 <= attempt.silent_s < 2.0
    assert attempt.body == b"".join(
        make_event(number) for number in range(1, len(pauses_s))
    )


async def test_a_caller_gives_up_where_no_answer_begins(patience):
    async def say_nothing(_, stream):
        await anyio.sleep(5.0)

    attempt = await call(say_nothing)
    assert (attempt.status, attempt.gave_up) == (0, True)


async def test_a_quiet_replica_speaks_after_the_longest_of_its_silences():
    replica = SoakReplica("r-0")
    begun_s = time.monotonic()
    replica.be_quiet(0.3)
    replica.be_quiet(0.1)
    await replica.wait_to_speak()
    assert 0.25 < time.monotonic() - begun_s < 2.0
