"""Simulator of a service for bookings and lookups that counts runs by key."""

import os
import time
from collections import Counter

import anyio
from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.routing import Route


def make_app(*, name, work_s=0.02, checks_fencing=False):
    """Return an HTTP application that counts the executions of each key.

    With ``checks_fencing``, it refuses a fencing number below the last one of the key.
    """
    runs = Counter()
    last_numbers = {}
    faults = {}
    starts = []

    async def run(request):
        body = await request.json()
        key = request.headers.get("idempotency-key", "")
        request_id = request.headers.get("x-request-id", "")
        number = int(request.headers.get("x-fencing-number", "0"))
        if checks_fencing and number < last_numbers.get(key, 0):
            return JSONResponse({"error": "old number", "started": False}, 409)
        last_numbers[key] = max(number, last_numbers.get(key, 0))
        if faults.get("refuse"):
            return JSONResponse({"error": "busy", "started": False}, 503)
        runs[key or request_id] += 1
        starts.append({"request_id": request_id, "key": key, "at_s": time.monotonic()})
        await anyio.sleep(faults.get("work_s", work_s))
        if "crash_on" in faults and body == faults["crash_on"]:
            os._exit(1)
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
