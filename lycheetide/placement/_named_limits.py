"""Divide the limit that a replica names among the nodes.

A replica in need names the requests per second that it takes from all nodes together.
Often that is less than one request per second and node. The limit is therefore divided
as whole requests within a window of some seconds: if there are fewer of them than
nodes, the nodes that follow the replica on the hash ring may send one each, and the
others none.
"""

from dataclasses import dataclass

MIN_WINDOW_S = 4.0
"""Shortest window over which requests are counted. A limit of one request per second
then still leaves something to divide."""
SAFETY_FACTOR = 0.75
"""Fraction of the limit that is used. Two groups of nodes that don't know each other
send at most one and a half times the limit."""
MIN_LIMIT_PER_S = 1 / 3
"""A lower limit counts as this one, one request in the shortest window. Without any
request, no node would learn that the replica has stopped naming it."""
MIN_ROTATION_S = 5.0
"""Shortest time without an answer after which the shares move on to the next nodes on
the ring. The nodes that have them may have no callers."""


@dataclass(frozen=True)
class LimitShare:
    """One node's share of a replica's limit.

    Parameters
    ----------
    requests : int
        Number of requests that the node may send in any window.
    window_s : float
        Length of the window, in seconds.
    """

    requests: int
    window_s: float


def share_named_limit(limit_per_s, *, steps, nodes, silent_s=0.0):
    """Return a node's share of the limit that a replica names.

    Parameters
    ----------
    limit_per_s : float
        Requests per second that the replica takes from all nodes together.
    steps : int
        Number of nodes that precede this one on the ring, as counted by
        ``make_step_counter``.
    nodes : int
        Number of nodes, including this one.
    silent_s : float, default=0.0
        Time since the replica last gave an answer to any node, in seconds.

    Returns
    -------
    LimitShare

    Examples
    --------
    >>> share_named_limit(2.0, steps=5, nodes=9)
    LimitShare(requests=1, window_s=4.0)
    >>> share_named_limit(2.0, steps=6, nodes=9)
    LimitShare(requests=0, window_s=4.0)
    """
    usable_per_s = SAFETY_FACTOR * max(limit_per_s, MIN_LIMIT_PER_S)
    window_s = max(MIN_WINDOW_S, 1.0 / usable_per_s)
    usable = max(1, int(usable_per_s * window_s))
    everyones, rest = divmod(usable, nodes)
    rotations = int(silent_s / max(MIN_ROTATION_S, window_s))
    is_in_rest = (steps - rotations * rest) % nodes < rest
    return LimitShare(everyones + is_in_rest, window_s)
