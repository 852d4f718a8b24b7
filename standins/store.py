"""Simulator of the store of the users' platform: logs of keyed records over HTTP."""

import base64
import json
from urllib.parse import parse_qs, urlsplit

import anyio

from standins.http import HttpServer, Response

LENGTH_BYTES = 4
MAX_WAIT_S = 30.0


class Topic:
    """A log of keyed records."""

    def __init__(self):
        self.records = []
        self.first = 0

    @property
    def end(self):
        """The offset of the next record."""
        return self.first + len(self.records)

    def put(self, key, value):
        """Append a record; an empty value deletes the key."""
        self.records.append((key, value))

    def newest(self):
        """Return the offset and value of the newest record of each key."""
        found = {}
        for index, (key, value) in enumerate(self.records):
            found[key] = (self.first + index, value)
        return found


class Store:
    """Simulated store that can be made to fail all calls.

    Attributes
    ----------
    calls : list of str
        Request targets of all calls.
    down : str
        Empty in normal operation; "busy" answers all calls with status 503, "silent"
        never answers them.
    loses : callable
        Takes the target of a call that was carried out, and tells whether its answer is
        lost. The connection then returns nothing further.
    lost : int
        Number of answers that were lost.
    """

    def __init__(self):
        self.topics = {}
        self.calls = []
        self.down = ""
        self.loses = lambda target: False
        self.lost = 0
        self.changed = anyio.Event()
        self.server = HttpServer(self.answer)

    @property
    def address(self):
        """The address of the server, "ip:port"."""
        return self.server.address

    def topic(self, name):
        """Return a topic, which is created on first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        """Append a record as operators and replicas do; encode other values as JSON."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.topic(topic).put(key, data)
        self.notify_readers()

    def remove(self, topic, key):
        """Delete a key."""
        self.topic(topic).put(key, b"")
        self.notify_readers()

    def notify_readers(self):
        """Wake all reads that wait for new records."""
        self.changed.set()
        self.changed = anyio.Event()

    def compact(self, topic):
        """Remove all records but the newest of each key, which gets a new offset."""
        old = self.topic(topic)
        newest_records = {
            key: value for key, (_, value) in old.newest().items() if value
        }
        old.first = old.end
        old.records = []
        for key, value in newest_records.items():
            old.put(key, value)

    async def answer(self, request):
        """Handle one call; its answer may be lost."""
        answer = await self._answer(request)
        if self.loses(request.target):
            self.lost += 1
            await anyio.sleep_forever()
        return answer

    async def _answer(self, request):
        """Carry out one call."""
        self.calls.append(request.target)
        if self.down == "silent":
            await anyio.sleep_forever()
        if self.down:
            return Response(503, b"{}")
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        topic = self.topic(query["topic"])
        if parts.path == "/-/log-append":
            return self._append(topic, request.body)
        if parts.path == "/-/log-newest":
            return self._newest(topic)
        return await self._read(topic, query)

    def _append(self, topic, body):
        """Append one record."""
        key_length = body[LENGTH_BYTES]
        key = body[LENGTH_BYTES + 1 : LENGTH_BYTES + 1 + key_length].decode()
        topic.put(key, body[LENGTH_BYTES + 1 + key_length :])
        self.notify_readers()
        return Response(200, json.dumps({"offset": topic.end - 1}).encode())

    def _newest(self, topic):
        """Return the newest record of each key that is not deleted."""
        items = [
            {"key": key, "offset": offset, "value": base64.b64encode(value).decode()}
            for key, (offset, value) in topic.newest().items()
            if value
        ]
        body = {"items": items, "more": False, "end": topic.end}
        return Response(200, json.dumps(body).encode())

    async def _read(self, topic, query):
        """Return the records from an offset on; wait for one if there is none yet."""
        offset = int(query["from"])
        with anyio.move_on_after(int(query.get("waitMs", 0)) / 1000):
            while topic.end <= offset and not self.down:
                await self.changed.wait()
        if self.down:
            return Response(503, b"{}")
        if offset < topic.first:
            return Response(410, json.dumps({"first": topic.first}).encode())
        body = topic.end.to_bytes(8, "big") + topic.first.to_bytes(8, "big")
        for key, value in topic.records[offset - topic.first :]:
            record = bytes([len(key)]) + key.encode() + value
            body += len(record).to_bytes(LENGTH_BYTES, "big") + record
        return Response(200, body)
