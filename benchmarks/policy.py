"""Simulate the scheduling policy and baselines; write results and plots.

Time is virtual, so the same seed gives the same figures on every machine.
"""

import argparse
import json
import platform
import subprocess
from collections import Counter
from pathlib import Path

from matplotlib.figure import Figure

from lycheetide.load import plan_requests
from lycheetide.simulation import POLICIES, SimulationSettings, simulate_engines

ROOT = Path(__file__).resolve().parent.parent
RESULTS = ROOT / "benchmarks" / "results" / "policy.json"
PLOTS = ROOT / "docs" / "plots"
ANSWER_TOKENS = 48
LENGTH_RANGES = ((1_000, 3_000), (3_000, 10_000), (10_000, 100_000), (100_000, 400_000),
                 (400_000, 1_000_001))  # fmt: skip
BUCKETS = 40


def make_plan(load, *, seed, count, settings):
    """Return a load that takes a given share of the fleet's prefill rate."""
    drawn_requests = list(
        plan_requests(
            count, rate_per_s=1.0, random_state=seed, answer_tokens=ANSWER_TOKENS
        )
    )
    mean = sum(request.prompt_tokens for request in drawn_requests) / count
    rate = load * settings.replicas * settings.tokens_per_s / mean
    return list(
        plan_requests(
            count, rate_per_s=rate, random_state=seed, answer_tokens=ANSWER_TOKENS
        )
    )


def find_quantile(values, share):
    """Return the quantile of values at a share; None if there are no values."""
    ordered = sorted(values)
    if not ordered:
        return None
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 4)


def is_short(result):
    """Return whether a result belongs to a short prompt."""
    return result.planned.request_class == "quote"


def summarize_run(results, span_s):
    """Return the figures of one run."""
    short_first_token_s = [
        r.first_token_s for r in results if is_short(r) and r.first_token_s is not None
    ]
    answered = [r for r in results if r.outcome == "answered"]
    return {
        "short_p50_s": find_quantile(short_first_token_s, 0.50),
        "short_p95_s": find_quantile(short_first_token_s, 0.95),
        "short_p99_s": find_quantile(short_first_token_s, 0.99),
        "outcomes": {
            f"{'short' if short else 'huge'} {outcome}": count
            for (short, outcome), count in sorted(
                Counter((is_short(r), r.outcome) for r in results).items()
            )
        },
        "goodput_tokens_per_s": round(
            sum(r.planned.prompt_tokens for r in answered) / span_s
        ),
        "prefix_hits": round(sum(r.has_cache_hit for r in results) / len(results), 4),
        "first_p95_s_by_length": {
            f"{low}-{high}": find_quantile(
                [
                    r.first_token_s
                    for r in results
                    if r.first_token_s is not None
                    and low <= r.planned.prompt_tokens < high
                ],
                0.95,
            )
            for low, high in LENGTH_RANGES
        },
    }


def measure_mixed_load(*, seed, count, settings):
    """Simulate all policies at 80% load, and this project's with short prompts only."""
    plan = make_plan(0.8, seed=seed, count=count, settings=settings)
    span_s = plan[-1].at_s
    short_only = [request for request in plan if request.request_class == "quote"]
    rows = {
        name: summarize_run(
            simulate_engines(make_policy, plan, settings=settings), span_s
        )
        for name, make_policy in POLICIES.items()
    }
    results = simulate_engines(POLICIES["lycheetide"], short_only, settings=settings)
    rows["short prompts alone"] = summarize_run(results, span_s)
    return rows


def measure_domain(*, seed, count, settings):
    """Take one of three domains out at 60% load and return it in steps."""
    plan = make_plan(0.6, seed=seed, count=count, settings=settings)
    span_s = plan[-1].at_s
    changes = (
        (0.3 * span_s, "d-b", "out"),
        (0.6 * span_s, "d-b", "returning"),
        (0.8 * span_s, "d-b", "in"),
    )
    domain_settings = SimulationSettings(
        replicas=settings.replicas,
        tokens_per_s=settings.tokens_per_s,
        kv_capacity_tokens=settings.kv_capacity_tokens,
        domain_changes=changes,
    )
    rows = {}
    series = {}
    for name in ("lycheetide", "least outstanding", "least outstanding, priorities"):
        results = simulate_engines(POLICIES[name], plan, settings=domain_settings)
        rows[name] = summarize_run(results, span_s)
        series[name] = make_time_series(results, span_s)
    return rows, series, [change[0] / span_s for change in changes[:2]]


def make_time_series(results, span_s):
    """Return the share of short prompts with a first token within 1 s, over time."""
    series = []
    for bucket in range(BUCKETS):
        low, high = bucket * span_s / BUCKETS, (bucket + 1) * span_s / BUCKETS
        in_bucket = [r for r in results if is_short(r) and low <= r.planned.at_s < high]
        good = sum(
            r.first_token_s is not None and r.first_token_s <= 1.0 for r in in_bucket
        )
        series.append(good / len(in_bucket) if in_bucket else None)
    return series


def measure_overload(*, seed, count, settings):
    """Simulate 70 to 150% load and compare what is answered in time."""
    rows = {}
    for name in ("lycheetide", "least outstanding, priorities"):
        for percent in (70, 90, 110, 130, 150):
            plan = make_plan(percent / 100, seed=seed, count=count, settings=settings)
            results = simulate_engines(POLICIES[name], plan, settings=settings)
            end_s = max(r.planned.at_s + (r.total_s or 0.0) for r in results)
            rows[f"{name} at {percent}%"] = summarize_run(results, end_s)
    return rows


def plot_sharing(rows, path):
    """Plot the time to first token by prompt length."""
    figure = Figure(figsize=(7.5, 4.5), layout="constrained")
    axes = figure.subplots()
    range_centers = [(low * high) ** 0.5 for low, high in LENGTH_RANGES]
    for name, row in rows.items():
        values = list(row["first_p95_s_by_length"].values())
        points = [(x, y) for x, y in zip(range_centers, values, strict=True) if y]
        width = 2.5 if name == "lycheetide" else 1.2
        axes.plot(*zip(*points, strict=True), marker="o", label=name, linewidth=width)
    axes.set_xscale("log")
    axes.set_yscale("log")
    axes.set_xlabel("prompt length, tokens")
    axes.set_ylabel("time to first token, p95, s")
    axes.set_title("80% load, one prompt in fifty above 100,000 tokens")
    axes.grid(alpha=0.3)
    axes.legend(fontsize=8)
    figure.savefig(path, dpi=120)


def plot_domain(series, change_positions, path):
    """Plot how short prompts are served while a domain leaves and returns."""
    figure = Figure(figsize=(7.5, 4.0), layout="constrained")
    axes = figure.subplots()
    for name, values in series.items():
        shares = [value if value is not None else float("nan") for value in values]
        axes.plot([i / BUCKETS for i in range(BUCKETS)], shares, label=name)
    for position, text in zip(
        change_positions, ("domain out", "returning"), strict=True
    ):
        axes.axvline(position, color="grey", linestyle=":")
        axes.text(position + 0.005, 0.02, text, fontsize=8)
    axes.set_ylim(0, 1.05)
    axes.set_xlabel("share of the run")
    axes.set_ylabel("quick quotes with first token within 1 s")
    axes.grid(alpha=0.3)
    axes.legend(fontsize=8, loc="lower right")
    figure.savefig(path, dpi=120)


def describe_commit():
    """Return a description of the commit that is measured."""
    command = ["git", "describe", "--always", "--dirty"]
    return subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, check=False
    ).stdout.strip()


def print_rows(title, rows):
    """Print one line per run."""
    print(f"\n{title}")
    print(f"{'':34}{'short p50':>10}{'p95':>8}{'p99':>8}{'tokens/s':>10}{'hits':>7}")
    for name, row in rows.items():
        print(
            f"{name:34}{row['short_p50_s']:10.3f}{row['short_p95_s']:8.3f}"
            f"{row['short_p99_s']:8.3f}{row['goodput_tokens_per_s']:10}"
            f"{row['prefix_hits']:7.3f}  {row['outcomes']}"
        )


def main():
    """Simulate all cases and write the results."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument("--count", type=int, default=6_000)
    args = parser.parse_args()
    settings = SimulationSettings()
    common = {"seed": args.seed, "count": args.count, "settings": settings}
    sharing = measure_mixed_load(**common)
    domain, series, change_positions = measure_domain(**common)
    overload = measure_overload(**common)
    print_rows("80% load", sharing)
    print_rows("60% load, one of three domains leaves and returns", domain)
    print_rows("overload", overload)
    PLOTS.mkdir(parents=True, exist_ok=True)
    plot_sharing(sharing, PLOTS / "first-token-by-length.png")
    plot_domain(series, change_positions, PLOTS / "domain-out-and-back.png")
    document = {
        "seed": args.seed,
        "requests": args.count,
        "commit": describe_commit(),
        "machine": f"{platform.machine()}, CPython {platform.python_version()}",
        "sharing": sharing,
        "domain": domain,
        "overload": overload,
    }
    RESULTS.write_text(json.dumps(document, indent=1) + "\n")


if __name__ == "__main__":
    main()
