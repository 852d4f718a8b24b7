"""A replica's limit holds while nodes hear late of one another's requests."""

import heapq
import random
from collections import deque

import pytest

from lycheetide.board import START_WINDOW_S, Board, Started, make_job
from lycheetide.board._messages import Part
from lycheetide.placement import NEWS_S, may_send, share_cold_limits

REPLICA = "r"
PLAY_S = 3.0


class Node:
    """What one node knows of a replica's requests.

    Parameters
    ----------
    name : str
        Its name.
    nodes : sequence of str
        All nodes.
    limit_per_s : float
        What the replica bears.
    """

    def __init__(self, name, nodes, limit_per_s):
        self.name = name
        self.count = len(nodes)
        self.limit_per_s = limit_per_s
        self.allowance = share_cold_limits(name, nodes)(limit_per_s, REPLICA)
        self.board = Board()
        self.starts_s: deque[float] = deque()
        self.sent = 0

    def may_send(self, now_s, *, is_cold=False):
        """Tell whether it sends one more request, which would be refused otherwise."""
        while self.starts_s and now_s - self.starts_s[0] > START_WINDOW_S:
            self.starts_s.popleft()
        return may_send(
            self.limit_per_s,
            allowance=self.allowance,
            own_starts=len(self.starts_s),
            own_recent=sum(now_s - at_s < NEWS_S for at_s in self.starts_s),
            all_starts=self.board.starts_within(REPLICA, START_WINDOW_S, now_s=now_s),
            nodes=self.count,
            is_cold=is_cold,
            is_last_resort=True,
        )

    def send(self, now_s):
        """Send a request; return what the others are told."""
        self.sent += 1
        self.starts_s.append(now_s)
        started = Started(self.name, str(self.sent), (Part(REPLICA, 0.0),), 100)
        self.take(started, now_s)
        return started

    def take(self, message, now_s):
        """Take in what another node, or this one, has sent."""
        self.board.start(make_job(message, now_s=now_s), now_s=now_s)
        self.board.end(message.node, message.job, now_s=now_s)


def play(count, limit_per_s, *, seed, delay_s, busy=1.0, rate_per_s=100.0):
    """Play nodes with more callers than a replica bears; return when they sent.

    Each message takes a time of its own up to ``delay_s``, so they overtake one
    another. Callers come in bursts to a part ``busy`` of the nodes.
    """
    draw = random.Random(seed)
    names = [f"node-{number}" for number in range(count)]
    nodes = [Node(name, names, limit_per_s) for name in names]
    busy_nodes = nodes[: max(1, round(count * busy))]
    events: list = []
    for node in busy_nodes:
        at_s = 0.0
        while at_s < PLAY_S:
            at_s += draw.choice((0.0, 1.0, 1.0)) * 2 * draw.random() / rate_per_s
            heapq.heappush(events, (at_s, draw.random(), node, None))
    sent_s = []
    while events:
        now_s, _, node, message = heapq.heappop(events)
        if message is not None:
            node.take(message, now_s)
        elif node.may_send(now_s):
            sent_s.append(now_s)
            told = node.send(now_s)
            for other in nodes:
                if other is not node:
                    comes_s = now_s + draw.random() * delay_s
                    heapq.heappush(events, (comes_s, draw.random(), other, told))
    return sent_s


def count_most(sent_s):
    """Return the most requests of any second."""
    return max(
        sum(begins_s <= at_s < begins_s + 1.0 for at_s in sent_s) for begins_s in sent_s
    )


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("delay_s", [0.003, 0.03, NEWS_S])
@pytest.mark.parametrize(("count", "limit"), [(2, 20.0), (3, 20.0), (9, 36.0)])
def test_nodes_that_hear_late_of_one_another_keep_a_limit(count, limit, delay_s, seed):
    """Nodes find the last of a limit free at once, and each takes all of it."""
    sent_s = play(count, limit, seed=seed, delay_s=delay_s)
    assert 0 < count_most(sent_s) <= limit


@pytest.mark.parametrize("seed", range(5))
def test_a_large_fleet_that_hears_late_keeps_the_excess(seed):
    """Sixty nodes choose the same replica at once.

    More than half as much again, and five, make a cold one fall over.
    """
    sent_s = play(60, 36.0, seed=seed, delay_s=NEWS_S, rate_per_s=10.0)
    assert 0 < count_most(sent_s) <= 36.0 * 1.5 + 5


@pytest.mark.parametrize("seed", range(5))
def test_a_node_with_all_callers_still_uses_most_of_a_limit(seed):
    """A balancer's hash gives one of four nodes all callers of a small service."""
    sent_s = play(4, 36.0, seed=seed, delay_s=0.01, busy=0.25)
    assert count_most(sent_s) >= 36.0 * 0.5
