"""A planned stop cuts off no request that it still takes."""

import socket

import anyio
import pytest

from standins.relay_deployment import RelayDeployment

pytestmark = pytest.mark.anyio

NOTICE_S = 0.3
LONG_S = 2.5
"""Longer than a node that has been told to stop, and was noticed, still has."""


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def send_late(fleet, path, *, wait_s, deadline_ms):
    """Send a request whose body arrives some time after its node began to stop."""
    headers = fleet.make_headers(tokens="", deadline_ms=deadline_ms)
    headers["content-length"] = "9"
    lines = [f"POST {path} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
    host, _, port = fleet.relays[0].settings.caller_address.rpartition(":")
    async with await anyio.connect_tcp(host, int(port)) as stream:
        raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await stream.send("\r\n".join([*lines, "", "a de"]).encode())
        await fleet.wait_for(lambda: fleet.relays[0].active)
        fleet.stop_events[0].set()
        await anyio.sleep(wait_s)
        await stream.send(b"posit")
        data = b""
        try:
            while True:
                data += await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return data


@pytest.mark.parametrize("path", ["/book/b", "/stream-once/s", "/look/a", "/stream/s"])
async def test_a_request_that_is_whole_late_in_the_grace_is_refused_as_not_run(path):
    """Guards against work that is passed on and cut off at the end of the grace."""
    async with RelayDeployment(stop_notice_s=NOTICE_S) as fleet:
        for replica in fleet.replicas:
            replica.default_step, replica.long_pause_s = "late", LONG_S
        data = await send_late(fleet, path, wait_s=2 * NOTICE_S, deadline_ms=3_000)
        assert not fleet.runs()
    head, _, body = data.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 503")
    assert b"connection: close" in head.lower()
    assert b"stopping" in body


async def test_a_request_that_is_sure_to_end_in_the_grace_is_served():
    """Guards against refusing more than must be refused."""
    async with RelayDeployment(stop_notice_s=NOTICE_S) as fleet:
        data = await send_late(
            fleet, "/book/b", wait_s=1.5 * NOTICE_S, deadline_ms=1_000
        )
        assert len(fleet.runs()) == 1
    assert data.startswith(b"HTTP/1.1 200")


async def test_a_booking_is_served_while_the_stop_is_not_noticed_yet():
    """Guards against refusing all that callers send until they learn of the stop."""
    async with RelayDeployment(stop_notice_s=NOTICE_S) as fleet:
        data = await send_late(fleet, "/book/b", wait_s=NOTICE_S / 3, deadline_ms=3_000)
        assert len(fleet.runs()) == 1
    assert data.startswith(b"HTTP/1.1 200")
