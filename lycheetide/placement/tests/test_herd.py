"""Simulations of many nodes that place prompts by delayed information.

They check that nodes that don't know of one another's latest requests don't overload
the same replica. The load is that of a large fleet on a quiet day: 155 short prompts
per second arrive at random at 195 nodes, each takes 1.7 s to answer, and there are 195
replicas of five slots. No network is used.
"""

import heapq
import random
from collections import Counter, defaultdict
from dataclasses import dataclass

import pytest

from lycheetide.gossip import Job, JobTable
from lycheetide.placement import (
    Candidate,
    RequestSize,
    estimate_unknown_requests,
    place_prompt,
    rank_replicas,
)
from lycheetide.simulation import DENSE_ENGINE

SIZE = RequestSize(5_000, 1_500)
SIMULATED_S = 5.0


@dataclass(frozen=True)
class Fleet:
    """Parameters of a simulated fleet; times in seconds."""

    nodes: int
    replicas: int
    slots: int
    per_s: float
    lasts_s: float
    told_s: tuple[float, float]


LARGE = Fleet(195, 195, 5, 155.0, 1.7, (0.012, 0.018))
DELAYED = Fleet(195, 195, 5, 155.0, 1.7, (0.05, 0.5))
SMALL = Fleet(9, 23, 8, 24.4, 1.6, (0.002, 0.004))


@dataclass(frozen=True)
class PlacedRequest:
    """A placed prompt: its start and end, and when other nodes learn of them."""

    node: int
    replica: str
    begin_s: float
    end_s: float
    start_known_s: float
    end_known_s: float

    def is_known(self, node, now_s):
        """Return whether a node counts the prompt as running."""
        if node == self.node:
            return now_s < self.end_s
        return self.start_known_s <= now_s < self.end_known_s


@dataclass(frozen=True)
class Overload:
    """Result of a simulation.

    Parameters
    ----------
    overflow : int
        Prompts that were sent to a replica beyond its slots.
    most : int
        Largest number of prompts at one replica.
    used : float
        Mean number of replicas in use per second.
    """

    overflow: int
    most: int
    used: float


def measure_rate(begins_s, now_s):
    """Return the start rate over a second or a burst, as ``JobTable`` measures it."""
    job_table = JobTable()
    for begin_s in sorted(begins_s):
        job_table.start(Job(f"{begin_s}", "n", (), begin_s, now_s), now_s=begin_s)
    return job_table.starts_per_s(now_s=now_s)


def simulate(fleet, *, seed=1, oracle=False):
    """Place prompts for ``SIMULATED_S``; an oracle knows of all requests at once."""
    rng = random.Random(seed)
    ranks = rank_replicas(f"r{number}" for number in range(fleet.replicas))
    told_s = sum(fleet.told_s) / 2
    placed: list[PlacedRequest] = []
    running: Counter[str] = Counter()
    ends: list[tuple[float, str]] = []
    used: dict[int, set] = defaultdict(set)
    now_s, overflow, most = 0.0, 0, 0
    while (now_s := now_s + rng.expovariate(fleet.per_s)) < SIMULATED_S:
        node = rng.randrange(fleet.nodes)
        while ends and ends[0][0] <= now_s:
            running[heapq.heappop(ends)[1]] -= 1
        placed = [one for one in placed if one.end_known_s > now_s - 1.0]
        visible = [one for one in placed if one.is_known(node, now_s)]
        known = running if oracle else Counter(one.replica for one in visible)
        starts_per_s = measure_rate([one.begin_s for one in visible], now_s)
        candidates = [
            Candidate(name, name, rank, fleet.slots, writers=known[name])
            for name, rank in ranks.items()
        ]
        unknown = (
            0.0
            if oracle
            else estimate_unknown_requests(starts_per_s, told_s, fleet.nodes)
        )
        replica = place_prompt(
            DENSE_ENGINE, SIZE, candidates, target_s=0.4, unknown=unknown,
            draw=rng.random(),
        ).first.id  # fmt: skip
        running[replica] += 1
        overflow += running[replica] > fleet.slots
        most = max(most, running[replica])
        used[int(now_s)].add(replica)
        end_s = now_s + fleet.lasts_s * rng.uniform(0.5, 1.5)
        heapq.heappush(ends, (end_s, replica))
        delays_s = (rng.uniform(*fleet.told_s) for _ in range(2))
        placed.append(
            PlacedRequest(
                node,
                replica,
                now_s,
                end_s,
                now_s + next(delays_s),
                end_s + next(delays_s),
            )
        )
    return Overload(overflow, most, sum(map(len, used.values())) / len(used))


def test_no_replica_of_a_large_fleet_gets_more_than_its_slots():
    """Most nodes chose the same few replicas.

    Of 182 prompts within one second, 34 went to the same replica.
    """
    results = [simulate(LARGE, seed=seed) for seed in range(3)]
    assert sum(result.overflow for result in results) <= 15
    assert max(result.most for result in results) <= LARGE.slots + 1


def test_delayed_information_overloads_few_replicas():
    """Information is up to half a second old, so slots may be taken meanwhile."""
    results = [simulate(DELAYED, seed=seed) for seed in range(3)]
    prompts = 3 * SIMULATED_S * DELAYED.per_s
    assert sum(result.overflow for result in results) < 0.06 * prompts
    assert max(result.most for result in results) <= 3 * DELAYED.slots


@pytest.mark.parametrize(("fleet", "most"), [(LARGE, 1.7), (SMALL, 1.3)])
def test_prompts_stay_packed(fleet, most):
    """Short prompts must stay on few replicas.

    Spread over all, they would be delayed by the prefill of every long prompt.
    """
    used = simulate(fleet).used
    assert used <= most * simulate(fleet, oracle=True).used
