"""Measure what a relay's shared state and placement cost, by the size of the fleet.

``python -m benchmarks.relay`` prints the figures; ``--write`` saves them to
``results/relay.json``.
"""

import argparse
import json
import time
from pathlib import Path

from lycheetide.gossip import (
    Ended,
    Heartbeat,
    Job,
    JobPart,
    JobTable,
    Started,
    decode_message,
    encode_message,
)
from lycheetide.placement import Candidate, RequestSize, place_prompt
from lycheetide.relay._selection import find_placement, list_candidates
from lycheetide.replicas import RegistryChange, RegistryEntry, ReplicaTable
from lycheetide.routes import DEFAULT_ENGINE
from standins.large import make_call, make_large_relay

RESULTS = Path(__file__).parent / "results" / "relay.json"
ROUNDS = 2_000
REPLICA_COUNTS = (26, 85, 1_200)
"""Numbers of replicas: of the small site, of the grown one, and of one region of the
size to design for."""

NODE_COUNTS = (9, 60, 195)
"""Numbers of nodes; each is measured with the same number of replicas."""


def measure_cpu_us(run, rounds=ROUNDS):
    """Return the CPU time of one call in microseconds."""
    start_s = time.process_time()
    for number in range(rounds):
        run(number)
    return round((time.process_time() - start_s) / rounds * 1e6, 1)


def measure_messages():
    """Return the cost and the sizes of the messages about one short request."""
    job_table = JobTable()
    part = JobPart("i-3c568cd48e", 0.03, 6_000)

    def exchange_messages(number):
        job = f"{number:x}"
        started = Started("front-a-1.1ecc477f.f88", job, (part,), 10_000)
        message = decode_message(encode_message(started))
        job_table.start(
            Job(message.job, message.node, message.parts, 0.0, 10.0), now_s=0.0
        )
        ended = decode_message(encode_message(Ended(started.node, job)))
        job_table.end(ended.node, ended.job, now_s=0.1)

    started = Started("front-a-1.1ecc477f.f88", "ff", (part,), 10_000)
    heartbeat = Heartbeat("10.0.0.1:1", "front-a-1.1ecc477f.f88", "10.0.0.2:7", "a",
                          1, 2, 0.1, heard=("i-3c568cd48e",) * 24)  # fmt: skip
    return {
        "request_us": measure_cpu_us(exchange_messages),
        "started_bytes": len(encode_message(started)),
        "ended_bytes": len(encode_message(Ended("front-a-1.1ecc477f.f88", "ff"))),
        "hello_bytes": len(encode_message(heartbeat)),
    }


def make_candidates(count):
    """Return replicas with some load each."""
    return [
        Candidate(f"r{rank}", "10.0.0.1:1", rank, 8, writers=rank % 4, helping=rank % 3)
        for rank in range(count)
    ]


def measure_choices(count):
    """Return the cost of choosing among ``count`` replicas."""
    candidates = make_candidates(count)

    def short(_):
        place_prompt(
            DEFAULT_ENGINE, RequestSize(5_000, 1_000), candidates, target_s=0.3
        )

    def huge(_):
        place_prompt(
            DEFAULT_ENGINE, RequestSize(133_000, 500), candidates, target_s=2.5
        )

    return {
        "short_us": measure_cpu_us(short, 300),
        "huge_us": measure_cpu_us(huge, 300),
    }


def measure_full_choices(count):
    """Return the cost of a placement at one of ``count`` nodes.

    It includes listing the candidates and all other state that the choice needs.
    """
    relay = make_large_relay(count, count)

    def choose(call):
        candidates, _ = list_candidates(relay, call)
        find_placement(relay, call, candidates, now_s=time.monotonic())

    short, huge = make_call(5_000), make_call(133_000, target_s=2.5, gap_s=1.0)
    return {
        "short_us": measure_cpu_us(lambda _: choose(short), 100),
        "huge_us": measure_cpu_us(lambda _: choose(huge), 100),
    }


def measure_digest(count):
    """Return the cost of a digest of a table with ``count`` replicas."""
    table = ReplicaTable()
    entries = [RegistryEntry(f"r{n}", "m", "10.0.0.1:1", "a", 8, False, 0.0, 1, 1)
               for n in range(count)]  # fmt: skip

    def run(number):
        entry = entries[number % count]
        table.apply([RegistryChange(entry.id, number, entry)], now_s=0.0)
        table.digest()

    return measure_cpu_us(run, 300)


def main():
    """Measure and print the results."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--write", action="store_true")
    args = parser.parse_args()
    figures = measure_messages()
    for count in NODE_COUNTS:
        figures[f"whole_choice_{count}"] = measure_full_choices(count)
    for count in REPLICA_COUNTS:
        figures[f"choice_{count}"] = measure_choices(count)
        figures[f"digest_{count}_us"] = measure_digest(count)
    print(json.dumps(figures, indent=2))
    if args.write:
        RESULTS.write_text(json.dumps(figures, indent=2) + "\n")


if __name__ == "__main__":
    main()
