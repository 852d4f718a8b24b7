"""Regression bounds of the scheduling policy, simulated in virtual time.

The results are the same on every machine.
"""

import pytest

from benchmarks.policy import find_quantile, is_short, make_plan
from lycheetide.simulation import POLICIES, SimulationSettings, simulate_engines

SETTINGS = SimulationSettings()
COUNT = 2_000
SEED = 7


def run(name, load=0.8, *, short_only=False, settings=SETTINGS):
    plan = make_plan(load, seed=SEED, count=COUNT, settings=settings)
    if short_only:
        plan = [request for request in plan if request.request_class == "quote"]
    return simulate_engines(POLICIES[name], plan, settings=settings)


def find_p95(results):
    first_token_times = [
        r.first_token_s for r in results if is_short(r) and r.first_token_s is not None
    ]
    return find_quantile(first_token_times, 0.95)


@pytest.fixture(scope="module")
def mixed_load():
    """Results of this project's policy at 80% load, short and huge prompts mixed."""
    return run("lycheetide")


def test_the_same_seed_gives_the_same_run(mixed_load):
    assert mixed_load == run("lycheetide")


def test_huge_prompts_delay_short_ones_little(mixed_load):
    """Short prompts must not wait for the prefill of huge ones.

    One prompt in fifty is huge, and these carry most of the work; otherwise each
    quick quote would wait for another customer's archive search. The goal for the ratio
    is 1.10, which is not reached yet.
    """
    assert find_p95(mixed_load) <= 1.45 * find_p95(run("lycheetide", short_only=True))


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
def test_short_prompts_are_answered_sooner_than_by_a_baseline(
    mixed_load, baseline, factor
):
    assert find_p95(run(baseline)) >= factor * find_p95(mixed_load)


def test_all_requests_are_in_time_and_prefixes_are_reused(mixed_load):
    affinity = run("unbounded affinity")
    assert {result.outcome for result in mixed_load} == {"answered"}
    hits = sum(result.has_cache_hit for result in mixed_load)
    assert hits >= 0.9 * sum(result.has_cache_hit for result in affinity)


def test_one_of_three_domains_leaves_and_returns_at_60_percent_load():
    """A third of the engines leaves and returns with empty prefix caches.

    No request may be late or lost, since buyers and tenders can't wait, and the time to
    first token must not rise again when the engines return.
    """
    span_s = make_plan(0.6, seed=SEED, count=COUNT, settings=SETTINGS)[-1].at_s
    changes = (
        (0.3 * span_s, "d-b", "out"),
        (0.6 * span_s, "d-b", "returning"),
        (0.8 * span_s, "d-b", "in"),
    )
    results = run(
        "lycheetide", 0.6, settings=SimulationSettings(domain_changes=changes)
    )
    assert {result.outcome for result in results} == {"answered"}
    before_outage = [r for r in results if r.planned.at_s < 0.3 * span_s]
    after_return = [r for r in results if r.planned.at_s >= 0.6 * span_s]
    assert find_p95(after_return) <= 1.5 * find_p95(before_outage)


def test_overload_refusals_are_immediate():
    results = run("lycheetide", 2.5)
    refused = [result for result in results if result.outcome == "refused"]
    assert all(result.total_s == 0.0 for result in refused)
