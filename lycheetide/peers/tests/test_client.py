"""Calls between nodes are sent only once, and end whatever the peer does."""

import time

import anyio
import h2.config
import h2.connection
import h2.errors
import h2.events
import pytest

from lycheetide.peers import ConfigRequest, PeerClient, PeerUnreachable
from standins.local import find_port


class FaultyServer:
    """HTTP/2 server that refuses each stream as retryable, or never answers."""

    def __init__(self, *, refuses):
        self.refuses = refuses
        self.requests = 0

    async def handle(self, stream):
        config = h2.config.H2Configuration(client_side=False)
        connection = h2.connection.H2Connection(config)
        connection.initiate_connection()
        await stream.send(connection.data_to_send())
        try:
            async for data in stream:
                for event in connection.receive_data(data):
                    if isinstance(event, h2.events.RequestReceived):
                        self.requests += 1
                        if self.refuses:
                            connection.reset_stream(
                                event.stream_id, h2.errors.ErrorCodes.REFUSED_STREAM
                            )
                await stream.send(connection.data_to_send())
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return


async def call(address, *, timeout_s=3.0):
    client = PeerClient()
    try:
        await client.call(
            address, "fetch_config", ConfigRequest(0), timeout_s=timeout_s
        )
    finally:
        await client.close()


def test_a_refused_call_is_not_repeated_by_the_library():
    """A peer refuses a stream without having processed it.

    The gRPC library may send such a call again by itself. A call that forwards a
    booking could then arrive twice without anybody knowing.
    """
    server = FaultyServer(refuses=True)
    port = find_port()

    async def main():
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=port
        )
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, server.handle)
            with pytest.raises(PeerUnreachable):
                await call(f"127.0.0.1:{port}")
            group.cancel_scope.cancel()

    anyio.run(main)
    assert server.requests == 1


def test_a_deadline_in_the_middle_of_a_call_is_seen_by_its_scope():
    """A peer is frozen, and the caller's deadline passes before the one of the call.

    gRPC then raises a CancelledError of its own, which was taken for a cancellation of
    the task and ended it silently.
    """
    port = find_port()
    server = FaultyServer(refuses=False)

    async def main():
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=port
        )
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, server.handle)
            client = PeerClient()
            for _ in range(5):
                with anyio.move_on_after(0.3) as scope:
                    await client.call(
                        f"127.0.0.1:{port}", "fetch_config", ConfigRequest(0),
                        timeout_s=9.0,
                    )  # fmt: skip
                assert scope.cancelled_caught
            await client.close()
            group.cancel_scope.cancel()

    begun_s = time.monotonic()
    anyio.run(main)
    assert time.monotonic() - begun_s < 10.0
