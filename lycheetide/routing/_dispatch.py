"""The last look before a request is sent to an upstream.

Between the choice of a replica and the sending, a node may have been frozen, or cut
off, and its configuration grown old. If it then sent, a failure domain that operators
have taken out, or an upstream that leaves, would get new work long after it should
not. So the choice is checked again at the very moment of sending.
"""

from lycheetide.fleet import takes_new_work
from lycheetide.outcomes import NotRun, Reason


def is_fresh(*, log_asked_s, majority_heard, now_s, within_s):
    """Tell whether a node can know the configuration that is in force.

    Parameters
    ----------
    log_asked_s : float
        When the last read of the log that was answered had been sent.
    majority_heard : bool
        Whether most members of the view were heard lately.
    now_s, within_s : float
        The present time, and how old knowledge may be.

    Returns
    -------
    bool
        An outage of the log alone leaves it true, since during one nobody can
        publish, and what was published before is heard from the others.
    """
    return majority_heard or now_s - log_asked_s <= within_s


def check_dispatch(fleet, replicas, *, fresh, permit_asked_s, now_s, permit_use_s):
    """Refuse to send if the ground for it may be gone.

    Parameters
    ----------
    fleet : Fleet
        The configuration in force.
    replicas : iterable of str
        Where the request would go.
    fresh : bool
        As ``is_fresh`` tells.
    permit_asked_s : float
        When the call that brought the permit was sent.
    now_s, permit_use_s : float
        The present time, and how old a permit may be when it is used.

    Returns
    -------
    bool
        False if the permit is to be given back and another one asked for.

    Raises
    ------
    NotRun
        If this node can't know the configuration.
    """
    if not fresh:
        raise NotRun(
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
