"""A small HTTP/1.1 server for tests that can also send malformed responses.

Handlers can write raw bytes to the connection, or reset it.
"""

import socket
import struct
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import anyio
import h11

LOOPBACK = "127.0.0.1"
SLOW_RECEIVE_BYTES = 4_096
SHUT_DOWN_S = 0.5
LINGER_RESET = struct.pack("ii", 1, 0)
"""SO_LINGER with a timeout of 0: closing the socket resets the connection."""
REASON_PHRASES = {200: "OK", 410: "Gone", 421: "Misdirected", 500: "Error", 503: "Busy"}


@dataclass(frozen=True)
class Request:
    """A request as it was received."""

    method: str
    target: str
    headers: dict
    body: bytes


@dataclass(frozen=True)
class Response:
    """A complete response with a Content-Length."""

    status: int
    body: bytes
    headers: dict = field(default_factory=dict)

    def encode(self):
        """Return the response as bytes."""
        lines = [f"HTTP/1.1 {self.status} {REASON_PHRASES.get(self.status, 'Other')}"]
        lines += [f"{name}: {value}" for name, value in self.headers.items()]
        lines += [f"Content-Length: {len(self.body)}", "", ""]
        return "\r\n".join(lines).encode() + self.body


RESPONSE_SENT = Response(0, b"")
"""Returned by a handler that wrote its response itself; the connection stays open."""


def reset(stream):
    """Reset a connection immediately.

    Closing the stream would send a FIN before the reset. A client that reads in between
    would take a truncated response without a length for a complete one.
    """
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    try:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    except OSError:
        return  # The socket is already closed.
    stream._transport.abort()


class ConnectionReset(Exception):
    """Raised by a handler to have the connection reset."""


@asynccontextmanager
async def listen(serve):
    """Run a TCP server on the loopback address; yield its address.

    ``serve`` is called with the stream of each connection.
    """
    multi = await anyio.create_tcp_listener(local_host=LOOPBACK)
    (listener,) = multi.listeners
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    ended = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(_accept_until_shut_down, listener, serve, group, ended)
        yield f"{LOOPBACK}:{port}"
        # Cancelling the task while a connection arrives, or closing the socket before
        # the task has ended, would fail inside the event loop.
        raw = listener.extra(anyio.abc.SocketAttribute.raw_socket)
        raw.shutdown(socket.SHUT_RDWR)
        with anyio.move_on_after(SHUT_DOWN_S, shield=True):
            await ended.wait()
        group.cancel_scope.cancel()
    await listener.aclose()


async def _accept_until_shut_down(listener, serve, group, ended):
    """Serve each connection of a listener until its socket is shut down."""
    try:
        while True:
            stream = await listener.accept()
            group.start_soon(serve, stream)
    except OSError:
        ended.set()


class HttpServer:
    """HTTP server on the loopback address whose responses come from a handler.

    Parameters
    ----------
    handle : callable
        Coroutine function that gets a request, and the stream too if ``passes_stream``
        is true. It returns a response, or ``RESPONSE_SENT`` if it wrote the response
        itself, or None to close the connection.
    passes_stream : bool
        Whether the handler also gets the stream of the connection.

    Attributes
    ----------
    body_bytes_per_s : float
        Rate at which request bodies are read; 0 for no limit.
    is_mute : bool
        Whether connections are accepted, and closed with nothing read.
    on_head : callable or None
        Coroutine function called with the headers of each request, before its body is
        read, and the stream; tells whether the connection ends there, unless it raises
        ``ConnectionReset``.
    """

    def __init__(self, handle, *, passes_stream=False):
        self.handle = handle
        self.passes_stream = passes_stream
        self.address = ""
        self.connections = 0
        self.body_bytes_per_s = 0.0
        self.is_mute = False
        self.on_head: Any = None
        self._open = set()

    @asynccontextmanager
    async def run(self):
        """Accept connections until the context exits."""
        async with listen(self._serve) as self.address:
            yield self

    async def _serve(self, stream):
        """Serve the requests of one connection."""
        self.connections += 1
        self._open.add(stream)
        parser = h11.Connection(h11.SERVER)
        try:
            while not self.is_mute:
                request = await self._read(parser, stream)
                if request is None:
                    return
                if self.passes_stream:
                    answer = await self.handle(request, stream)
                else:
                    answer = await self.handle(request)
                if answer is None:
                    return
                if answer is not RESPONSE_SENT:
                    await stream.send(answer.encode())
                parser = h11.Connection(h11.SERVER)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            return
        except ConnectionReset:
            reset(stream)
        finally:
            self._open.discard(stream)
            with anyio.CancelScope(shield=True):
                await stream.aclose()

    async def mute(self):
        """Close all connections, and each new one, until ``is_mute`` is reset."""
        self.is_mute = True
        await self.close_open()

    async def close_open(self):
        """Close all connections in an orderly way, as the end of a process does."""
        for stream in list(self._open):
            await stream.aclose()

    async def _read(self, parser, stream):
        """Return the next request, or None if the connection has ended."""
        head: Any = None
        body = b""
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                try:
                    if head is None or not self.body_bytes_per_s:
                        data = await stream.receive()
                    else:
                        data = await stream.receive(SLOW_RECEIVE_BYTES)
                        await anyio.sleep(len(data) / self.body_bytes_per_s)
                    parser.receive_data(data)
                except anyio.EndOfStream:
                    return None
            elif isinstance(event, h11.Request):
                head = event
                if self.on_head is not None:
                    headers = {k.decode(): v.decode("latin-1") for k, v in head.headers}
                    if await self.on_head(headers, stream):
                        return None
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                headers = {k.decode(): v.decode("latin-1") for k, v in head.headers}
                return Request(
                    head.method.decode(), head.target.decode(), headers, body
                )
            else:
                return None
