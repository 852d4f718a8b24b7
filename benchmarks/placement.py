"""Simulate placement of prompts of different lengths and compare it with baselines.

``python -m benchmarks.placement`` simulates the load of a small and of a large fleet,
with all replicas and with some of them, and prints the share of the requests' worth
that each policy earns. ``--write`` saves the figures to ``results/placement.json``.
"""

import argparse
import json
from dataclasses import replace
from pathlib import Path

from lycheetide.simulation import (
    DENSE_ENGINE,
    RELAY_POLICIES,
    PromptKind,
    RelayModel,
    simulate_relays,
)

RESULTS = Path(__file__).parent / "results" / "placement.json"
SECONDS = 20.0
SEEDS = (1, 2, 3)

SMALL = RelayModel(
    DENSE_ENGINE,
    23,
    (
        PromptKind("quick", 24.4, 4_960, 23_800, 0.9, 32, 0.3, 0.25, 1.3),
        PromptKind("drawing", 1.33, 45_000, 110_000, 0.5, 19, 1.5, 0.6, 3.9),
        PromptKind("archive", 1.12, 133_000, 230_000, 0.55, 16, 2.5, 1.0, 15.0),
    ),
)
LARGE = RelayModel(
    replace(DENSE_ENGINE, slots=6, steps_per_pass=48),
    54,
    (
        PromptKind("recipe", 44.9, 4_960, 23_800, 0.9, 31, 0.321, 0.25, 1.3),
        PromptKind("dossier", 3.06, 45_000, 110_000, 0.5, 18, 1.532, 0.6, 3.3),
        PromptKind("digest", 1.45, 190_000, 230_000, 0.55, 15, 3.055, 1.0, 20.0),
    ),
    gossip_delay_s=0.045,
)
"""Rates, lengths and targets of the users' two fleets. Nodes of a large fleet learned
of one another's placements with a delay of 0.045 s when messages were bundled for
40 ms, the worst case that was tried.
"""
CASES = {
    "small": SMALL,
    "small, load 1.7": replace(SMALL, load=1.7),
    "small, half of the replicas": replace(SMALL, replicas=12),
    "large, load 2": replace(LARGE, load=2.0),
    "large, load 2, half of the replicas": replace(LARGE, load=2.0, replicas=27),
}


def measure(model, policy):
    """Return a policy's mean worth over the seeds, and the goodput of each kind."""
    runs = [
        simulate_relays(model, policy, seconds=SECONDS, random_state=seed)
        for seed in SEEDS
    ]
    row = {"worth": sum(run.worth for run in runs) / len(runs)}
    for place, kind in enumerate(model.kinds):
        row[kind.name] = sum(run.kinds[place].goodput for run in runs) / len(runs)
    return {name: round(value, 3) for name, value in row.items()}


def main():
    """Simulate all cases and print the results."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--write", action="store_true")
    args = parser.parse_args()
    figures = {}
    for case, model in CASES.items():
        for name, policy in RELAY_POLICIES.items():
            figures.setdefault(case, {})[name] = measure(model, policy)
            print(f"{case:38}{name:20}{figures[case][name]}", flush=True)
    if args.write:
        RESULTS.write_text(json.dumps(figures, indent=2) + "\n")


if __name__ == "__main__":
    main()
