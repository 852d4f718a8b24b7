"""One node's work in a fleet of hundreds of nodes, without a network."""

import time

import pytest

from lycheetide.relay._selection import find_placement, list_candidates
from standins.large import make_call, make_large_relay

ROUNDS = 10


def time_placement_s(relay, call):
    """Return the shortest of several measured times of a placement, in seconds."""
    times = []
    for _ in range(ROUNDS):
        begun_s = time.perf_counter()
        candidates, _ = list_candidates(relay, call)
        find_placement(relay, call, candidates, now_s=time.monotonic())
        times.append(time.perf_counter() - begun_s)
    return min(times)


@pytest.mark.parametrize("cold_per_s", [0.0, 17.0])
def test_placement_in_a_large_fleet_is_fast(cold_per_s):
    """Guards against a placement that sorts all nodes by hash for every replica.

    This was done for the cold limits. At 195 nodes and 195 replicas it took 22 ms of
    processor time, and 43 ms on half a core, and nodes placed by state that had become
    stale meanwhile.
    """
    relay = make_large_relay(195, 195)
    assert time_placement_s(relay, make_call(5_000, cold_per_s=cold_per_s)) < 0.005


def test_an_idle_replica_is_listed_by_its_newest_entry():
    """A replica moves to another address while nodes have cached its old entry."""
    relay = make_large_relay(2, 3)
    call = make_call(5_000)
    before, _ = list_candidates(relay, call)
    known = relay.replicas.replicas
    first = before[0].id
    entry = known[first].entry
    moved = type(entry)(entry.id, entry.service, "10.1.9.9:80", "zone-0", 7)
    known[first] = type(known[first])(moved, 99, 0.0, 0.0)
    after, _ = list_candidates(relay, call)
    (found,) = [one for one in after if one.id == first]
    assert (found.address, found.slots) == ("10.1.9.9:80", 7)
