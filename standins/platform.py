"""Simulator of the platform: its log service and its host list."""

import time
from collections import defaultdict

import anyio
from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.routing import Route

MAX_WAIT_S = 10.0


class Log:
    """Append-only streams of records that can be truncated at their start."""

    def __init__(self):
        self.records = defaultdict(list)
        self.first_retained = defaultdict(int)
        self.changed = anyio.Event()
        self.appends = 0

    def append(self, stream, values):
        """Append all values atomically; return the offset of the first one."""
        offset = self.next_offset(stream)
        self.records[stream].extend(values)
        self.appends += 1
        self.changed.set()
        self.changed = anyio.Event()
        return offset

    def next_offset(self, stream):
        """Return the offset of the next record."""
        return self.first_retained[stream] + len(self.records[stream])

    def read(self, stream, offset, limit):
        """Return up to ``limit`` records, starting at ``offset``."""
        first = self.first_retained[stream]
        start = max(offset, first)
        values = self.records[stream][start - first : start - first + limit]
        return [
            {"offset": start + index, "value": value}
            for index, value in enumerate(values)
        ]

    def truncate(self, stream, offset):
        """Remove all records below ``offset``."""
        first = self.first_retained[stream]
        drop = max(0, min(offset, self.next_offset(stream)) - first)
        del self.records[stream][:drop]
        self.first_retained[stream] = first + drop


def make_app(*, host_list_lag_s=1.0):
    """Return the HTTP application of the simulated platform.

    Changes of the host list are visible only after ``host_list_lag_s``.
    """
    log = Log()
    faults = {}
    host_changes = []

    async def apply_faults():
        await anyio.sleep(faults.get("slow_s", 0.0))
        return JSONResponse({"error": "down"}, 503) if faults.get("down") else None

    async def append(request):
        refused = await apply_faults()
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
        refused = await apply_faults()
        if refused is not None:
            return refused
        stream = request.path_params["stream"]
        query = request.query_params
        offset = int(query.get("from", 0))
        wait_s = min(float(query.get("wait_s", 0)), MAX_WAIT_S)
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

    async def truncate(request):
        body = await request.json()
        log.truncate(body["stream"], body["from"])
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
            Route("/retain", truncate, methods=["POST"]),
            Route("/hosts", hosts),
            Route("/hosts", set_hosts, methods=["POST"]),
            Route("/faults", set_faults, methods=["POST"]),
            Route("/record", record),
        ]
    )
