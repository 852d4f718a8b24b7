"""Prompts that need memory of several replicas get it one after the other.

The load is that of the worst seconds: seven huge prompts arrive at several nodes within
two seconds, and together need nearly twice the memory that there is.
"""

import heapq
import random

import pytest

from lycheetide.gossip import MemoryQueue, WaitingRequest

CAPACITY = 600_000
POLL_S = 0.1
RENEW_S = 0.3
DELAY_RANGE_S = (0.002, 0.05)


class Node:
    """A node with its copy of the queue."""

    def __init__(self, name):
        self.name = name
        self.queue = MemoryQueue()


class Simulation:
    """Simulated nodes with prompts, whose messages are delayed and sometimes lost.

    Parameters
    ----------
    seed : int
        Seed of the arrivals, and of the delays and losses of messages.
    in_turn : bool
        Whether prompts wait for those ahead of them in the queue.
    loss : float
        Share of the messages that are lost.
    """

    def __init__(self, seed, *, in_turn=True, loss=0.05):
        self.rng = random.Random(seed)
        self.in_turn = in_turn
        self.loss = loss
        self.nodes = [Node(f"n{number}") for number in range(4)]
        self.free = CAPACITY
        self.events: list = []
        self.served: list[str] = []
        self.came_s: dict[str, float] = {}
        self.served_s: dict[str, float] = {}
        self.overtaken: list[tuple[str, str]] = []
        self.count = 0

    def schedule(self, when_s, function, *args):
        self.count += 1
        heapq.heappush(self.events, (when_s, self.count, function, args))

    def run(self, prompts):
        """Run prompts, each given as (arrival time, tokens, how long it holds them)."""
        for number, (at_s, tokens, holds_s) in enumerate(prompts):
            node = self.rng.choice(self.nodes)
            self.came_s[f"p{number}"] = at_s
            self.schedule(at_s, self.look, node, f"p{number}", tokens, holds_s, [])
        while self.events and self.events[0][0] < 60.0:
            now_s, _, function, args = heapq.heappop(self.events)
            function(now_s, *args)

    def look(self, now_s, node, name, tokens, holds_s, waiting):
        """Let a prompt take its memory if it is its turn and enough is free."""
        place = waiting[0] if waiting else None
        ahead = node.queue.list_ahead(place, now_s=now_s) if self.in_turn else []
        wanted = tokens + sum(one.tokens for one in ahead)
        if tokens <= self.free and (not ahead or wanted <= self.free):
            self.free -= tokens
            self.served.append(name)
            self.served_s[name] = now_s
            if place is not None:
                node.queue.drop(place.node, place.job)
                self.broadcast(
                    now_s, lambda other, _: other.drop(place.node, place.job)
                )
            self.schedule(now_s + holds_s, self.free_memory, tokens)
            return
        if not waiting:
            place = WaitingRequest(node.queue.next_number(), node.name, name, tokens)
            waiting[:] = [place, float("-inf")]
        if now_s - waiting[1] >= RENEW_S:
            waiting[1] = now_s
            node.queue.note(place, now_s=now_s)
            self.broadcast(now_s, lambda other, at_s: other.note(place, now_s=at_s))
        next_s = now_s + POLL_S * self.rng.uniform(0.5, 1.5)
        self.schedule(next_s, self.look, node, name, tokens, holds_s, waiting)

    def broadcast(self, now_s, update):
        """Send an update to all nodes; each gets it late or not at all."""
        for node in self.nodes:
            if self.rng.random() >= self.loss:
                at_s = now_s + self.rng.uniform(*DELAY_RANGE_S)
                self.schedule(at_s, lambda then_s, one=node: update(one.queue, then_s))

    def free_memory(self, _, tokens):
        self.free += tokens


def make_prompts(rng, count):
    """Return prompts that arrive within two seconds, each smaller than the capacity."""
    return [
        (rng.uniform(0, 2), rng.randrange(120_000, 400_000), rng.uniform(0.5, 1.5))
        for _ in range(count)
    ]


@pytest.mark.parametrize("seed", range(40))
def test_all_that_wait_are_served(seed):
    """Prompts that each took a part of the memory were refused while some was free."""
    simulation = Simulation(seed)
    prompts = make_prompts(random.Random(seed), 7)
    simulation.run(prompts)
    assert sorted(simulation.served) == sorted(simulation.came_s)
    assert simulation.free == CAPACITY
    # No longer than if each of them held all memory alone, and polled for it once.
    worst_s = sum(holds_s + 2 * POLL_S for *_, holds_s in prompts) + 2.0
    assert max(simulation.served_s.values()) < worst_s


def test_later_small_prompts_do_not_starve_a_large_one():
    """A prompt needs all memory, and smaller ones keep taking what becomes free."""

    def find_wait_s(in_turn):
        rng = random.Random(3)
        small = [(0.1 * n, 150_000, rng.uniform(0.8, 1.2)) for n in range(100)]
        simulation = Simulation(3, in_turn=in_turn, loss=0.0)
        simulation.run([(1.0, CAPACITY, 0.5), *small])
        return simulation.served_s["p0"] - simulation.came_s["p0"]

    assert find_wait_s(in_turn=True) < 3.0
    assert find_wait_s(in_turn=False) > 6.0


def test_a_prompt_whose_node_died_is_forgotten_soon():
    """A node dies with a waiting prompt, and the others would wait for it for ever."""
    queue = MemoryQueue()
    queue.note(WaitingRequest(1, "dead", "1", 500_000), now_s=0.0)
    behind = WaitingRequest(2, "n", "1", 500_000)
    queue.note(behind, now_s=0.5)
    assert [one.node for one in queue.list_ahead(behind, now_s=1.0)] == ["dead"]
    assert queue.list_ahead(behind, now_s=1.5) == []


def test_numbers_only_rise():
    queue = MemoryQueue()
    queue.note(WaitingRequest(7, "a", "1", 1), now_s=0.0)
    queue.drop("a", "1")
    assert queue.next_number() == 8
