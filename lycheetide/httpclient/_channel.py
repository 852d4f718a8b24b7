"""One connection that carries one request at a time."""

import re
import select
import socket
from dataclasses import dataclass

import anyio
import h11

RECEIVE_BYTES = 65_536
LARGEST_HEAD_BYTES = 65_536
UNACKNOWLEDGED_MS = 3_000
"""Bytes that stay unacknowledged for so long end the connection (TCP_USER_TIMEOUT)."""
PROBE_IDLE_S = 2
PROBE_INTERVAL_S = 1
PROBES = 2
"""A connection that went silent without a reset is found dead after about 4 s."""
DEFAULT_IDLE_S = 3.0
"""How long an idle connection is trusted where the other end names no time."""
IDLE_MARGIN_S = 1.0
"""Taken off the time that the other end names, since both ends count on their own."""

_KEEP_ALIVE = re.compile(rb"timeout=(\d+)")


class ConnectFailed(Exception):
    """No connection could be opened; nothing was sent."""


class ChannelBroken(Exception):
    """A connection ended, fell silent or carried what is no answer.

    Parameters
    ----------
    message : str
        What happened.
    is_silent : bool, default=False
        Whether nothing came in time, rather than an end or an error.
    """

    def __init__(self, message, *, is_silent=False):
        super().__init__(message)
        self.is_silent = is_silent


@dataclass(frozen=True)
class Outgoing:
    """A request as it is written; a body gets its length unless it is empty."""

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes = b""
    has_body: bool = False


@dataclass(frozen=True)
class Head:
    """Status and headers of an answer; names in lower case."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]


class Channel:
    """One connection.

    Parameters
    ----------
    stream : anyio.abc.SocketStream
        The open socket.
    address : str
        Where it leads.

    Attributes
    ----------
    is_written : bool
        Whether a byte of the present request was handed to the socket.
    is_reusable : bool
        Whether the last answer was complete and another request may follow.
    idle_s : float
        How long it may be kept idle.
    """

    def __init__(self, stream, address):
        self.stream = stream
        self.address = address
        self.is_written = False
        self.is_reusable = True
        self.idle_s = DEFAULT_IDLE_S
        self.idle_since_s = 0.0
        self.served = 0
        self._parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=LARGEST_HEAD_BYTES
        )
        self._write_error = None

    @classmethod
    async def connect(cls, address, *, timeout_s):
        """Open a connection.

        Raises
        ------
        ConnectFailed
            If it isn't open in time.
        """
        host, _, port = address.rpartition(":")
        try:
            with anyio.fail_after(timeout_s):
                stream = await anyio.connect_tcp(host, int(port))
        except (OSError, ValueError) as error:
            raise ConnectFailed(f"{address}: {error!r}") from error
        _set_timeouts(stream)
        return cls(stream, address)

    def is_alive(self):
        """Tell whether nothing came since the last answer: no end, no stray bytes."""
        if not self.is_reusable or self._parser.trailing_data[0]:
            return False
        poll = select.poll()
        poll.register(self._fileno(), select.POLLIN)
        return not poll.poll(0)

    def _fileno(self):
        """Return the socket's descriptor."""
        return self.stream.extra(anyio.abc.SocketAttribute.raw_socket).fileno()

    async def request(self, outgoing, *, timeout_s, more=None) -> Head:
        """Write a request and return the head of its answer.

        Parameters
        ----------
        outgoing : Outgoing
            The request.
        timeout_s : float
            How long the head may take.
        more : callable or None
            Asked when that time is over; returns how much longer to wait, 0 to give
            up.

        Raises
        ------
        ChannelBroken
            If there is none.
        """
        if self.served:
            self._parser.start_next_cycle()
        self.served += 1
        self.is_written = False
        self.is_reusable = False
        data = self._encode(outgoing)
        self._write_error = None
        head = await self._exchange(data, timeout_s, more)
        self._note_idle(head)
        return head

    async def _exchange(self, data, timeout_s, more):
        """Write and read at once; return the head.

        A replica may answer before it has read a long body, and may never read on;
        writing first would then wait for ever.
        """
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._write, data)
                head = await self.wait_for(self._read_head, timeout_s, more)
                group.cancel_scope.cancel()
        except* ChannelBroken as broken:
            first = broken.exceptions[0]
            is_silent = getattr(first, "is_silent", False)
            raise ChannelBroken(str(first), is_silent=is_silent) from broken
        return head

    async def wait_for(self, read, timeout_s, more=None):
        """Read something, within a time that may be extended.

        Parameters
        ----------
        read : callable
            A coroutine function of this channel that can be called again.
        timeout_s : float
            How long it may take.
        more : callable or None
            As in ``request``.

        Raises
        ------
        ChannelBroken
            If nothing came, or the connection ended.
        """
        begun_s = anyio.current_time()
        while timeout_s > 0:
            with anyio.move_on_after(timeout_s):
                return await read()
            timeout_s = more() if more is not None else 0.0
        waited_s = anyio.current_time() - begun_s
        message = f"nothing from {self.address} for {waited_s:.2f} s"
        raise ChannelBroken(message, is_silent=True)

    def _encode(self, outgoing):
        """Return the bytes of a request."""
        headers = list(outgoing.headers)
        if outgoing.body or outgoing.has_body:
            headers.append((b"Content-Length", str(len(outgoing.body)).encode()))
        try:
            request = h11.Request(
                method=outgoing.method, target=outgoing.target, headers=headers
            )
            parts = [self._parser.send(request)]
            if outgoing.body:
                parts.append(self._parser.send(h11.Data(data=outgoing.body)))
            parts.append(self._parser.send(h11.EndOfMessage()))
        except h11.LocalProtocolError as error:
            raise ChannelBroken(f"can't be written: {error}") from error
        return b"".join(part for part in parts if part)

    async def _write(self, data):
        """Write a request; an error shows when the answer is read."""
        self.is_written = True
        try:
            await self.stream.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as error:
            self._write_error = error
        except BaseException:
            # Cut in the middle of a body: whatever came next on this connection
            # would be read as the rest of it.
            self._write_error = ConnectionAbortedError("the body was not read")
            raise

    async def _next_event(self):
        """Return the parser's next event."""
        while True:
            try:
                event = self._parser.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self._parser.receive_data(await self._receive())
            except h11.RemoteProtocolError as error:
                raise ChannelBroken(f"{self.address}: {error}") from error

    async def _receive(self):
        """Return the next bytes, empty at a clean end."""
        try:
            return await self.stream.receive(RECEIVE_BYTES)
        except anyio.EndOfStream:
            return b""
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as error:
            raise ChannelBroken(f"{self.address}: {error!r}") from error

    async def _read_head(self):
        """Return the head of the answer, past interim ones."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                return Head(event.status_code, tuple(event.headers))
            if not isinstance(event, h11.InformationalResponse):
                raise ChannelBroken(f"{self.address} closed before it answered")

    async def next_chunk(self):
        """Return the next bytes of the body, or None where it is complete.

        Raises
        ------
        ChannelBroken
            If it breaks off.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._finish()
            return None
        raise ChannelBroken(f"{self.address} closed within an answer")

    async def read_all(self, *, timeout_s, more=None, largest_bytes=64_000_000):
        """Return the whole body.

        Parameters
        ----------
        timeout_s : float
            How long it may take.
        more : callable or None
            As in ``request``.
        largest_bytes : int
            How long it may be.

        Raises
        ------
        ChannelBroken
            If it breaks off, falls silent or is too large.
        """
        parts: list[bytes] = []
        size = 0

        async def read_rest():
            nonlocal size
            while (part := await self.next_chunk()) is not None:
                parts.append(part)
                size += len(part)
                if size > largest_bytes:
                    raise ChannelBroken(f"{self.address} sent over {size} bytes")

        await self.wait_for(read_rest, timeout_s, more)
        return b"".join(parts)

    def _finish(self):
        """Note whether another request may follow a complete answer."""
        clean = self._parser.our_state is h11.DONE
        clean = clean and self._parser.their_state is h11.DONE
        self.is_reusable = (
            clean and self._write_error is None and not self._parser.trailing_data[0]
        )

    def _note_idle(self, head):
        """Take over how long the other end keeps idle connections."""
        for name, value in head.headers:
            if name == b"keep-alive" and (found := _KEEP_ALIVE.search(value)):
                self.idle_s = max(0.0, int(found[1]) - IDLE_MARGIN_S)

    async def aclose(self):
        """Close the socket at once."""
        self.is_reusable = False
        with anyio.CancelScope(shield=True):
            await self.stream.aclose()


def _set_timeouts(stream):
    """Let the kernel find connections that went silent without a reset."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    options = (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES),
    )
    for level, option, value in options:
        try:
            raw.setsockopt(level, option, value)
        except OSError:
            # Some kernels lack one; the request's own timeouts still hold.
            continue
