"""Write the answer to a caller."""

from lycheetide.relay._outcomes import CallerDisconnected
from lycheetide.relay._state import read_clock

MAX_SEND_LAYERS = 4
"""Largest number of objects between an ASGI ``send`` function and its transport."""
FRAMING_BYTES = 4_096
"""Upper bound of what the server adds to one part: headers, or a chunk's frame."""


def find_transport(send):
    """Return the transport that an ASGI ``send`` function writes to.

    The server's objects for a stream, a connection and a socket each pass what they
    send to the next one; the last one has a ``writer``.

    Returns
    -------
    asyncio.Transport or None
        None if the server is built differently.
    """
    for _ in range(MAX_SEND_LAYERS):
        layer = getattr(send, "__self__", None)
        writer = getattr(layer, "writer", None)
        if writer is not None:
            return writer.transport
        send = getattr(layer, "send", None)
    return None


class Reply:
    """Writes one answer to the ASGI server.

    Parameters
    ----------
    send : callable
        The ASGI ``send`` function.
    closes_connection : callable
        Returns whether the connection should be closed after this answer.

    Attributes
    ----------
    group : anyio.abc.TaskGroup or None
        Runs what belongs to the request; it is cancelled when the request ends.
    waited_until_s : float
        Until when the reading last waited for the caller; writing without a buffer
        isn't told apart from reading.
    """

    waited_until_s = 0.0

    def __init__(self, send, closes_connection):
        self._send = send
        self._closes_connection = closes_connection
        self.is_started = False
        self.is_complete = False
        self.status = 0
        self.notes = {}
        self.group = None
        self._transport = None

    def note(self, **fields):
        """Add fields to the log line that is written at the end of the request."""
        self.notes.update(fields)

    async def start(self, status, headers, *, length=None):
        """Write the head of the answer.

        Parameters
        ----------
        status : int
            HTTP status.
        headers : list of (bytes, bytes)
            Headers of the answer, without hop-by-hop ones.
        length : int or None
            Length of the body in bytes; None if it isn't known in advance.
        """
        headers = list(headers)
        if length is not None:
            headers.append((b"content-length", str(length).encode()))
        if self._closes_connection():
            headers.append((b"connection", b"close"))
        self.is_started = True
        self.status = status
        await self._send_message(
            {"type": "http.response.start", "status": status, "headers": headers}
        )

    async def write(self, data, record=None):
        """Write a part of the body.

        Parameters
        ----------
        data : bytes
            The part.
        record : callable or None
            Called with the times at which the write began and ended for its caller:
            both are its end, as without a buffer the reading waits for the write.
        """
        await self._send_message(
            {"type": "http.response.body", "body": data, "more_body": True}
        )
        if record is not None:
            now_s = read_clock()
            record(now_s, now_s)

    def has_space(self, size):
        """Tell whether a part of the answer can be written without waiting.

        The server waits only from when its buffer exceeds the upper limit until it has
        fallen to the lower one.
        """
        if self._transport is None:
            self._transport = find_transport(self._send)
            if self._transport is None:
                return False
        low, high = self._transport.get_write_buffer_limits()
        held = self._transport.get_write_buffer_size()
        return held <= low and held + size + FRAMING_BYTES < high

    def abort(self):
        """Abort the connection, with what the server still holds for it."""
        transport = find_transport(self._send)
        if transport is not None:
            transport.abort()

    async def end(self):
        """Mark the answer as complete and end its body."""
        self.is_complete = True
        await self._send_message({"type": "http.response.body", "body": b""})

    async def send_whole(self, status, headers, body):
        """Write a complete answer."""
        await self.start(status, headers, length=len(body))
        self.is_complete = True
        await self._send_message({"type": "http.response.body", "body": body})

    async def _send_message(self, message):
        """Pass a message to the ASGI server.

        Raises
        ------
        CallerDisconnected
            If the caller's connection is closed.
        """
        try:
            await self._send(message)
        except OSError as error:
            raise CallerDisconnected from error
