"""Checks of requests that crash replicas, and of bursts of connections at one node."""

from collections import defaultdict

from lycheetide.quarantine import hash_part
from soak.callers import BAD_PART, name_fatal_request

CRASHES = 5
CONTACT_S = 3.0
MAX_LATE_REQUESTS = 3
MAX_ENDS = 3
"""Replicas that may end under one request before it is kept from all others."""
BURST_SETTLING_S = 3.0
"""Time after the start of a burst from which on its node is held to its rate."""
MIN_BURST_SHARE = 0.75
MIN_BURST_ATTEMPTS = 20
DISTURBANCE_MARGIN_S = 3.0
SERVICE = "models"


def check_crashing_part(record):
    """Check that few requests with the part reach replicas after the fifth crash.

    Counted are those of nodes that weren't disturbed shortly before.
    """
    crashes = sorted(at_s for one in record.replicas for at_s in one.crash_times)
    if len(crashes) < CRASHES:
        return
    since_s = crashes[CRASHES - 1] + CONTACT_S
    bad = {one.id: one for one in record.attempts if one.kind == "bad"}
    late = [
        attempt
        for replica in record.replicas
        for at_s, attempt, _ in replica.arrivals
        if attempt in bad
        and at_s > since_s
        and not any(
            record.is_disturbed(what, at_s - DISTURBANCE_MARGIN_S, at_s)
            for what in (f"node {bad[attempt].node}", "store")
        )
    ]
    if len(late) > MAX_LATE_REQUESTS:
        yield (
            f"BUDGET {len(late)} requests with a part that crashes replicas reached"
            f" them {CONTACT_S} s after the fifth crash; {len(crashes)} crashed"
        )


def check_fatal_requests(record):
    """Check that no request reaches a replica after three have ended under it.

    Not counted are requests of which any try met a disturbed node: what that node knew
    may be lost, or may not have reached it.
    """
    tries = defaultdict(list)
    for attempt in record.attempts:
        if attempt.kind == "fatal":
            tries[name_fatal_request(attempt.id)].append(attempt)
    ends, arrivals = defaultdict(list), defaultdict(list)
    for replica in record.replicas:
        for at_s, attempt in replica.crash_causes:
            ends[name_fatal_request(attempt)].append(at_s)
        for at_s, attempt, _ in replica.arrivals:
            arrivals[name_fatal_request(attempt)].append(at_s)
    for content, attempts in tries.items():
        if len(ends[content]) < MAX_ENDS or any(
            is_disturbed(record, one, node=one.node) for one in attempts
        ):
            continue
        last_s = sorted(ends[content])[MAX_ENDS - 1]
        late = sum(at_s > last_s for at_s in arrivals[content])
        if late:
            yield (
                f"BUDGET request {content} reached replicas {late} times after"
                f" {MAX_ENDS} had ended under it; {len(ends[content])} ended"
            )


def check_quarantines(record):
    """Check that no sound part and no sound request is in quarantine.

    The request of a prompt with the crashing part may be.
    """
    ended = {
        name_fatal_request(attempt)
        for replica in record.replicas
        for _, attempt in replica.crash_causes
    }
    bad_prompts = sum(one.kind == "bad" for one in record.attempts)
    requests = record.quarantined_requests
    if requests > len(ended) + bad_prompts:
        yield f"BLAMED {requests} requests, of which only {len(ended)} ended replicas"
    bad = hash_part(SERVICE, BAD_PART)
    for parts in record.quarantined:
        if bad not in parts:
            yield f"BLAMED sound parts {sorted(part.hex() for part in parts)}"


def check_bursts(record):
    """Check that a node serves what it reads while most connections go to it.

    Compared with its first seconds are the later ones; attempts whose connection was
    closed before they were read don't count. Counted are those without a disturbance
    shortly before.
    """
    for burst in record.faults.bursts:
        attempts = [
            one
            for one in record.attempts
            if one.node == burst.node
            and one.status
            and one.kind not in ("bad", "leave", "second_key")
            and not is_disturbed(record, one)
        ]
        settled_s = burst.from_s + BURST_SETTLING_S
        during = [one for one in attempts if settled_s < one.started_s < burst.to_s]
        before = [
            one
            for one in attempts
            if burst.from_s - BURST_SETTLING_S < one.started_s < burst.from_s
        ]
        if min(len(during), len(before)) < MIN_BURST_ATTEMPTS:
            continue
        shares = [
            sum(one.is_successful for one in some) / len(some)
            for some in (before, during)
        ]
        if shares[1] < MIN_BURST_SHARE * shares[0]:
            yield (
                f"RECOVER {burst.node} served {shares[1]:.2f} of {len(during)} attempts"
                f" in a burst of connections, {shares[0]:.2f} before"
            )


def is_disturbed(record, attempt, *, node=None):
    """Return whether anything was disturbed shortly before or during an attempt.

    Parameters
    ----------
    record : RunRecord
        The observations.
    attempt : Attempt
        The attempt.
    node : str or None
        Name of a node; disturbances of other nodes, and of replicas, don't count then.
    """
    since_s = attempt.started_s - DISTURBANCE_MARGIN_S
    return any(
        one.from_s <= attempt.ended_s
        and one.to_s >= since_s
        and (node is None or one.what in (f"node {node}", "store"))
        for one in record.faults.disturbances
    )
