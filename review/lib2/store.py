"""A stand-in for the platform's store: logs of keyed records over HTTP."""

import asyncio
import base64
import json
from urllib.parse import parse_qs, urlsplit

from review.lib2.wire import encode_response, read_request


class Store:
    """The store; all topics have one partition and keep all records.

    Attributes
    ----------
    is_answer_lost : callable
        Takes the topic and the kind of a call ("read", "wait", "list" or "append");
        tells whether its answer is lost. The channel then returns nothing further.
    calls, lost : int
        Number of calls, and of those whose answer was lost.
    """

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Event()
        self.address = ""
        self.is_answer_lost = lambda topic, kind: False
        self.calls = 0
        self.lost = 0
        self.lost_calls = []
        self.server = None

    async def start(self):
        """Listen on a free port of the loopback address."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def put(self, topic, key, value):
        """Append a record; an empty value drops the key."""
        name = key.encode()
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        records = self.topics.setdefault(topic, [])
        records.append((key, data, bytes([len(name)]) + name + data))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer):
        """Answer the calls of one channel."""
        is_silent = False
        try:
            while (request := await read_request(reader)) is not None:
                self.calls += 1
                topic, kind, answer = await self._answer(request)
                if is_silent or self.is_answer_lost(topic, kind):
                    is_silent = True
                    self.lost += 1
                    self.lost_calls.append((topic, kind))
                    continue
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def _answer(self, request):
        """Return the topic, the kind and the answer of a call."""
        parts = urlsplit(request.target)
        query = {name: rows[0] for name, rows in parse_qs(parts.query).items()}
        topic = query.get("topic", "")
        records = self.topics.setdefault(topic, [])
        if parts.path == "/-/log-append":
            size = request.body[4]
            key = request.body[5 : 5 + size].decode()
            self.put(topic, key, request.body[5 + size :])
            body = {"offset": len(records) - 1, "end": len(records)}
            return topic, "append", encode_response(200, json.dumps(body).encode())
        if parts.path == "/-/log-newest":
            return topic, "list", encode_response(200, self._list(records))
        if parts.path != "/-/log-read":
            return topic, "unknown", encode_response(404, b"{}")
        offset, wait_ms = int(query["from"]), int(query.get("waitMs", 0))
        try:
            async with asyncio.timeout(wait_ms / 1e3):
                while len(records) <= offset:
                    await self.changed.wait()
        except TimeoutError:
            pass
        body = len(records).to_bytes(8, "big") + bytes(8)
        for _, _, raw in records[offset:]:
            body += len(raw).to_bytes(4, "big") + raw
        return topic, "wait" if wait_ms else "read", encode_response(200, body)

    @staticmethod
    def _list(records):
        """Return the newest record of each key."""
        newest = {key: (offset, data) for offset, (key, data, _) in enumerate(records)}
        items = [
            {"key": key, "offset": offset, "value": base64.b64encode(data).decode()}
            for key, (offset, data) in newest.items()
            if data
        ]
        page = {"items": items, "more": False, "end": len(records)}
        return json.dumps(page).encode()
