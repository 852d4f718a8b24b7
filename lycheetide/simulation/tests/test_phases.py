"""A surge of short prompts after a phase of long ones, on a small fleet."""

import random
from dataclasses import replace

import pytest

from lycheetide.simulation import (
    DENSE_ENGINE,
    RELAY_POLICIES,
    PromptKind,
    RelayModel,
    simulate_relays,
)

SHORT = PromptKind("short", 9.0, 4_960, 23_800, 0.9, 31, 0.3, 0.25, 1.5)
HUGE = PromptKind("huge", 1.2, 190_000, 600_000, 0.55, 15, 4.0, 1.0, 10.0)
FLEET = RelayModel(
    replace(DENSE_ENGINE, slots=6, steps_per_pass=48), 12, (SHORT, HUGE),
    gossip_delay_s=0.03, nodes=12,
)  # fmt: skip


def draw_times(rate_per_s, begin_s, end_s, seed):
    rng = random.Random(f"{seed}/{rate_per_s}")
    count = round(rate_per_s * (end_s - begin_s))
    return tuple(sorted(rng.uniform(begin_s, end_s) for _ in range(count)))


def run(kinds, policy, seed):
    model = replace(FLEET, kinds=kinds)
    return simulate_relays(
        model, RELAY_POLICIES[policy], seconds=8.0, random_state=seed
    )


def mean_worth(kinds_by_seed, policy):
    runs = [run(kinds, policy, seed) for seed, kinds in enumerate(kinds_by_seed)]
    return sum(one.worth for one in runs) / len(runs)


def test_a_surge_beyond_all_slots_does_not_make_every_prompt_late():
    """The queue that a surge builds up makes all later short prompts late."""
    surges = [
        (replace(SHORT, at_s=draw_times(52.0, 0.0, 8.0, seed)),) for seed in range(3)
    ]
    before = mean_worth(surges, "product")
    assert mean_worth(surges, "contended") > before + 0.1


def test_short_prompts_are_served_beside_too_many_huge_ones():
    """Huge prompts that arrive faster than they are prefilled close all replicas."""
    mixes = [
        (
            replace(SHORT, at_s=draw_times(9.0, 0.0, 8.0, seed)),
            replace(HUGE, at_s=draw_times(3.0, 0.0, 8.0, seed)),
        )
        for seed in range(3)
    ]
    shares = {
        policy: sum(
            run(kinds, policy, seed).kinds[0].goodput
            for seed, kinds in enumerate(mixes)
        )
        / len(mixes)
        for policy in ("product", "contended")
    }
    assert shares["contended"] > shares["product"] + 0.05


def test_ample_capacity_is_used_as_before():
    """Nothing may be refused or withheld while capacity isn't short."""
    kinds = (replace(SHORT, at_s=draw_times(9.0, 0.0, 8.0, 1)),)
    results = [run(kinds, policy, 1) for policy in ("product", "contended")]
    assert results[0] == results[1]
    assert results[0].worth == pytest.approx(1.0, abs=0.02)
