"""A replica runs lookups and their answers are lost with the channel."""

import random
import time
from contextlib import AsyncExitStack
from itertools import count
from pathlib import Path

import anyio
from review.harness import (
    Client,
    beat,
    has_trouble,
    make_config,
    make_nodes,
    make_route,
    run_case,
    wait_until_ready,
)
from standins.http import ConnectionReset
from standins.replica import Replica
from standins.store import Store

WORK_S = 0.7
DEADLINE_MS = 4000
LOST_SHARE = 0.4
"""Share of the answers of one replica of three that are lost."""
CALM_S = 2.0
MEASURED_S = 40.0
CLIENTS_PER_NODE = 5
TOLERANCE_S = 0.5
MAX_LATE = 20
MAX_LATE_SHARE = 0.2


class SlowReplica(Replica):
    """A replica that works for a while on each lookup, and may lose its answer."""

    loses_answers = False

    async def wait_before_writing(self):
        """Work on a request; then reset its channel if the answer is to be lost."""
        await anyio.sleep(WORK_S)
        if self.loses_answers and random.random() < LOST_SHARE:
            raise ConnectionReset


async def send_lookups(node, record, counter, sent, ended):
    """Send lookups to a node on a kept channel until the case ends."""
    client = Client(node.front)
    while not ended.is_set():
        attempt = f"{next(counter):016x}"
        sent[attempt] = time.monotonic()
        record.add(f"{attempt} sent to {node.name}, {DEADLINE_MS} ms")
        answer = await client.request(
            "GET", "/look/a", attempt=attempt, deadline_ms=DEADLINE_MS
        )
        record.add(f"{attempt} answered {answer.status} {answer.error}")
        await anyio.sleep(0.05)
    await client.aclose()


def find_breaches(replicas, sent, record):
    """Return what breaks the rule: time that isn't left, at requests sent again."""
    arrivals: dict[str, list] = {}
    for replica in replicas:
        for request, at_s in zip(replica.received, replica.received_times, strict=True):
            attempt = request.headers["lycheetide-attempt-id"]
            given_ms = int(request.headers["lycheetide-deadline-ms"])
            arrivals.setdefault(attempt, []).append((at_s, given_ms))
            text = f"{attempt} reaches {replica.name}, {given_ms} ms"
            record.add(text, at_s=at_s)
    late = []
    again = 0
    for attempt, rows in arrivals.items():
        (first_s, first_ms), *others = sorted(rows)
        allowed_s = max(first_s + first_ms / 1e3, sent[attempt] + DEADLINE_MS / 1e3)
        for at_s, given_ms in others:
            if at_s - first_s <= TOLERANCE_S:
                continue
            again += 1
            over_s = at_s + given_ms / 1e3 - allowed_s
            if over_s > TOLERANCE_S:
                late.append(
                    f"BUDGET {attempt} came again {at_s - first_s:.2f} s later with "
                    f"{given_ms} ms, {over_s:.2f} s more than were left"
                )
    record.add(f"{again} requests were sent again late, {len(late)} with too much time")
    if len(late) > MAX_LATE and len(late) > MAX_LATE_SHARE * again:
        return late
    return []


async def main(record, folder):
    """Run the case; return the breaches of the rule."""
    store = Store()
    replicas = [SlowReplica(f"i-{index}") for index in range(3)]
    sent: dict = {}
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(store.server.run())
        entries = {}
        for index, replica in enumerate(replicas):
            await stack.enter_async_context(replica.server.run())
            zone = f"cork-{'abc'[index]}"
            entries[replica.name] = replica.entry(zone=zone, service="ledger-app")
        service = {"name": "ledger-app", "healthPath": "/health", "maxConns": 110,
                   "coldS": 0.0, "coldPerS": 0.0}  # fmt: skip
        route = make_route(
            "/look/", "idempotent", "ledger-app", timeoutMs=4000, goalLatencyMs=1000
        )
        store.put("keyed.op", "config", make_config(1, [route], [service]))
        nodes = make_nodes(3, store.address, folder)
        for node in nodes:
            stack.callback(node.kill)
            node.start()
        group = await stack.enter_async_context(anyio.create_task_group())
        group.start_soon(beat, store, entries)
        if not await wait_until_ready(nodes):
            return None
        ended, counter = anyio.Event(), count(1)
        for node in nodes * CLIENTS_PER_NODE:
            group.start_soon(send_lookups, node, record, counter, sent, ended)
        await anyio.sleep(CALM_S)
        if has_trouble():
            replicas[0].loses_answers = True
            record.add(f"{replicas[0].name} loses answers of requests that it ran")
        await anyio.sleep(MEASURED_S)
        ended.set()
        await anyio.sleep(WORK_S * 3)
        group.cancel_scope.cancel()
    return find_breaches(replicas, sent, record)


if __name__ == "__main__":
    run_case(main, Path(__file__).resolve().parent)
