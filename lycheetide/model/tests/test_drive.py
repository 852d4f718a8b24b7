"""Regression bounds of the policy, in virtual time: the same on every machine."""

import pytest

from benchmarks.policy import find_quantile, is_short, make_plan
from lycheetide.model import POLICIES, ModelSettings, run_model

SETTINGS = ModelSettings()
COUNT = 2_000
SEED = 7


def run(name, load=0.8, *, alone=False, settings=SETTINGS):
    plan = make_plan(load, seed=SEED, count=COUNT, settings=settings)
    if alone:
        plan = [request for request in plan if request.request_class == "quote"]
    return run_model(POLICIES[name], plan, settings=settings)


def find_p95(results):
    firsts = [r.first_s for r in results if is_short(r) and r.first_s is not None]
    return find_quantile(firsts, 0.95)


@pytest.fixture(scope="module")
def shared():
    """This project's policy at 80% load."""
    return run("lycheetide")


def test_the_same_seed_gives_the_same_run(shared):
    assert shared == run("lycheetide")


def test_short_prompts_beside_huge_ones_stay_near_their_own_alone(shared):
    """One prompt in fifty is huge and brings most of the work.

    Clients of quick quotes would notice: each quote would wait for somebody's archive
    search. The figure to reach is 1.10; it is not reached yet.
    """
    assert find_p95(shared) <= 1.45 * find_p95(run("lycheetide", alone=True))


@pytest.mark.parametrize(
    ("baseline", "factor"),
    [
        ("random", 10.0),
        ("round robin", 10.0),
        ("least outstanding", 5.0),
        ("unbounded affinity", 10.0),
        ("least outstanding, priorities", 1.1),
    ],
)
def test_short_prompts_do_better_than_under_a_baseline(shared, baseline, factor):
    assert find_p95(run(baseline)) >= factor * find_p95(shared)


def test_every_admitted_request_ends_in_time_and_prefixes_are_found(shared):
    affinity = run("unbounded affinity")
    assert {result.outcome for result in shared} == {"answered"}
    hits = sum(result.has_hit for result in shared)
    assert hits >= 0.9 * sum(result.has_hit for result in affinity)


def test_a_domain_of_three_leaves_and_returns_at_60_percent_load():
    """A third of the engines goes and comes back with empty caches.

    Buyers and tenders can't stall: no quick quote may be late or lost, and the return
    must bring no second dip.
    """
    span_s = make_plan(0.6, seed=SEED, count=COUNT, settings=SETTINGS)[-1].at_s
    changes = (
        (0.3 * span_s, "d-b", "out"),
        (0.6 * span_s, "d-b", "returning"),
        (0.8 * span_s, "d-b", "in"),
    )
    results = run("lycheetide", 0.6, settings=ModelSettings(domain_changes=changes))
    assert {result.outcome for result in results} == {"answered"}
    before = [r for r in results if r.planned.at_s < 0.3 * span_s]
    after = [r for r in results if r.planned.at_s >= 0.6 * span_s]
    assert find_p95(after) <= 1.5 * find_p95(before)


def test_refusals_under_overload_are_given_at_once():
    results = run("lycheetide", 2.5)
    refused = [result for result in results if result.outcome == "refused"]
    assert all(result.total_s == 0.0 for result in refused)
