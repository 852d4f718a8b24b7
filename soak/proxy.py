"""A loopback proxy that injects connection faults."""

from contextlib import asynccontextmanager

import anyio

from standins.http import listen, reset

CHUNK_BYTES = 65_536


class Proxy:
    """Forwards connections to one address.

    Attributes
    ----------
    delay_s : float
        Delay added to each chunk in either direction.
    cut : str
        Direction in which data is withheld, without a reset: "up" towards the target,
        "down" from it, "both", or "" for none. Withheld bytes are delivered when the
        cut ends.
    refuses : bool
        Whether new connections are reset.
    share : float
        Fraction of the connections that the faults apply to.
    """

    def __init__(self, target=""):
        self.target = target
        self.address = ""
        self.clear_faults()
        self._open_pairs = set()
        self._connection_count = 0
        self._closed_count = 0

    def clear_faults(self):
        """Stop injecting faults."""
        self.delay_s = 0.0
        self.cut = ""
        self.refuses = False
        self.share = 1.0

    def reset_all(self):
        """Reset all open connections."""
        for streams in list(self._open_pairs):
            for stream in streams:
                reset(stream)

    @asynccontextmanager
    async def run(self):
        """Accept connections while the context is open."""
        async with anyio.create_task_group() as group:
            await group.start(self._listen_in_turns)
            yield self
            group.cancel_scope.cancel()

    async def _listen_in_turns(self, *, task_status):
        """Listen, and after each close listen again at another address."""
        while True:
            self._closed = anyio.Event()
            self._reopened = anyio.Event()
            async with listen(self._serve) as self.address:
                if self._closed_count == 0:
                    task_status.started()
                await self._closed.wait()
            await self._reopened.wait()

    def close(self):
        """Close all connections in an orderly way, and refuse new ones.

        That is what the system does when a process ends.
        """
        self._closed_count += 1
        self._closed.set()

    def reopen(self):
        """Listen again, at another address."""
        self._reopened.set()

    async def _serve(self, near):
        """Forward one connection."""
        self._connection_count += 1
        place = (self._connection_count * 0.618) % 1.0
        host, _, port = self.target.rpartition(":")
        try:
            if self.refuses and place < self.share:
                raise ConnectionError
            far = await anyio.connect_tcp(host, int(port))
        except OSError:
            reset(near)
            await near.aclose()
            return
        streams = (near, far)
        self._open_pairs.add(streams)
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._forward, near, far, "up", place, group)
                group.start_soon(self._forward, far, near, "down", place, group)
        finally:
            self._open_pairs.discard(streams)
            with anyio.CancelScope(shield=True):
                for stream in streams:
                    await stream.aclose()

    async def _forward(self, source, sink, direction, place, group):
        """Forward the data of one direction; an end or a reset ends both."""
        try:
            while True:
                data = await source.receive(CHUNK_BYTES)
                if place < self.share:
                    await self._apply_delay(direction)
                await sink.send(data)
        except anyio.EndOfStream:
            await self._apply_delay(direction)
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            reset(sink)
        group.cancel_scope.cancel()

    async def _apply_delay(self, direction):
        """Wait as long as the current faults require."""
        if self.delay_s:
            await anyio.sleep(self.delay_s)
        while self.cut in (direction, "both"):
            await anyio.sleep(0.02)
