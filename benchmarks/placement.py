"""Simulate placement of prompts of different lengths and compare it with baselines.

``python -m benchmarks.placement`` simulates the load of a small and of a large fleet,
with all replicas and with some of them, and prints the share of the requests' worth
that each policy earns. ``--write`` saves the figures to ``results/placement.json``.
``--case "fleet A"`` simulates a fleet whose mix changes in phases instead, at several
loads, with standard errors; ``--write`` then saves to ``results/phases.json``.
"""

import argparse
import itertools
import json
import random
import statistics
from dataclasses import replace
from multiprocessing import Pool
from pathlib import Path

from lycheetide.simulation import (
    DENSE_ENGINE,
    RELAY_POLICIES,
    PromptKind,
    RelayModel,
    simulate_relays,
)

RESULTS = Path(__file__).parent / "results" / "placement.json"
PHASE_RESULTS = RESULTS.with_name("phases.json")
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


PHASES_S = ((1.6, 11.1), (13.0, 22.5), (23.0, 32.5))
"""Phases of the arrivals: more long prompts, more short ones, more long ones."""
FLEET_A = RelayModel(
    replace(DENSE_ENGINE, slots=6, steps_per_pass=48, kv_tokens=197_200),
    60,
    (
        PromptKind("short", 37.4, 4_960, 23_800, 0.9, 31, 0.271, 0.25, 1.8),
        PromptKind("middle", 4.42, 45_000, 110_000, 0.5, 18, 1.532, 0.6, 2.4),
        PromptKind("huge", 1.58, 190_000, 600_000, 0.55, 15, 6.055, 1.0, 7.3),
    ),
    gossip_delay_s=0.03,
    nodes=59,
)
FLEET_B = RelayModel(
    replace(DENSE_ENGINE, slots=6, steps_per_pass=48),
    69,
    (
        PromptKind("short", 50.6, 4_960, 23_800, 0.9, 31, 0.321, 0.25, 1.3),
        PromptKind("middle", 3.44, 45_000, 110_000, 0.5, 18, 1.532, 0.6, 3.3),
        PromptKind("huge", 1.63, 190_000, 600_000, 0.55, 15, 3.055, 1.0, 20.0),
    ),
    gossip_delay_s=0.03,
    nodes=78,
)
ALTERNATING_A = {"short": (0.39, 2.4, 0.39), "middle": (1.3, 0.5, 1.3),
                 "huge": (2.6, 0.05, 2.6)}  # fmt: skip
ALTERNATING_B = {"short": (0.32, 2.5, 0.32), "middle": (1.3, 0.5, 1.3),
                 "huge": (2.8, 0.05, 2.8)}  # fmt: skip
ONLY_MIDDLE = {"middle": (6.0, 6.0, 6.0), "huge": (0.0, 0.0, 0.0)}
SLOW_CHANGE = {"short": (2.2, 1.3, 0.4), "huge": (0.2, 1.2, 2.2)}
PHASE_CASES = {
    "fleet A": (FLEET_A, ALTERNATING_A),
    "fleet B": (FLEET_B, ALTERNATING_B),
    "constant mix": (FLEET_B, {}),
    "slow change": (FLEET_A, SLOW_CHANGE),
    "middle prompts": (FLEET_B, ONLY_MIDDLE),
}
"""Two fleets whose mix changes in phases, and mixes that no rule was tuned on: each
with the factors on the rates in the three phases, by kind."""
PHASE_POLICIES = ("product", "with reservation", "contended")
PHASE_LOADS = (1.0, 1.35, 1.7, 2.0)
PHASE_SECONDS = 33.0


def draw_phases(model, factors, load, seed):
    """Return a model with the arrival times of its kinds drawn for all phases."""
    rng = random.Random(seed)

    def draw_times(kind):
        factor_by_phase = factors.get(kind.name, (1.0,) * len(PHASES_S))
        most = max(1.0, *factor_by_phase)
        at_s = 0.0
        while True:
            at_s += rng.expovariate(kind.rate_per_s * load * most)
            if at_s >= PHASE_SECONDS:
                return
            factor = next(
                (
                    factor
                    for (begin_s, end_s), factor in zip(
                        PHASES_S, factor_by_phase, strict=True
                    )
                    if begin_s <= at_s < end_s
                ),
                1.0,
            )
            if rng.random() * most < factor:
                yield at_s

    return replace(
        model,
        kinds=tuple(
            replace(kind, at_s=tuple(draw_times(kind))) for kind in model.kinds
        ),
    )


def run_phases(case, load, policy, seed):
    """Simulate a case of ``PHASE_CASES`` once."""
    model, factors = PHASE_CASES[case]
    return simulate_relays(
        draw_phases(model, factors, load, seed), RELAY_POLICIES[policy],
        seconds=PHASE_SECONDS, random_state=seed,
    )  # fmt: skip


def measure_phases(cases, policies, seeds, processes):
    """Return the rows of the table of policies, with standard errors over seeds.

    ``gain`` is the difference in worth from the first policy, on the same arrivals.
    """
    keys = list(itertools.product(cases, PHASE_LOADS, policies, seeds))
    with Pool(processes) as pool:
        runs = dict(zip(keys, pool.starmap(run_phases, keys, 1), strict=True))
    rows = []
    for case, load, policy in itertools.product(cases, PHASE_LOADS, policies):
        own = [runs[case, load, policy, seed] for seed in seeds]
        first = [runs[case, load, policies[0], seed] for seed in seeds]
        gains = [run.worth - base.worth for run, base in zip(own, first, strict=True)]
        row = {"case": case, "load": load, "policy": policy, "seeds": len(seeds)}
        worth = statistics.fmean(run.worth for run in own)
        row |= {
            "worth": round(worth, 4),
            "worth_error": round(_find_error([run.worth for run in own]), 4),
            "gain": round(statistics.fmean(gains), 4),
            "gain_error": round(_find_error(gains), 4),
        }
        for place, kind in enumerate(own[0].kinds):
            mean = statistics.fmean(run.kinds[place].goodput for run in own)
            row[kind.name] = round(mean, 3)
        rows.append(row)
    return rows


def _find_error(values):
    """Return the standard error of the mean."""
    return statistics.stdev(values) / len(values) ** 0.5 if len(values) > 1 else 0.0


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
    """Simulate the cases and print the results."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--write", action="store_true")
    parser.add_argument(
        "--case", action="append", choices=PHASE_CASES, default=[],
        help="simulate only this case with phases; may be given several times",
    )  # fmt: skip
    parser.add_argument(
        "--policy", action="append", choices=RELAY_POLICIES, default=[],
        help="simulate only this policy; gains are over the first one",
    )  # fmt: skip
    parser.add_argument("--seeds", type=int, default=3, help="of cases with phases")
    parser.add_argument("--processes", type=int, default=2)
    args = parser.parse_args()
    if args.case:
        seeds = range(11, 11 + args.seeds)
        policies = args.policy or PHASE_POLICIES
        rows = measure_phases(args.case, policies, seeds, args.processes)
        for row in rows:
            print(row)
        if args.write:
            write_phases(rows)
        return
    figures = {}
    for case, model in CASES.items():
        for name, policy in RELAY_POLICIES.items():
            figures.setdefault(case, {})[name] = measure(model, policy)
            print(f"{case:38}{name:20}{figures[case][name]}", flush=True)
    if args.write:
        RESULTS.write_text(json.dumps(figures, indent=2) + "\n")


def write_phases(rows):
    """Save the rows, in place of earlier ones of the same cases."""
    cases = {row["case"] for row in rows}
    known = json.loads(PHASE_RESULTS.read_text()) if PHASE_RESULTS.exists() else []
    kept = [row for row in known if row["case"] not in cases]
    lines = ",\n".join(json.dumps(row) for row in kept + rows)
    PHASE_RESULTS.write_text(f"[\n{lines}\n]\n")


if __name__ == "__main__":
    main()
