"""Changes of the mix: the arrival rate steps up or down, or stays and only varies.

Phases last about ten seconds, and the nodes have to adapt within two.
"""

import random
from itertools import pairwise

import pytest

from lycheetide.demand import ArrivalRates, DemandTable, PromptClass, count_reserved
from lycheetide.gossip import Job, JobPart, JobTable
from lycheetide.simulation import DENSE_ENGINE

SHORT = PromptClass.SHORT
REPLICAS = 60


def play(rates, rate_per_s, begin_s, end_s, *, rng=None, samples=()):
    """Let requests arrive; return the rates estimated at the sample times."""
    at_s, found, samples = begin_s, [], list(samples)
    while True:
        at_s += rng.expovariate(rate_per_s) if rng else 1.0 / rate_per_s
        while samples and samples[0] < min(at_s, end_s):
            found.append(rates.rate_per_s(SHORT, now_s=samples.pop(0)))
        if at_s >= end_s:
            return found
        rates.note(SHORT, now_s=at_s)


@pytest.mark.parametrize("seed", range(20))
def test_a_step_is_followed(seed):
    """A slow estimate would leave short prompts without replicas for a whole phase."""
    rng = random.Random(seed)
    rates = ArrivalRates()
    play(rates, 15.0, 0.0, 10.0, rng=rng)
    (risen,) = play(rates, 90.0, 10.0, 20.0, rng=rng, samples=[10.5])
    (fallen,) = play(rates, 15.0, 20.0, 30.0, rng=rng, samples=[22.0])
    # Three standard deviations of the arrivals in half a second.
    assert 50.0 < risen < 130.0
    assert fallen < 30.0


def test_noise_at_a_constant_rate_does_not_oscillate():
    """Replicas that are closed and opened at random serve neither kind."""
    rates = ArrivalRates()
    times = [2.0 + 0.1 * step for step in range(1_000)]
    found = play(rates, 50.0, 0.0, 103.0, rng=random.Random(7), samples=times)
    counts = [
        count_reserved(rates, DENSE_ENGINE, REPLICAS, response_s=1.6, now_s=0.0)
        for rates in map(FixedRate, found)
    ]
    assert sum(30.0 < rate < 72.0 for rate in found) > 0.97 * len(found)
    assert sum(abs(a - b) > 3 for a, b in pairwise(counts)) < 50


class FixedRate:
    """Rates with a given value."""

    def __init__(self, per_s):
        self.per_s = per_s

    def rate_per_s(self, _, *, now_s):
        return self.per_s


@pytest.mark.parametrize(
    ("per_s", "replicas", "expected"),
    [(0.0, 60, 0), (1.0, 60, 2), (50.0, 60, 15), (500.0, 60, 30), (9.0, 3, 1)],
)
def test_the_number_is_limited(per_s, replicas, expected):
    """Reserving all replicas would starve long prompts."""
    rates = FixedRate(per_s)
    assert expected == count_reserved(
        rates, DENSE_ENGINE, replicas, response_s=1.6, now_s=0.0
    )


class Fleet:
    """A node's tables, filled by the reports of the nodes that it hears."""

    def __init__(self):
        self.demand = DemandTable({"r": "service"}.get)
        self.jobs = JobTable(self.demand)
        self.count = 0

    def start(self, now_s, *, node="peer", replica="r", read_s=0.03):
        self.count += 1
        part = JobPart(replica, read_s)
        job = Job(f"{self.count}", node, (part,), now_s, now_s + 60.0)
        self.jobs.start(job, now_s=now_s)
        return job

    def end(self, job, now_s):
        self.jobs.end(job.node, job.id, now_s=now_s)

    def reserved(self, now_s):
        return self.demand.count_reserved(
            "service", DENSE_ENGINE, REPLICAS, now_s=now_s
        )


def run_steadily(fleet, begin_s, end_s, *, per_s=40, node="peer"):
    """Start short prompts at a constant rate, each of which takes 1.6 s."""
    live = []
    for step in range(round((end_s - begin_s) * per_s)):
        now_s = begin_s + step / per_s
        live.append(fleet.start(now_s, node=node))
        while live[0].started_s <= now_s - 1.6:
            fleet.end(live.pop(0), now_s)
        fleet.reserved(now_s)
    return live


def test_a_node_that_starts_in_the_middle_soon_agrees_with_the_others():
    """Otherwise it would send long prompts where the others pack short ones."""
    old, new = Fleet(), Fleet()
    run_steadily(old, 0.0, 10.0)
    run_steadily(new, 9.0, 10.0)
    assert abs(old.reserved(10.0) - new.reserved(10.0)) <= 2


def test_silence_of_peers_leaves_a_nodes_own_demand():
    """A node that was cut off must not reserve replicas for prompts of the others."""
    fleet = Fleet()
    run_steadily(fleet, 0.0, 10.0)
    before = fleet.reserved(10.0)
    fleet.jobs.expire(now_s=10.1, dead=frozenset(["peer"]))
    run_steadily(fleet, 10.1, 15.0, per_s=2, node="own")
    assert before == pytest.approx(12, abs=2)
    assert fleet.reserved(15.0) == 2
    assert not any(job.node == "peer" for job in fleet.jobs.jobs.values())


def test_reservations_decrease_slowly():
    """A replica that takes a long prompt in a short lull is closed for seconds."""
    fleet = Fleet()
    for job in run_steadily(fleet, 0.0, 10.0):
        fleet.end(job, 10.0)
    counts = [fleet.reserved(10.0 + 0.1 * step) for step in range(60)]
    falls = [a - b for a, b in zip(counts, counts[3:], strict=False)]
    assert counts[-1] == 0
    assert max(falls) <= 1


def test_jobs_of_unknown_services_and_without_prefill_are_ignored():
    """A replica may be heard of before it is registered; retries announce no cost."""
    fleet = Fleet()
    fleet.end(fleet.start(0.0, replica="other"), 1.0)
    fleet.end(fleet.start(0.0, read_s=0.0), 1.0)
    assert fleet.reserved(1.0) == 0
