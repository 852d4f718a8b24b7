"""A minimal HTTP/1.1 server and client on asyncio streams."""

import asyncio
from dataclasses import dataclass, field

REASONS = {200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found",
           409: "Conflict", 410: "Gone", 421: "Misdirected", 503: "Busy"}  # fmt: skip


@dataclass
class Message:
    """The head of a request or a response, with its body; names in lower case."""

    first: str
    headers: dict
    body: bytes = b""
    is_whole: bool = True
    raw_head: bytes = b""
    notes: dict = field(default_factory=dict)

    @property
    def method(self):
        """The method of a request."""
        return self.first.split(" ")[0]

    @property
    def target(self):
        """The target of a request."""
        return self.first.split(" ")[1]

    @property
    def status(self):
        """The status of a response."""
        return int(self.first.split(" ")[1])


async def read_head(reader):
    """Return the head of the next message, or None if the connection has ended."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    first, *lines = raw[:-4].decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    headers = {name.strip().lower(): value.strip() for name, value in pairs}
    return Message(first, headers, raw_head=raw)


async def read_chunks(reader):
    """Yield the chunks of a body; raise ``IncompleteReadError`` if it is cut off."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_request(reader):
    """Return the next request with its body, or None."""
    message = await read_head(reader)
    if message is None:
        return None
    try:
        if "content-length" in message.headers:
            size = int(message.headers["content-length"])
            message.body = await reader.readexactly(size)
        elif "chunked" in message.headers.get("transfer-encoding", ""):
            message.body = b"".join([part async for part in read_chunks(reader)])
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    return message


async def read_response(reader):
    """Return the next response; ``is_whole`` tells whether its framing is complete."""
    message = await read_head(reader)
    if message is None:
        return None
    try:
        if "content-length" in message.headers:
            size = int(message.headers["content-length"])
            message.body = await reader.readexactly(size)
        elif "chunked" in message.headers.get("transfer-encoding", ""):
            async for part in read_chunks(reader):
                message.body += part
        else:
            message.body = await reader.read()
    except asyncio.IncompleteReadError as error:
        message.body += error.partial
        message.is_whole = False
    except (ConnectionError, OSError):
        message.is_whole = False
    return message


def encode_head(status, headers):
    """Return the head of a response."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


def encode_response(status, body, headers=None):
    """Return a whole response with its length."""
    fields = {"Content-Type": "application/json", "Content-Length": len(body)}
    return encode_head(status, fields | (headers or {})) + body


def encode_request(method, target, headers, body=b""):
    """Return a whole request with its length."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def call(address, method, target, *, headers=None, body=b"", timeout_s=5.0):
    """Send one request on a new connection; return the response, or None."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            fields = {"Host": address} | (headers or {})
            writer.write(encode_request(method, target, fields, body))
            await writer.drain()
            return await read_response(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
