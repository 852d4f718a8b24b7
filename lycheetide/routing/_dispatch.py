"""Final check immediately before a request is sent to an upstream.

After a replica has been chosen, the node may be paused or cut off from the network, so
that its configuration becomes out of date. A failure domain that operators have taken
out, or an upstream that is leaving, would then still be sent new requests. The choice
is therefore checked again at the time of sending.
"""

from lycheetide.fleet import takes_new_work
from lycheetide.outcomes import NotRunError, Reason


def is_fresh(*, log_read_started_s, majority_heard, now_s, within_s):
    """Return whether a node can know the configuration that is in force.

    Parameters
    ----------
    log_read_started_s : float
        Time at which the latest answered read of the log was sent, in seconds.
    majority_heard : bool
        Whether the node recently heard from a majority of the view's members.
    now_s : float
        Current time, in seconds.
    within_s : float
        Maximum age of the latest answered read, in seconds.

    Returns
    -------
    bool
        An outage of the log alone doesn't make it False: nothing can be published
        during the outage, and earlier changes are learned from the other members.
    """
    return majority_heard or now_s - log_read_started_s <= within_s


def check_dispatch(fleet, replicas, *, fresh, permit_asked_s, now_s, permit_use_s):
    """Return whether a request may be sent with its permit.

    Parameters
    ----------
    fleet : Fleet
        Configuration in force.
    replicas : iterable of str
        Replicas that the request would be sent to.
    fresh : bool
        Result of ``is_fresh``.
    permit_asked_s : float
        Time at which the call that returned the permit was sent, in seconds.
    now_s : float
        Current time, in seconds.
    permit_use_s : float
        Maximum age of a permit when it is used, in seconds.

    Returns
    -------
    bool
        False if the permit is too old, or if one of the replicas no longer takes new
        requests. The permit has to be returned then, and another one requested.

    Raises
    ------
    NotRunError
        If this node can't know the configuration in force.
    """
    if not fresh:
        raise NotRunError(
            Reason.NOT_FRESH,
            "this node hears neither the log nor its peers",
            retry_after_s=1.0,
        )
    if now_s - permit_asked_s > permit_use_s:
        return False
    return all(
        takes_new_work(fleet.upstreams.get(name), fleet.failure_domains)
        for name in replicas
    )
