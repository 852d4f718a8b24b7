"""A stand-in for a replica of the users' platform, which can misbehave.

What it does with a request is a list of steps, taken from ``script`` first and then
the same for every further request.
"""

import json
import time

import anyio

from standins.http import KEEP, Answer, HttpServer, Reset

SEAL = "3e1b.07"


def make_event(number, attempt=""):
    """Return one event of a stream, with the attempt that it answers if given."""
    return f"id: {number}\ndata: token {number}{attempt}\n\n".encode()


def chunk(data):
    """Return bytes as one chunk of a chunked body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


class Replica:
    """One replica.

    Parameters
    ----------
    name : str
        Its id.
    events : int
        How many events its streams have.

    Attributes
    ----------
    seen : list of Request
        All requests but orders.
    seen_s : list of float
        When they came.
    runs : list of str
        Attempt ids that it began to work on.
    cancelled_s : list of float
        When callers closed streams that weren't finished.
    drops_kept : bool
        Whether what comes on a connection that served before is reset.
    signs : bool
        Whether each event names the attempt that it answers.
    script : list
        What to do with the next requests: "refuse", "reset", "silent", "break",
        "garbled", "crossed", "extra", "unframed", "unframed-reset", "fail", "other",
        "late", "pause" (says nothing for ``long_pause_s`` before its answer, or after
        two events, and goes on).
    long_pause_s : float
        How long.
    leaving_helper : str
        The address of a replica with whose help it refuses to work, and which it names.
    """

    def __init__(self, name, *, events=4, pause_s=0.01):
        self.name = name
        self.events = events
        self.pause_s = pause_s
        self.seen = []
        self.seen_s = []
        self.runs = []
        self.orders = []
        self.tickets = {}
        self.kv_tokens = 1 << 40
        self.cancelled_s = []
        self.script = []
        self.always = ""
        self.leaving_helper = ""
        self.long_pause_s = 0.0
        self.signs = False
        self.drops_kept = False
        self._kept = set()
        self.server = HttpServer(self.answer, raw=True)

    @property
    def address(self):
        """Where it listens."""
        return self.server.address

    def entry(self, **changes):
        """Return what it writes into the registry."""
        return {
            "service": "models", "address": self.address, "zone": "cork-a",
            "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
            "seq": 1, "born": 1_700_000_000_000,
        } | changes  # fmt: skip

    async def answer(self, request, stream):
        """Answer one request."""
        if request.target == "/-/order":
            return self._take_order(json.loads(request.body))
        if self.drops_kept and stream in self._kept:
            raise Reset
        self._kept.add(stream)
        self.seen.append(request)
        self.seen_s.append(time.monotonic())
        step = self.script.pop(0) if self.script else self.always
        expected = request.headers["lycheetide-expect-instance"]
        if step == "other" or expected != self.name:
            return Answer(421, b"", {"Lycheetide-Instance-Id": "another"})
        helpers = request.headers.get("lycheetide-helpers", "")
        helped = bool(helpers)
        if self.leaving_helper and self.leaving_helper in helpers:
            head = {"Lycheetide-Not-Executed": "1", "At-Server": self.leaving_helper}
            return Answer(503, b"", head)
        if step == "refuse" or (step == "refuse-helped" and helped):
            return Answer(503, b"", {"Lycheetide-Not-Executed": "1"})
        attempt = request.headers.get("lycheetide-attempt-id", "")
        self.runs.append(attempt)
        return await self._run(request, stream, step, attempt)

    async def _run(self, request, stream, step, attempt):
        """Run a request, or fail to."""
        if step == "reset":
            raise Reset
        if step == "silent":
            await self._wait_for_end(stream)
        if step == "late":
            await anyio.sleep(self.long_pause_s)
        if step == "crossed":
            attempt = "0" * 16
        head = {"Lycheetide-Attempt-Id": attempt, "Lycheetide-Response-Seal": SEAL}
        if step == "fail":
            return Answer(500, b"broken", head)
        if step == "garbled":
            await stream.send(b"\x00\x01\x02 this is no answer\r\n\r\n")
            return None
        if request.method == "POST" and "stream" in request.target:
            return await self._stream(request, stream, head, step)
        return await self._answer_plainly(stream, head, step, attempt)

    async def _answer_plainly(self, stream, head, step, attempt):
        """Answer with a short body, or a part of one."""
        await self.wait_to_speak()
        answer = Answer(200, f"{self.name} answers {attempt}".encode(), head)
        if step == "break":
            await stream.send(Answer(200, b"x" * 400, head).encode()[:-100])
            raise Reset
        if step.startswith("unframed"):
            lines = [f"{name}: {value}" for name, value in head.items()]
            text = "\r\n".join(["HTTP/1.1 200 OK", *lines, "", "x" * 300])
            await stream.send(text.encode())
            await anyio.sleep(0.05)
            if step == "unframed-reset":
                raise Reset
            return None
        if step == "extra":
            await stream.send(answer.encode() + Answer(200, b"extra", head).encode())
            await anyio.sleep(0.2)
            return None
        return answer

    async def _stream(self, request, stream, head, step):
        """Write a stream of events, or a part of one."""
        lines = [f"{name}: {value}" for name, value in head.items()]
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        text = "HTTP/1.1 200 OK\r\n" + "\r\n".join(lines) + "\r\n\r\n"
        start = int(request.headers.get("last-event-id", 0))
        signature = f" {head['Lycheetide-Attempt-Id']}" if self.signs else ""
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._watch, stream)
                await self.wait_to_speak()
                await stream.send(text.encode())
                for number in range(start + 1, self.count_events(request) + 1):
                    if step == "break" and number == start + 3:
                        await stream.send(b"20\r\nid: 3\nda")
                        raise Reset
                    if step == "stall" and number == start + 3:
                        await anyio.sleep_forever()
                    if step == "pause" and number == start + 3:
                        await anyio.sleep(self.long_pause_s)
                    await self.wait_to_speak()
                    await stream.send(chunk(make_event(number, signature)))
                    await anyio.sleep(self.pause_s)
                group.cancel_scope.cancel()
        except* (Reset, OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            raise Reset from None
        await stream.send(b"0\r\n\r\n")
        return KEEP

    async def wait_to_speak(self):
        """Wait before it writes; not at all unless a subclass says so."""

    def count_events(self, request):
        """Return how many events the stream of a request has."""
        return self.events

    async def _watch(self, stream):
        """Note when the caller closes a stream."""
        try:
            await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
            self.cancelled_s.append(time.monotonic())
            raise Reset from None

    async def _wait_for_end(self, stream):
        """Say nothing until the caller closes the connection."""
        try:
            await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            self.cancelled_s.append(time.monotonic())
        raise Reset

    def _take_order(self, order):
        """Set memory aside, or free it."""
        self.orders.append(order)
        if order["operation"] == "release":
            self.tickets.pop(order["id"], None)
            return Answer(200, b"{}")
        others = sum(v for k, v in self.tickets.items() if k != order["id"])
        if others + order["tokens"] > self.kv_tokens:
            return Answer(409, b"{}")
        self.tickets[order["id"]] = order["tokens"]
        return Answer(200, b'{"free":1}')
