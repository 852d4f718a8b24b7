"""A connection and the responses received on it."""

import anyio
import pytest

from lycheetide.httpclient import Channel, OutgoingRequest

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def test_body_received_in_small_pieces_is_read_completely():
    """Bytes are lost or duplicated if a read isn't resumed properly after a timeout."""
    body = bytes(range(256)) * 8

    async def send_slowly(stream):
        async with stream:
            await stream.receive()
            head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n".encode()
            for place in range(0, len(head + body), 7):
                await stream.send((head + body)[place : place + 7])
                await anyio.sleep(0.0007)

    async with anyio.create_task_group() as group:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        group.start_soon(listener.serve, send_slowly)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        for pause_s in (0.0001, 0.0005, 0.001, 0.0013):
            channel = await Channel.connect(f"127.0.0.1:{port}", timeout_s=1.0)

            def more(pause_s=pause_s):
                return pause_s

            outgoing = OutgoingRequest(b"GET", b"/", ((b"Host", b"x"),))
            await channel.request(outgoing, timeout_s=pause_s, more=more)
            assert await channel.read_all(timeout_s=pause_s, more=more) == body
            assert channel.is_reusable
            await channel.aclose()
        group.cancel_scope.cancel()
