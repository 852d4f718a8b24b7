"""Compare ways to keep prompts that crash replicas from the replicas.

``python -m benchmarks.quarantine`` simulates a fleet in virtual time. In some runs
prompts with one part crash each replica that begins to write on them; in others
replicas are killed one by one, together, or in a whole failure domain, and nothing may
be blamed. It prints the figures by policy, then the size of messages and tables;
``--write`` saves them to ``results/quarantine.json``.
"""

import argparse
import json
import random
import tracemalloc
from dataclasses import dataclass, field
from pathlib import Path
from statistics import mean

from benchmarks._virtual_time import EventQueue, list_kills
from lycheetide.gossip import (
    BegunPrompt,
    CrashReport,
    Life,
    PartsWritten,
    Quarantined,
    encode_message,
)
from lycheetide.quarantine import CrashEvidence, CrashSample, QuarantineTable
from lycheetide.quarantine._evidence import MAX_SAMPLE_PARTS, MAX_WRITTEN

RESULTS = Path(__file__).parent / "results" / "quarantine.json"
REPLICAS = 23
DOMAINS = 3
KILL_INTERVAL_S = 8.0
SOUND_PER_S = 20.0
BAD_PER_S = 3.0
BAD_FROM_S = 10.0
BAD_UNTIL_S = 25.0
END_S = 40.0
RULE_CRASHES = 5
CONTACT_S = 3.0
DOWN_S = 5.0
BEGIN_S = (0.05, 0.2)
"""Time from sending a request to its first event, shortest and longest."""
WRITE_S = 0.5
NEWS_S = 0.03
"""Time until all nodes know of a crash: the check of the connection and a message."""
OBJECTION_S = 0.1
LOOKS = 25
"""Looks for a culprit after each crash, one each 0.1 s."""
SYSTEM_PARTS = 60
RARE_PARTS = 30
RARE_SHARE = 0.1
"""Share of sound prompts with one of the rare parts besides."""
ATTEMPTS = 2
CALLER_TRIES = 2
BAD = b"bad"


@dataclass(frozen=True)
class Policy:
    """A way to handle requests whose replica crashed as their answer began.

    Parameters
    ----------
    name : str
        Its name.
    min_crashes : int
        Crashes that make a part a culprit; 0 if none is ever looked for.
    repeats : bool
        Whether a node repeats such a request.
    one_at_a_time : bool
        Whether of the requests with a part that crashed a replica and wasn't written on
        since, only one runs at a time in the fleet.
    """

    name: str
    min_crashes: int = 0
    repeats: bool = True
    one_at_a_time: bool = False


POLICIES = (
    Policy("as before"),
    Policy("never repeated", repeats=False),
    Policy("one at a time", one_at_a_time=True),
    Policy("two crashes", 2),
    Policy("three crashes", 3),
    Policy("four crashes", 4),
    Policy("four crashes, never repeated", 4, repeats=False),
    Policy("five crashes", 5),
)


@dataclass
class Request:
    """A caller's request.

    Parameters
    ----------
    number : int
        Its number; that of its prompt.
    parts : frozenset of bytes
        Parts of its prompt.
    sent_s : float
        When it was first sent.
    tries, attempts : int
        Tries of its caller, and attempts at replicas within the last one.
    """

    number: int
    parts: frozenset
    sent_s: float
    tries: int = 0
    attempts: int = 0
    has_begun: bool = False


@dataclass
class Fleet:
    """A simulated fleet whose nodes share what they know after ``NEWS_S``."""

    policy: Policy
    seed: int
    has_bad_part: bool = True
    kills: str = ""
    crashes: list = field(default_factory=list)
    late_bad: list = field(default_factory=list)
    first_tries: list = field(default_factory=list)
    wrong: set = field(default_factory=set)

    def __post_init__(self):
        self.draws = random.Random(self.seed)
        self.evidence = CrashEvidence(min_crashes=max(1, self.policy.min_crashes))
        self.table = QuarantineTable()
        self.down_until_s = [0.0] * REPLICAS
        self.lives = [0] * REPLICAS
        self.running: list[dict] = [{} for _ in range(REPLICAS)]
        self.suspects: set[bytes] = set()
        self.holders: dict[bytes, int] = {}
        self.queue = EventQueue()

    def run(self):
        """Simulate all events in order; return this fleet."""
        self._schedule_requests(SOUND_PER_S, 0.0, END_S, self._make_sound)
        if self.has_bad_part:
            self._schedule_requests(BAD_PER_S, BAD_FROM_S, BAD_UNTIL_S, self._make_bad)
        kills = list_kills(
            self.draws, self.kills, replicas=REPLICAS, domains=DOMAINS,
            interval_s=KILL_INTERVAL_S,
        )  # fmt: skip
        for at_s, replicas in kills:
            for replica in replicas:
                self.queue.schedule(at_s, self._crash, replica)
        self.queue.run()
        return self

    def _schedule_requests(self, per_s, from_s, until_s, make):
        """Schedule requests that arrive at random."""
        at_s = from_s + self.draws.expovariate(per_s)
        while at_s < until_s:
            request = make(len(self.queue), at_s)
            self.queue.schedule(at_s, self._try_request, request)
            at_s += self.draws.expovariate(per_s)

    def _make_sound(self, number, at_s):
        """Return a sound request."""
        parts = {b"system-%d" % self.draws.randrange(SYSTEM_PARTS), b"own-%d" % number}
        if self.draws.random() < RARE_SHARE:
            parts.add(b"rare-%d" % self.draws.randrange(RARE_PARTS))
        return Request(number, frozenset(parts), at_s)

    def _make_bad(self, number, at_s):
        """Return a request whose prompt has the part that crashes replicas."""
        parts = {b"system-%d" % self.draws.randrange(SYSTEM_PARTS), b"own-%d" % number}
        return Request(number, frozenset(parts | {BAD}), at_s)

    def _try_request(self, request, *, now_s):
        """Send a request, as its caller's next try."""
        request.tries += 1
        request.attempts = 0
        self._attempt(request, now_s=now_s)

    def _attempt(self, request, *, now_s):
        """Send a request to a replica, if it may be sent."""
        if self.policy.min_crashes and self.table.find(tuple(request.parts)):
            self._finish(request, begun=False, now_s=now_s)
            return
        if self.policy.one_at_a_time and not self._take_turn(request, now_s=now_s):
            return
        usable = [one for one in range(REPLICAS) if self.down_until_s[one] <= now_s]
        if not usable:
            self._finish(request, begun=False, now_s=now_s)
            return
        request.attempts += 1
        is_counted = BAD in request.parts and len(self.crashes) >= RULE_CRASHES
        if is_counted and now_s > self.crashes[RULE_CRASHES - 1] + CONTACT_S:
            self.late_bad.append(now_s)
        replica = min(usable, key=lambda one: (len(self.running[one]),
                                               self.draws.random()))  # fmt: skip
        self.running[replica][request.number] = request
        request.has_begun = False
        begins_s = now_s + self.draws.uniform(*BEGIN_S)
        life = self.lives[replica]
        self.queue.schedule(begins_s, self._begin, request, replica, life)

    def _take_turn(self, request, *, now_s):
        """Tell whether no other request runs with the same suspect part."""
        for part in request.parts & self.suspects:
            if self.holders.get(part, request.number) != request.number:
                if now_s - request.sent_s > CONTACT_S:
                    self._finish(request, begun=False, now_s=now_s, may_retry=False)
                else:
                    self.queue.schedule(now_s + 0.05, self._attempt, request)
                return False
        for part in request.parts & self.suspects:
            self.holders[part] = request.number
        return True

    def _release(self, request):
        """Release the turns that a request holds."""
        for part in [k for k, v in self.holders.items() if v == request.number]:
            del self.holders[part]

    def _begin(self, request, replica, life, *, now_s):
        """Write the first event, or crash."""
        if self.lives[replica] != life:
            return
        if BAD in request.parts:
            self._crash(replica, now_s=now_s)
            return
        request.has_begun = True
        self.evidence.note_written(request.parts, now_s=now_s)
        self.suspects -= request.parts
        for part in request.parts:
            self.wrong.update(
                entry.parts for entry in self.table.clear_part(part, now_s=now_s)
                if entry is not None and entry.is_lifted
            )  # fmt: skip
        self._finish(request, begun=True, now_s=now_s)
        self.queue.schedule(now_s + WRITE_S, self._end, request, replica, life)

    def _end(self, request, replica, life, *, now_s):
        """End a stream."""
        if self.lives[replica] == life:
            self.running[replica].pop(request.number, None)

    def _crash(self, replica, *, now_s):
        """End a replica's process; requests that were beginning are suspects."""
        if self.down_until_s[replica] > now_s:
            return
        hit, self.running[replica] = self.running[replica], {}
        life = Life(f"r-{replica}", self.lives[replica])
        self.lives[replica] += 1
        self.down_until_s[replica] = now_s + DOWN_S
        self.crashes.append(now_s)
        for request in hit.values():
            if request.has_begun:
                continue
            self._release(request)
            sample = CrashSample(life, request.number, request.parts, now_s,
                                 now_s + NEWS_S)  # fmt: skip
            self.queue.schedule(now_s + NEWS_S, self._learn, sample)
            if self.policy.repeats and request.attempts < ATTEMPTS:
                self.queue.schedule(now_s + 0.005, self._attempt, request)
            else:
                self._finish(request, begun=False, now_s=now_s)

    def _learn(self, sample, *, now_s):
        """Take note of a crash."""
        self.suspects |= {
            part for part in sample.parts
            if sample.at_s > self.evidence.last_written_s(part)
        }  # fmt: skip
        if self.policy.min_crashes:
            self.evidence.note_crash(sample)
            for step in range(LOOKS):
                self.queue.schedule(now_s + OBJECTION_S * step, self._look)

    def _look(self, *, now_s):
        """Look for culprits."""
        found = self.evidence.find_culprits(
            self.table.list_active(),
            replicas=REPLICAS,
            objection_s=OBJECTION_S,
            now_s=now_s,
        )
        for parts, crashes in found:
            self.table.impose(parts, crashes=crashes, now_s=now_s)
            if BAD not in parts:
                self.wrong.add(tuple(sorted(parts)))

    def _finish(self, request, *, begun, now_s, may_retry=True):
        """Record the end of a try; a caller tries once more after a failure."""
        self._release(request)
        if BAD not in request.parts and request.tries == 1:
            self.first_tries.append((request.sent_s, begun))
        if not begun and may_retry and request.tries < CALLER_TRIES:
            self.queue.schedule(now_s + 0.3, self._try_request, request)


def share_begun(fleet, from_s, until_s):
    """Return the share of sound first tries of a span whose answer began."""
    tries = [begun for at_s, begun in fleet.first_tries if from_s <= at_s < until_s]
    return round(sum(tries) / max(1, len(tries)), 3)


def measure_policy(policy, seeds):
    """Return the figures of one policy."""
    fleets = [Fleet(policy, seed).run() for seed in range(seeds)]
    row = {
        "crashes": round(mean(len(fleet.crashes) for fleet in fleets), 1),
        "most_crashes": max(len(fleet.crashes) for fleet in fleets),
        "late_requests": max(len(fleet.late_bad) for fleet in fleets),
        "sound_during": round(
            mean(share_begun(fleet, BAD_FROM_S, BAD_FROM_S + 6.0) for fleet in fleets),
            3,
        ),
        "sound_after": round(
            mean(share_begun(fleet, BAD_FROM_S + 6.0, BAD_UNTIL_S) for fleet in fleets),
            3,
        ),
        "wrong_beside_bad": sum(len(fleet.wrong) for fleet in fleets),
    }
    for kills in ("single", "series", "domain", "start"):
        killed = [
            Fleet(policy, seed, has_bad_part=False, kills=kills).run()
            for seed in range(seeds)
        ]
        row[f"wrong_{kills}"] = sum(len(fleet.wrong) for fleet in killed)
        row[f"sound_{kills}"] = round(
            mean(share_begun(fleet, 0.0, END_S) for fleet in killed), 3
        )
    return row


def measure_sizes():
    """Return the sizes of messages, and of a node's tables when they are full."""
    node, parts = "front-a-1.1ecc477f.f88", (bytes(16),) * 3
    report = CrashReport(node, "i-3c568cd48e", 1_700_000_000_000, 30,
                         (BegunPrompt(1 << 63, parts),))  # fmt: skip
    tracemalloc.start()
    evidence = CrashEvidence()
    for number in range(MAX_WRITTEN):
        evidence.note_written([number.to_bytes(16, "big")], now_s=float(number))
    for number in range(300):
        sample_parts = frozenset(
            (1_000_000 + 40 * number + part).to_bytes(16, "big") for part in range(40)
        )
        life = Life(f"r-{number}", number)
        evidence.note_crash(CrashSample(life, number, sample_parts, 0.0, 0.0))
    bytes_held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return {
        "crash_report_bytes": len(encode_message(report)),
        "objection_bytes": len(encode_message(PartsWritten(node, ((bytes(16), 900),)))),
        "verdict_bytes": len(
            encode_message(Quarantined(node, (((bytes(16),), 1, False, 3),)))
        ),
        "full_tables_kb": round(bytes_held / 1e3),
        "most_sample_parts": MAX_SAMPLE_PARTS,
    }


def main():
    """Print the figures, and save them if asked to."""
    parser = argparse.ArgumentParser(prog="quarantine")
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--write", action="store_true")
    args = parser.parse_args()
    results: dict = {"seeds": args.seeds, "sizes": measure_sizes()}
    print(results["sizes"])
    results["policies"] = {}
    for policy in POLICIES:
        results["policies"][policy.name] = row = measure_policy(policy, args.seeds)
        print(policy.name, row, flush=True)
    if args.write:
        RESULTS.write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main()
