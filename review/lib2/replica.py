"""A replica of the booking service, as a process of its own.

It registers itself in the store, runs each request that names it, and answers with a
body whose beginning tells its size. What it does stands in a log, one line an event.
"""

import argparse
import asyncio
import json
import time

from review.lib2.wire import call, encode_head, encode_response, read_request

HEARTBEAT_S = 1.2
SEAL = "3e1b.07.5a2.{size:x}.0.c9f2a4d1"
LINE_BYTES = 100
MIN_EVENT_BYTES = 1_425
EVENT_SIZES = 60
"""Number of different sizes of events."""


def make_body(attempt, lines):
    """Return the whole body of an answer to an attempt."""
    size = lines * LINE_BYTES
    rows = [f"{number}/{lines} {attempt} of {size}" for number in range(1, lines + 1)]
    return "".join(row.ljust(LINE_BYTES - 1) + "\n" for row in rows).encode()


def make_event(number, attempt, *, newline):
    """Return an event of a stream; its size depends on its number and attempt."""
    size = MIN_EVENT_BYTES + (37 * number + int(attempt, 16)) % EVENT_SIZES
    begin = f"id: {number}{newline}data: "
    end = 2 * newline
    return (begin.ljust(size - len(end), ".") + end).encode()


class Replica:
    """One start of a replica.

    Parameters
    ----------
    options : argparse.Namespace
        The command line.
    """

    def __init__(self, options):
        self.options = options
        self.sequence = 0
        self.is_draining = False
        self.born_ms = time.time_ns() // 1_000_000
        self.log_file = open(options.log, "a", buffering=1)  # noqa: SIM115

    def log(self, what, attempt="", **fields):
        """Write a line of the log."""
        row = {"at": round(time.time(), 3), "replica": self.options.id, "what": what}
        self.log_file.write(json.dumps(row | {"attempt": attempt} | fields) + "\n")

    async def run(self):
        """Serve until the process is killed."""
        server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.options.port, reuse_address=True
        )
        self.log("starts")
        async with server:
            while True:
                await self.register()
                await asyncio.sleep(HEARTBEAT_S)

    async def register(self):
        """Write the entry of this replica into the store."""
        self.sequence += 1
        entry = {
            "service": self.options.service, "address": self.options.address,
            "zone": self.options.zone, "version": "v1", "slots": 6, "state": "ready",
            "coldRemainingMs": 0, "seq": self.sequence, "born": self.born_ms,
        }  # fmt: skip
        key = self.options.id.encode()
        record = bytes([len(key)]) + key + json.dumps(entry).encode()
        body = len(record).to_bytes(4, "big") + record
        await call(
            self.options.store, "POST", "/-/log-append?topic=keyed.servers&part=0",
            body=body,
        )  # fmt: skip

    async def serve(self, reader, writer):
        """Serve the requests of one channel."""
        try:
            while (request := await read_request(reader)) is not None:
                await self.answer(request, writer)
                if self.options.framing == "close" and "/-/" not in request.target:
                    return
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def answer(self, request, writer):
        """Answer one request."""
        attempt = request.headers.get("lycheetide-attempt-id", "")
        expected = request.headers.get("lycheetide-expect-instance", self.options.id)
        state = {"Lycheetide-Instance-Id": self.options.id,
                 "Lycheetide-Attempt-Id": attempt}  # fmt: skip
        if expected != self.options.id:
            self.log("answers 421", attempt)
            writer.write(encode_response(421, b"", state))
            return
        if request.target in ("/health", "/-/report"):
            writer.write(encode_response(200, b"{}", state))
            return
        self.log(
            "runs", attempt, target=request.target,
            tenant=request.headers.get("lycheetide-tenant", ""),
        )  # fmt: skip
        if self.options.framing == "events":
            await self.send_events(request, writer, state)
            return
        body = make_body(attempt, self.options.lines)
        state["Lycheetide-Response-Seal"] = SEAL.format(size=len(body))
        state["Content-Type"] = "text/plain"
        if self.options.framing == "close":
            state["Connection"] = "close"
        else:
            state["Content-Length"] = len(body)
        writer.write(encode_head(200, state))
        for begin in range(0, len(body), LINE_BYTES):
            writer.write(body[begin : begin + LINE_BYTES])
            await writer.drain()
            await asyncio.sleep(self.options.work_s / self.options.lines)
        self.log("ends", attempt)

    async def send_events(self, request, writer, state):
        """Answer with a stream of events, after the last one that the caller has."""
        attempt = state["Lycheetide-Attempt-Id"]
        state |= {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked",
                  "Lycheetide-Response-Seal": SEAL.format(size=0)}  # fmt: skip
        writer.write(encode_head(200, state))
        first = int(request.headers.get("last-event-id", 0)) + 1
        for number in range(first, self.options.lines + 1):
            event = make_event(number, attempt, newline="\r\n")
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.options.work_s / self.options.lines)
        writer.write(b"0\r\n\r\n")
        self.log("ends", attempt)


def main():
    """Run one start of a replica."""
    parser = argparse.ArgumentParser()
    for name in ("id", "service", "zone", "store", "address", "log"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--work-s", type=float, default=0.4)
    parser.add_argument("--lines", type=int, default=8)
    parser.add_argument("--framing", default="length")
    asyncio.run(Replica(parser.parse_args()).run())


if __name__ == "__main__":
    main()
