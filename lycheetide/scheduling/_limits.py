"""How many requests a replica bears at this moment."""

from lycheetide.charts import load_chart

CHART = load_chart("upstream")


def count_open_slots(replica, permits, *, met, is_settled):
    """Return how many more requests a replica may be granted.

    Parameters
    ----------
    replica : Replica
        What is known of it.
    permits : sequence of Permit
        Those in force for it.
    met : set of str
        Permits whose requests are known to have met its present life.
    is_settled : bool
        Whether no earlier owner can still grant.

    Returns
    -------
    int
        Never less than 0.

    Notes
    -----
    An upstream may restart on its address without a word. Until the present life is
    known to have taken a request, the request may still meet a cold engine: its entry
    node may stand still with the permit in its hands. So never more than the cold
    limit, less one, is granted ahead of such proof. The one kept back is for the next
    owner, who may grant it before the earlier owner's time has run out. Operators would
    notice the lack of this by engines that fall over on restarting under load.
    """
    if not replica.is_open or CHART.has(replica.phase, "closed"):
        return 0
    cold_limit = replica.upstream.cold_limit_requests
    in_flight = _count_in_flight(replica, permits)
    ahead = _count_ahead(permits, met)
    if not is_settled:
        if CHART.has(replica.phase, "limited") or cold_limit < 2:
            return 0
        return max(0, min(replica.ramp_limit - in_flight, 1 - ahead))
    if CHART.has(replica.phase, "limited"):
        return max(0, cold_limit - in_flight)
    allowed_ahead = max(1, cold_limit - 1)
    return max(0, min(replica.ramp_limit - in_flight, allowed_ahead - ahead))


def needs_proof(replica, permits, *, met):
    """Tell whether only a fresh report keeps the replica from taking more."""
    if not replica.is_open:
        return False
    if CHART.has(replica.phase, "unknown"):
        return True
    if CHART.has(replica.phase, "closed"):
        return False
    allowed_ahead = max(1, replica.upstream.cold_limit_requests - 1)
    return _count_ahead(permits, met) >= allowed_ahead


def _count_ahead(permits, met):
    """Count the grants that aren't known to have met a replica's present life."""
    return sum(permit.permit_id not in met for permit in permits)


def _count_in_flight(replica, permits):
    """Count the requests there: those granted, or more if the upstream says so."""
    since = sum(permit.granted_s >= replica.report.at_s for permit in permits)
    return max(len(permits), replica.report.running + since)
