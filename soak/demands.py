"""Checks that nodes heed what replicas say of themselves in their answers."""

from bisect import bisect_left
from dataclasses import dataclass

LIMIT_WINDOW_S = 4.0
LIMIT_SETTLING_S = 3.0
"""Time after which a limit that a replica first named binds the nodes."""
LIMIT_FACTOR = 1.5
LIMIT_BURST = 5
TOLD_S = 0.5
"""Time after which an answer, or a refusal, binds the node that received it."""
MAX_REQUESTS_IN_REST = 2
DRAIN_LIMIT_S = 2.0
SLACK_S = 1.0
"""Tolerance for delays of this process, as in ``soak.checks``."""


@dataclass(frozen=True)
class Demand:
    """A period in which a replica says something of itself in all its answers.

    Parameters
    ----------
    replica : str
        Name of the replica.
    from_s, to_s : float
        Start and end of the period.
    limit_per_s : float or None
        Limit that it names; None if the demand is another one.
    """

    replica: str
    from_s: float
    to_s: float
    limit_per_s: float | None = None


@dataclass(frozen=True)
class Turned:
    """A request that a replica turned away with a request for rest.

    Parameters
    ----------
    at_s : float
        Time of the refusal.
    attempt : str
        Id of the attempt.
    rest_s : float
        Time for which the replica wants nothing from the node.
    """

    at_s: float
    attempt: str
    rest_s: float


def check_limits(record):
    """Check that told nodes together keep to the limits that replicas name."""
    for demand in record.faults.limits:
        replica = find_replica(record, demand)
        if record.is_disturbed(
            f"replica {replica.name}", demand.from_s - SLACK_S, demand.to_s
        ):
            continue
        told_s = find_told_s(record, demand, "server-limit")
        times = [
            at_s
            for at_s, node in list_arrivals(record, replica)
            if demand.from_s + LIMIT_SETTLING_S <= at_s <= demand.to_s
            and told_s.get(node, float("inf")) + TOLD_S <= at_s
            and not was_interrupted(record, node, demand.from_s, at_s)
        ]
        allowed = LIMIT_FACTOR * LIMIT_WINDOW_S * demand.limit_per_s + LIMIT_BURST
        counts = [
            bisect_left(times, at_s + LIMIT_WINDOW_S) - place
            for place, at_s in enumerate(times)
        ]
        if max(counts, default=0) > allowed:
            yield (
                f"LIMIT {replica.name} named {demand.limit_per_s} a second and received"
                f" {max(counts)} requests in {LIMIT_WINDOW_S} s"
            )


def check_rests(record):
    """Check that a node leaves a replica alone for the rest that it asked for."""
    nodes = {attempt.id: attempt.node for attempt in record.attempts}
    for replica in record.replicas:
        arrivals = list_arrivals(record, replica)
        for turned in replica.turned:
            node = nodes.get(turned.attempt)
            ends_s = turned.at_s + turned.rest_s
            count = sum(
                turned.at_s + TOLD_S + SLACK_S < at_s < ends_s
                for at_s, sender in arrivals
                if sender == node
            )
            is_excused = record.is_disturbed(
                f"replica {replica.name}", turned.at_s - SLACK_S, ends_s
            ) or was_interrupted(record, node, turned.at_s - SLACK_S, ends_s)
            if count > MAX_REQUESTS_IN_REST and not is_excused:
                yield (
                    f"BUDGET {replica.name} asked {node} for {turned.rest_s} s of rest"
                    f" and received {count} requests from it"
                )


def check_leaving(record):
    """Check that told nodes send nothing more to a replica that leaves."""
    attempts = {attempt.id: attempt for attempt in record.attempts}
    for demand in record.faults.left:
        replica = find_replica(record, demand)
        if record.is_disturbed(
            f"replica {replica.name}", demand.from_s - SLACK_S, demand.to_s
        ):
            continue
        told_s = find_told_s(record, demand, "server-leaving")
        for at_s, attempt_id, _ in replica.arrivals:
            attempt = attempts.get(attempt_id)
            if attempt is None or not demand.from_s <= at_s <= demand.to_s:
                continue
            bound_s = told_s.get(attempt.node, float("inf")) + DRAIN_LIMIT_S
            if attempt.started_s > bound_s and not was_interrupted(
                record, attempt.node, demand.from_s, at_s
            ):
                yield f"DRAIN {attempt.kind} {attempt.id} by {attempt.node}: was told"


def find_replica(record, demand):
    """Return the replica that a demand belongs to."""
    return next(one for one in record.replicas if one.name == demand.replica)


def list_arrivals(record, replica):
    """Return the times of a replica's requests, each with the node that sent it."""
    nodes = {attempt.id: attempt.node for attempt in record.attempts}
    return [
        (at_s, nodes[attempt_id])
        for at_s, attempt_id, _ in replica.arrivals
        if attempt_id in nodes
    ]


def find_told_s(record, demand, header):
    """Return when each node had first passed on an answer with a header.

    Returns
    -------
    dict of str to float
        Time by the name of the node.
    """
    arrived = {
        attempt_id
        for at_s, attempt_id, _ in find_replica(record, demand).arrivals
        if demand.from_s <= at_s <= demand.to_s
    }
    told_s: dict[str, float] = {}
    for attempt in record.attempts:
        if attempt.id in arrived and header in dict(attempt.headers):
            earlier_s = told_s.get(attempt.node, float("inf"))
            told_s[attempt.node] = min(earlier_s, attempt.ended_s)
    return told_s


def was_interrupted(record, node, from_s, to_s):
    """Return whether a node was disturbed, or started, within a period."""
    return record.is_disturbed(f"node {node}", from_s, to_s) or any(
        name == node and from_s <= at_s <= to_s for name, at_s in record.faults.starts
    )
