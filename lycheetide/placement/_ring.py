"""Place nodes and replicas on a hash ring, so that nodes agree without any calls."""

from bisect import bisect_left
from functools import lru_cache

import xxhash

RING_CACHE_SIZE = 4_096
"""Number of node and replica names whose ring positions are cached, 0.5 MB."""


def make_step_counter(node, nodes):
    """Return a function that counts the nodes between a replica and this node.

    A node that only some of the others know changes the count by 1.

    Parameters
    ----------
    node : str
        Name of this node.
    nodes : collection of str
        Names of all nodes, including this node.

    Returns
    -------
    callable
        Called with a replica's name. Returns how many nodes follow the replica on the
        ring before this node; 0 for the first one.
    """
    count = len(nodes)
    own_position = hash_to_ring(node)
    places: list[int] = []

    def count_steps(replica):
        if not places:
            places.extend(sorted(map(hash_to_ring, nodes)))
        first = bisect_left(places, hash_to_ring(replica))
        return (bisect_left(places, own_position) - first) % count

    return count_steps


@lru_cache(maxsize=RING_CACHE_SIZE)
def hash_to_ring(name):
    """Return the position of a node or a replica on the hash ring."""
    return xxhash.xxh64_intdigest(name.encode())
