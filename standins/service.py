"""A stand-in plain service: bookings and lookups, counted by key."""

import time
from collections import Counter

import anyio
from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.routing import Route


def make_app(*, name, work_s=0.02, checks_fencing=False):
    """Return an application that counts how often each key ran."""
    runs = Counter()
    fencing = {}
    faults = {}
    starts = []

    async def run(request):
        body = await request.json()
        key = request.headers.get("idempotency-key", "")
        request_id = request.headers.get("x-request-id", "")
        number = int(request.headers.get("x-fencing-number", "0"))
        if checks_fencing and number < fencing.get(key, 0):
            return JSONResponse({"error": "old number", "started": False}, 409)
        fencing[key] = max(number, fencing.get(key, 0))
        if faults.get("refuse"):
            return JSONResponse({"error": "busy", "started": False}, 503)
        runs[key or request_id] += 1
        starts.append({"request_id": request_id, "key": key, "at_s": time.monotonic()})
        await anyio.sleep(faults.get("work_s", work_s))
        if faults.get("fail"):
            return JSONResponse({"error": "broken"}, 500)
        operation = request.path_params["operation"]
        return JSONResponse({"service": name, "operation": operation, "echo": body})

    async def load(request):
        return JSONResponse({"boot_id": name, "warm": True, "running": 0})

    async def set_faults(request):
        faults.update(await request.json())
        return JSONResponse(faults)

    async def record(request):
        return JSONResponse({"runs": dict(runs), "starts": starts})

    return Starlette(
        routes=[
            Route("/run/{operation}", run, methods=["POST"]),
            Route("/load", load),
            Route("/faults", set_faults, methods=["POST"]),
            Route("/record", record),
        ]
    )
