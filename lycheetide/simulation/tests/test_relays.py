"""Simulated placement under load, compared with baselines on the same arrivals.

Most prompts of the simulated fleet are short; one in thirty is long, and the long ones
carry most of the work. The engine's figures are those of a large dense model on two
accelerators.
"""

import dataclasses
from functools import partial

import pytest

from lycheetide.placement import place_prompt
from lycheetide.simulation import (
    DENSE_ENGINE,
    RELAY_POLICIES,
    PromptKind,
    RelayModel,
    simulate_relays,
)
from lycheetide.simulation._pass_engine import DecodeTask, PassEngine, PrefillTask

ENGINE = dataclasses.replace(DENSE_ENGINE, slots=6, steps_per_pass=48)
FLEET = RelayModel(
    ENGINE,
    27,
    (
        PromptKind("short", 45.0, 4_960, 23_800, 0.9, 31, 0.321, 0.25, 1.3),
        PromptKind("long", 3.0, 45_000, 110_000, 0.5, 18, 1.532, 0.6, 3.3),
        PromptKind("huge", 1.4, 133_000, 230_000, 0.55, 15, 3.055, 1.0, 20.0),
    ),
    gossip_delay_s=0.045,
)
SECONDS = 6.0
SEEDS = (1, 2, 3)


def mean_worth(policy, model=FLEET):
    runs = [
        simulate_relays(model, policy, seconds=SECONDS, random_state=seed)
        for seed in SEEDS
    ]
    return sum(run.worth for run in runs) / len(runs)


def place_without_spreading(asked):
    """Place as earlier versions did: all nodes fill the same replica first."""
    return place_prompt(
        asked.engine, asked.size, asked.candidates, target_s=asked.target_s
    )


def test_prefill_extends_a_pass_by_its_duration():
    """An engine with one decoding request prefills 20,600 tokens, 100 ms of work."""
    events: list[float] = []
    read: list[float] = []
    engine = PassEngine(ENGINE, 6)
    engine.writers.append(DecodeTask(9, 1_000, lambda at_s, _: events.append(at_s)))
    engine.begin_pass(0.0)
    engine.end_pass()
    engine.add(PrefillTask(0.1, False, 0, read.append))
    engine.begin_pass(events[0])
    engine.end_pass()
    decode_pass_s, mixed_pass_s = events[0], events[1] - events[0]
    assert decode_pass_s == pytest.approx(48 * (1.02e-3 + 2.26e-6 + 4.31e-6), rel=1e-6)
    assert mixed_pass_s == pytest.approx(decode_pass_s + 0.1)
    assert read == [events[1]]


def test_prefill_per_pass_is_limited_by_its_steps():
    """Without a decoding request a pass has one step, which prefills 2,048 tokens."""
    engine = PassEngine(ENGINE, 6)
    engine.add(PrefillTask(1.0, False, 0, lambda _: None))
    engine.begin_pass(0.0)
    assert engine.pass_ends_s == pytest.approx(1.02e-3 + 2_048 / 206_000)


def record_done(done, name, _):
    done.append(name)


def test_the_newest_helper_part_is_prefilled_first():
    """Two parts of other engines' prompts arrive beside an own prompt of 0.1 s."""
    done: list[str] = []
    engine = PassEngine(ENGINE, 6)
    for name, is_helper_part in (("own", False), ("older", True), ("newest", True)):
        engine.add(
            PrefillTask(0.1, is_helper_part, 0, partial(record_done, done, name))
        )
    while len(done) < 3:
        engine.begin_pass(0.0)
        engine.end_pass()
    assert done == ["newest", "older", "own"]


def test_more_prompts_than_slots_wait():
    engine = PassEngine(ENGINE, 6)
    for _ in range(8):
        engine.add(PrefillTask(0.01, False, 0, lambda _: None))
    engine.begin_pass(0.0)
    assert len(engine.prefilling) == 6
    assert len(engine.waiting) == 2


def test_runs_with_one_seed_are_the_same():
    policy = RELAY_POLICIES["product"]
    runs = [
        simulate_relays(FLEET, policy, seconds=2.0, random_state=4) for _ in range(2)
    ]
    assert runs[0] == runs[1]


@pytest.mark.parametrize("baseline", ["least work", "relay with helpers"])
def test_earns_more_worth_than_a_baseline(baseline):
    product = mean_worth(RELAY_POLICIES["product"])
    assert product > mean_worth(RELAY_POLICIES[baseline]) + 0.05


def test_random_spreading_answers_more_requests_in_time():
    """Many nodes share few replicas and learn of one another's placements late.

    Without a random choice all of them filled the same replica beyond its slots.
    """
    with_spreading = mean_worth(RELAY_POLICIES["product"])
    assert with_spreading > mean_worth(place_without_spreading) + 0.03


def place_without_refusing(asked):
    """Place as this project's relay does, but refuse nothing."""
    return place_prompt(
        asked.engine, asked.size, asked.candidates, target_s=asked.target_s,
        unknown=4.0, draw=asked.rng.random(),
    )  # fmt: skip


def test_refusing_hopeless_requests_answers_more_in_overload():
    """Half of the replicas are out and the load is doubled.

    Without refusals all requests waited. Most callers left before their first event,
    the work done for them was wasted, and the fleet answered fewer requests than it had
    capacity for.
    """
    reduced_fleet = dataclasses.replace(FLEET, replicas=14, load=2.0)
    product = mean_worth(RELAY_POLICIES["product"], reduced_fleet)
    assert product > mean_worth(place_without_refusing, reduced_fleet) * 1.1


def test_half_load_is_served_almost_completely():
    light_load = dataclasses.replace(FLEET, load=0.5)
    assert mean_worth(RELAY_POLICIES["product"], light_load) > 0.95


LARGE_MEMORY_ENGINE = dataclasses.replace(
    DENSE_ENGINE,
    kv_tokens=450_000,
    steps_per_pass=46,
    step_s=0.925e-3,
    read_s_per_token=1 / 256_000,
    read_s_per_pair=0.0917e-9,
)


def test_simultaneous_huge_prompts_do_not_delay_short_ones():
    """Three prompts of 700,000 tokens arrive within a second; each is 25 s of work.

    When all replicas prefilled parts of them, every short prompt and every stream of
    the fleet stopped for two to five seconds.
    """
    fleet = RelayModel(
        LARGE_MEMORY_ENGINE,
        16,
        (
            PromptKind("short", 10.0, 4_960, 23_800, 0.9, 35, 0.3, 0.2, 1.3),
            PromptKind(
                "huge", 0.0, 700_000, 700_000, 0.0, 17, 3.0, 0.8, 58.0,
                at_s=(3.0, 3.4, 3.8),
            ),
        ),
    )  # fmt: skip
    runs = [
        simulate_relays(
            fleet, RELAY_POLICIES["product"], seconds=9.0, random_state=seed
        )
        for seed in SEEDS
    ]
    short = [run.kinds[0].goodput for run in runs]
    assert sum(short) / len(short) >= 0.95
