"""Answers that have neither a length nor chunks, and end with their connection."""

from contextlib import nullcontext

import httpx
import pytest

from lycheetide.relay.tests.test_answers import WHOLE_STREAM
from lycheetide.relay.tests.test_tunnels import wait_for_tunnel_peers
from standins.relay_deployment import RelayDeployment

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture(params=[False, True], ids=["direct", "tunnel"])
async def fleet(request, anyio_backend):
    """Yield a deployment whose first node reaches replicas directly or by a peer."""
    async with RelayDeployment(relays=2) as deployment:
        for replica in deployment.replicas:
            replica.framing = "close"
        await wait_for_tunnel_peers(deployment)
        if request.param:
            deployment.cut(0, kind="refused")
        yield deployment


def set_first_step(fleet, step):
    """Let the first request meet a step, at whichever replica it arrives."""
    steps = [step]
    for replica in fleet.replicas:
        replica.next_steps = steps


def count_idle(fleet):
    """Return the number of connections to replicas that nodes keep."""
    return sum(
        len(channels)
        for relay in fleet.relays
        for channels in relay.pool._idle.values()
    )


def list_resumed(fleet):
    """Return the events after which streams were resumed."""
    return [
        request.headers["last-event-id"]
        for request in fleet.received()
        if "last-event-id" in request.headers
    ]


@pytest.mark.parametrize("version", ["1.0", "1.1"])
async def test_a_stream_without_chunks_is_whole_at_its_end(fleet, version):
    """Guards against a pool that keeps such a connection, and streams cut short."""
    for replica in fleet.replicas:
        replica.http_version = version
    answers = [await fleet.stream() for _ in range(3)]
    assert [answer.content for answer in answers] == [WHOLE_STREAM] * 3
    assert len(fleet.runs()) == 3
    assert count_idle(fleet) == 0


async def test_a_stream_that_ends_within_an_event_goes_on_elsewhere(fleet):
    """Guards against taking an orderly end within an event for that of the stream."""
    set_first_step(fleet, "end")
    answer = await fleet.stream()
    assert answer.content == WHOLE_STREAM
    assert list_resumed(fleet) == ["2"]


async def test_a_stream_that_is_reset_goes_on_elsewhere(fleet):
    """Guards against taking a reset for the end of a stream without chunks."""
    set_first_step(fleet, "break")
    answer = await fleet.stream()
    assert answer.content == WHOLE_STREAM
    assert list_resumed(fleet) == ["2"]


async def test_a_stream_that_ends_before_its_first_event_goes_on_elsewhere(fleet):
    """Guards against a crash that looks like an empty answer."""
    set_first_step(fleet, "end-empty")
    answer = await fleet.stream()
    assert answer.content == WHOLE_STREAM
    assert len(fleet.runs()) == 2


async def test_a_stream_that_may_not_be_resumed_is_never_shown_as_whole(fleet):
    """Guards against an orderly end at the caller where the replica broke off."""
    set_first_step(fleet, "end")
    with pytest.raises(httpx.RemoteProtocolError):
        await fleet.stream(path="/stream-once/s")
    assert len(fleet.runs()) == 1


async def test_a_caller_who_resumes_at_the_end_gets_an_empty_stream(fleet):
    """Guards against repeating a stream that has no event left."""
    answer = await fleet.stream(**{"last-event-id": "4"})
    assert (answer.status_code, answer.content) == (200, b"")
    assert len(fleet.runs()) == 1


async def test_chunks_of_a_connection_that_closes_are_whole(fleet):
    """Guards against a pool that keeps what the replica has said it closes."""
    for replica in fleet.replicas:
        replica.framing = "chunks-close"
    assert (await fleet.stream()).content == WHOLE_STREAM
    assert count_idle(fleet) == 0


@pytest.mark.parametrize(("step", "runs"), [("unframed", 1), ("unframed-reset", 2)])
async def test_a_lookup_without_a_length_is_whole_unless_it_is_reset(fleet, step, runs):
    set_first_step(fleet, step)
    answer = await fleet.look()
    assert answer.status_code == 200
    assert answer.headers["content-length"] == str(len(answer.content))
    assert len(fleet.runs()) == runs


@pytest.mark.parametrize("path", ["/stream/s", "/stream-once/s"])
async def test_a_stream_that_ends_with_its_replica_is_not_whole(path):
    """Guards against a crash between two events that looks like the stream's end."""
    async with RelayDeployment(crash_part="none") as fleet:
        await fleet.wait_for(lambda: len(fleet.relays[0].replicas.replicas) == 2)
        for replica in fleet.replicas:
            replica.framing, replica.pause_s = "close", 0.1
        async with fleet.open_stream(path=path) as response:
            chunks = response.aiter_bytes()
            received = [await anext(chunks)]
            (running,) = (one for one in fleet.replicas if one.runs)
            running.crash()
            with expect_end(path):
                received += [chunk async for chunk in chunks]
    if path == "/stream/s":
        assert b"".join(received) == WHOLE_STREAM


@pytest.mark.parametrize("path", ["/stream/s", "/stream-once/s"])
async def test_a_stream_whose_replica_restarts_at_its_address_is_not_whole(path):
    """Guards against a crash that the next process at the same address hides."""
    async with RelayDeployment() as fleet:
        for replica in fleet.replicas:
            replica.framing, replica.pause_s = "close", 0.1
        is_cut = False
        try:
            async with fleet.open_stream(path=path) as response:
                chunks = response.aiter_bytes()
                received = [await anext(chunks)]
                (running,) = (one for one in fleet.replicas if one.runs)
                running.name = "another-start"
                await running.server.close_open()
                received += [chunk async for chunk in chunks]
        except httpx.RemoteProtocolError:
            is_cut = True
    events = b"".join(received).count(b"id: ")
    assert is_cut == (path == "/stream-once/s")
    assert is_cut or events == 4


def expect_end(path):
    """Return a context in which a stream that may not be resumed breaks off."""
    if path == "/stream/s":
        return nullcontext()
    return pytest.raises(httpx.RemoteProtocolError)
