"""The answer to a caller, as it goes out."""

from lycheetide.relay._outcomes import CallerLeft


class Reply:
    """Writes one answer.

    Parameters
    ----------
    send : callable
        The server's function that takes a message.
    closes : callable
        Tells whether the connection should end behind this answer.
    """

    def __init__(self, send, closes):
        self._send = send
        self._closes = closes
        self.is_started = False
        self.is_complete = False
        self.status = 0
        self.notes = {}

    def note(self, **fields):
        """Keep what the log's line on the request's end should show."""
        self.notes.update(fields)

    async def start(self, status, headers, *, length=None):
        """Write the head.

        Parameters
        ----------
        status : int
            HTTP status.
        headers : list of (bytes, bytes)
            Headers that concern more than this connection.
        length : int or None
            Length of the body; None for one that ends by itself.
        """
        headers = list(headers)
        if length is not None:
            headers.append((b"content-length", str(length).encode()))
        if self._closes():
            headers.append((b"connection", b"close"))
        self.is_started = True
        self.status = status
        await self._pass(
            {"type": "http.response.start", "status": status, "headers": headers}
        )

    async def write(self, data):
        """Write a part of the body."""
        await self._pass(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def end(self):
        """End a complete body."""
        self.is_complete = True
        await self._pass({"type": "http.response.body", "body": b""})

    async def give(self, status, headers, body):
        """Write a whole answer."""
        await self.start(status, headers, length=len(body))
        self.is_complete = True
        await self._pass({"type": "http.response.body", "body": body})

    async def _pass(self, message):
        """Hand a message to the server."""
        try:
            await self._send(message)
        except OSError as error:
            raise CallerLeft from error
