"""Compare ways to find a part that crashes replicas at any moment of an answer.

``python -m benchmarks.late_crashes`` simulates a fleet in virtual time. In some runs
prompts with one part crash each replica that writes on them, before or after its first
event, at the last one or just after it; in others replicas are killed and nothing may
be blamed. Answers are short, or take many seconds. It prints the figures by policy,
then the size of messages and tables; ``--write`` saves them to
``results/late_crashes.json``.
"""

import argparse
import json
import random
import tracemalloc
from collections import defaultdict
from dataclasses import dataclass, field
from functools import partial
from multiprocessing import Pool
from pathlib import Path
from statistics import mean

from benchmarks._virtual_time import EventQueue, list_kills
from lycheetide.gossip import CrashReport, Life, PresentRow, encode_message
from lycheetide.quarantine import (
    AFTERMATH_S,
    CrashEvidence,
    CrashSample,
    PresenceEvidence,
    PresentPrompt,
    QuarantineTable,
)

RESULTS = Path(__file__).parent / "results" / "late_crashes.json"
REPLICAS = 23
DOMAINS = 3
KILL_INTERVAL_S = 8.0
SOUND_PER_S = 20.0
BAD_PER_S = 3.0
BAD_FROM_S = 10.0
BAD_UNTIL_S = 25.0
END_S = 40.0
RULE_CRASHES = 5
RULE_REQUESTS = 3
CONTACT_S = 3.0
DOWN_S = 5.0
BEGIN_S = (0.05, 0.2)
LENGTHS_S = {"short": (0.2, 0.8), "long": (4.0, 16.0)}
"""Time that a replica writes, shortest and longest."""
EVENT_S = 0.05
NEWS_S = 0.03
OBJECTION_S = 0.1
LOOK_S = 0.1
LOOKS = 8
SYSTEM_PARTS = 60
RARE_PARTS = 30
RARE_SHARE = 0.1
ATTEMPTS = 2
SOUND_ATTEMPTS = 5
CALLER_TRIES = 2
BAD = b"bad"
MOMENTS = ("head", "first", "fifth", "uniform", "last", "after", "mix", "nine of ten")
KILLS = ("single", "series", "domain", "start")
POLICIES = ("events clear", "answers clear", "presence")


@dataclass
class Request:
    """A caller's request.

    Parameters
    ----------
    number : int
        Its number; that of its prompt.
    parts : frozenset of bytes
        Parts of its prompt.
    sent_s, left_s : float
        When it was first sent, and how long a replica still writes.
    tries, attempts : int
        Tries of its caller, and attempts at replicas within the last one.
    begun_s, ended_s : float or None
        First and last event of the current attempt.
    has_begun, is_resumed : bool
        Whether the caller has an event, and whether the attempt begins after one.
    """

    number: int
    parts: frozenset
    sent_s: float
    left_s: float
    tries: int = 0
    attempts: int = 0
    begun_s: float | None = None
    ended_s: float | None = None
    has_begun: bool = False
    is_resumed: bool = False
    is_counted: bool = False


@dataclass
class Fleet:
    """A simulated fleet whose nodes share what they know after ``NEWS_S``.

    Parameters
    ----------
    policy : str
        "events clear" accuses prompts without an event, and an event clears parts;
        "answers clear" accuses all prompts at hand, and a whole answer clears parts;
        "presence" is ``PresenceEvidence`` beside the first.
    moment : str
        When replicas crash on the part; empty for no such part.
    kills : str
        As in ``list_kills``.
    length : str
        A key of ``LENGTHS_S``.
    seed : int
    """

    policy: str
    moment: str
    kills: str
    length: str
    seed: int
    crashes: list = field(default_factory=list)
    late_bad: int = 0
    first_tries: list = field(default_factory=list)
    wrong: int = 0
    cut: int = 0

    def __post_init__(self):
        self.draws = random.Random(self.seed)
        self.events = CrashEvidence()
        self.answers = CrashEvidence()
        self.presence = PresenceEvidence()
        self.table = QuarantineTable()
        self.down_until_s = [0.0] * REPLICAS
        self.lives = [0] * REPLICAS
        self.running: list[dict] = [{} for _ in range(REPLICAS)]
        self.queue = EventQueue()
        self.looks: set[float] = set()

    def run(self):
        """Simulate all events in order; return this fleet."""
        self._schedule_requests(SOUND_PER_S, 0.0, END_S, is_bad=False)
        if self.moment:
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
            parts = {b"system-%d" % self.draws.randrange(SYSTEM_PARTS)}
            parts.add(b"own-%d" % number)
            if is_bad:
                parts.add(BAD)
            elif self.draws.random() < RARE_SHARE:
                parts.add(b"rare-%d" % self.draws.randrange(RARE_PARTS))
            length_s = self.draws.uniform(*LENGTHS_S[self.length])
            request = Request(number, frozenset(parts), at_s, length_s)
            self.queue.schedule(at_s, self._try_request, request)
            at_s += self.draws.expovariate(per_s)

    def _try_request(self, request, *, now_s):
        """Send a request, as its caller's next try."""
        request.tries += 1
        request.attempts = 0
        request.is_resumed = False
        self._attempt(request, now_s=now_s)

    def _attempt(self, request, *, now_s):
        """Send a request to a replica, if it may be sent."""
        usable = [one for one in range(REPLICAS) if self.down_until_s[one] <= now_s]
        if self.table.find(tuple(request.parts)) or not usable:
            self._finish(request, begun=False, now_s=now_s)
            return
        request.attempts += 1
        request.begun_s = request.ended_s = None
        is_counted = BAD in request.parts and len(self.crashes) >= RULE_CRASHES
        if is_counted and now_s > self.crashes[RULE_CRASHES - 1] + CONTACT_S:
            self.late_bad += 1
        replica = min(usable, key=lambda one: (len(self.running[one]),
                                               self.draws.random()))  # fmt: skip
        self.running[replica][request.number] = request
        begins_s = now_s + self.draws.uniform(*BEGIN_S)
        life = self.lives[replica]
        self.queue.schedule(begins_s, self._begin, request, replica, life)

    def _is_running(self, request, replica, life):
        """Tell whether an attempt still runs."""
        return self.lives[replica] == life and request.number in self.running[replica]

    def _begin(self, request, replica, life, *, now_s):
        """Write the first event, or crash."""
        if not self._is_running(request, replica, life):
            return
        moment = self.moment if BAD in request.parts else ""
        if moment == "mix":
            moment = self.draws.choice(MOMENTS[:6])
        if moment == "head":
            self._crash(replica, now_s=now_s)
            return
        request.begun_s = now_s
        self.events.note_written(request.parts, now_s=now_s)
        if self.policy == "events clear":
            for part in request.parts:
                self.table.clear_part(part, now_s=now_s)
        self._finish(request, begun=True, now_s=now_s)
        delay_s = {
            "first": 0.1 * EVENT_S,
            "fifth": 4 * EVENT_S,
            "uniform": self.draws.uniform(0.0, request.left_s),
            "last": request.left_s - 0.1 * EVENT_S,
            "after": request.left_s + 0.02,
            "nine of ten": 0.1 * EVENT_S if self.draws.random() < 0.9 else None,
        }.get(moment)
        if delay_s is not None:
            self.queue.schedule(now_s + delay_s, self._crash_life, replica, life)
        self.queue.schedule(now_s + request.left_s, self._end, request, replica, life)

    def _crash_life(self, replica, life, *, now_s):
        """Crash a replica unless it has crashed before."""
        if self.lives[replica] == life:
            self._crash(replica, now_s=now_s)

    def _end(self, request, replica, life, *, now_s):
        """End a stream."""
        if not self._is_running(request, replica, life):
            return
        request.ended_s = now_s
        if not request.is_resumed:
            self.answers.note_written(request.parts, now_s=now_s)
            self.presence.note_survived(
                request.parts, Life(f"r-{replica}", life), at_s=now_s
            )
        self.queue.schedule(now_s + AFTERMATH_S, self._survive, request, replica, life)

    def _survive(self, request, replica, life, *, now_s):
        """Forget an answer that its replica has survived."""
        if self.lives[replica] != life:
            return
        self.running[replica].pop(request.number, None)
        if self.policy != "events clear" and not request.is_resumed:
            for part in request.parts:
                self.table.clear_part(part, now_s=now_s)

    def _crash(self, replica, *, now_s):
        """End a replica's process; the requests that it had at hand are suspects."""
        if self.down_until_s[replica] > now_s:
            return
        hit, self.running[replica] = self.running[replica], {}
        life = Life(f"r-{replica}", self.lives[replica])
        self.lives[replica] += 1
        alive = sum(until_s <= now_s for until_s in self.down_until_s)
        self.down_until_s[replica] = now_s + DOWN_S
        self.crashes.append(now_s)
        prompts = [make_prompt(request, now_s=now_s) for request in hit.values()]
        elsewhere = self._find_elsewhere(prompts, now_s=now_s)
        self.queue.schedule(
            now_s + NEWS_S, self._learn, life, prompts, elsewhere, alive, now_s
        )
        for request in hit.values():
            if request.ended_s is None:
                self._repeat(request, now_s=now_s)

    def _repeat(self, request, *, now_s):
        """Make the next attempt of a request that a crash has broken off."""
        is_bad = BAD in request.parts
        if request.begun_s is not None:
            request.left_s = max(EVENT_S, request.left_s - (now_s - request.begun_s))
            request.is_resumed = True
        may_repeat = request.attempts < (ATTEMPTS if is_bad else SOUND_ATTEMPTS)
        if may_repeat:
            self.queue.schedule(now_s + 0.005, self._attempt, request)
        else:
            self.cut += request.has_begun and not is_bad
            self._finish(request, begun=False, now_s=now_s)

    def _find_elsewhere(self, prompts, *, now_s):
        """Return the other replicas that have some parts at hand, by part."""
        found = defaultdict(lambda: (set(), set()))
        for part in frozenset().union(*(one.parts for one in prompts)):
            for replica, requests in enumerate(self.running):
                some = [one for one in requests.values() if part in one.parts]
                if some:
                    is_fresh = any(
                        make_prompt(one, now_s=now_s).is_fresh for one in some
                    )
                    found[part][0 if is_fresh else 1].add(replica)
        return found

    def _learn(self, life, prompts, elsewhere, alive, at_s, *, now_s):
        """Take note of a crash."""
        for one in prompts:
            sample = CrashSample(life, one.prompt, one.parts, at_s, now_s)
            if one.age_s < 0.0 and not one.is_ended:
                self.events.note_crash(sample)
            self.answers.note_crash(sample)
        self.presence.note_crash(life, prompts, alive=alive, at_s=at_s, now_s=now_s)
        for part, (fresh, others) in elsewhere.items():
            self.presence.note_elsewhere(life, part, fresh, others)
        for step in range(LOOKS):
            look_s = LOOK_S * (round(now_s / LOOK_S) + step + 0.5)
            if look_s >= now_s and look_s not in self.looks:
                self.looks.add(look_s)
                self.queue.schedule(look_s, self._look)

    def _look(self, *, now_s):
        """Look for culprits."""
        evidence = self.answers if self.policy == "answers clear" else self.events
        found = evidence.find_culprits(
            self.table.list_active(), replicas=REPLICAS, objection_s=OBJECTION_S,
            now_s=now_s,
        )  # fmt: skip
        if self.policy == "presence":
            found = [
                row for row in found
                if max(self.presence.weigh(part) for part in row[0]) >= 2.0
            ]  # fmt: skip
            found += self.presence.find_culprits(
                [*self.table.list_active(), *(parts for parts, _ in found)],
                objection_s=OBJECTION_S, now_s=now_s,
            )  # fmt: skip
        for parts, crashes in found:
            self.table.impose(parts, crashes=crashes, now_s=now_s)
            self.wrong += BAD not in parts
            if self.policy != "events clear":
                self._cancel(parts, now_s=now_s)

    def _cancel(self, parts, *, now_s):
        """Cancel the requests with some parts."""
        for requests in self.running:
            for number, request in list(requests.items()):
                if parts <= request.parts and request.ended_s is None:
                    del requests[number]
                    self._finish(request, begun=False, now_s=now_s)

    def _finish(self, request, *, begun, now_s):
        """Record the end of a try; a caller tries once more after a failure."""
        request.has_begun = request.has_begun or begun
        is_first = request.tries == 1 and not request.is_counted
        if BAD not in request.parts and is_first:
            request.is_counted = True
            self.first_tries.append((request.sent_s, begun))
        if not begun and not request.has_begun and request.tries < CALLER_TRIES:
            self.queue.schedule(now_s + 0.3, self._try_request, request)


def make_prompt(request, *, now_s):
    """Return a request at hand in the form that the evidence takes."""
    age_s = -1.0 if request.begun_s is None else now_s - request.begun_s
    is_ended = request.ended_s is not None
    return PresentPrompt(request.number, request.parts, age_s, is_ended)


def share_begun(fleet, from_s, until_s):
    """Return the share of sound first tries of a span whose answer began."""
    tries = [begun for at_s, begun in fleet.first_tries if from_s <= at_s < until_s]
    return sum(tries) / max(1, len(tries))


def simulate(policy, moment, kills, length, seed):
    """Return the figures of one run."""
    fleet = Fleet(policy, moment, kills, length, seed).run()
    return (
        len(fleet.crashes),
        fleet.late_bad,
        fleet.wrong,
        fleet.cut,
        share_begun(fleet, BAD_FROM_S, BAD_FROM_S + 6.0),
        share_begun(fleet, BAD_FROM_S + 6.0, BAD_UNTIL_S),
        share_begun(fleet, 0.0, END_S),
    )


def measure(pool, policy, length, seeds):
    """Yield the name and the figures of each kind of run of one policy."""
    for moment in MOMENTS:
        rows = pool.map(partial(simulate, policy, moment, "", length), range(seeds))
        crashes, late, wrong, cut, during, after, _ = zip(*rows, strict=True)
        yield moment, {
            "crashes": round(mean(crashes), 1), "most_crashes": max(crashes),
            "most_late": max(late),
            "runs_over": sum(one > RULE_REQUESTS for one in late),
            "sound_during": round(mean(during), 3),
            "sound_after": round(mean(after), 3),
            "cut": sum(cut), "wrong": sum(wrong),
        }  # fmt: skip
    for kills in KILLS:
        rows = pool.map(partial(simulate, policy, "", kills, length), range(seeds))
        *_, wrong, cut, _, _, sound = zip(*rows, strict=True)
        yield kills, {
            "wrong": sum(wrong), "sound": round(mean(sound), 3), "cut": sum(cut)
        }  # fmt: skip


def measure_sizes():
    """Return the sizes of messages, and of a node's tables when they are full."""
    node = "front-a-1.1ecc477f.f88"
    rows = tuple(PresentRow(1 << 63, (bytes(16),) * 3, 900) for _ in range(8))
    report = CrashReport(node, "i-3c568cd48e", 1_700_000_000_000, 30, (), present=rows)
    answer = CrashReport(
        node, "i-3c568cd48e", 1_700_000_000_000, 0, (), is_confirmed=False,
        elsewhere=tuple((bytes(16), (1 << 31,), (1 << 31, 1 << 31)) for _ in range(8)),
    )  # fmt: skip
    tracemalloc.start()
    evidence = PresenceEvidence()
    for number in range(300):
        prompts = [
            PresentPrompt(
                1_000 * number + place,
                frozenset((b"%d-%d-%d" % (number, place, part)).ljust(16)
                          for part in range(8)),
                1.0,
            )
            for place in range(20)
        ]  # fmt: skip
        life = Life(f"r-{number}", number)
        evidence.note_crash(life, prompts, alive=200, at_s=0.0, now_s=0.0)
    for number in range(5_000):
        for life in range(4):
            evidence.note_survived([b"%016d" % number], Life(f"r-{life}", 0), at_s=0.0)
    bytes_held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return {
        "report_of_8_prompts_bytes": len(encode_message(report)),
        "answer_of_8_parts_bytes": len(encode_message(answer)),
        "full_tables_kb": round(bytes_held / 1e3),
    }


def main():
    """Print the figures, and save them if asked to."""
    parser = argparse.ArgumentParser(prog="late_crashes")
    parser.add_argument("--seeds", type=int, default=40)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--policy", choices=POLICIES, action="append")
    parser.add_argument("--length", choices=LENGTHS_S, action="append")
    parser.add_argument("--write", action="store_true")
    args = parser.parse_args()
    results: dict = {"seeds": args.seeds, "sizes": measure_sizes()}
    print(results["sizes"])
    with Pool(args.jobs) as pool:
        for policy in args.policy or POLICIES:
            for length in args.length or LENGTHS_S:
                rows = results.setdefault(f"{policy}, {length}", {})
                for name, row in measure(pool, policy, length, args.seeds):
                    rows[name] = row
                    print(f"{policy}, {length}, {name}: {row}", flush=True)
    if args.write:
        RESULTS.write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main()
