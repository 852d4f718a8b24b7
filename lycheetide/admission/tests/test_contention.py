"""Load above capacity: no customer, kind or size of requests is starved by others.

A small simulation: replicas prefill prompts, requests that don't get one at once wait
in the queue, and those that can't be served in time are refused.
"""

import random
from collections import Counter

import pytest

from lycheetide.admission import (
    AdmissionQueue,
    CustomerUsage,
    WaitingRequest,
    assess_wait,
    count_readers,
    has_turn,
)
from lycheetide.placement import Candidate

SERVICE = 7
REPLICAS = 20
STEP_S = 0.05
ASSESS_STEPS = 10
SHORT_S, MIDDLE_S, HUGE_S = 0.05, 0.5, 6.0
TARGETS_S = {SHORT_S: 0.3, MIDDLE_S: 1.5, HUGE_S: 6.0}


class Fleet:
    """Replicas and requests of the simulation, with counts by customer and size."""

    def __init__(self):
        self.usage = CustomerUsage()
        self.queue = AdmissionQueue(self.usage)
        self.queue.note_replicas(SERVICE, REPLICAS)
        self.busy_until_s = [0.0] * REPLICAS
        self.waiting: list[WaitingRequest] = []
        self.offered: Counter = Counter()
        self.served: Counter = Counter()
        self.random = random.Random(3)

    def arrive(self, customer, engine_s, now_s):
        self.offered[customer, engine_s] += 1
        request = WaitingRequest(
            self.queue.next_number(now_s=now_s), "n", str(self.offered.total()),
            SERVICE, customer, engine_s, 100, now_s + TARGETS_S[engine_s],
        )  # fmt: skip
        self.waiting.append(request)
        self.assess(request, now_s)

    def look_at(self, request, now_s):
        ahead = self.queue.list_ahead(request, service=SERVICE, now_s=now_s)
        candidates = [
            Candidate(str(rank), "", rank, 50, backlog_s=max(0.0, busy_s - now_s))
            for rank, busy_s in enumerate(self.busy_until_s)
        ]
        return ahead, candidates

    def assess(self, request, now_s):
        leaves_s = request.due_s + 3 * TARGETS_S[request.engine_s]
        ahead, candidates = self.look_at(request, now_s)
        found = assess_wait(request, ahead, candidates, now_s=now_s, leaves_s=leaves_s)
        if found.is_servable:
            self.queue.note(request, now_s=now_s)
        else:
            self.leave(request)

    def try_start(self, request, now_s):
        readers = count_readers(REPLICAS) if request.engine_s == HUGE_S else 1
        idle = [rank for rank in range(REPLICAS) if self.busy_until_s[rank] <= now_s]
        if len(idle) < readers:
            return
        if has_turn(request, *self.look_at(request, now_s), now_s=now_s):
            for rank in idle[:readers]:
                self.busy_until_s[rank] = now_s + request.engine_s / readers
            self.served[request.customer, request.engine_s] += 1
            self.usage.add(request.customer, request.engine_s, now_s=now_s)
            self.leave(request)

    def leave(self, request):
        self.queue.drop(request.node, request.job)
        self.waiting.remove(request)


def simulate(find_rates, *, seconds):
    """Return the numbers of offered and of served requests by customer and size.

    Parameters
    ----------
    find_rates : callable
        Returns the arrivals per second at a time, as {(customer, engine_s): rate}.
    seconds : float
        Duration.
    """
    fleet = Fleet()
    for step in range(int(seconds / STEP_S)):
        now_s = 50.0 + step * STEP_S
        for (customer, engine_s), rate in find_rates(step * STEP_S).items():
            for _ in range(int(rate * STEP_S + fleet.random.random())):
                fleet.arrive(customer, engine_s, now_s)
        fleet.random.shuffle(fleet.waiting)
        for request in list(fleet.waiting):
            fleet.try_start(request, now_s)
        for request in list(fleet.waiting) if step % ASSESS_STEPS == 0 else ():
            fleet.assess(request, now_s)
    return fleet.offered, fleet.served


def list_parts(offered, served, *, by):
    """Return the part that was served of each customer's or each size's requests."""
    place = ("customer", "engine_s").index(by)
    totals: Counter = Counter()
    done: Counter = Counter()
    for key, count in offered.items():
        totals[key[place]] += count
        done[key[place]] += served[key]
    return {value: done[value] / totals[value] for value in totals}


def sum_engine_s(served, customer):
    return sum(key[1] * count for key, count in served.items() if key[0] == customer)


@pytest.mark.parametrize(
    ("short", "middle", "huge"),
    [(200, 20, 1.5), (20, 2, 8), (20, 60, 1)],
    ids=["many short", "many huge", "many middle"],
)
def test_no_kind_of_prompts_is_starved_by_many_of_another(short, middle, huge):
    """Guards against urgent prompts that starve huge ones, and against the opposite."""
    rates = {(1, SHORT_S): short, (1, MIDDLE_S): middle, (1, HUGE_S): huge}
    offered, served = simulate(lambda at_s: rates, seconds=12)
    assert min(list_parts(offered, served, by="engine_s").values()) > 0.3


def test_surge_of_one_customer_is_at_its_own_expense():
    """Guards against a surge that takes the share of customers who ask for little."""

    def find_rates(at_s):
        small = {(customer, MIDDLE_S): 4 for customer in range(1, 6)}
        return small | {(9, MIDDLE_S): 80 if at_s > 4 else 4}

    offered, served = simulate(find_rates, seconds=12)
    surging_part, *parts = sorted(list_parts(offered, served, by="customer").values())
    assert min(parts) > 0.8
    # The others leave half of the replicas, and the surge of 8 s gets most of that.
    assert sum_engine_s(served, 9) > 0.8 * 0.5 * REPLICAS * 8
    assert surging_part < 0.5


def test_customers_that_all_ask_for_more_get_the_same():
    """Guards against shares in proportion to the number of requests."""
    rates = {(1, MIDDLE_S): 60, (2, MIDDLE_S): 30, (3, HUGE_S): 3}
    _, served = simulate(lambda at_s: rates, seconds=12)
    used_s = [sum_engine_s(served, customer) for customer in (1, 2, 3)]
    assert min(used_s) > 0.6 * max(used_s)


@pytest.mark.parametrize("engine_s", [SHORT_S, HUGE_S])
def test_all_free_capacity_goes_to_a_single_customer(engine_s):
    """Guards against a limit on a customer that nobody else competes with."""
    rates = {(1, engine_s): 0.6 * REPLICAS / engine_s}
    offered, served = simulate(lambda at_s: rates, seconds=6)
    assert sum_engine_s(served, 1) > 0.9 * sum_engine_s(offered, 1)
