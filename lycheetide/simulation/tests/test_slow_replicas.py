"""Load pattern: a fifth of the replicas turns slow in a burst of huge prompts.

Each huge prompt is prefilled by ten replicas and more, and its first event follows the
last part. Without knowledge of the paces, nearly every huge prompt has a slow reader.
"""

import dataclasses

import pytest

from lycheetide.routes import EngineProfile
from lycheetide.simulation import (
    RELAY_POLICIES,
    PromptKind,
    RelayModel,
    simulate_relays,
)

ENGINE = EngineProfile(
    slots=6, kv_tokens=405_000, steps_per_pass=38, step_s=1.31e-3,
    step_s_per_writer=0.917e-6, step_s_per_context_token=2.13e-9,
    read_s_per_token=1 / 154_000, read_s_per_pair=0.162e-9,
)  # fmt: skip
BURST = RelayModel(
    ENGINE,
    45,
    (
        PromptKind("short", 9.4, 4_960, 23_800, 0.9, 36, 0.321, 0.25, 1.3),
        PromptKind("long", 4.2, 45_000, 110_000, 0.5, 21, 1.533, 0.6, 3.3),
        PromptKind("huge", 1.36, 260_000, 600_000, 0.55, 18, 4.057, 1.0, 34.0),
    ),
    gossip_delay_s=0.03,
    nodes=67,
    slow_replicas=8,
    slow_pace=4.2,
)
SEEDS = (1, 2, 3)


def simulate(model):
    return [
        simulate_relays(
            model, RELAY_POLICIES["product"], seconds=6.0, random_state=seed
        )
        for seed in SEEDS
    ]


def mean(values):
    values = list(values)
    return sum(values) / len(values)


def test_slow_replicas_hardly_matter_once_their_paces_are_known():
    """Guards against readers that are slow, for which the whole prompt waits."""
    informed = mean(run.worth for run in simulate(BURST))
    without_slow = dataclasses.replace(BURST, slow_replicas=0)
    without_slow = dataclasses.replace(without_slow, replicas=37)
    unharmed = mean(run.worth for run in simulate(without_slow))
    assert informed == pytest.approx(unharmed, abs=0.05)


def test_slow_replicas_make_long_prompts_late_if_their_paces_are_unknown():
    """Shows that the pattern hurts, so that the other test can fail."""
    uninformed = simulate(dataclasses.replace(BURST, knows_paces=False))
    informed = simulate(BURST)
    for place in (0, 1):
        unknown, known = (
            mean(run.kinds[place].goodput for run in runs)
            for runs in (uninformed, informed)
        )
        assert unknown < known - 0.05
