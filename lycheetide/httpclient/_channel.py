"""An HTTP/1.1 connection that carries one request at a time."""

import re
import select
import socket
from dataclasses import dataclass
from itertools import chain

import anyio
import h11

RECEIVE_BYTES = 65_536
WRITE_BYTES = 65_536
"""Size of the slices in which a long body is written, if it isn't joined with its head:
the event loop copies what the system doesn't take at once."""
MAX_HEAD_BYTES = 65_536
MAX_BODY_BYTES = 64_000_000
MAX_INTERIM_RESPONSES = 32
MAX_STATUS = 599
"""Highest status of HTTP; the parser refuses those below 100."""
TCP_USER_TIMEOUT_MS = 3_000
"""The connection is closed when sent bytes or keep-alive probes stay unacknowledged for
this period: with this option set, the number of probes decides nothing."""
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
"""Idle time before the first keep-alive probe, and between probes: a connection lost
without a reset is closed 3 s after the last byte was received."""
KEEPALIVE_PROBES = 2
"""Number of probes that may be lost on a system without ``TCP_USER_TIMEOUT``."""
DEFAULT_IDLE_S = 3.0
"""Maximum idle time of a connection whose server announces no keep-alive timeout."""
IDLE_MARGIN_S = 1.0
"""Subtracted from the announced keep-alive timeout, as both ends measure separately."""

_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d{1,9})")


class ChannelConnectError(Exception):
    """The connection could not be opened; nothing was sent.

    Parameters
    ----------
    message : str
        What happened.
    is_confirmed : bool, default=False
        Whether another node that reaches other servers doesn't reach this one.
    is_refused : bool, default=False
        Whether the server's host has answered that nothing listens at the port.
    """

    def __init__(self, message, *, is_confirmed=False, is_refused=False):
        super().__init__(message)
        self.is_confirmed = is_confirmed
        self.is_refused = is_refused


class ChannelError(Exception):
    """A connection was closed, timed out or carried an invalid response.

    Parameters
    ----------
    message : str
        What happened.
    is_silent : bool, default=False
        Whether nothing was received in time, as opposed to a close or an error.
    """

    def __init__(self, message, *, is_silent=False):
        super().__init__(message)
        self.is_silent = is_silent


@dataclass(frozen=True)
class OutgoingRequest:
    """A request to send.

    A Content-Length header is added if the body isn't empty or ``has_body`` is set.

    Parameters
    ----------
    joins_body : bool
        Whether head and body are sent as one block. If not, a long body isn't copied,
        neither here nor by the event loop.
    """

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes = b""
    has_body: bool = False
    joins_body: bool = True


@dataclass(frozen=True)
class ResponseHead:
    """Status and headers of a response; header names are in lower case."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]


class Channel:
    """An HTTP/1.1 connection.

    Parameters
    ----------
    stream : anyio.abc.SocketStream
        The open socket.
    address : str
        The address of the server, "ip:port".

    Attributes
    ----------
    is_written : bool
        Whether any byte of the present request was passed to the socket.
    is_request_sent : bool
        Whether the whole present request was passed to the socket.
    is_reusable : bool
        Whether the last response was complete and another request may follow.
    idle_s : float
        The maximum time that the connection may stay idle.
    idle_since_s : float
        When the connection became idle.
    request_count : int
        The number of requests sent on the connection.
    via : str
        Address of the node that carries the connection; empty if it is direct.
    """

    via = ""

    def __init__(self, stream, address):
        self.stream = stream
        self.address = address
        self.is_written = False
        self.is_request_sent = False
        self.is_reusable = True
        self.idle_s = DEFAULT_IDLE_S
        self.idle_since_s = 0.0
        self.request_count = 0
        self._parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._write_error = None

    @classmethod
    async def connect(cls, address, *, timeout_s):
        """Open a connection.

        Raises
        ------
        ChannelConnectError
            If the connection isn't open within ``timeout_s``.
        """
        host, _, port = address.rpartition(":")
        try:
            with anyio.fail_after(timeout_s):
                stream = await anyio.connect_tcp(host, int(port))
        except (OSError, ValueError, OverflowError) as error:
            is_refused = isinstance(error.__cause__, ConnectionRefusedError)
            raise ChannelConnectError(
                f"{address}: {error!r}", is_refused=is_refused
            ) from error
        set_socket_options(stream)
        return cls(stream, address)

    def is_alive(self):
        """Return whether the connection can be reused.

        It can if nothing was received since the last response: neither a close nor
        unexpected bytes.
        """
        if not self.is_reusable or self._parser.trailing_data[0]:
            return False
        fileno = self._fileno()
        if fileno < 0:
            return False
        poll = select.poll()
        poll.register(fileno, select.POLLIN)
        return not poll.poll(0)

    def _fileno(self):
        """Return the file descriptor of the socket, below 0 if it is closed."""
        return self.stream.extra(anyio.abc.SocketAttribute.raw_socket).fileno()

    async def request(self, outgoing, *, timeout_s, more=None) -> ResponseHead:
        """Send a request and return the head of the response.

        Parameters
        ----------
        outgoing : OutgoingRequest
            The request.
        timeout_s : float
            The maximum time until the head is received.
        more : callable or None
            Called when the time is over; returns how much longer to wait, or 0 to give
            up.

        Raises
        ------
        ChannelError
            If no valid head was received.
        """
        if self.request_count:
            self._parser.start_next_cycle()
        self.request_count += 1
        self.is_written = False
        self.is_request_sent = False
        self.is_reusable = False
        data = self._encode(outgoing)
        self._write_error = None
        head = await self._exchange(data, timeout_s, more)
        self._update_idle_limit(head)
        return head

    async def _exchange(self, data, timeout_s, more):
        """Send a request while reading the response; return the response head.

        A replica may respond before it has read a long body, and may never read the
        rest. Sending the whole body before reading would then block forever.
        """
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._write, data)
                head = await self.wait_for(self._read_head, timeout_s, more)
                group.cancel_scope.cancel()
        except* ChannelError as broken:
            first = broken.exceptions[0]
            is_silent = getattr(first, "is_silent", False)
            raise ChannelError(str(first), is_silent=is_silent) from broken
        return head

    async def wait_for(self, read, timeout_s, more=None):
        """Read with a timeout that may be extended.

        Parameters
        ----------
        read : callable
            A coroutine function that reads from this channel. It is called again after
            each extension.
        timeout_s : float
            The maximum time it may take.
        more : callable or None
            As in ``request``.

        Raises
        ------
        ChannelError
            If the time is over, or the connection was closed.
        """
        begun_s = anyio.current_time()
        while timeout_s > 0:
            with anyio.move_on_after(timeout_s):
                return await read()
            timeout_s = more() if more is not None else 0.0
        waited_s = anyio.current_time() - begun_s
        message = f"nothing from {self.address} for {waited_s:.2f} s"
        raise ChannelError(message, is_silent=True)

    def _encode(self, outgoing):
        """Return the blocks of the serialized request."""
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
            raise ChannelError(f"invalid request: {error}") from error
        if not outgoing.joins_body and len(outgoing.body) > WRITE_BYTES:
            # With a declared length, a body is sent as it is.
            return chain(parts[:1], _cut(outgoing.body))
        return [b"".join(part for part in parts if part)]

    async def _write(self, blocks):
        """Send a request; an error is noticed when the response is read."""
        self.is_written = True
        try:
            for block in blocks:
                await self.stream.send(block)
            self.is_request_sent = True
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as error:
            self._write_error = error
        except BaseException:
            # The body may be sent only in part: the server would read the next request
            # on this connection as the rest of the body.
            self._write_error = ConnectionAbortedError("the body was not read")
            raise

    async def _next_event(self):
        """Return the next parsed event, reading as needed."""
        while True:
            try:
                event = self._parser.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self._parser.receive_data(await self._receive())
            except h11.RemoteProtocolError as error:
                raise ChannelError(f"{self.address}: {error}") from error

    async def _receive(self):
        """Return the next bytes, or empty bytes if the server closed the connection."""
        try:
            return await self.stream.receive(RECEIVE_BYTES)
        except anyio.EndOfStream:
            return b""
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as error:
            raise ChannelError(f"{self.address}: {error!r}") from error

    async def _read_head(self):
        """Return the head of the response; interim (1xx) responses are skipped."""
        for _ in range(MAX_INTERIM_RESPONSES):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                if event.status_code > MAX_STATUS:
                    raise ChannelError(f"{self.address}: status {event.status_code}")
                return ResponseHead(event.status_code, tuple(event.headers))
            if not isinstance(event, h11.InformationalResponse):
                raise ChannelError(f"{self.address} closed before it responded")
        raise ChannelError(
            f"{self.address} sent {MAX_INTERIM_RESPONSES} interim responses"
        )

    async def next_chunk(self):
        """Return the next bytes of the body, or None if the body is complete.

        Raises
        ------
        ChannelError
            If the body is cut off.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._update_reusable()
            return None
        raise ChannelError(f"{self.address} closed within a response")

    async def read_all(
        self, *, timeout_s, more=None, max_bytes=MAX_BODY_BYTES, note_read=None
    ):
        """Read and return the whole body.

        Parameters
        ----------
        timeout_s : float
            The maximum time it may take.
        more : callable or None
            As in ``request``.
        max_bytes : int, default=64_000_000
            The maximum size of the body.
        note_read : callable or None
            Called with the number of bytes of each part. A ``ChannelError`` that it
            raises ends the reading.

        Raises
        ------
        ChannelError
            If the body is cut off, takes too long or is too large.
        """
        body = bytearray()

        async def read_rest():
            while (part := await self.next_chunk()) is not None:
                body.extend(part)
                if len(body) > max_bytes:
                    raise ChannelError(f"{self.address} sent over {len(body)} bytes")
                if note_read is not None:
                    note_read(len(part))

        await self.wait_for(read_rest, timeout_s, more)
        return bytes(body)

    def _update_reusable(self):
        """Set ``is_reusable`` after a complete response."""
        is_complete = self._parser.our_state is h11.DONE
        is_complete = is_complete and self._parser.their_state is h11.DONE
        self.is_reusable = (
            is_complete
            and self._write_error is None
            and not self._parser.trailing_data[0]
        )

    def _update_idle_limit(self, head):
        """Set the maximum idle time from the server's Keep-Alive header."""
        for name, value in head.headers:
            if name == b"keep-alive" and (match := _KEEP_ALIVE_TIMEOUT.search(value)):
                self.idle_s = max(0.0, int(match[1]) - IDLE_MARGIN_S)

    async def aclose(self):
        """Close the connection immediately."""
        self.is_reusable = False
        with anyio.CancelScope(shield=True):
            await self.stream.aclose()


def _cut(body):
    """Yield a body in slices."""
    for begin in range(0, len(body), WRITE_BYTES):
        yield body[begin : begin + WRITE_BYTES]


def set_socket_options(stream):
    """Let the kernel detect connections that are lost without a reset."""
    sock = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    options = (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    )
    for level, option, value in options:
        try:
            sock.setsockopt(level, option, value)
        except OSError:
            # Some kernels lack an option; the timeouts of requests still apply.
            continue
