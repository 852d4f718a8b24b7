"""A stand-in platform: the log service and the host list."""

import time
from collections import defaultdict

import anyio
from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.routing import Route

LONGEST_WAIT_S = 10.0


class Log:
    """Append-only streams; old records can be dropped."""

    def __init__(self):
        self.records = defaultdict(list)
        self.first_retained = defaultdict(int)
        self.changed = anyio.Event()
        self.appends = 0

    def append(self, stream, values):
        """Append all values at once and return the first one's offset."""
        offset = self.next_offset(stream)
        self.records[stream].extend(values)
        self.appends += 1
        self.changed.set()
        self.changed = anyio.Event()
        return offset

    def next_offset(self, stream):
        """Return the offset that the next record gets."""
        return self.first_retained[stream] + len(self.records[stream])

    def read(self, stream, offset, limit):
        """Return up to ``limit`` records from ``offset`` on."""
        first = self.first_retained[stream]
        start = max(offset, first)
        values = self.records[stream][start - first : start - first + limit]
        return [
            {"offset": start + index, "value": value}
            for index, value in enumerate(values)
        ]

    def retain(self, stream, offset):
        """Drop all records below ``offset``."""
        first = self.first_retained[stream]
        drop = max(0, min(offset, self.next_offset(stream)) - first)
        del self.records[stream][:drop]
        self.first_retained[stream] = first + drop


def make_app(*, host_list_lag_s=1.0):
    """Return the platform's application."""
    log = Log()
    faults = {}
    host_changes = []

    async def misbehave():
        await anyio.sleep(faults.get("slow_s", 0.0))
        return JSONResponse({"error": "down"}, 503) if faults.get("down") else None

    async def append(request):
        refused = await misbehave()
        if refused is not None:
            return refused
        stream = request.path_params["stream"]
        values = (await request.json())["records"]
        offset = log.append(stream, values)
        if faults.get("lose_answers", 0) > 0:
            faults["lose_answers"] -= 1
            return JSONResponse({"error": "answer lost"}, 504)
        return JSONResponse(
            {"first_offset": offset, "next_offset": log.next_offset(stream)}
        )

    async def read(request):
        refused = await misbehave()
        if refused is not None:
            return refused
        stream = request.path_params["stream"]
        query = request.query_params
        offset = int(query.get("from", 0))
        wait_s = min(float(query.get("wait_s", 0)), LONGEST_WAIT_S)
        with anyio.move_on_after(wait_s):
            while log.next_offset(stream) <= offset:
                await log.changed.wait()
        if faults.get("down"):
            return JSONResponse({"error": "down"}, 503)
        return JSONResponse(
            {"first_retained": log.first_retained[stream],
             "next_offset": log.next_offset(stream),
             "records": log.read(stream, offset, int(query.get("limit", 1000)))}
        )  # fmt: skip

    async def retain(request):
        body = await request.json()
        log.retain(body["stream"], body["from"])
        return JSONResponse({})

    async def hosts(request):
        if faults.get("hosts_down"):
            return JSONResponse({"error": "down"}, 503)
        now_s = time.monotonic()
        seen = [rows for at_s, rows in host_changes if at_s + host_list_lag_s <= now_s]
        return JSONResponse({"hosts": seen[-1] if seen else []})

    async def set_hosts(request):
        rows = (await request.json())["hosts"]
        at_s = time.monotonic() if host_changes else -host_list_lag_s
        host_changes.append((at_s, rows))
        return JSONResponse({})

    async def set_faults(request):
        faults.update(await request.json())
        log.changed.set()
        log.changed = anyio.Event()
        return JSONResponse(faults)

    async def record(request):
        streams = {name: log.next_offset(name) for name in list(log.records)}
        return JSONResponse({"appends": log.appends, "next_offsets": streams})

    return Starlette(
        routes=[
            Route("/streams/{stream}/records", append, methods=["POST"]),
            Route("/streams/{stream}/records", read),
            Route("/retain", retain, methods=["POST"]),
            Route("/hosts", hosts),
            Route("/hosts", set_hosts, methods=["POST"]),
            Route("/faults", set_faults, methods=["POST"]),
            Route("/record", record),
        ]
    )
