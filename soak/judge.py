"""Judge a run by what callers and replicas saw."""

import re
from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from dataclasses import dataclass

from soak.callers import PATIENCE_S, find_deadline_s
from soak.deployment import DOMAINS
from soak.replicas import COLD_PER_S, EVENTS, PATIENT_EVENTS
from standins.replica import SEAL

NOT_RUN = (408, 421, 429, 503)
"""Statuses that promise that nothing ran and nothing will."""
ONCE = ("book", "once")
GIVEN_UP = (502, 504)
"""Statuses that a node answers with where an attempt failed that may have run."""
LAST_MOMENT_S = 0.2
"""So shortly before a limit another attempt is no longer worth it."""
REFUSING = ("refuse", "crash", "reset")
"""Faults by which a replica's connections fail at once."""
HEARD_S = 0.7
"""A replica that wrote something so lately counts as alive at all nodes."""
CLOSING_S = 0.1
"""A replica sees the end of a connection about so soon."""
IN_TOUCH_S = 3.0
"""A node that was disturbed so lately may be late."""
SLACK_S = 1.0
"""This process plays callers, replicas and proxies in one loop, and may be late."""
DRAIN_S = 2.0
CONFIG_S = 2.0
DOMAIN_S = 5.0
GONE_S = 0.5
COLD_EXCESS = 1.5
COLD_SLACK = 5
CAUSES_SHOWN = 5

_EVENT = re.compile(rb"id: (\d+)\ndata: token (\d+) ([0-9a-f]+)\n\n")


@dataclass(frozen=True)
class Record:
    """All that a run left behind.

    Parameters
    ----------
    attempts : list of Attempt
        As callers saw them.
    replicas : list of SoakReplica
        With their records.
    faults : Faults
        What was disturbed when.
    own_exits : list of str
        Processes that ended by themselves.
    calm_s : float
        From when on nothing was disturbed any more.
    """

    attempts: list
    replicas: list
    faults: object
    own_exits: list
    calm_s: float

    def is_disturbed(self, what, from_s, to_s, *, kinds=None):
        """Tell whether something was disturbed at some moment of a span."""
        return any(
            one.what == what and one.from_s <= to_s and one.to_s >= from_s
            for one in self.faults.disturbances
            if kinds is None or one.kind in kinds
        )

    def in_touch(self, attempt, replica, at_s):
        """Tell whether bounds in time hold for what was sent to a replica."""
        since_s = min(at_s, attempt.begun_s) - IN_TOUCH_S
        places = (f"node {attempt.node}", f"replica {replica.name}", "store")
        return not any(self.is_disturbed(place, since_s, at_s) for place in places)


def find_broken(record):
    """Yield each broken promise as a line."""
    for check in (
        check_answers, check_runs, check_times, check_arrivals, check_left,
        check_cold, check_lost, check_cut, check_memory, check_recovery,
    ):  # fmt: skip
        yield from check(record)
    for line in record.own_exits:
        yield f"EXIT {line}"


def check_answers(record):
    """Each answer is whole, and its own caller's."""
    for attempt in record.attempts:
        if attempt.status != 200 or attempt.kind == "leave":
            continue
        headers = dict(attempt.headers)
        if headers.get("lycheetide-attempt-id") != attempt.id:
            yield f"MIXED {attempt.id} got the answer to another"
        if headers.get("lycheetide-response-seal") != SEAL:
            yield f"MIXED {attempt.id} got an answer without its replica's word"
        if attempt.kind in PATIENCE_S:
            yield from _check_stream(attempt)
        elif attempt.is_whole and not attempt.body.endswith(attempt.id.encode()):
            yield f"MIXED {attempt.id} got {attempt.body[:60]!r}"


def _check_stream(attempt):
    """The events of a stream are this attempt's, in order, none missing."""
    events = _EVENT.findall(attempt.body)
    numbers = [int(number) for number, _, _ in events]
    if numbers != list(range(1, len(numbers) + 1)):
        yield f"ORDER {attempt.id} got events {numbers}"
    if any(owner.decode() != attempt.id for _, _, owner in events):
        yield f"MIXED {attempt.id} got events of another"
    wanted = PATIENT_EVENTS if attempt.kind == "patient" else EVENTS
    if attempt.is_whole and len(numbers) != wanted:
        yield f"ORDER {attempt.id} looks whole with {len(numbers)} events"


def check_runs(record):
    """Nothing runs twice that must not, and what is told not to have run hasn't."""
    runs = Counter(run for replica in record.replicas for run in replica.runs)
    for attempt in record.attempts:
        ran = runs[attempt.id]
        if attempt.kind in ONCE and ran > 1:
            yield f"TWICE {attempt.kind} {attempt.id} ran {ran} times"
        if attempt.status in NOT_RUN and ran:
            yield f"REFUSED {attempt.kind} {attempt.id} was told {attempt.status}"
    known = {attempt.id for attempt in record.attempts}
    strange = [run for run in runs if run not in known]
    # Callers that were cut off at the end of the run left no record.
    if len(strange) > 2 * 24:
        yield f"UNASKED {len(strange)} runs that nobody asked for"


def check_times(record):
    """Each caller has its final answer in time, unless its node was disturbed."""
    for attempt in record.attempts:
        took_s = attempt.ended_s - attempt.begun_s
        node = f"node {attempt.node}"
        if took_s > find_deadline_s(attempt.kind) + SLACK_S and not record.is_disturbed(
            node, attempt.begun_s - SLACK_S, attempt.ended_s
        ):
            yield f"LATE {attempt.kind} {attempt.id} took {took_s:.1f} s"


def check_arrivals(record):
    """Nothing is sent to what has left, was taken out, or with a key taken away."""
    attempts = {attempt.id: attempt for attempt in record.attempts}
    for index, replica in enumerate(record.replicas):
        domain = DOMAINS[index % len(DOMAINS)]
        for at_s, attempt_id, _ in replica.arrivals:
            attempt = attempts.get(attempt_id)
            if attempt is None or not record.in_touch(attempt, replica, at_s):
                continue
            for rule in _find_forbidden(record, replica, domain, attempt, at_s):
                yield f"{rule} {attempt.kind} {attempt_id} by {attempt.node}"


def _find_forbidden(record, replica, domain, attempt, at_s):
    """Yield the rules that an arrival breaks."""
    faults = record.faults
    for name, from_s, to_s in faults.drained:
        if name == replica.name and from_s + DRAIN_S + SLACK_S < at_s < to_s:
            yield "DRAIN"
    for closed, from_s, to_s in faults.closed:
        if closed == domain and from_s + DOMAIN_S < at_s < to_s:
            yield "EVAC"
    taken_s = faults.revoked[0] if faults.revoked else float("inf")
    if attempt.kind == "second_key" and attempt.begun_s > taken_s + CONFIG_S + SLACK_S:
        yield "CONFIG"


def check_left(record):
    """Work ends soon after its caller has left."""
    ends = defaultdict(list)
    for replica in record.replicas:
        for attempt_id, end_s in replica.ends.items():
            ends[attempt_id].append((replica, end_s))
    for attempt in record.attempts:
        if attempt.kind != "leave" or attempt.is_whole:
            continue
        for replica, end_s in ends[attempt.id]:
            late_s = end_s - attempt.ended_s
            if late_s > GONE_S + SLACK_S / 2 and record.in_touch(
                attempt, replica, end_s
            ):
                yield f"GONE {attempt.id} worked on for {late_s:.2f} s"


def check_cold(record):
    """A cold replica gets no more than it bears, from all nodes together."""
    most = COLD_PER_S * COLD_EXCESS + COLD_SLACK
    for replica in record.replicas:
        times = [at_s for at_s, _, _ in replica.arrivals]
        for from_s, to_s in replica.cold:
            if record.is_disturbed(f"replica {replica.name}", from_s - 1.0, to_s):
                continue
            inside = times[bisect_left(times, from_s) : bisect_right(times, to_s)]
            for place, at_s in enumerate(inside):
                count = bisect_right(inside, at_s + 1.0) - place
                if count > most:
                    yield f"FAILBACK {replica.name} got {count} in a second"
                    break


def check_lost(record):
    """A request that was passed on gets an answer; a planned stop cuts none."""
    reached = find_reached(record)
    for attempt in record.attempts:
        if attempt.status or attempt.kind == "leave" or attempt.id not in reached:
            continue
        replica = reached[attempt.id][-1][1]
        if attempt.gave_up and _has_met_delay(record, attempt, reached[attempt.id]):
            continue
        since_s = attempt.begun_s - IN_TOUCH_S
        if not any(
            record.is_disturbed(what, since_s, attempt.ended_s)
            for what in (f"node {attempt.node}", f"replica {replica.name}")
        ):
            yield f"LOST {attempt.kind} {attempt.id} at {attempt.node}: {attempt.fault}"


def find_reached(record):
    """Return when each attempt came to which replicas, in order, by attempt id."""
    reached = defaultdict(list)
    for replica in record.replicas:
        for at_s, attempt_id, _ in replica.arrivals:
            reached[attempt_id].append((at_s, replica))
    return {
        attempt_id: sorted(rows, key=lambda row: row[0])
        for attempt_id, rows in reached.items()
    }


def _has_met_delay(record, attempt, reached):
    """Tell whether a replica that an attempt came to was quiet or disturbed."""
    since_s = attempt.begun_s - IN_TOUCH_S
    return any(
        record.is_disturbed(f"replica {replica.name}", since_s, attempt.ended_s)
        or any(
            from_s <= attempt.ended_s and to_s >= attempt.begun_s
            for from_s, to_s in replica.quiet
        )
        for _, replica in reached
    )


def check_cut(record):
    """A node doesn't give up a stream whose replica is sound and only slow.

    A prompt that several replicas hold needs all of them. A stream that hasn't begun
    may be given up where nobody hears of its replica.
    """
    reached = find_reached(record)
    for attempt in record.attempts:
        if not _is_cut(attempt) or attempt.id not in reached:
            continue
        at_s, last = reached[attempt.id][-1]
        needed = record.replicas if attempt.kind == "huge" else [last]
        spans = [(f"node {attempt.node}", attempt.begun_s - IN_TOUCH_S)]
        spans += [(f"replica {one.name}", at_s - SLACK_S) for one in needed]
        if any(record.is_disturbed(what, since_s, attempt.ended_s)
               for what, since_s in spans):  # fmt: skip
            continue
        if _went_on_in_vain(record, attempt, last):
            continue
        if attempt.status != 200 and not _is_heard(record, attempt, last):
            continue
        names = ", ".join(replica.name for _, replica in reached[attempt.id])
        yield (
            f"CUT {attempt.kind} {attempt.id} at {attempt.node}: status"
            f" {attempt.status}, {len(_EVENT.findall(attempt.body))} events, after"
            f" {attempt.ended_s - attempt.begun_s:.2f} s, {attempt.silent_s:.2f} s of"
            f" silence, by {names}; {attempt.fault}"
        )


def _is_cut(attempt):
    """Tell whether a node ended a stream before a limit of its caller's."""
    patience_s = PATIENCE_S.get(attempt.kind)
    if patience_s is None or attempt.gave_up:
        return False
    if attempt.silent_s > patience_s - LAST_MOMENT_S:
        return False
    took_s = attempt.ended_s - attempt.begun_s
    if took_s > find_deadline_s(attempt.kind) - LAST_MOMENT_S:
        return False
    is_broken_off = attempt.status == 200 and not attempt.is_whole
    return is_broken_off or attempt.status in GIVEN_UP


def _is_heard(record, attempt, replica):
    """Tell whether all nodes must have known at an attempt's end that a replica lives.

    Each tells the others which replicas it hears.
    """
    since_s = attempt.ended_s - HEARD_S
    nodes = {one.what for one in record.faults.disturbances if "node " in one.what}
    if any(
        record.is_disturbed(node, since_s - SLACK_S, attempt.ended_s) for node in nodes
    ):
        return False
    return any(since_s <= at_s <= attempt.ended_s for at_s in replica.spoken_s)


def _went_on_in_vain(record, attempt, last):
    """Tell whether an attempt may have met a fault on its way from its last replica."""
    left_s = last.ends.get(attempt.id, attempt.ended_s) - CLOSING_S
    is_at_once = attempt.ended_s - left_s <= LAST_MOMENT_S
    return any(
        record.is_disturbed(
            f"replica {replica.name}",
            left_s,
            attempt.ended_s,
            kinds=REFUSING if is_at_once else None,
        )
        for replica in record.replicas
        if replica is not last
    )


def check_memory(record):
    """No memory is set aside after the last request."""
    for replica in record.replicas:
        if replica.held():
            yield f"LEAK {replica.name} holds {replica.held()}"


def check_recovery(record):
    """Some time after the last disturbance all is served."""
    revoked = bool(record.faults.revoked)
    for attempt in record.attempts:
        if attempt.begun_s < record.calm_s or attempt.kind == "leave":
            continue
        wanted = 401 if revoked and attempt.kind == "second_key" else 200
        if attempt.status != wanted or not attempt.is_whole:
            yield (
                f"RECOVER {attempt.kind} {attempt.id} at {attempt.node}: "
                f"status {attempt.status} {attempt.fault}"
            )
