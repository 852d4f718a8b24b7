"""Checks of the guarantees against what callers and replicas observed in a run."""

import re
from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from soak.callers import SILENCE_TIMEOUT_S, find_deadline_s
from soak.demands import check_leaving, check_limits, check_rests
from soak.deployment import FAILURE_DOMAINS
from soak.quarantines import (
    check_bursts,
    check_crashing_part,
    check_fatal_requests,
    check_quarantines,
)
from soak.replicas import COLD_PER_S, PATIENT_STREAM_EVENTS, STREAM_EVENTS
from standins.replica import RESPONSE_SEAL

NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
"""Statuses that guarantee that the request did not and will not run."""
UNOWED_KINDS = ("leave", "bad", "fatal")
"""Kinds whose callers are owed no answer."""
NON_IDEMPOTENT_KINDS = ("book", "once", "upload")
FAILED_ATTEMPT_STATUSES = (502, 504)
"""Statuses of a node for a failed attempt that may have run."""
MIN_RETRY_TIME_S = 0.2
"""With less time than this before a limit, another attempt isn't worthwhile."""
IMMEDIATE_FAILURE_KINDS = ("refuse", "crash", "reset")
"""Faults that make connections to a replica fail at once."""
ALIVE_WINDOW_S = 0.7
"""A replica that wrote data within this time is known to be alive at all nodes."""
CLOSE_DETECTION_S = 0.1
"""Approximate time until a replica detects that a connection was closed."""
DISTURBANCE_MARGIN_S = 3.0
"""A node may miss time bounds for this long after a disturbance."""
SLACK_S = 1.0
"""Tolerance for delays of this process, which runs callers, replicas and proxies in
one event loop."""
DRAIN_LIMIT_S = 2.0
CONFIG_LIMIT_S = 2.0
EVACUATION_LIMIT_S = 5.0
CANCEL_LIMIT_S = 0.5
COLD_RATE_FACTOR = 1.5
COLD_BURST = 5
CAUSES_SHOWN = 5
CUT_SETTLING_S = 2.0
"""Time after the start of a cut from which on callers of the node are owed service."""
CUT_RETURN_S = 5.0
"""Time after the end of a cut in which the node may still use other nodes' links."""
MIN_CUT_SHARE = 2 / 3
CUT_FAILURES = 10
CUT_FAILURE_SHARE = 1 / 50
"""At nodes that are cut from all replicas, attempts are served at least this share as
often as at the others, unless no more than these fail there."""

_LINE_END = rb"(?>\r\n|\n|\r)"
_EVENT_PATTERN = re.compile(
    rb"id: (\d+)" + _LINE_END + rb"data: token (\d+) ([0-9a-f]+)" + _LINE_END * 2
)


@dataclass(frozen=True)
class RunRecord:
    """Observations of one run.

    Parameters
    ----------
    attempts : list of Attempt
        Attempts as callers observed them.
    replicas : list of RecordingReplica
        Replicas with their records.
    faults : FaultInjector
        Disturbances and their times.
    own_exits : list of str
        Unexpected exits of processes.
    calm_s : float
        Time from which on every attempt must succeed.
    quarantined : list of frozenset of bytes
        Sets of parts that are in quarantine at the end.
    quarantined_requests : int
        Number of requests that were ever in quarantine, as far as the store tells.
    """

    attempts: list
    replicas: list
    faults: object
    own_exits: list
    calm_s: float
    quarantined: list = field(default_factory=list)
    quarantined_requests: int = 0

    def is_disturbed(self, what, from_s, to_s, *, kinds=None):
        """Return whether a component was disturbed at any time within a period."""
        return any(
            one.what == what and one.from_s <= to_s and one.to_s >= from_s
            for one in self.faults.disturbances
            if kinds is None or one.kind in kinds
        )

    def time_bounds_apply(self, attempt, replica, at_s):
        """Return whether time bounds apply to a request that was sent to a replica.

        They do if the node, the replica and the store weren't disturbed shortly before.
        """
        since_s = min(at_s, attempt.started_s) - DISTURBANCE_MARGIN_S
        places = (f"node {attempt.node}", f"replica {replica.name}", "store")
        return not any(self.is_disturbed(place, since_s, at_s) for place in places)

    def is_excused_by_cut(self, attempt):
        """Return whether a cut of its node's links may have ended an attempt.

        Some time after the start of the cut, and until the node uses its own links
        again, other nodes carry its connections. They fail if those nodes are disturbed
        or lose their own links.
        """
        cuts = [
            cut
            for cut in self.faults.cuts
            if cut.node == attempt.node
            and cut.from_s <= attempt.ended_s
            and cut.to_s + CUT_RETURN_S >= attempt.started_s
        ]
        if not cuts:
            return False
        since_s = attempt.started_s - DISTURBANCE_MARGIN_S
        return (
            any(attempt.started_s < cut.from_s + CUT_SETTLING_S for cut in cuts)
            or any(
                one.what.startswith("node ")
                and one.from_s <= attempt.ended_s
                and one.to_s >= since_s
                for one in self.faults.disturbances
            )
            or any(
                attempt.started_s - SLACK_S <= other.from_s <= attempt.ended_s
                for other in self.faults.cuts
                if other.node != attempt.node
            )
        )


def find_violations(record):
    """Yield one line for each violated guarantee."""
    for check in (
        check_responses, check_executions, check_deadlines, check_forwarding,
        check_cancellation, check_cold_rate, check_unanswered,
        check_interrupted_streams, check_reservations, check_recovery,
        check_limits, check_rests, check_leaving, check_cut_nodes,
        check_crashing_part, check_fatal_requests, check_quarantines, check_bursts,
    ):  # fmt: skip
        yield from check(record)
    for line in record.own_exits:
        yield f"EXIT {line}"


def check_responses(record):
    """Check that each response is intact and belongs to its caller."""
    for attempt in record.attempts:
        if attempt.status != 200 or attempt.kind == "leave":
            continue
        headers = dict(attempt.headers)
        if headers.get("lycheetide-attempt-id") != attempt.id:
            yield f"MIXED {attempt.id} received the response to another attempt"
        if headers.get("lycheetide-response-seal") != RESPONSE_SEAL:
            yield f"MIXED {attempt.id} received a response without its replica's seal"
        if attempt.kind in SILENCE_TIMEOUT_S or attempt.kind == "bad":
            yield from _check_stream(attempt)
        elif attempt.is_complete and not attempt.body.endswith(attempt.id.encode()):
            yield f"MIXED {attempt.id} received {attempt.body[:60]!r}"


def _check_stream(attempt):
    """Check that the events belong to this attempt, in order, with none missing."""
    events = _EVENT_PATTERN.findall(attempt.body)
    numbers = [int(number) for number, _, _ in events]
    if numbers != list(range(1, len(numbers) + 1)):
        yield f"ORDER {attempt.id} received events {numbers}"
    if any(owner.decode() != attempt.id for _, _, owner in events):
        yield f"MIXED {attempt.id} received events of another attempt"
    wanted = PATIENT_STREAM_EVENTS if attempt.kind == "patient" else STREAM_EVENTS
    if attempt.is_complete and len(numbers) != wanted:
        yield f"ORDER {attempt.id} ended without an error after {len(numbers)} events"


def check_executions(record):
    """Check that no non-idempotent call runs twice and no refused call runs."""
    runs = Counter(run for replica in record.replicas for run in replica.runs)
    for attempt in record.attempts:
        ran = runs[attempt.id]
        if attempt.kind in NON_IDEMPOTENT_KINDS and ran > 1:
            yield f"TWICE {attempt.kind} {attempt.id} ran {ran} times"
        if attempt.status in NOT_EXECUTED_STATUSES and ran:
            yield (
                f"REFUSED {attempt.kind} {attempt.id} ran despite status"
                f" {attempt.status}"
            )
    known = {attempt.id for attempt in record.attempts}
    unrequested = [run for run in runs if run not in known]
    # Attempts that were cancelled at the end of the run have no record.
    if len(unrequested) > 2 * 24:
        yield f"UNASKED {len(unrequested)} runs without a recorded attempt"


def check_deadlines(record):
    """Check that each attempt ends by its deadline unless its node was disturbed."""
    for attempt in record.attempts:
        took_s = attempt.ended_s - attempt.started_s
        node = f"node {attempt.node}"
        if took_s > find_deadline_s(attempt.kind) + SLACK_S and not record.is_disturbed(
            node, attempt.started_s - SLACK_S, attempt.ended_s
        ):
            yield f"LATE {attempt.kind} {attempt.id} took {took_s:.1f} s"


def check_forwarding(record):
    """Check that nothing uses a drained or evacuated replica or a revoked key."""
    attempts = {attempt.id: attempt for attempt in record.attempts}
    for index, replica in enumerate(record.replicas):
        domain = FAILURE_DOMAINS[index % len(FAILURE_DOMAINS)]
        for at_s, attempt_id, _ in replica.arrivals:
            attempt = attempts.get(attempt_id)
            if attempt is None or not record.time_bounds_apply(attempt, replica, at_s):
                continue
            for rule in _find_broken_rules(record, replica, domain, attempt, at_s):
                yield f"{rule} {attempt.kind} {attempt_id} by {attempt.node}"


def _find_broken_rules(record, replica, domain, attempt, at_s):
    """Yield the rules that the arrival of a request breaks."""
    faults = record.faults
    for name, from_s, to_s in faults.drained:
        if name == replica.name and from_s + DRAIN_LIMIT_S + SLACK_S < at_s < to_s:
            yield "DRAIN"
    for closed, from_s, to_s in faults.closed:
        if closed == domain and from_s + EVACUATION_LIMIT_S < at_s < to_s:
            yield "EVAC"
    taken_s = faults.revoked[0] if faults.revoked else float("inf")
    if (
        attempt.kind == "second_key"
        and attempt.started_s > taken_s + CONFIG_LIMIT_S + SLACK_S
    ):
        yield "CONFIG"


def check_cancellation(record):
    """Check that work ends soon after its caller has left."""
    ends = defaultdict(list)
    for replica in record.replicas:
        for attempt_id, end_s in replica.ends.items():
            ends[attempt_id].append((replica, end_s))
    for attempt in record.attempts:
        if attempt.kind != "leave" or attempt.is_complete:
            continue
        if record.is_excused_by_cut(attempt):
            continue
        for replica, end_s in ends[attempt.id]:
            late_s = end_s - attempt.ended_s
            if late_s > CANCEL_LIMIT_S + SLACK_S / 2 and record.time_bounds_apply(
                attempt, replica, end_s
            ):
                yield f"GONE {attempt.id} ran for {late_s:.2f} s after its caller left"


def check_cold_rate(record):
    """Check that all nodes together stay within the rate limit of a cold replica."""
    max_requests = COLD_PER_S * COLD_RATE_FACTOR + COLD_BURST
    for replica in record.replicas:
        times = [at_s for at_s, _, _ in replica.arrivals]
        for from_s, to_s in replica.cold:
            if record.is_disturbed(f"replica {replica.name}", from_s - 1.0, to_s):
                continue
            inside = times[bisect_left(times, from_s) : bisect_right(times, to_s)]
            for place, at_s in enumerate(inside):
                count = bisect_right(inside, at_s + 1.0) - place
                if count > max_requests:
                    yield (
                        f"FAILBACK {replica.name} received {count} requests in one"
                        " second while cold"
                    )
                    break


def check_unanswered(record):
    """Check that each forwarded request is answered, also during a graceful stop."""
    forwarded = find_forwarded(record)
    for attempt in record.attempts:
        if attempt.status or attempt.kind in UNOWED_KINDS:
            continue
        if attempt.id not in forwarded:
            continue
        if record.is_excused_by_cut(attempt):
            continue
        replica = forwarded[attempt.id][-1][1]
        if attempt.gave_up and _met_silence_or_disturbance(
            record, attempt, forwarded[attempt.id]
        ):
            continue
        since_s = attempt.started_s - DISTURBANCE_MARGIN_S
        if not any(
            record.is_disturbed(what, since_s, attempt.ended_s)
            for what in (f"node {attempt.node}", f"replica {replica.name}")
        ):
            yield (
                f"LOST {attempt.kind} {attempt.id} at {attempt.node}:"
                f" {attempt.error_text}"
            )


def find_forwarded(record):
    """Return the arrival times and replicas of each attempt id, in order."""
    forwarded = defaultdict(list)
    for replica in record.replicas:
        for at_s, attempt_id, _ in replica.arrivals:
            forwarded[attempt_id].append((at_s, replica))
    return {
        attempt_id: sorted(rows, key=lambda row: row[0])
        for attempt_id, rows in forwarded.items()
    }


def _met_silence_or_disturbance(record, attempt, forwarded):
    """Return whether a replica that an attempt reached was silent or disturbed."""
    since_s = attempt.started_s - DISTURBANCE_MARGIN_S
    return any(
        record.is_disturbed(f"replica {replica.name}", since_s, attempt.ended_s)
        or any(
            from_s <= attempt.ended_s and to_s >= attempt.started_s
            for from_s, to_s in replica.quiet
        )
        for _, replica in forwarded
    )


def check_interrupted_streams(record):
    """Check that a node doesn't abort a stream whose replica is healthy but slow.

    A prompt that is shared by several replicas needs all of them. A stream that hasn't
    started may be aborted if nodes have no recent sign of life from its replica.
    """
    forwarded = find_forwarded(record)
    for attempt in record.attempts:
        if not _was_interrupted(attempt) or attempt.id not in forwarded:
            continue
        if record.is_excused_by_cut(attempt):
            continue
        at_s, last = forwarded[attempt.id][-1]
        needed = record.replicas if attempt.kind == "huge" else [last]
        spans = [(f"node {attempt.node}", attempt.started_s - DISTURBANCE_MARGIN_S)]
        spans += [(f"replica {one.name}", at_s - SLACK_S) for one in needed]
        if any(record.is_disturbed(what, since_s, attempt.ended_s)
               for what, since_s in spans):  # fmt: skip
            continue
        if _may_have_failed_elsewhere(record, attempt, last):
            continue
        if attempt.status != 200 and not _is_known_alive(record, attempt, last):
            continue
        names = ", ".join(replica.name for _, replica in forwarded[attempt.id])
        yield (
            f"CUT {attempt.kind} {attempt.id} at {attempt.node}: status"
            f" {attempt.status}, {len(_EVENT_PATTERN.findall(attempt.body))} events,"
            f" after {attempt.ended_s - attempt.started_s:.2f} s,"
            f" {attempt.silent_s:.2f} s of silence, by {names}; {attempt.error_text}"
        )


def _was_interrupted(attempt):
    """Return whether a node ended a stream before a time limit of its caller."""
    silence_timeout_s = SILENCE_TIMEOUT_S.get(attempt.kind)
    if silence_timeout_s is None or attempt.gave_up:
        return False
    if attempt.silent_s > silence_timeout_s - MIN_RETRY_TIME_S:
        return False
    took_s = attempt.ended_s - attempt.started_s
    if took_s > find_deadline_s(attempt.kind) - MIN_RETRY_TIME_S:
        return False
    is_truncated = attempt.status == 200 and not attempt.is_complete
    return is_truncated or attempt.status in FAILED_ATTEMPT_STATUSES


def _is_known_alive(record, attempt, replica):
    """Return whether all nodes must have known at its end that a replica was alive.

    Each node tells the others from which replicas it receives data.
    """
    since_s = attempt.ended_s - ALIVE_WINDOW_S
    nodes = {one.what for one in record.faults.disturbances if "node " in one.what}
    if any(
        record.is_disturbed(node, since_s - SLACK_S, attempt.ended_s) for node in nodes
    ):
        return False
    return any(since_s <= at_s <= attempt.ended_s for at_s in replica.written_s)


def _may_have_failed_elsewhere(record, attempt, last):
    """Return whether an attempt may have failed on its way to another replica."""
    left_s = last.ends.get(attempt.id, attempt.ended_s) - CLOSE_DETECTION_S
    failed_at_once = attempt.ended_s - left_s <= MIN_RETRY_TIME_S
    return any(
        record.is_disturbed(
            f"replica {replica.name}",
            left_s,
            attempt.ended_s,
            kinds=IMMEDIATE_FAILURE_KINDS if failed_at_once else None,
        )
        for replica in record.replicas
        if replica is not last
    )


def check_reservations(record):
    """Check that no memory is reserved after the last request."""
    for replica in record.replicas:
        if replica.held():
            yield f"LEAK {replica.name} still holds reservations {replica.held()}"


def check_recovery(record):
    """Check that every attempt succeeds some time after the last disturbance."""
    revoked = bool(record.faults.revoked)
    for attempt in record.attempts:
        if attempt.started_s < record.calm_s or attempt.kind in UNOWED_KINDS:
            continue
        wanted = 401 if revoked and attempt.kind == "second_key" else 200
        if attempt.status != wanted or not attempt.is_complete:
            yield (
                f"RECOVER {attempt.kind} {attempt.id} at {attempt.node}: "
                f"status {attempt.status} {attempt.error_text}"
            )


def check_cut_nodes(record):
    """Check that callers of nodes that reach no replica are served like the others.

    Counted are attempts from some time after the start of a cut on, at nodes and in
    times without any other disturbance of them or of the store.
    """
    served = {True: [], False: []}
    for attempt in record.attempts:
        if attempt.kind in ("leave", "second_key"):
            continue
        begun = [
            cut
            for cut in record.faults.cuts
            if cut.is_from_all
            and cut.from_s + CUT_SETTLING_S < attempt.started_s < cut.to_s
        ]
        since_s = attempt.started_s - DISTURBANCE_MARGIN_S
        is_disturbed = any(
            record.is_disturbed(what, since_s, attempt.ended_s)
            for what in (f"node {attempt.node}", "store")
        )
        if not begun or is_disturbed or not _has_sound_node(record, attempt, since_s):
            continue
        is_cut = any(cut.node == attempt.node for cut in begun)
        served[is_cut].append(attempt.is_successful)
    failures = served[True].count(False)
    allowed = CUT_FAILURES + CUT_FAILURE_SHARE * len(served[True] + served[False])
    if not all(served.values()) or failures <= allowed:
        return
    cut_share, other_share = (
        sum(served[is_cut]) / len(served[is_cut]) for is_cut in (True, False)
    )
    if cut_share < MIN_CUT_SHARE * other_share:
        yield (
            f"RECOVER nodes without links served {sum(served[True])} of"
            f" {len(served[True])} attempts, the others {sum(served[False])} of"
            f" {len(served[False])}"
        )


def _has_sound_node(record, attempt, since_s):
    """Return whether some node had its links and no disturbance during an attempt."""
    hit = {
        one.what.removeprefix("node ")
        for one in record.faults.disturbances
        if one.from_s <= attempt.ended_s and one.to_s >= since_s
    } | {
        cut.node
        for cut in record.faults.cuts
        if cut.from_s <= attempt.ended_s and cut.to_s >= since_s
    }
    return bool({name for name, _ in record.faults.starts} - hit)
