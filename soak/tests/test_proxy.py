"""The proxy really injects its faults; without them every run would pass."""

import time
from contextlib import suppress

import anyio
import pytest

from soak.proxy import Proxy
from standins.http import listen, reset

pytestmark = pytest.mark.anyio

SHORT_S = 0.2


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def echo(stream):
    """Send the received bytes back."""
    with suppress(anyio.BrokenResourceError):
        async with stream:
            async for data in stream:
                await stream.send(data)


async def open_through(proxy):
    host, _, port = proxy.address.rpartition(":")
    return await anyio.connect_tcp(host, int(port))


async def ask(stream, data=b"x"):
    """Return what is received within a short time, or None."""
    await stream.send(data)
    with anyio.move_on_after(SHORT_S):
        return await stream.receive()
    return None


async def check_with_proxy(check):
    """Run a check with a proxy in front of an echo server."""
    async with listen(echo) as address, Proxy(address).run() as proxy:
        await check(proxy)


async def test_data_is_forwarded_and_delayed():
    async def check(proxy):
        stream = await open_through(proxy)
        assert await ask(stream) == b"x"
        proxy.delay_s = 0.05
        started_s = time.monotonic()
        assert await ask(stream) == b"x"
        assert time.monotonic() - started_s >= 0.1

    await check_with_proxy(check)


@pytest.mark.parametrize("cut", ["up", "down", "both"])
async def test_cut_withholds_data_until_it_ends(cut):
    async def check(proxy):
        stream = await open_through(proxy)
        assert await ask(stream) == b"x"
        proxy.cut = cut
        assert await ask(stream, b"held") is None
        proxy.clear_faults()
        with anyio.fail_after(2.0):
            assert await stream.receive() == b"held"

    await check_with_proxy(check)


async def test_reset_is_forwarded_as_a_reset():
    """With a regular end instead, a truncated response would look complete."""

    async def break_off(stream):
        await stream.send(b"half")
        await stream.receive()
        reset(stream)

    async with listen(break_off) as address, Proxy(address).run() as proxy:
        for _ in range(20):
            stream = await open_through(proxy)
            assert await stream.receive() == b"half"
            await stream.send(b"x")
            with pytest.raises(anyio.BrokenResourceError):
                await stream.receive()


async def test_reset_ends_open_connections_and_refusal_new_ones():
    async def check(proxy):
        stream = await open_through(proxy)
        assert await ask(stream) == b"x"
        proxy.reset_all()
        with pytest.raises((anyio.BrokenResourceError, anyio.EndOfStream)):
            await stream.receive()
        proxy.refuses = True
        with pytest.raises((anyio.BrokenResourceError, anyio.EndOfStream, OSError)):
            stream = await open_through(proxy)
            await stream.receive()

    await check_with_proxy(check)
