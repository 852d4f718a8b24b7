"""Placement under load, in virtual time, against baselines on the same arrivals.

The load is that of a fleet whose prompts are short but for one in thirty, which carry
most of the work. The engine's figures are those of a large dense model on two
accelerators.
"""

import dataclasses
from functools import partial

import pytest

from lycheetide.model import (
    DENSE_ENGINE,
    RELAY_POLICIES,
    PromptKind,
    RelayModel,
    model_relays,
)
from lycheetide.model._passes import PassEngine, Read, Writer
from lycheetide.placement import choose_prompt

ENGINE = dataclasses.replace(DENSE_ENGINE, slots=6, steps_per_pass=48)
FLEET = RelayModel(
    ENGINE,
    27,
    (
        PromptKind("short", 45.0, 4_960, 23_800, 0.9, 31, 0.321, 0.25, 1.3),
        PromptKind("long", 3.0, 45_000, 110_000, 0.5, 18, 1.532, 0.6, 3.3),
        PromptKind("huge", 1.4, 133_000, 230_000, 0.55, 15, 3.055, 1.0, 20.0),
    ),
    told_s=0.045,
)
SECONDS = 6.0
SEEDS = (1, 2, 3)


def mean_worth(policy, model=FLEET):
    runs = [
        model_relays(model, policy, seconds=SECONDS, random_state=seed)
        for seed in SEEDS
    ]
    return sum(run.worth for run in runs) / len(runs)


def place_without_spreading(asked):
    """Place as the product did: all nodes pack the same replica first."""
    return choose_prompt(
        asked.engine, asked.size, asked.candidates, target_s=asked.target_s
    )


def test_a_pass_writes_one_event_and_takes_longer_by_what_is_read():
    """An engine with one writer reads 20,600 tokens, 100 ms of work."""
    events: list[float] = []
    read: list[float] = []
    engine = PassEngine(ENGINE, 6)
    engine.writers.append(Writer(9, 1_000, lambda at_s, _: events.append(at_s)))
    engine.begin_pass(0.0)
    engine.end_pass()
    engine.add(Read(0.1, False, 0, read.append))
    engine.begin_pass(events[0])
    engine.end_pass()
    quiet_s, longer_s = events[0], events[1] - events[0]
    assert quiet_s == pytest.approx(48 * (1.02e-3 + 2.26e-6 + 4.31e-6), rel=1e-6)
    assert longer_s == pytest.approx(quiet_s + 0.1)
    assert read == [events[1]]


def test_a_pass_reads_no_more_than_its_steps_allow():
    """Without a writer a pass has one step, and reads 2,048 tokens in it."""
    engine = PassEngine(ENGINE, 6)
    engine.add(Read(1.0, False, 0, lambda _: None))
    engine.begin_pass(0.0)
    assert engine.ends_s == pytest.approx(1.02e-3 + 2_048 / 206_000)


def note_read(done, name, _):
    done.append(name)


def test_the_newest_part_of_anothers_prompt_is_read_first():
    """An engine reads its own prompt of 0.1 s, and two parts arrive meanwhile."""
    done: list[str] = []
    engine = PassEngine(ENGINE, 6)
    for name, is_help in (("own", False), ("older", True), ("newest", True)):
        engine.add(Read(0.1, is_help, 0, partial(note_read, done, name)))
    while len(done) < 3:
        engine.begin_pass(0.0)
        engine.end_pass()
    assert done == ["newest", "older", "own"]


def test_more_prompts_than_slots_wait():
    engine = PassEngine(ENGINE, 6)
    for _ in range(8):
        engine.add(Read(0.01, False, 0, lambda _: None))
    engine.begin_pass(0.0)
    assert len(engine.reading) == 6
    assert len(engine.waiting) == 2


def test_runs_with_one_seed_are_the_same():
    policy = RELAY_POLICIES["product"]
    runs = [model_relays(FLEET, policy, seconds=2.0, random_state=4) for _ in range(2)]
    assert runs[0] == runs[1]


@pytest.mark.parametrize("baseline", ["least work", "relay with helpers"])
def test_more_is_earned_than_by_a_baseline(baseline):
    product = mean_worth(RELAY_POLICIES["product"])
    assert product > mean_worth(RELAY_POLICIES[baseline]) + 0.05


def test_spreading_what_is_packed_answers_more_in_time():
    """Many nodes, each a little late in knowing of the others, share few replicas.

    Without chance in the choice all of them filled the same replica beyond its slots.
    """
    spread = mean_worth(RELAY_POLICIES["product"])
    assert spread > mean_worth(place_without_spreading) + 0.03


def place_without_refusing(asked):
    """Place as the product does, but refuse nothing."""
    return choose_prompt(
        asked.engine, asked.size, asked.candidates, target_s=asked.target_s,
        unknown=4.0, draw=asked.luck.random(),
    )  # fmt: skip


def test_more_is_answered_when_what_can_not_be_in_time_is_refused_at_once():
    """Half of the replicas are out and twice the load comes.

    All waited, most callers left before their first event, and their places were
    wasted: the fleet answered fewer than it had room for.
    """
    crowded = dataclasses.replace(FLEET, replicas=14, load=2.0)
    product = mean_worth(RELAY_POLICIES["product"], crowded)
    assert product > mean_worth(place_without_refusing, crowded) * 1.1


def test_half_of_the_load_is_served_nearly_whole():
    light = dataclasses.replace(FLEET, load=0.5)
    assert mean_worth(RELAY_POLICIES["product"], light) > 0.95


YARD_ENGINE = dataclasses.replace(
    DENSE_ENGINE,
    kv_tokens=450_000,
    steps_per_pass=46,
    step_s=0.925e-3,
    read_s_per_token=1 / 256_000,
    read_s_per_pair=0.0917e-9,
)


def test_three_huge_prompts_at_once_leave_short_ones_quick():
    """Three prompts of 700,000 tokens arrive within a second; each is 25 s of work.

    Read in parts by all replicas they stopped every short prompt and every stream of
    the fleet for two to five seconds.
    """
    fleet = RelayModel(
        YARD_ENGINE,
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
        model_relays(fleet, RELAY_POLICIES["product"], seconds=9.0, random_state=seed)
        for seed in SEEDS
    ]
    short = [run.kinds[0].good for run in runs]
    assert sum(short) / len(short) >= 0.95
