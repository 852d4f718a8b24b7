"""Simulator of a model engine: batching, prefill, decode, KV memory and cold start.

The engine does not free KV memory when a caller disconnects: the memory of an
unfinished stream stays allocated until it is released explicitly, as it may be on
real engines.
"""

import itertools
import json
import math
import os
import time
import uuid
from dataclasses import dataclass, field

import anyio
from starlette.applications import Starlette
from starlette.responses import JSONResponse, StreamingResponse
from starlette.routing import Route

CHARACTERS_PER_TOKEN = 4
TICK_S = 0.005


@dataclass(frozen=True)
class EngineSettings:
    """Options of one simulated engine."""

    name: str
    kv_capacity_tokens: int = 400_000
    prefill_tokens_per_s: float = 400_000.0
    decode_s: float = 0.01
    cold_limit: int = 2
    cold_s: float = 0.0
    report_lag_s: float = 0.2


@dataclass
class Holding:
    """An allocation of KV memory for one attempt."""

    holding_id: str
    request_id: str
    tokens: int
    since_s: float
    cancelled: bool = False


@dataclass
class Prefill:
    """A prompt, or a segment of one, that waits for its prefill or is in it."""

    priority: int
    order: int
    remaining_tokens: float
    done: anyio.Event = field(default_factory=anyio.Event)


def count_tokens(text):
    """Count the tokens of a prompt at four characters per token, rounded up."""
    return max(1, math.ceil(len(text) / CHARACTERS_PER_TOKEN))


class Engine:
    """State of one engine, and the operations of its HTTP interface."""

    def __init__(self, settings):
        self.settings = settings
        self.boot_id = uuid.uuid4().hex
        self.started_s = time.monotonic()
        self.cold_until_s = self.started_s + settings.cold_s
        self.holdings = {}
        self.prefills = []
        self.order = itertools.count()
        self.cached_prefixes = {}
        self.faults = {}
        self.record = []
        self.in_flight = 0
        self.generation = 0
        self.worst_cold_in_flight = 0
        self.fallen_over = 0
        self.report = None

    def is_cold(self):
        """Return whether the engine is cold and can serve only a few requests."""
        return time.monotonic() < self.cold_until_s

    def kv_used_tokens(self):
        """Return the KV memory in use, in tokens."""
        return sum(holding.tokens for holding in self.holdings.values())

    def make_report(self):
        """Return the load report, which is at most ``report_lag_s`` old."""
        now_s = time.monotonic()
        report = self.report
        if report is None or now_s - report["at_s"] >= self.settings.report_lag_s:
            self.report = {
                "at_s": now_s,
                "boot_id": self.boot_id,
                "warm": not self.is_cold(),
                "running": self.in_flight,
                "waiting_prefill_tokens": int(
                    sum(job.remaining_tokens for job in self.prefills)
                ),
                "kv_used_tokens": self.kv_used_tokens(),
                "kv_capacity_tokens": self.settings.kv_capacity_tokens,
            }
        return self.report

    async def run_prefill(self):
        """Process prefills forever, one at a time by priority and then arrival."""
        last_s = time.monotonic()
        while True:
            await anyio.sleep(TICK_S)
            now_s = time.monotonic()
            budget = self.settings.prefill_tokens_per_s * (now_s - last_s)
            last_s = now_s
            while budget > 0 and self.prefills:
                job = min(self.prefills, key=lambda job: (job.priority, job.order))
                spent = min(budget, job.remaining_tokens)
                job.remaining_tokens -= spent
                budget -= spent
                if job.remaining_tokens <= 0:
                    self.prefills.remove(job)
                    job.done.set()

    async def prefill(self, tokens, *, priority, prefix_key):
        """Wait for the prefill of ``tokens`` tokens; return how many were cached.

        Cached tokens take no time, but at least one token is always processed.
        """
        cached = self.cached_prefixes.get(prefix_key, 0) if prefix_key else 0
        fresh = max(1, tokens - cached)
        job = Prefill(priority, next(self.order), fresh)
        self.prefills.append(job)
        try:
            await job.done.wait()
        finally:
            if job in self.prefills:
                self.prefills.remove(job)
        if prefix_key:
            self.cached_prefixes[prefix_key] = tokens
        return min(cached, tokens)

    def begin_request(self):
        """Count a request in flight; record an overload above the cold limit."""
        self.in_flight += 1
        if not self.is_cold():
            return
        self.worst_cold_in_flight = max(self.worst_cold_in_flight, self.in_flight)
        if self.in_flight > self.settings.cold_limit:
            self.fallen_over += 1

    def allocate(self, request_id, tokens):
        """Allocate KV memory; return None if there is not enough."""
        if self.kv_used_tokens() + tokens > self.settings.kv_capacity_tokens:
            return None
        holding = Holding(uuid.uuid4().hex, request_id, tokens, time.monotonic())
        self.holdings[holding.holding_id] = holding
        return holding

    def free(self, holding_id):
        """Free an allocation; its stream ends if it is still running."""
        holding = self.holdings.pop(holding_id, None)
        if holding is not None:
            holding.cancelled = True

    def turn_cold(self):
        """Restart cold: drop all requests, memory and caches, and notify nobody."""
        for holding_id in list(self.holdings):
            self.free(holding_id)
        self.generation += 1
        self.in_flight = 0
        self.boot_id = uuid.uuid4().hex
        self.cold_until_s = time.monotonic() + self.settings.cold_s
        self.cached_prefixes.clear()
        self.report = None

    def leave(self, generation):
        """Count a request as ended, unless the engine has restarted since it began."""
        if generation == self.generation:
            self.in_flight -= 1

    async def stream(self, body, holding):
        """Yield one event per token, then the end event with the usage."""
        attempt_id = body["attempt_id"]
        prompt_tokens = count_tokens(body["prompt"])
        first = body.get("resume_from", 0)
        finished = False
        try:
            if self.faults.get("silent"):
                await anyio.sleep(3600)
            cached = await self.prefill(
                prompt_tokens,
                priority=body.get("priority", 0),
                prefix_key=body.get("prefix_key"),
            )
            is_fatal = self.faults.get("crash_on", "\0") in body["prompt"]
            for seq in range(first, body["max_tokens"]):
                if is_fatal and seq >= first + self.faults.get("crash_at", 0):
                    os._exit(1)
                if holding.cancelled:
                    return
                if self.faults.get("stall_at") == seq:
                    await anyio.sleep(self.faults.get("stall_s", 3600))
                if self.faults.get("cut_at") == seq:
                    self.faults.pop("cut_at")
                    return
                sent_id = attempt_id
                if self.faults.get("cross_at") == seq:
                    self.faults.pop("cross_at")
                    yield encode_event(
                        {"attempt_id": "other", "seq": seq, "text": "alien "}
                    )
                await anyio.sleep(self.settings.decode_s)
                text = f"{body['request_id'][:6]}.{seq} "
                yield encode_event({"attempt_id": sent_id, "seq": seq, "text": text})
                if self.faults.get("duplicate_at") == seq:
                    yield encode_event(
                        {"attempt_id": sent_id, "seq": seq, "text": text}
                    )
            usage = {"prompt_tokens": prompt_tokens, "cached_tokens": cached}
            end = {"attempt_id": attempt_id, "seq": body["max_tokens"], "end": True}
            finished = True
            yield encode_event(end | {"usage": usage})
        finally:
            if finished:
                self.free(holding.holding_id)


class CountedResponse(StreamingResponse):
    """A response that counts as in flight until it ends, fails or is cancelled.

    The generator of the body can't do this: if the caller disconnects before the
    response headers are written, the generator never starts and its cleanup never runs.

    Parameters
    ----------
    engine : Engine
        The engine whose requests in flight are counted.
    chunks : async iterator of bytes
        The response body.
    """

    def __init__(self, engine, chunks, **options):
        super().__init__(chunks, **options)
        self.engine = engine
        self.generation = engine.generation

    async def __call__(self, scope, receive, send):
        """Send the response, then count the request as ended."""
        try:
            await super().__call__(scope, receive, send)
        finally:
            self.engine.leave(self.generation)


def encode_event(value):
    """Encode a value as one server-sent event."""
    return f"data: {json.dumps(value)}\n\n".encode()


def make_app(settings):
    """Return the HTTP application of a simulated engine."""
    engine = Engine(settings)

    async def load(request):
        if engine.faults.get("load_silent"):
            await anyio.sleep(3600)
        return JSONResponse(engine.make_report())

    async def complete(request):
        body = await request.json()
        reserved_id = body.get("holding_id")
        if reserved_id is not None:
            holding = engine.holdings.get(reserved_id)
        else:
            tokens = count_tokens(body["prompt"]) + body["max_tokens"]
            holding = engine.allocate(body["request_id"], tokens)
        if holding is None:
            return JSONResponse({"error": "memory is full", "started": False}, 503)
        engine.begin_request()
        engine.record.append(
            {"request_id": body["request_id"], "attempt_id": body["attempt_id"],
             "at_s": time.monotonic(), "cold": engine.is_cold()}
        )  # fmt: skip
        headers = {"x-boot-id": engine.boot_id, "x-holding-id": holding.holding_id}
        return CountedResponse(
            engine,
            engine.stream(body, holding),
            media_type="text/event-stream",
            headers=headers,
        )

    async def reserve(request):
        body = await request.json()
        holding = engine.allocate(body["request_id"], body["tokens"])
        if holding is None:
            return JSONResponse({"error": "memory is full", "started": False}, 503)
        return JSONResponse({"holding_id": holding.holding_id})

    async def segment(request):
        body = await request.json()
        if body["holding_id"] not in engine.holdings:
            return JSONResponse({"error": "unknown holding"}, 404)
        await engine.prefill(
            count_tokens(body["prompt"]), priority=body["priority"], prefix_key=None
        )
        return JSONResponse({"handle": f"{settings.name}/{body['holding_id']}"})

    async def list_holdings(request):
        now_s = time.monotonic()
        rows = [
            {"holding_id": h.holding_id, "request_id": h.request_id,
             "tokens": h.tokens, "age_s": now_s - h.since_s}
            for h in engine.holdings.values()
        ]  # fmt: skip
        return JSONResponse({"boot_id": engine.boot_id, "holdings": rows})

    async def release(request):
        body = await request.json()
        if engine.faults.get("lose_releases", 0) > 0:
            engine.faults["lose_releases"] -= 1
            return JSONResponse({"error": "lost"}, 503)
        engine.free(body["holding_id"])
        return JSONResponse({})

    async def faults(request):
        body = await request.json()
        if body.pop("turn_cold", None):
            engine.turn_cold()
        if body.pop("exit", None):
            os._exit(3)
        engine.faults.update(body)
        return JSONResponse(engine.faults)

    async def record(request):
        return JSONResponse(
            {"starts": engine.record, "fallen_over": engine.fallen_over,
             "worst_cold_in_flight": engine.worst_cold_in_flight,
             "kv_used_tokens": engine.kv_used_tokens(), "boot_id": engine.boot_id}
        )  # fmt: skip

    async def lifespan(app):
        async with anyio.create_task_group() as group:
            group.start_soon(engine.run_prefill)
            yield
            group.cancel_scope.cancel()

    from contextlib import asynccontextmanager

    return Starlette(
        lifespan=asynccontextmanager(lifespan),
        routes=[
            Route("/load", load),
            Route("/v1/completions", complete, methods=["POST"]),
            Route("/reserve", reserve, methods=["POST"]),
            Route("/segment", segment, methods=["POST"]),
            Route("/held", list_holdings),
            Route("/release", release, methods=["POST"]),
            Route("/faults", faults, methods=["POST"]),
            Route("/record", record),
        ],
    )
