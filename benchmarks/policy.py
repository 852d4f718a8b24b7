"""Measure the policy against baselines; write results, a table and plots.

Virtual time only: the same seed gives the same figures on every machine.
"""

import argparse
import json
import platform
import subprocess
from collections import Counter
from pathlib import Path

from matplotlib.figure import Figure

from lycheetide.load import plan_requests
from lycheetide.model import POLICIES, SimulationSettings, simulate_engines

ROOT = Path(__file__).resolve().parent.parent
RESULTS = ROOT / "benchmarks" / "results" / "policy.json"
PLOTS = ROOT / "docs" / "plots"
ANSWER_TOKENS = 48
LENGTHS = ((1_000, 3_000), (3_000, 10_000), (10_000, 100_000), (100_000, 400_000),
           (400_000, 1_000_001))  # fmt: skip
BUCKETS = 40


def make_plan(load, *, seed, count, settings):
    """Return a load that fills a share of the fleet's reading rate."""
    sizes = list(
        plan_requests(
            count, rate_per_s=1.0, random_state=seed, answer_tokens=ANSWER_TOKENS
        )
    )
    mean = sum(request.prompt_tokens for request in sizes) / count
    rate = load * settings.replicas * settings.tokens_per_s / mean
    return list(
        plan_requests(
            count, rate_per_s=rate, random_state=seed, answer_tokens=ANSWER_TOKENS
        )
    )


def find_quantile(values, share):
    """Return the value below which a share of all lies."""
    ordered = sorted(values)
    if not ordered:
        return None
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 4)


def is_short(result):
    """Tell whether a result is of a short prompt."""
    return result.planned.request_class == "quote"


def describe(results, span_s):
    """Return the figures of one run."""
    shorts = [
        r.first_token_s for r in results if is_short(r) and r.first_token_s is not None
    ]
    answered = [r for r in results if r.outcome == "answered"]
    return {
        "short_p50_s": find_quantile(shorts, 0.50),
        "short_p95_s": find_quantile(shorts, 0.95),
        "short_p99_s": find_quantile(shorts, 0.99),
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
            for low, high in LENGTHS
        },
    }


def measure_sharing(*, seed, count, settings):
    """Run every policy at 80% load, and this project's with short prompts alone."""
    plan = make_plan(0.8, seed=seed, count=count, settings=settings)
    span_s = plan[-1].at_s
    alone = [request for request in plan if request.request_class == "quote"]
    rows = {
        name: describe(simulate_engines(make, plan, settings=settings), span_s)
        for name, make in POLICIES.items()
    }
    results = simulate_engines(POLICIES["lycheetide"], alone, settings=settings)
    rows["short prompts alone"] = describe(results, span_s)
    return rows


def measure_domain(*, seed, count, settings):
    """Take one domain of three out at 60% load and bring it back in steps."""
    plan = make_plan(0.6, seed=seed, count=count, settings=settings)
    span_s = plan[-1].at_s
    changes = (
        (0.3 * span_s, "d-b", "out"),
        (0.6 * span_s, "d-b", "returning"),
        (0.8 * span_s, "d-b", "in"),
    )
    changed = SimulationSettings(
        replicas=settings.replicas,
        tokens_per_s=settings.tokens_per_s,
        kv_capacity_tokens=settings.kv_capacity_tokens,
        domain_changes=changes,
    )
    rows = {}
    series = {}
    for name in ("lycheetide", "least outstanding", "least outstanding, priorities"):
        results = simulate_engines(POLICIES[name], plan, settings=changed)
        rows[name] = describe(results, span_s)
        series[name] = make_series(results, span_s)
    return rows, series, [change[0] / span_s for change in changes[:2]]


def make_series(results, span_s):
    """Return the share of quick quotes whose first token came within 1 s, by time."""
    series = []
    for bucket in range(BUCKETS):
        low, high = bucket * span_s / BUCKETS, (bucket + 1) * span_s / BUCKETS
        inside = [r for r in results if is_short(r) and low <= r.planned.at_s < high]
        good = sum(
            r.first_token_s is not None and r.first_token_s <= 1.0 for r in inside
        )
        series.append(good / len(inside) if inside else None)
    return series


def measure_overload(*, seed, count, settings):
    """Run at 70 to 150% load and compare what is answered in time."""
    rows = {}
    for name in ("lycheetide", "least outstanding, priorities"):
        for percent in (70, 90, 110, 130, 150):
            plan = make_plan(percent / 100, seed=seed, count=count, settings=settings)
            results = simulate_engines(POLICIES[name], plan, settings=settings)
            end_s = max(r.planned.at_s + (r.total_s or 0.0) for r in results)
            rows[f"{name} at {percent}%"] = describe(results, end_s)
    return rows


def plot_sharing(rows, path):
    """Draw the time to first token by prompt length."""
    figure = Figure(figsize=(7.5, 4.5), layout="constrained")
    axes = figure.subplots()
    middles = [(low * high) ** 0.5 for low, high in LENGTHS]
    for name, row in rows.items():
        values = list(row["first_p95_s_by_length"].values())
        points = [(x, y) for x, y in zip(middles, values, strict=True) if y]
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


def plot_domain(series, marks, path):
    """Draw the service of quick quotes while a domain leaves and returns."""
    figure = Figure(figsize=(7.5, 4.0), layout="constrained")
    axes = figure.subplots()
    for name, values in series.items():
        shares = [value if value is not None else float("nan") for value in values]
        axes.plot([i / BUCKETS for i in range(BUCKETS)], shares, label=name)
    for mark, text in zip(marks, ("domain out", "returning"), strict=True):
        axes.axvline(mark, color="grey", linestyle=":")
        axes.text(mark + 0.005, 0.02, text, fontsize=8)
    axes.set_ylim(0, 1.05)
    axes.set_xlabel("share of the run")
    axes.set_ylabel("quick quotes with first token within 1 s")
    axes.grid(alpha=0.3)
    axes.legend(fontsize=8, loc="lower right")
    figure.savefig(path, dpi=120)


def find_commit():
    """Return the commit that was measured."""
    command = ["git", "describe", "--always", "--dirty"]
    return subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, check=False
    ).stdout.strip()


def print_rows(title, rows):
    """Print one line a run."""
    print(f"\n{title}")
    print(f"{'':34}{'short p50':>10}{'p95':>8}{'p99':>8}{'tokens/s':>10}{'hits':>7}")
    for name, row in rows.items():
        print(
            f"{name:34}{row['short_p50_s']:10.3f}{row['short_p95_s']:8.3f}"
            f"{row['short_p99_s']:8.3f}{row['goodput_tokens_per_s']:10}"
            f"{row['prefix_hits']:7.3f}  {row['outcomes']}"
        )


def main():
    """Run all and write what came out."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument("--count", type=int, default=6_000)
    args = parser.parse_args()
    settings = SimulationSettings()
    fixed = {"seed": args.seed, "count": args.count, "settings": settings}
    sharing = measure_sharing(**fixed)
    domain, series, marks = measure_domain(**fixed)
    overload = measure_overload(**fixed)
    print_rows("80% load", sharing)
    print_rows("60% load, a domain of three leaves and returns", domain)
    print_rows("overload", overload)
    PLOTS.mkdir(parents=True, exist_ok=True)
    plot_sharing(sharing, PLOTS / "first-token-by-length.png")
    plot_domain(series, marks, PLOTS / "domain-out-and-back.png")
    document = {
        "seed": args.seed,
        "requests": args.count,
        "commit": find_commit(),
        "machine": f"{platform.machine()}, CPython {platform.python_version()}",
        "sharing": sharing,
        "domain": domain,
        "overload": overload,
    }
    RESULTS.write_text(json.dumps(document, indent=1) + "\n")


if __name__ == "__main__":
    main()
