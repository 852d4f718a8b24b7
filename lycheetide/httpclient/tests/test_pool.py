"""Idle connections can be closed by the server at any time, losing what is sent."""

import time
from contextlib import asynccontextmanager

import anyio
import pytest

from lycheetide.httpclient import (
    ChannelError,
    ChannelPool,
    OutgoingRequest,
    compute_idle_limit,
)
from standins.http import ConnectionReset, HttpServer, Response

pytestmark = pytest.mark.anyio

CALL = OutgoingRequest(b"GET", b"/state", ((b"Host", b"peer"),))
TIMEOUT_S = 1.0


@pytest.fixture
def anyio_backend():
    return "asyncio"


@asynccontextmanager
async def run_server(reset_requests):
    """Run a server and yield its address; it resets the requests with these numbers."""
    count = 0

    async def handle(_):
        nonlocal count
        count += 1
        if count in reset_requests:
            raise ConnectionReset
        return Response(200, str(count).encode())

    async with HttpServer(handle).run() as server:
        yield server.address


async def call(pool, address):
    _, body = await pool.call(
        address, CALL, timeout_s=TIMEOUT_S, read_clock=time.monotonic
    )
    return body


async def test_call_on_a_reused_connection_that_is_closed_is_sent_again():
    """The server closes an idle connection just as a call is sent on it.

    A request to release the memory of a prompt was lost that way, and the memory stayed
    reserved until the reservation expired seconds later.
    """
    async with run_server(reset_requests={2}) as address:
        pool = ChannelPool()
        assert await call(pool, address) == b"1"
        assert await call(pool, address) == b"3"
        assert (pool.opened, pool.reused) == (2, 1)
        await pool.aclose()


async def test_call_that_fails_on_a_new_connection_is_not_sent_again():
    """A server that resets every connection would be called forever."""
    async with run_server(reset_requests={1, 2, 3, 4}) as address:
        pool = ChannelPool()
        with pytest.raises(ChannelError):
            await call(pool, address)
        assert pool.opened == 1
        await pool.aclose()


async def test_connection_idle_for_too_long_is_not_reused():
    """The server is about to close it and would reset a request sent meanwhile."""
    async with run_server(reset_requests=()) as address:
        pool = ChannelPool()
        await call(pool, address)
        now_s = time.monotonic() + 60.0
        channel = await pool.open(address, timeout_s=TIMEOUT_S, now_s=now_s)
        assert (pool.opened, pool.reused) == (2, 0)
        await channel.aclose()
        await pool.aclose()


async def test_connection_with_unexpected_bytes_is_not_reused():
    """A second response arrives late; the next request would receive it."""
    async with run_server(reset_requests=()) as address:
        pool = ChannelPool()
        channel = await pool.open(address, timeout_s=TIMEOUT_S, now_s=0.0)
        await channel.request(CALL, timeout_s=TIMEOUT_S)
        await channel.read_all(timeout_s=TIMEOUT_S)
        await channel.stream.send(b"GET /state HTTP/1.1\r\nHost: peer\r\n\r\n")
        await anyio.sleep(0.05)
        await pool.give_back(channel, now_s=0.0)
        again = await pool.open(address, timeout_s=TIMEOUT_S, now_s=0.0)
        assert again is not channel
        await again.aclose()


@pytest.mark.parametrize("nodes", [1, 7, 9, 60, 91, 300])
@pytest.mark.parametrize("connections", [49, 110, 120, 434, 538])
def test_idle_connections_of_all_nodes_leave_room_for_new_ones(nodes, connections):
    """Each node of a large fleet keeps a few idle connections to each replica.

    Together they used all connections that a replica accepts, and it reset new ones.
    """
    assert nodes * compute_idle_limit(connections, nodes) <= connections / 2


async def test_idle_connections_do_not_exceed_the_limit_of_the_node():
    async with run_server(reset_requests=()) as address:
        pool = ChannelPool()
        channels = [
            await pool.open(address, timeout_s=TIMEOUT_S, now_s=0.0) for _ in range(3)
        ]
        for channel in channels:
            await channel.request(CALL, timeout_s=TIMEOUT_S)
            await channel.read_all(timeout_s=TIMEOUT_S)
            await pool.give_back(channel, now_s=0.0, max_idle=1)
        again = await pool.open(address, timeout_s=TIMEOUT_S, now_s=0.0)
        assert again is channels[0]
        assert pool.opened == 3
        await again.aclose()


async def test_idle_connection_whose_socket_is_closed_is_not_reused():
    """Guards against an error inside the node where only a connection has gone."""
    async with run_server(reset_requests=()) as address:
        pool = ChannelPool()
        await call(pool, address)
        (channel,) = pool._idle[address]
        channel.stream._transport.abort()
        await anyio.sleep(0.01)
        assert await call(pool, address) == b"2"
        await pool.aclose()
