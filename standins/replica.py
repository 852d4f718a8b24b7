"""Simulator of a replica of the users' platform, with fault injection.

How it handles a request is named by a step. The steps in ``next_steps`` apply to the
next requests, one each; ``default_step`` applies to all further ones.
"""

import json
import time
from dataclasses import replace
from itertools import count, cycle, islice, pairwise
from zlib import crc32

import anyio

from standins.http import RESPONSE_SENT, ConnectionReset, HttpServer, Response

RESPONSE_SEAL = "3e1b.07"
HEALTH_PATH = "/health"
CRASH_MOMENTS = ("request", "head", "first", "events", "last", "end")
ENDLESS = {
    "endless-lines": (b"", b"X: y\r\n" * 512),
    "endless-body": (b"\r\n", b"x" * 65_536),
    "endless-length": (b"Content-Length: 1000000000000\r\n\r\n", b"x" * 65_536),
    "endless-chunks": (
        b"Transfer-Encoding: chunked\r\n\r\n", b"1000\r\n" + b"x" * 4_096 + b"\r\n",
    ),
    "endless-chunk": (
        b"Transfer-Encoding: chunked\r\n\r\nffffffffff\r\n", b"x" * 65_536,
    ),
    "endless-failure": (b"Content-Length: 1000000000000\r\n\r\n", b"x" * 65_536),
    "endless-event": (b"\r\n", b"data: x\r\n" * 4_096),
}  # fmt: skip
"""Ways to send bytes without end: the end of the head, and what follows."""
PIECE_PAUSE_S = 0.001
"""Pause after a piece of an event, so that it is read before the next one."""
MIN_EARLY_BYTES = 100_000
EARLY_PAUSE_S = 0.02
ENTRY_LEASE_S = 1.0
"""How long the entry of a replica that has crashed stays in the registry."""


def list_shared_parts(request):
    """Return the ids of a prompt's parts, without the last one, which is its own."""
    text = request.headers.get("lycheetide-prompt-prefix", "")
    return [entry.partition(":")[0] for entry in text.split(",")][:-1]


def make_event(number, attempt="", *, size=0):
    """Return one server-sent event, with the id of its attempt if given.

    Its data is filled up with dots to ``size`` bytes.
    """
    data = f"token {number}{attempt}".ljust(size, ".")
    return f"id: {number}\ndata: {data}\n\n".encode()


def replace_line_ends(event, line_ends):
    """Return an event whose lines end as given, each line in turn."""
    lines = event.split(b"\n")[:-1]
    ends = islice(cycle(line_ends), len(lines))
    return b"".join(line + end for line, end in zip(lines, ends, strict=True))


def cut_at(data, places):
    """Return the pieces of data between some places, which are in order."""
    bounds = [0, *places, len(data)]
    return [data[a:b] for a, b in pairwise(bounds) if a < b]


def chunk(data):
    """Encode bytes as one chunk of a chunked body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


class Replica:
    """A simulated replica.

    Parameters
    ----------
    name : str
        The id of the replica.
    events : int
        Number of events in each stream.
    pause_s : float
        Pause after each event.

    Attributes
    ----------
    received : list of Request
        All requests that were received, except reservation orders and requests for its
        report.
    received_times : list of float
        When these requests were received.
    runs : list of str
        Ids of the attempts that were started.
    orders : list of dict
        All reservation orders that were received.
    tickets : dict of str to int
        Tokens of KV memory that are reserved, by reservation id.
    kv_tokens : int
        Capacity of the KV memory for reservations.
    cancelled_s : list of float
        When callers closed the connections of unfinished responses.
    resets_reused_connections : bool
        Whether requests on a connection that has already served one are answered with a
        reset.
    adds_attempt_ids : bool
        Whether each event contains the id of its attempt.
    next_steps : list
        Steps of the next requests: "refuse", "refuse-helped" (only those with helpers),
        "reset", "silent", "break", "stall", "garbled", "crossed", "extra", "unframed",
        "unframed-reset", "fail" (after it has run the request, with a status such as in
        "fail-429", 500 by default), "other", "end" (a stream whose connection is closed
        within the third event), "end-empty" (before the first one), "endless-head" and
        "endless" (bytes that are no answer, without end, in the head and in place of
        the third event), those of ``ENDLESS`` (the same in other places), "late" and
        "pause"
        (the last two send nothing for ``long_pause_s``, before the response and after
        two events respectively, and then continue).
    default_step : str
        Step of the requests after those of ``next_steps``; empty for a normal response.
    long_pause_s : float
        Length of the pause of the steps "late" and "pause".
    pace : float
        Factor by which it reports its work to take longer than stated.
    limit : str or None
        The limit that it names in its answers; None to name none.
    is_leaving : bool
        Whether it says in its answers that it leaves.
    rest : str or None
        The time of rest that it asks for when it refuses a request, in seconds; None
        for none.
    unread_limit_s : float or None
        How long an event of a stream may stay unread before the stream is cut off; None
        for any time.
    cut_unread : int
        Number of streams that were cut off for this reason.
    endless_bytes : int
        Number of bytes sent that are no answer.
    event_bytes : int
        Size to which the data of each event is filled up.
    refused_helper : str
        Address of a replica; requests that use it as a helper are refused, and the
        refusal names it.
    framing : str
        How its streams end: "chunks"; "chunks-close", after which it closes the
        connection; or "close", where only the end of the connection ends them.
    line_ends : tuple of bytes
        How the lines of its events end, each line in turn.
    id_step : int
        Difference between the ids of two events.
    draw_cuts : callable or None
        Takes an event, and returns the places at which it is cut into pieces that are
        sent apart, in order; None to send it whole.
    early_end : str
        How it ends the answers that it sends to long requests before it has read them,
        as successes without a length of which a part is missing: "reset", "close" or
        "half" (its half of the connection only, for a while); empty for none.
    http_version : str
        Version of HTTP that the heads of its streams name.
    crash_part : str
        Id of a shared part of prompts. Within ``live``, the process crashes while it
        answers a prompt with this part, at ``crash_moment``; empty for none.
    crash_on : callable or None
        Takes a request and tells whether the process crashes, within ``live``, while
        it works on it; None for never.
    crash_moment : str
        When it does: "request" (before the head of the answer), "head", "first" (after
        one event), "events" (after two more events, or half of a short body), "last"
        (after the last event), "end" (``crash_delay_s`` after the complete answer) or
        "any" (one of these, drawn for each attempt).
    crash_delay_s : float
        Time from the end of an answer to the crash.
    down_s : float
        How long it takes until the next process starts after a crash.
    keeps_listening : bool
        Whether its address still accepts connections after a crash, as behind a
        forwarder, and closes them unread.
    crash_times : list of float
        When it crashed.
    crash_causes : list of (float, str)
        When it crashed for a request that ``crash_on`` names, with the attempt id.
    """

    def __init__(self, name, *, events=4, pause_s=0.01):
        self.name = name
        self.events = events
        self.pause_s = pause_s
        self.received = []
        self.received_times = []
        self.runs = []
        self.orders = []
        self.tickets = {}
        self.kv_tokens = 1 << 40
        self.cancelled_s = []
        self.next_steps = []
        self.default_step = ""
        self.refused_helper = ""
        self.unread_limit_s = None
        self.cut_unread = 0
        self.endless_bytes = 0
        self.event_bytes = 0
        self.long_pause_s = 0.0
        self.pace = 1.0
        self.limit = None
        self.rest = None
        self.is_leaving = False
        self.adds_attempt_ids = False
        self.resets_reused_connections = False
        self.framing = "chunks"
        self.http_version = "1.1"
        self.line_ends = (b"\n",)
        self.id_step = 1
        self.draw_cuts = None
        self.early_end = ""
        self.crash_part = ""
        self.crash_on = None
        self.crash_moment = "head"
        self.crash_delay_s = 0.0
        self.down_s = 1.5
        self.keeps_listening = False
        self.crash_times = []
        self.crash_causes = []
        self._crash = anyio.Event()
        self._used_connections = set()
        self.server = HttpServer(self.answer, passes_stream=True)
        self.server.on_head = self._answer_early

    @property
    def address(self):
        """The address of the server, "ip:port"."""
        return self.server.address

    def entry(self, **changes):
        """Return the entry of this replica in the registry."""
        return {
            "service": "models", "address": self.address, "zone": "cork-a",
            "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
            "seq": 1, "born": 1_700_000_000_000,
        } | changes  # fmt: skip

    async def live(self, store):
        """Serve, and after each crash start again under a new id at a new address.

        Parameters
        ----------
        store : Store
            Where it registers.
        """
        base = self.name
        for life in count():
            self._crash = anyio.Event()
            async with self.server.run():
                self.name = f"{base}-{life}"
                born_ms = 1_700_000_000_000 + 1_000 * life
                store.put("keyed.servers", self.name, self.entry(born=born_ms))
                await self._crash.wait()
                self.crash_times.append(time.monotonic())
                if self.keeps_listening:
                    await self.server.mute()
                    await self._stay_down(store)
            if not self.keeps_listening:
                await self._stay_down(store)
            self.server.is_mute = False

    async def _stay_down(self, store):
        """Wait for the next start; the entry in the registry expires meanwhile."""
        await anyio.sleep(min(ENTRY_LEASE_S, self.down_s))
        store.remove("keyed.servers", self.name)
        await anyio.sleep(max(0.0, self.down_s - ENTRY_LEASE_S))

    def crash(self):
        """End the process within ``live``: all its connections are closed."""
        self._crash.set()

    async def _crash_if_due(self, request, moment):
        """Crash if this process can't get past a moment of an answer to a request."""
        has_part = self.crash_part and self.crash_part in list_shared_parts(request)
        is_due = self.crash_on is not None and self.crash_on(request)
        if (has_part or is_due) and moment == self._draw_crash_moment(request):
            if moment == "end":
                await anyio.sleep(self.crash_delay_s)
            if is_due:
                attempt = request.headers.get("lycheetide-attempt-id", "")
                self.crash_causes.append((time.monotonic(), attempt))
            self.crash()
            await anyio.sleep_forever()

    def _draw_crash_moment(self, request):
        """Return the moment of an answer at which the process crashes."""
        if self.crash_moment != "any":
            return self.crash_moment
        attempt = request.headers.get("lycheetide-attempt-id", "")
        return CRASH_MOMENTS[crc32((attempt + self.name).encode()) % len(CRASH_MOMENTS)]

    async def answer(self, request, stream):
        """Handle one request."""
        response = await self._respond(request, stream)
        if response is None or response is RESPONSE_SENT:
            return response
        return replace(response, headers=self.make_state_headers() | response.headers)

    async def _answer_early(self, headers, stream):
        """Answer a long request before it is read; tell whether it was answered."""
        size = int(headers.get("content-length", 0))
        if not self.early_end or size < MIN_EARLY_BYTES:
            return False
        attempt = headers.get("lycheetide-attempt-id", "")
        self.runs.append(attempt)
        lines = [
            "HTTP/1.1 200 OK", f"Lycheetide-Attempt-Id: {attempt}",
            f"Lycheetide-Response-Seal: {RESPONSE_SEAL}", "", "half of the body",
        ]  # fmt: skip
        await stream.send("\r\n".join(lines).encode())
        await anyio.sleep(EARLY_PAUSE_S)
        if self.early_end == "reset":
            raise ConnectionReset
        if self.early_end == "half":
            await stream.send_eof()
            await anyio.sleep(EARLY_PAUSE_S)
        return True

    def make_state_headers(self):
        """Return the headers with which it reports its state in each answer."""
        headers = {} if self.limit is None else {"Server-Limit": self.limit}
        return headers | ({"Server-Leaving": "1"} if self.is_leaving else {})

    async def _respond(self, request, stream):
        """Return the response to a request, or send it."""
        if request.target == "/-/order":
            return self._take_order(json.loads(request.body))
        if request.target in ("/-/report", HEALTH_PATH):
            return self._report(request)
        if self.resets_reused_connections and stream in self._used_connections:
            raise ConnectionReset
        self._used_connections.add(stream)
        self.received.append(request)
        self.received_times.append(time.monotonic())
        step = self.next_steps.pop(0) if self.next_steps else self.default_step
        expected = request.headers["lycheetide-expect-instance"]
        if step == "other" or expected != self.name:
            return Response(421, b"", {"Lycheetide-Instance-Id": "another"})
        helpers = request.headers.get("lycheetide-helpers", "")
        has_helpers = bool(helpers)
        if self.refused_helper and self.refused_helper in helpers:
            return self._refuse({"At-Server": self.refused_helper})
        if step == "refuse" or (step == "refuse-helped" and has_helpers):
            return self._refuse({})
        attempt = request.headers.get("lycheetide-attempt-id", "")
        self.runs.append(attempt)
        return await self._run(request, stream, step, attempt)

    def _refuse(self, headers):
        """Return a refusal of a request that was not started."""
        headers = headers | {"Lycheetide-Not-Executed": "1"}
        if self.rest is not None:
            headers["Retry-After"] = self.rest
        return Response(503, b"", headers)

    def _report(self, request):
        """Answer a request for a report, or for its health."""
        if request.headers["lycheetide-expect-instance"] != self.name:
            return Response(421, b"", {"Lycheetide-Instance-Id": "another"})
        return Response(200, json.dumps({"pace": self.pace}).encode())

    async def _run(self, request, stream, step, attempt):
        """Run a request according to its step."""
        await self._crash_if_due(request, "request")
        if step == "reset":
            raise ConnectionReset
        if step == "silent":
            await self._wait_for_close(stream)
        if step == "late":
            await anyio.sleep(self.long_pause_s)
        if step == "crossed":
            attempt = "0" * 16
        if step == "endless-head":
            await self._send_without_end(
                stream, b"HTTP/1.1 200 OK\r\nX: ", b"x" * 4_096
            )
        if step in ENDLESS:
            head_end, filler = ENDLESS[step]
            status = 500 if step == "endless-failure" else 200
            lines = [
                f"HTTP/1.1 {status} OK", f"Lycheetide-Attempt-Id: {attempt}",
                f"Lycheetide-Response-Seal: {RESPONSE_SEAL}", "",
            ]  # fmt: skip
            data = "\r\n".join(lines).encode() + head_end
            await self._send_without_end(stream, data, filler)
        head = self.make_state_headers() | {
            "Lycheetide-Attempt-Id": attempt,
            "Lycheetide-Response-Seal": RESPONSE_SEAL,
        }
        if step.startswith("fail"):
            status = int(step.removeprefix("fail-")) if "-" in step else 500
            return Response(status, b"broken", head)
        if step == "garbled":
            await stream.send(b"\x00\x01\x02 this is no answer\r\n\r\n")
            return None
        if request.method == "POST" and "stream" in request.target:
            return await self._stream(request, stream, head, step)
        answer = await self._answer_short(stream, head, step, attempt)
        if isinstance(answer, Response) and self.crash_on is not None:
            return await self._send_until_crash(request, stream, answer)
        return answer

    async def _send_until_crash(self, request, stream, answer):
        """Send a short answer up to the moment of a crash, if one is due."""
        data = answer.encode()
        head_size = len(data) - len(answer.body)
        await self._crash_if_due(request, "request")
        await stream.send(data[:head_size])
        await self._crash_if_due(request, "head")
        await stream.send(data[head_size:-4])
        await self._crash_if_due(request, "events")
        await stream.send(data[-4:])
        await self._crash_if_due(request, "end")
        return RESPONSE_SENT

    async def _answer_short(self, stream, head, step, attempt):
        """Send a short response that is not a stream, or a faulty one."""
        await self.wait_before_writing()
        answer = Response(200, f"{self.name} answers {attempt}".encode(), head)
        if step == "break":
            await stream.send(Response(200, b"x" * 400, head).encode()[:-100])
            raise ConnectionReset
        if step.startswith("unframed"):
            lines = [f"{name}: {value}" for name, value in head.items()]
            text = "\r\n".join(["HTTP/1.1 200 OK", *lines, "", "x" * 300])
            await stream.send(text.encode())
            await anyio.sleep(0.05)
            if step == "unframed-reset":
                raise ConnectionReset
            return None
        if step == "extra":
            await stream.send(answer.encode() + Response(200, b"extra", head).encode())
            await anyio.sleep(0.2)
            return None
        return answer

    async def _stream(self, request, stream, head, step):
        """Send a stream of events, or the first part of one."""
        lines = [f"{name}: {value}" for name, value in head.items()]
        lines.append("Content-Type: text/event-stream")
        if self.framing != "close":
            lines.append("Transfer-Encoding: chunked")
        if self.framing == "chunks-close":
            lines.append("Connection: close")
        status_line = f"HTTP/{self.http_version} 200 OK"
        text = "\r\n".join([status_line, *lines, "", ""])
        start = int(request.headers.get("last-event-id", 0)) // self.id_step
        signature = f" {head['Lycheetide-Attempt-Id']}" if self.adds_attempt_ids else ""
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._watch_for_close, stream)
                await self.wait_before_writing()
                await stream.send(text.encode())
                await self._crash_if_due(request, "head")
                for number in range(start + 1, self.count_events(request) + 1):
                    if step == "break" and number == start + 3:
                        await stream.send(self._frame(b"id: 3\nda".ljust(32))[:12])
                        raise ConnectionReset
                    if step == "end-empty" or (step == "end" and number == start + 3):
                        if step == "end":
                            await stream.send(self._frame(b"id: 3\nda"))
                        group.cancel_scope.cancel()
                        return None
                    if number == start + 3:
                        await self._crash_if_due(request, "events")
                    if step == "stall" and number == start + 3:
                        await anyio.sleep_forever()
                    if step == "endless" and number == start + 3:
                        filler = self._frame(b"x" * 4_096)
                        await self._send_without_end(stream, b"", filler)
                    if step == "pause" and number == start + 3:
                        await anyio.sleep(self.long_pause_s)
                    await self.wait_before_writing()
                    event = make_event(
                        number * self.id_step, signature, size=self.event_bytes
                    )
                    await self._send_event(stream, event)
                    if number == start + 1:
                        await self._crash_if_due(request, "first")
                    if number == self.count_events(request):
                        await self._crash_if_due(request, "last")
                    await anyio.sleep(self.pause_s)
                group.cancel_scope.cancel()
        except* (
            ConnectionReset,
            OSError,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            raise ConnectionReset from None
        if self.framing != "close":
            await stream.send(b"0\r\n\r\n")
        await self._crash_if_due(request, "end")
        return RESPONSE_SENT if self.framing == "chunks" else None

    async def _send_without_end(self, stream, data, filler):
        """Send bytes until the caller closes the connection."""
        try:
            await stream.send(data)
            while True:
                await stream.send(filler)
                self.endless_bytes += len(filler)
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            raise ConnectionReset from None

    def _frame(self, data):
        """Return a part of a stream as it is sent."""
        return data if self.framing == "close" else chunk(data)

    async def _send_event(self, stream, event):
        """Send an event; reset the connection if it stays unread for too long."""
        event = replace_line_ends(event, self.line_ends)
        places = self.draw_cuts(event) if self.draw_cuts is not None else ()
        with anyio.move_on_after(self.unread_limit_s) as scope:
            for piece in cut_at(event, places):
                await stream.send(self._frame(piece))
                if places:
                    await anyio.sleep(PIECE_PAUSE_S)
        if scope.cancelled_caught:
            self.cut_unread += 1
            raise ConnectionReset

    async def wait_before_writing(self):
        """Wait before writing: not at all here, but subclasses may override this."""

    def count_events(self, request):
        """Return the number of events in the stream of a request."""
        return self.events

    async def _watch_for_close(self, stream):
        """Record when the caller closes the connection, and abort the stream."""
        try:
            await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
            self.cancelled_s.append(time.monotonic())
            raise ConnectionReset from None

    async def _wait_for_close(self, stream):
        """Send nothing until the caller closes the connection."""
        try:
            await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            self.cancelled_s.append(time.monotonic())
        raise ConnectionReset

    def _take_order(self, order):
        """Reserve KV memory, or release a reservation."""
        self.orders.append(order)
        if order["operation"] == "release":
            self.tickets.pop(order["id"], None)
            return Response(200, b"{}")
        other_tokens = sum(v for k, v in self.tickets.items() if k != order["id"])
        if other_tokens + order["tokens"] > self.kv_tokens:
            return Response(409, b"{}")
        self.tickets[order["id"]] = order["tokens"]
        return Response(200, b'{"free":1}')
