"""Simulations of nodes that keep a replica's cold limit with delayed information."""

import heapq
import random
from collections import deque

import pytest

from lycheetide.gossip import START_WINDOW_S, JobTable, Started, make_job
from lycheetide.gossip._messages import JobPart
from lycheetide.placement import (
    PROPAGATION_DELAY_S,
    find_send_share,
    may_send,
    share_cold_limits,
)
from lycheetide.placement._cold_limits import SAFETY_FACTOR

REPLICA = "r"
SIMULATED_S = 3.0
MEAN_BURST = 1.5
"""Requests that arrive at one moment, on average."""


class Node:
    """A node with the requests to a replica that it knows of.

    Parameters
    ----------
    name : str
        Name of the node.
    nodes : sequence of str
        Names of all nodes.
    limit_per_s : float
        Requests per second that the replica can process.
    """

    def __init__(self, name, nodes, limit_per_s):
        self.name = name
        self.count = len(nodes)
        self.limit_per_s = limit_per_s
        self.allowance = share_cold_limits(name, nodes)(limit_per_s, REPLICA)
        self.job_table = JobTable()
        self.starts_s: deque[float] = deque()
        self.sent = 0

    def may_send(self, now_s, *, is_cold=False):
        """Return whether the node may send a request that is refused otherwise."""
        while self.starts_s and now_s - self.starts_s[0] > START_WINDOW_S:
            self.starts_s.popleft()
        own, total = self.job_table.count_starts(
            self.name, unknown_s=PROPAGATION_DELAY_S, now_s=now_s
        )
        return may_send(
            self.limit_per_s,
            allowance=self.allowance,
            own_starts=len(self.starts_s),
            own_recent=sum(
                now_s - at_s < PROPAGATION_DELAY_S for at_s in self.starts_s
            ),
            all_starts=self.job_table.starts_within(
                REPLICA, START_WINDOW_S, now_s=now_s
            ),
            send_share=find_send_share(own, total, self.count),
            is_cold=is_cold,
            is_last_resort=True,
        )

    def send(self, now_s):
        """Send a request, and return the message that announces it to the others."""
        self.sent += 1
        self.starts_s.append(now_s)
        started = Started(self.name, str(self.sent), (JobPart(REPLICA, 0.0),), 100)
        self.receive(started, now_s)
        return started

    def receive(self, message, now_s):
        """Record a request that this node or another one has sent."""
        self.job_table.start(make_job(message, now_s=now_s), now_s=now_s)
        self.job_table.end(message.node, message.job, now_s=now_s)


def simulate(count, limit_per_s, *, seed, delay_s, busy=1.0, rate_per_s=100.0):
    """Simulate nodes with more load than a replica can process.

    Each message is delayed by a random time of up to ``delay_s``, so messages may
    arrive out of order. Requests arrive in bursts at a fraction ``busy`` of the nodes.

    Returns
    -------
    list of float
        Times at which requests were sent to the replica, in seconds.
    """
    rng = random.Random(seed)
    names = [f"node-{number}" for number in range(count)]
    nodes = [Node(name, names, limit_per_s) for name in names]
    busy_nodes = nodes[: max(1, round(count * busy))]
    events: list = []
    for node in busy_nodes:
        at_s = 0.0
        while at_s < SIMULATED_S:
            at_s += rng.choice((0.0, 1.0, 1.0)) * 2 * rng.random() / rate_per_s
            heapq.heappush(events, (at_s, rng.random(), node, None))
    sent_s = []
    while events:
        now_s, _, node, message = heapq.heappop(events)
        if message is not None:
            node.receive(message, now_s)
        elif node.may_send(now_s):
            sent_s.append(now_s)
            announcement = node.send(now_s)
            for other in nodes:
                if other is not node:
                    arrival_s = now_s + rng.random() * delay_s
                    heapq.heappush(
                        events, (arrival_s, rng.random(), other, announcement)
                    )
    return sent_s


def count_peak(sent_s):
    """Return the largest number of requests within any second."""
    return max(
        sum(begins_s <= at_s < begins_s + 1.0 for at_s in sent_s) for begins_s in sent_s
    )


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("delay_s", [0.003, 0.03, PROPAGATION_DELAY_S])
@pytest.mark.parametrize(("count", "limit"), [(2, 20.0), (3, 20.0), (9, 36.0)])
def test_nodes_that_hear_late_of_one_another_keep_a_limit(count, limit, delay_s, seed):
    """Nodes that see the same rest of a limit at once would each use all of it."""
    sent_s = simulate(count, limit, seed=seed, delay_s=delay_s)
    assert 0 < count_peak(sent_s) <= limit


@pytest.mark.parametrize("seed", range(5))
def test_a_large_fleet_that_hears_late_keeps_the_excess(seed):
    """Sixty nodes choose the same replica at once.

    A cold replica fails if it gets more than 1.5 times its limit plus five requests.
    """
    sent_s = simulate(60, 36.0, seed=seed, delay_s=PROPAGATION_DELAY_S, rate_per_s=10.0)
    assert 0 < count_peak(sent_s) <= 36.0 * 1.5 + 5


@pytest.mark.parametrize("seed", range(5))
def test_a_node_with_all_callers_still_uses_most_of_a_limit(seed):
    """A load balancer's hash sends all callers of a small service to one of 4 nodes."""
    sent_s = simulate(4, 36.0, seed=seed, delay_s=0.01, busy=0.25)
    assert count_peak(sent_s) >= 36.0 * 0.5


def count_settled(sent_s):
    """Return the number of requests sent after the first second."""
    return sum(at_s >= 1.0 for at_s in sent_s)


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize(("count", "limit"), [(2, 20.0), (4, 30.0), (9, 36.0)])
def test_a_node_that_gets_all_callers_may_send_nearly_as_much_as_all(
    count, limit, seed
):
    """Guards against shares by number of nodes while one node has all callers.

    The requests are as many as nodes may send to a replica that may turn cold.
    """
    total_per_s = limit * SAFETY_FACTOR / MEAN_BURST
    options = {"seed": seed, "delay_s": 0.003}
    together = simulate(count, limit, rate_per_s=total_per_s / count, **options)
    alone = simulate(count, limit, rate_per_s=total_per_s, busy=1 / count, **options)
    assert count_settled(alone) >= 0.75 * count_settled(together)
    assert count_peak(alone) <= limit
