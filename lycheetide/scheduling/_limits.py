"""Limits on the number of requests that a replica may be granted."""

from lycheetide.charts import load_chart

CHART = load_chart("upstream")


def count_open_slots(replica, permits, *, met, is_settled):
    """Return how many more requests a replica may be granted.

    Parameters
    ----------
    replica : ReplicaState
        The replica.
    permits : sequence of Permit
        The permits in force for it.
    met : set of str
        Ids of the permits whose requests its current process is known to have accepted.
    is_settled : bool
        Whether no earlier owner can grant permits any more.

    Returns
    -------
    int
        At least 0.

    Notes
    -----
    An upstream may restart on the same address unnoticed. Until its current process is
    known to have accepted a request, that request may still arrive at a cold engine,
    because its entry node may have stalled before using the permit. So at most the cold
    limit, less one, of the granted requests may be unconfirmed. The one held back is
    for the next owner, who may grant it before the earlier owner's lease has expired.
    Without this limit, engines that restart under load would be overloaded and crash.
    """
    if not replica.is_open or CHART.has_flag(replica.phase, "closed"):
        return 0
    cold_limit = replica.upstream.cold_limit_requests
    in_flight = _count_in_flight(replica, permits)
    unconfirmed = _count_unconfirmed(permits, met)
    if not is_settled:
        if CHART.has_flag(replica.phase, "limited") or cold_limit < 2:
            return 0
        return max(0, min(replica.ramp_limit - in_flight, 1 - unconfirmed))
    if CHART.has_flag(replica.phase, "limited"):
        return max(0, cold_limit - in_flight)
    max_unconfirmed = max(1, cold_limit - 1)
    return max(0, min(replica.ramp_limit - in_flight, max_unconfirmed - unconfirmed))


def needs_confirmation(replica, permits, *, met):
    """Tell whether a replica can be granted more only after a confirmation.

    That is a fresh load report, or the confirmation that its current process has
    accepted the requests granted before.
    """
    if not replica.is_open:
        return False
    if CHART.has_flag(replica.phase, "unknown"):
        return True
    if CHART.has_flag(replica.phase, "closed"):
        return False
    max_unconfirmed = max(1, replica.upstream.cold_limit_requests - 1)
    return _count_unconfirmed(permits, met) >= max_unconfirmed


def _count_unconfirmed(permits, met):
    """Count the permits whose requests aren't known to be accepted by a replica."""
    return sum(permit.permit_id not in met for permit in permits)


def _count_in_flight(replica, permits):
    """Count the requests in progress: those granted, or more if reported."""
    granted_since = sum(permit.granted_s >= replica.report.at_s for permit in permits)
    return max(len(permits), replica.report.running + granted_since)
