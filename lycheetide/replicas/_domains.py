"""Tell a failure domain that went dark from replicas that fail one by one."""

from collections import defaultdict
from collections.abc import Callable, Iterable

from lycheetide.replicas._table import Replica

TROUBLED_MOST = 2
"""Replicas of one failure domain that fail together before it counts as dark."""
TOGETHER_S = 1.5
"""They fail together within this time; a dark domain is tried again after it."""
DARK_SHARE = 0.5
"""Part of the replicas up to which domains may count as dark at once. Where more seem
to be, this node is the one that is cut off, and leaving them out would serve nobody."""


def drop_dark_domains(
    replicas: Iterable[Replica],
    *,
    troubled_s: Callable[[str], float],
    answered_s: Callable[[str], float],
    now_s: float,
):
    """Return the replicas whose failure domain isn't dark.

    Replicas of a domain that lost power refuse connections or fall silent one after the
    other. Each request that finds out for itself uses up an attempt, and soon all of
    them. So two that fail together, while none of the same domain answers any more,
    speak for the whole domain.

    Parameters
    ----------
    replicas : iterable of Replica
        Those that may be used.
    troubled_s : callable
        When a replica last failed, by its id; -inf for never.
    answered_s : callable
        When this node last heard it; -inf for never.
    now_s : float
        The present time.

    Returns
    -------
    list of Replica
    """
    replicas = list(replicas)
    domains = defaultdict(list)
    for replica in replicas:
        domains[replica.entry.failure_domain].append(replica.entry.id)
    dark = {
        domain
        for domain, ids in domains.items()
        if _is_dark(ids, troubled_s, answered_s, now_s=now_s)
    }
    left = [one for one in replicas if one.entry.failure_domain not in dark]
    if len(left) < (1.0 - DARK_SHARE) * len(replicas):
        return replicas
    return left


def _is_dark(ids, troubled_s, answered_s, *, now_s):
    """Tell whether the replicas of a failure domain failed together."""
    failed_s = [at_s for at_s in map(troubled_s, ids) if now_s - at_s < TOGETHER_S]
    if len(failed_s) < TROUBLED_MOST:
        return False
    return max(map(answered_s, ids)) < max(failed_s)
