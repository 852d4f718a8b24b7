"""Write the answer to a caller."""

from lycheetide.relay._outcomes import CallerDisconnected


class Reply:
    """Writes one answer to the ASGI server.

    Parameters
    ----------
    send : callable
        The ASGI ``send`` function.
    closes_connection : callable
        Returns whether the connection should be closed after this answer.
    """

    def __init__(self, send, closes_connection):
        self._send = send
        self._closes_connection = closes_connection
        self.is_started = False
        self.is_complete = False
        self.status = 0
        self.notes = {}

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

    async def write(self, data):
        """Write a part of the body."""
        await self._send_message(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

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
