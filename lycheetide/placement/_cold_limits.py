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
EVEN_SHARE = 0.25
"""Part of the rest of a limit that all nodes share alike, whatever they send."""
MIN_STARTS = 5
"""Requests of all nodes from which on their distribution over the nodes counts."""
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


def find_send_share(own_starts, all_starts, nodes):
    """Return which share of the rest of a limit one node may use at once.

    Callers aren't spread evenly over the nodes: a load balancer may send nearly all new
    connections to one of them. Most of the rest is dealt by the requests that each node
    has sent lately and a part by the number of nodes, so that the shares of all nodes
    make up the whole.

    Parameters
    ----------
    own_starts, all_starts : int
        Requests sent within the last second and known to all, by this node and by all
        nodes.
    nodes : int
        Number of nodes, this one included.

    Returns
    -------
    float
        Above 0, at most 1.

    Examples
    --------
    >>> [find_send_share(own, 40, 4) for own in (0, 10, 40)]
    [0.0625, 0.25, 0.8125]
    """
    if all_starts < MIN_STARTS:
        return 1.0 / nodes
    dealt_by_use = min(1.0, own_starts / all_starts)
    return EVEN_SHARE / nodes + (1.0 - EVEN_SHARE) * dealt_by_use


def may_send(
    limit_per_s,
    *,
    allowance,
    own_starts,
    all_starts,
    is_cold,
    is_last_resort=False,
    own_recent=0,
    send_share=1.0,
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
    send_share : float, default=1
        Share of the rest of the limit that this node may use before the others know of
        it, from ``find_send_share``.
    """
    if allowance is None:
        return True
    left = math.ceil(limit_per_s * SAFETY_FACTOR) - all_starts
    if left <= 0:
        return False
    if is_cold:
        return own_starts < allowance
    if own_recent >= max(1, int(left * send_share)):
        return False
    return is_last_resort or own_starts < max(allowance, WARM_STARTS_PER_S)
