"""Measure how callers fare while nearly all new connections go to one node.

``python -m benchmarks.hot_node`` runs nodes as processes that get a share of a core,
spreads new connections over all of them for some seconds, and then sends most of them
to one node. It counts the first tries that this node has read, from its log, and those
of them that were answered.
"""

import argparse
import json
import os
import random
import signal
import threading
import time
from collections import Counter
from dataclasses import dataclass

import anyio

from lycheetide.httpclient import (
    Channel,
    ChannelConnectError,
    ChannelError,
    OutgoingRequest,
)
from soak.deployment import API_KEY, HOST, Deployment

CALM_S = 5.0
HOT_S = 8.0
TURN_S = 0.02
"""Time in which a process gets its share of a core once."""
HOT_SHARE = 0.9
"""Share of new connections that go to one node."""
CONNECT_TIMEOUT_S = 1.0
DEADLINE_S = 6.0
MAX_TRIES = 3


@dataclass
class Try:
    """One attempt of a caller.

    Parameters
    ----------
    id : str
        Its id.
    node : int
        Index of the node.
    at_s : float
        When it was sent, since the start.
    number : int
        Number of attempts of the same request before it.
    is_answered : bool
        Whether a whole answer with status 200 came.
    took_s : float
        How long it took.
    """

    id: str
    node: int
    at_s: float
    number: int
    is_answered: bool = False
    took_s: float = 0.0


def throttle(process_ids, share, stopped):
    """Let processes run for a share of the time, as on machines with slow cores."""
    while not stopped.is_set():
        send_signal(process_ids, signal.SIGSTOP)
        time.sleep(TURN_S * (1 - share))
        send_signal(process_ids, signal.SIGCONT)
        time.sleep(TURN_S * share)


def send_signal(process_ids, number):
    """Send a signal to processes that this benchmark has started."""
    for process_id in process_ids:
        os.kill(process_id, number)


async def make_try(deployment, one):
    """Send a prompt on a new connection; return whether it may be repeated."""
    headers = (
        (b"host", HOST.encode()),
        (b"lycheetide-attempt-id", one.id.encode()),
        (b"lycheetide-deadline-ms", str(int(DEADLINE_S * 1e3)).encode()),
        (b"lycheetide-credential", API_KEY.encode()),
        (b"lycheetide-token-count", b"1000,200"),
    )
    outgoing = OutgoingRequest(b"POST", b"/stream/s", headers, b"a prompt")
    begun_s = time.monotonic()
    channel = None
    try:
        address = deployment.nodes[one.node].caller
        channel = await Channel.connect(address, timeout_s=CONNECT_TIMEOUT_S)
        head = await channel.request(outgoing, timeout_s=DEADLINE_S)
        await channel.read_all(timeout_s=DEADLINE_S)
        one.is_answered = head.status == 200
    except (ChannelConnectError, ChannelError):
        one.is_answered = False
    finally:
        one.took_s = time.monotonic() - begun_s
        if channel is not None:
            await channel.aclose()


async def call(deployment, draws, tries, *, begun_s, is_hot):
    """Send a request, and repeat it at other nodes until it is answered."""
    count = len(deployment.nodes)
    is_first_hot = is_hot and draws.random() < HOT_SHARE
    node = 0 if is_first_hot else draws.randrange(count)
    for number in range(MAX_TRIES):
        one = Try(f"{draws.getrandbits(64):016x}", node,
                  time.monotonic() - begun_s, number)  # fmt: skip
        tries.append(one)
        await make_try(deployment, one)
        if one.is_answered:
            return
        node = (node + 1 + draws.randrange(count - 1)) % count


async def run(per_s, share, nodes, seed):
    """Run both phases; return all tries and the ids that the first node has read."""
    draws = random.Random(seed)
    tries: list[Try] = []
    stopped = threading.Event()
    async with Deployment(nodes=nodes, replicas=6) as deployment:
        ids = [node.process.pid for node in deployment.nodes]
        thread = threading.Thread(target=throttle, args=(ids, share, stopped))
        thread.start()
        begun_s = time.monotonic()
        try:
            async with anyio.create_task_group() as group:
                while (now_s := time.monotonic() - begun_s) < CALM_S + HOT_S:
                    group.start_soon(
                        lambda is_hot: call(deployment, draws, tries, begun_s=begun_s,
                                            is_hot=is_hot), now_s >= CALM_S,
                    )  # fmt: skip
                    await anyio.sleep(draws.expovariate(per_s))
        finally:
            stopped.set()
            thread.join()
        ends = read_ends(deployment.folder / f"{deployment.nodes[0].name}.log")
    return tries, ends


def read_ends(path):
    """Return the outcome of each request that a node has read, by its id."""
    lines = (line for line in path.read_text().splitlines() if line.startswith("{"))
    rows = (json.loads(line) for line in lines if "A request ended" in line)
    return {row["request"]: row["outcome"] for row in rows}


def summarize(tries, ends, from_s, to_s):
    """Return figures on the first tries at the first node in a span of time."""
    first = [
        one
        for one in tries
        if one.node == 0 and one.number == 0 and from_s <= one.at_s < to_s
    ]
    read = [one for one in first if one.id in ends]
    answered = [one for one in read if one.is_answered]
    times_s = sorted(one.took_s for one in answered) or [0.0]
    requests = [one for one in tries if from_s <= one.at_s < to_s and one.number == 0]
    return {
        "requests": len(requests),
        "first_tries": len(first),
        "read": len(read),
        "answered": len(answered),
        "share": round(len(answered) / max(1, len(read)), 3),
        "median_ms": round(times_s[len(times_s) // 2] * 1e3),
        "worst_ms": round(times_s[-1] * 1e3),
        "tries_answered": sum(
            one.is_answered for one in tries if from_s <= one.at_s < to_s
        ),
    }


def main():
    """Print the figures of both phases."""
    parser = argparse.ArgumentParser(prog="hot_node")
    parser.add_argument("--per-s", type=float, default=40.0)
    parser.add_argument("--share", type=float, default=0.3)
    parser.add_argument("--nodes", type=int, default=4)
    parser.add_argument("--seed", type=int, default=0)
    args = parser.parse_args()
    tries, ends = anyio.run(run, args.per_s, args.share, args.nodes, args.seed)
    print("ended", dict(Counter(ends.values())))
    print("before", summarize(tries, ends, 0.0, CALM_S))
    print("during", summarize(tries, ends, CALM_S, CALM_S + HOT_S))


if __name__ == "__main__":
    main()
