"""Compare ways to keep a request that crashes replicas from the replicas.

``python -m benchmarks.crashing_requests`` simulates a fleet in virtual time. In some
runs single requests crash each replica that works on them; in others replicas are
killed one by one, in series, by failure domain or all as traffic begins, and no request
should be refused. It prints the figures by policy, then the size of messages and
tables; ``--write`` saves them to ``results/crashing_requests.json``.
"""

import argparse
import json
import random
import time
import tracemalloc
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from statistics import mean

from benchmarks._virtual_time import EventQueue, list_kills
from lycheetide.gossip import BrokenRequest, CrashReport, Life, encode_message
from lycheetide.quarantine import (
    Break,
    RequestEvidence,
    Verdict,
    hash_request_head,
    make_fingerprint,
)
from lycheetide.quarantine._requests import MAX_REQUESTS

RESULTS = Path(__file__).parent / "results" / "crashing_requests.json"
NODES = 9
REPLICAS = 23
DOMAINS = 3
KILL_INTERVAL_S = 7.0
SOUND_PER_S = 40.0
POPULAR_SHARE = 0.25
"""Share of sound requests that ask for one of a few popular things."""
POPULAR = 5
BAD_PER_S = 0.4
BAD_FROM_S = 5.0
BAD_UNTIL_S = 25.0
END_S = 35.0
DOWN_S = 5.0
WORK_S = (0.05, 0.8)
CRASH_S = (0.01, 0.4)
"""Time from sending a bad request to the crash, shortest and longest."""
NEWS_S = 0.02
PROOF_S = 0.02
LATE_PROOF_S = 4.0
"""Time after which the registry shows a crash that the host doesn't."""
LATE_SHARE = 0.25
"""Share of crashes that only the registry shows."""
ATTEMPTS = 2
TRIES = 5
PAUSES_S = (0.0, 0.5)
"""Pause before a caller's next try, shortest and longest."""
WAIT_S = 0.5
PATIENCE_S = 10.0


@dataclass(frozen=True)
class Policy:
    """A way to handle requests that replicas broke off.

    Parameters
    ----------
    name : str
        Its name.
    max_crashes : int
        Replicas that may end under one request; 0 for any number.
    counts_open : bool
        Whether breaks that aren't confirmed count as well.
    by_generation : bool
        Whether only breaks that follow one another count.
    sees_sharing : bool
        Whether what several callers ask for at one time needs more evidence.
    """

    name: str
    max_crashes: int = 0
    counts_open: bool = True
    by_generation: bool = True
    sees_sharing: bool = True


POLICIES = (
    Policy("as before"),
    Policy("three, confirmed only", 3, counts_open=False),
    Policy("three, by replica", 3, by_generation=False, sees_sharing=False),
    Policy("three, by generation alone", 3, sees_sharing=False),
    Policy("two", 2),
    Policy("three", 3),
    Policy("four", 4),
)


@dataclass
class Request:
    """A caller's request.

    Parameters
    ----------
    content : bytes
        Name of what it asks for.
    is_bad : bool
        Whether it crashes replicas.
    sent_s : float
        When it was first sent.
    """

    content: bytes
    is_bad: bool
    sent_s: float
    tries: int = 0
    attempts: int = 0
    node: int = 0
    generation: int = 1
    number: int = 0
    received_s: float = 0.0


@dataclass
class Fleet:
    """A simulated fleet of nodes that tell each other of breaks and crashes."""

    policy: Policy
    seed: int
    has_bad: bool = True
    kills: str = ""
    ended: Counter = field(default_factory=Counter)
    first_tries: list = field(default_factory=list)
    refused: int = 0
    sound: int = 0

    def __post_init__(self):
        self.draws = random.Random(self.seed)
        limit = self.policy.max_crashes or 1_000
        self.evidence = [RequestEvidence(max_crashes=limit) for _ in range(NODES)]
        self.down_until_s = [0.0] * REPLICAS
        self.lives = [0] * REPLICAS
        self.running: list[dict] = [{} for _ in range(REPLICAS)]
        self.queue = EventQueue()

    def run(self):
        """Simulate all events in order; return this fleet."""
        self._schedule_requests(SOUND_PER_S, 0.0, END_S, is_bad=False)
        if self.has_bad:
            self._schedule_requests(BAD_PER_S, BAD_FROM_S, BAD_UNTIL_S, is_bad=True)
        kills = list_kills(
            self.draws, self.kills, replicas=REPLICAS, domains=DOMAINS,
            interval_s=KILL_INTERVAL_S,
        )  # fmt: skip
        for at_s, replicas in kills:
            for replica in replicas:
                self.queue.schedule(at_s, self._crash, replica)
        self.queue.run()
        return self

    def _schedule_requests(self, per_s, from_s, until_s, *, is_bad):
        """Schedule requests that arrive at random."""
        at_s = from_s + self.draws.expovariate(per_s)
        while at_s < until_s:
            number = len(self.queue)
            is_popular = not is_bad and self.draws.random() < POPULAR_SHARE
            name = f"popular-{self.draws.randrange(POPULAR)}" if is_popular else number
            request = Request(f"{name}".rjust(16).encode(), is_bad, at_s, number=number)
            self.queue.schedule(at_s, self._try_request, request)
            at_s += self.draws.expovariate(per_s)

    def _try_request(self, request, *, now_s):
        """Send a request, as its caller's next try, to any node."""
        request.tries += 1
        request.attempts = 0
        request.received_s = now_s
        request.node = self.draws.randrange(NODES)
        self._attempt(request, now_s, now_s=now_s)

    def _judge(self, request, *, now_s):
        """Return what the request's node decides."""
        if not self.policy.max_crashes:
            return Verdict.SEND
        evidence = self.evidence[request.node]
        verdict = evidence.judge(request.content, now_s=now_s)
        if verdict is Verdict.WAIT and not self.policy.counts_open:
            return Verdict.SEND
        return verdict

    def _attempt(self, request, asked_s, *, now_s):
        """Send a request to a replica, if it may be sent."""
        verdict = self._judge(request, now_s=now_s)
        if verdict is Verdict.WAIT and now_s - asked_s < WAIT_S:
            self.queue.schedule(now_s + 0.01, self._attempt, request, asked_s)
            return
        if verdict is not Verdict.SEND:
            self.refused += not request.is_bad
            self._finish(request, is_served=False, now_s=now_s)
            return
        usable = [one for one in range(REPLICAS) if self.down_until_s[one] <= now_s]
        if not usable:
            self._finish(request, is_served=False, now_s=now_s)
            return
        request.attempts += 1
        evidence = self.evidence[request.node]
        request.generation = evidence.find_generation(request.content)
        replica = min(usable, key=lambda one: (len(self.running[one]),
                                               self.draws.random()))  # fmt: skip
        self.running[replica][id(request)] = request
        span_s = CRASH_S if request.is_bad else WORK_S
        ends_s = now_s + self.draws.uniform(*span_s)
        self.queue.schedule(ends_s, self._end, request, replica, self.lives[replica])

    def _end(self, request, replica, life, *, now_s):
        """Answer a request, or crash on it."""
        if self.lives[replica] != life:
            return
        if request.is_bad:
            self.ended[request.content] += 1
            self._crash(replica, now_s=now_s)
            return
        del self.running[replica][id(request)]
        for node in range(NODES):
            if self.evidence[node].find_generation(request.content) > 1:
                self.queue.schedule(now_s + NEWS_S, self._forget, node, request.content)
        self._finish(request, is_served=True, now_s=now_s)

    def _forget(self, node, content, *, now_s):
        """Note at a node that a request was answered whole."""
        self.evidence[node].forget(content)

    def _crash(self, replica, *, now_s):
        """End a replica's process, which breaks off all its requests."""
        if self.down_until_s[replica] > now_s:
            return
        hit, self.running[replica] = self.running[replica], {}
        life = Life(f"r-{replica}", self.lives[replica])
        self.lives[replica] += 1
        self.down_until_s[replica] = now_s + DOWN_S
        is_late = self.draws.random() < LATE_SHARE
        proof_s = now_s + (LATE_PROOF_S if is_late else PROOF_S)
        for request in hit.values():
            generation = request.generation if self.policy.by_generation else id(life)
            is_seen = self.policy.sees_sharing
            call = TRIES * request.number + request.tries if is_seen else 0
            expires_s = request.sent_s + PATIENCE_S
            new = Break(now_s, request.received_s, expires_s, call, generation)
            args = request.content, life, new
            for node in range(NODES):
                news_s = 0.0 if node == request.node else NEWS_S
                self.queue.schedule(now_s + news_s, self._learn, node, *args)
                self.queue.schedule(proof_s + news_s, self._confirm, node, life, now_s)
            if request.attempts < ATTEMPTS:
                self.queue.schedule(now_s + 0.005, self._attempt, request, now_s)
            else:
                self._finish(request, is_served=False, now_s=now_s)

    def _learn(self, node, content, life, new, *, now_s):
        """Note a break at a node."""
        self.evidence[node].note_break(content, life, new)

    def _confirm(self, node, life, at_s, *, now_s):
        """Note a crash at a node."""
        self.evidence[node].note_crash(life, at_s=at_s)

    def _finish(self, request, *, is_served, now_s):
        """Record the end of a try; a caller tries again after a failure."""
        if not request.is_bad and request.tries == 1:
            self.sound += 1
            self.first_tries.append((request.sent_s, is_served))
        if not is_served and request.tries < TRIES:
            pause_s = self.draws.uniform(*PAUSES_S)
            self.queue.schedule(now_s + pause_s, self._try_request, request)


def find_share_served(fleets):
    """Return the share of sound first tries that were served."""
    tries = [is_served for fleet in fleets for _, is_served in fleet.first_tries]
    return round(sum(tries) / len(tries), 4)


def measure_policy(policy, seeds):
    """Return the figures of one policy."""
    fleets = [Fleet(policy, seed).run() for seed in range(seeds)]
    ended = [number for fleet in fleets for number in fleet.ended.values()]
    row = {
        "ended_mean": round(mean(ended), 2),
        "ended_most": max(ended),
        "over_three": sum(number > 3 for number in ended),
        "requests": len(ended),
        "sound_beside": find_share_served(fleets),
        "refused_beside": sum(fleet.refused for fleet in fleets),
    }
    for kills in ("single", "series", "domain", "start"):
        killed = [
            Fleet(policy, seed, has_bad=False, kills=kills).run()
            for seed in range(seeds)
        ]
        row[f"refused_{kills}"] = sum(fleet.refused for fleet in killed)
        row[f"sound_{kills}"] = find_share_served(killed)
    row["sound_requests"] = sum(fleet.sound for fleet in killed)
    return row


def measure_costs():
    """Return the sizes of messages and full tables, and the time to hash bodies."""
    node = "front-a-1.1ecc477f.f88"
    row = BrokenRequest(bytes(16), 1, 1 << 31, 900, 9_000)
    reports = {
        number: CrashReport(node, "i-3c568cd48e", 1_700_000_000_000, 30, (),
                            (row,) * number, False)
        for number in (1, 16)
    }  # fmt: skip
    tracemalloc.start()
    evidence = RequestEvidence()
    for number in range(MAX_REQUESTS):
        for place in range(3):
            life = Life(f"r-{(number + place) % 500}", number)
            new = Break(0.0, -1.0, 9.0, place, place)
            evidence.note_break(number.to_bytes(16, "big"), life, new)
    bytes_held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    times_us = {}
    fields = [b"POST", b"works.example", b"/stream/s", b"5c1e07a2:800,91bd3f06:410"]
    for size in (0, 1_200, 33_000, 4_000_000):
        body = bytes(size)
        begun_s = time.perf_counter()
        for _ in range(50):
            make_fingerprint(hash_request_head("hule", fields), body)
        times_us[size] = round(1e6 * (time.perf_counter() - begun_s) / 50, 1)
    return {
        "report_bytes": {n: len(encode_message(one)) for n, one in reports.items()},
        "full_table_kb": round(bytes_held / 1e3),
        "hash_us_by_body_bytes": times_us,
    }


def main():
    """Print the figures, and save them if asked to."""
    parser = argparse.ArgumentParser(prog="crashing_requests")
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--write", action="store_true")
    args = parser.parse_args()
    results: dict = {"seeds": args.seeds, "costs": measure_costs()}
    for policy in POLICIES:
        results[policy.name] = measure_policy(policy, args.seeds)
        print(f"{policy.name}: {results[policy.name]}", flush=True)
    print(results["costs"])
    if args.write:
        RESULTS.write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main()
