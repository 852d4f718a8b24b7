"""Detection of failure domains that have failed as a whole."""

from collections import defaultdict
from collections.abc import Callable, Iterable

from lycheetide.replicas._table import Replica

MIN_FAILED_REPLICAS = 2
"""A failure domain counts as failed once this many of its replicas fail together."""
FAILURE_WINDOW_S = 1.5
"""Failures within this time count as joint; a failed domain is retried after it."""
MAX_FAILED_SHARE = 0.5
"""Maximum share of all replicas that may be excluded as part of failed domains.

If more seem to have failed, this node itself is probably cut off, and excluding them
would only make it refuse requests.
"""


def exclude_failed_domains(
    replicas: Iterable[Replica],
    *,
    last_failure_s: Callable[[str], float],
    last_answer_s: Callable[[str], float],
    now_s: float,
):
    """Return the replicas whose failure domain has not failed.

    The replicas of a domain that lost power refuse connections or stop answering one
    after the other. A request that discovers this by itself uses an attempt for each
    replica, and soon runs out of attempts. So the whole domain counts as failed when
    two of its replicas fail together and none of them has answered since.

    Parameters
    ----------
    replicas : iterable of Replica
        The usable replicas.
    last_failure_s : callable
        Returns when the replica with a given id last failed; -inf for never.
    last_answer_s : callable
        Returns when that replica last answered this node; -inf for never.
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
    failed_domains = {
        domain
        for domain, replica_ids in domains.items()
        if _has_failed(replica_ids, last_failure_s, last_answer_s, now_s=now_s)
    }
    remaining = [
        replica
        for replica in replicas
        if replica.entry.failure_domain not in failed_domains
    ]
    if len(remaining) < (1.0 - MAX_FAILED_SHARE) * len(replicas):
        return replicas
    return remaining


def _has_failed(replica_ids, last_failure_s, last_answer_s, *, now_s):
    """Tell whether the replicas of a failure domain have failed together."""
    failed_s = [
        at_s
        for at_s in map(last_failure_s, replica_ids)
        if now_s - at_s < FAILURE_WINDOW_S
    ]
    if len(failed_s) < MIN_FAILED_REPLICAS:
        return False
    return max(map(last_answer_s, replica_ids)) < max(failed_s)
