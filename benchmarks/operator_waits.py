"""Compare ways to learn of operators' records while answers of the store are lost.

``python -m benchmarks.operator_waits`` simulates the nodes of a fleet that ask the
store in virtual time: when does the last of them know a new record? It prints the
longest time by policy, loss and size of the fleet, with the calls a second without any
change, and what they cost in processor time, as measured here. ``--write`` saves the
figures to ``results/operator_waits.json``.
"""

import argparse
import json
import random
import threading
import time
from dataclasses import asdict, dataclass
from functools import partial
from pathlib import Path

import anyio

from benchmarks._virtual_time import EventQueue
from lycheetide.platform import OPERATOR_TOPIC, StoreClient
from standins.store import Store

RESULTS = Path(__file__).parent / "results" / "operator_waits.json"
FLEETS = {9: (3, 0.3), 950: (24, 0.9)}
"""Failure domains by number of nodes, and the time from a node's knowledge to another
one's: a heartbeat, to its own hub and from there in a large fleet."""
FIRST_NODES = 3
OVERTAKEN_S = 0.25
FETCH_S = 0.1
ANSWER_S = 0.004
TIMEOUT_S = 1.0
RETRY_S = (0.2, 0.6)
LONG_WAIT_S = 20.0
INTERVAL_S = 0.8
LOSS_S = 2.0
END_S = 60.0
DRAWS = 300
MEASURED_CALLS = 2_000
POLICIES = ("long waits", "short waits", "waits in turn", "a question beside")
LOSSES = ("waits once", "all once", "all in series")


@dataclass(frozen=True)
class Figures:
    """What one policy costs, and how late it is at worst.

    Parameters
    ----------
    policy, loss : str
        Which policy, and which answers are lost.
    nodes : int
        Size of the fleet.
    in_force_s : float
        Longest time from the store's acknowledgement until all nodes know the record.
    after_loss_s : float
        The same from the end of the last loss; 0 for losses in series.
    calls_per_s : float
        Calls of all nodes together without any change.
    processor_share : float
        Processor time of all nodes together for these calls.
    """

    policy: str
    loss: str
    nodes: int
    in_force_s: float
    after_loss_s: float
    calls_per_s: float
    processor_share: float


def is_lost(loss, at_s, *, waits):
    """Tell whether an answer of the store is lost."""
    if loss == "all in series":
        return at_s % (2 * LOSS_S) < LOSS_S
    return at_s < LOSS_S and (waits or loss == "all once")


def count_waiting(draws, nodes, domains):
    """Return the number of nodes that wait: one of each domain, and the first ones."""
    places = [draws.randrange(domains) for _ in range(nodes)]
    hubs = {places.index(domain) for domain in set(places)}
    return len(hubs | set(range(FIRST_NODES)))


def simulate(draws, policy, loss, *, waiting, news_s, written_s):
    """Return when the last of the waiting nodes knows a record."""
    queue = EventQueue()
    known_s = [END_S] * waiting

    def learn(now_s):
        # Whoever knows the record tells the others.
        news = now_s + news_s + OVERTAKEN_S + FETCH_S
        known_s[:] = [min(one, news) for one in known_s]

    def ask(node, wait_s, pause_s, *, now_s):
        if now_s > END_S or known_s[node] <= now_s:
            return
        due_s = min(max(now_s, written_s), now_s + wait_s) + ANSWER_S
        if is_lost(loss, due_s, waits=wait_s > 0):
            retry_s = now_s + wait_s + TIMEOUT_S + draws.uniform(*RETRY_S)
            queue.schedule(retry_s, partial(ask, node, 0.0, pause_s))
        elif due_s >= written_s + ANSWER_S:
            known_s[node] = min(known_s[node], due_s)
            learn(due_s)
        elif wait_s == 0.0 and pause_s:
            queue.schedule(now_s + pause_s, partial(ask, node, 0.0, pause_s))
        else:
            queue.schedule(due_s, partial(ask, node, waits[policy], pause_s))

    waits = {
        "long waits": LONG_WAIT_S,
        "short waits": INTERVAL_S,
        "waits in turn": INTERVAL_S * waiting,
        "a question beside": LONG_WAIT_S,
    }
    for node in range(waiting):
        span_s = waits[policy]
        place = node / waiting if policy == "waits in turn" else draws.random()
        queue.schedule(-span_s * place, partial(ask, node, span_s, 0.0))
    if policy == "a question beside":
        queue.schedule(-draws.random() * INTERVAL_S, partial(ask, 0, 0.0, INTERVAL_S))
    queue.run()
    return max(known_s)


def compare(policy, loss, nodes, *, call_s):
    """Return the figures of one policy."""
    domains, news_s = FLEETS[nodes]
    draws = random.Random(f"{policy}/{loss}/{nodes}")
    late, after, waiting_all = [], [], []
    for _ in range(DRAWS):
        waiting = count_waiting(draws, nodes, domains)
        written_s = draws.uniform(0.0, LOSS_S)
        at_s = simulate(
            draws, policy, loss, waiting=waiting, news_s=news_s, written_s=written_s
        )
        late.append(at_s - written_s)
        after.append(at_s - LOSS_S)
        waiting_all.append(waiting)
    waiting = sum(waiting_all) / DRAWS
    calls_per_s = {
        "long waits": waiting / LONG_WAIT_S,
        "short waits": waiting / INTERVAL_S,
        "waits in turn": 1 / INTERVAL_S,
        "a question beside": waiting / LONG_WAIT_S + 1 / INTERVAL_S,
    }[policy]
    return Figures(
        policy, loss, nodes, round(max(late), 2),
        0.0 if "series" in loss else round(max(after), 2),
        round(calls_per_s, 2), round(calls_per_s * call_s, 6),
    )  # fmt: skip


def measure_call_s():
    """Return the processor time that a node needs for a call that returns nothing."""
    store = Store()
    has_started, is_done = threading.Event(), threading.Event()

    async def serve():
        async with store.server.run():
            has_started.set()
            await anyio.to_thread.run_sync(is_done.wait)

    async def call():
        client = StoreClient(store.address)
        await client.read(OPERATOR_TOPIC, 0, wait_s=0.0, timeout_s=TIMEOUT_S)
        begun_s = time.thread_time()
        for _ in range(MEASURED_CALLS):
            await client.read(OPERATOR_TOPIC, 0, wait_s=0.0, timeout_s=TIMEOUT_S)
        took_s = time.thread_time() - begun_s
        await client.aclose()
        return took_s / MEASURED_CALLS

    thread = threading.Thread(target=anyio.run, args=(serve,))
    thread.start()
    has_started.wait()
    try:
        return anyio.run(call)
    finally:
        is_done.set()
        thread.join()


def main():
    """Compare all policies and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--write", action="store_true")
    arguments = parser.parse_args()
    call_s = measure_call_s()
    rows = [
        compare(policy, loss, nodes, call_s=call_s)
        for nodes in FLEETS
        for loss in LOSSES
        for policy in POLICIES
    ]
    print(f"a call takes {call_s * 1e6:.0f} us of a node's processor time")
    for row in rows:
        print(
            f"{row.nodes:4} nodes  {row.loss:14} {row.policy:18} in force after "
            f"{row.in_force_s:5.2f} s, {row.after_loss_s:5.2f} s after the loss, "
            f"{row.calls_per_s:6.2f} calls/s, {row.processor_share:.6f} of a core"
        )
    if arguments.write:
        RESULTS.write_text(json.dumps([asdict(row) for row in rows], indent=1) + "\n")


if __name__ == "__main__":
    main()
