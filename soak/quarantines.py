"""Checks of prompts that crash replicas, and of bursts of connections at one node."""

from lycheetide.quarantine import hash_part
from soak.callers import BAD_PART

CRASHES = 5
CONTACT_S = 3.0
MAX_LATE_REQUESTS = 3
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


def check_quarantines(record):
    """Check that no sound part is in quarantine."""
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


def is_disturbed(record, attempt):
    """Return whether anything was disturbed shortly before or during an attempt."""
    since_s = attempt.started_s - DISTURBANCE_MARGIN_S
    return any(
        one.from_s <= attempt.ended_s and one.to_s >= since_s
        for one in record.faults.disturbances
    )
