"""Keep the requests of all nodes to a cold replica under its limit.

A cold replica fails under full load. Its limit holds for all nodes together: nine nodes
that each send a small rate send nine times that. Each node may therefore send only its
share of the limit. If the limit allows fewer whole requests per second than there are
nodes, a node may send one request per second or none.
"""

import math

from lycheetide.placement._ring import make_step_counter

SAFETY_FACTOR = 0.6
"""Fraction of the limit that is used. The rest is a margin for nodes that know fewer
peers and therefore compute larger shares."""
WARM_STARTS_PER_S = 4
"""Requests per second that one node may send to a warm replica of a service with a cold
limit, as long as other replicas are available."""
PROPAGATION_DELAY_S = 0.1
"""Time in seconds after which a request that a node sent is assumed to be known to all
other nodes."""


def share_cold_limits(node, nodes):
    """Return a function that computes this node's share of a replica's cold limit.

    Nodes and replicas are placed on a hash ring. If a replica's limit is lower than the
    number of nodes, the nodes that follow the replica on the ring may send one request
    per second each, as many nodes as the limit allows. A node that only some
    of the others know shifts the senders by one position of the ring.

    Parameters
    ----------
    node : str
        Name of this node.
    nodes : collection of str
        Names of all nodes that may be sending, including this node.

    Returns
    -------
    callable
        Called with a limit in requests per second, 0 for no limit, and a replica's
        name. Returns how many requests per second this node may send to the replica
        while it is cold, or None if the number is unlimited.

    Examples
    --------
    >>> find_allowance = share_cold_limits("a", ["a", "b", "c"])
    >>> find_allowance(36.0, "r")
    7
    """
    count = len(nodes)
    count_steps = make_step_counter(node, nodes)

    def find_allowance(limit_per_s, replica):
        if limit_per_s <= 0:
            return None
        usable = max(1, int(limit_per_s * SAFETY_FACTOR))
        if count <= usable:
            return usable // count
        return 1 if count_steps(replica) < usable else 0

    return find_allowance


def may_send(
    limit_per_s,
    *,
    allowance,
    own_starts,
    all_starts,
    is_cold,
    is_last_resort=False,
    own_recent=0,
    nodes=1,
):
    """Return whether one more request may be sent to a replica now.

    A warm replica may become cold without notice, and nodes learn of it one or two
    seconds later. The limit therefore holds for warm replicas too, but is compared with
    the requests that all nodes sent. With a fixed share per node, most nodes of a large
    fleet couldn't use most of the replicas.

    Nodes learn of one another's requests with a delay, so several nodes may see the
    same remaining part of the limit at once. Until the other nodes know of a node's
    recent requests, it sends at most its share of the remaining part, or one request.

    Parameters
    ----------
    limit_per_s : float
        Requests per second that the replica can process from all nodes while cold.
    allowance : int or None
        This node's share of the limit; None if the service has no limit.
    own_starts, all_starts : int
        Requests sent to the replica within the last second, by this node and by all
        nodes.
    is_cold : bool
        Whether the replica is known to be cold.
    is_last_resort : bool, default=False
        Whether the request would be refused otherwise. Callers aren't distributed
        evenly over the nodes, so a busy node may then use what other nodes leave of a
        warm replica's limit.
    own_recent : int, default=0
        Requests of this node that were sent within the last ``PROPAGATION_DELAY_S``
        seconds.
    nodes : int, default=1
        Number of nodes that may be sending, including this node.
    """
    if allowance is None:
        return True
    left = math.ceil(limit_per_s * SAFETY_FACTOR) - all_starts
    if left <= 0:
        return False
    if is_cold:
        return own_starts < allowance
    if own_recent >= max(1, left // nodes):
        return False
    return is_last_resort or own_starts < max(allowance, WARM_STARTS_PER_S)
