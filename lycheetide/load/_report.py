"""Report latencies by prompt length as a table, as JSON and as a plot."""

from collections import Counter

from hdrh.histogram import HdrHistogram

LENGTH_RANGES = (
    ("1 k to 10 k", 0, 10_000),
    ("10 k to 100 k", 10_000, 100_000),
    ("100 k to 400 k", 100_000, 400_000),
    ("400 k to 1 M", 400_000, 1_000_001),
)
PERCENTILES = (50.0, 95.0, 99.0)
MAX_LATENCY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3


def make_report(outcomes, *, seed):
    """Return the results of a load as plain data.

    Parameters
    ----------
    outcomes : sequence of RequestResult
        Results of all requests.
    seed : int
        Seed of the load.

    Returns
    -------
    dict
        Counts of outcomes and reasons, and for each range of prompt lengths the
        percentiles of the time to the first token and of the time between tokens, in
        milliseconds.
    """
    rows = [_make_row(name, low, high, outcomes) for name, low, high in LENGTH_RANGES]
    return {
        "seed": seed,
        "requests": len(outcomes),
        "outcomes": dict(Counter(outcome.outcome for outcome in outcomes)),
        "reasons": dict(Counter(o.reason for o in outcomes if o.reason)),
        "lengths": [row for row in rows if row["requests"]],
    }


def _make_row(name, low, high, outcomes):
    """Return counts and latencies of one range of prompt lengths."""
    in_range = [o for o in outcomes if low <= o.planned.prompt_tokens < high]
    answered = [o for o in in_range if o.outcome == "answered"]
    first = _make_histogram(o.first_token_s for o in answered)
    gaps = _make_histogram(gap for o in answered for gap in o.token_gaps_s)
    return {
        "length": name,
        "requests": len(in_range),
        "answered": len(answered),
        "first_token_ms": _get_percentiles(first),
        "between_tokens_ms": _get_percentiles(gaps),
    }


def _make_histogram(values_s):
    """Return a histogram in microseconds of the given times in seconds."""
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for value_s in values_s:
        histogram.record_value(max(1, int(value_s * 1e6)))
    return histogram


def _get_percentiles(histogram):
    """Return the percentiles of a histogram in milliseconds."""
    return {
        f"p{percentile:g}": round(
            histogram.get_value_at_percentile(percentile) / 1000, 2
        )
        for percentile in PERCENTILES
    }


def format_report(report):
    """Yield the lines of the report as a plain-text table."""
    yield f"requests {report['requests']}, seed {report['seed']}"
    yield "outcomes " + ", ".join(
        f"{name} {count}" for name, count in sorted(report["outcomes"].items())
    )
    if report["reasons"]:
        yield "reasons  " + ", ".join(
            f"{name} {count}" for name, count in sorted(report["reasons"].items())
        )
    yield (
        f"{'prompt length':16}{'asked':>7}{'whole':>7}"
        f"{'first token p50/p95/p99 ms':>30}{'between tokens p50/p95/p99 ms':>32}"
    )
    for row in report["lengths"]:
        first = "/".join(f"{v:g}" for v in row["first_token_ms"].values())
        gaps = "/".join(f"{v:g}" for v in row["between_tokens_ms"].values())
        yield (
            f"{row['length']:16}{row['requests']:7}{row['answered']:7}"
            f"{first:>30}{gaps:>32}"
        )


def save_latency_plot(outcomes, path):
    """Plot the time to first token by prompt length.

    Raises
    ------
    ImportError
        If the ``plot`` extra is not installed.
    """
    from matplotlib.figure import Figure  # noqa: PLC0415

    figure = Figure(figsize=(7, 4.5), layout="constrained")
    axes = figure.subplots()
    for outcome_name, marker in (("answered", "o"), ("not_run", "x"), ("failed", "^")):
        selected = [o for o in outcomes if o.outcome == outcome_name]
        if not selected:
            continue
        axes.scatter(
            [o.planned.prompt_tokens for o in selected],
            [max(o.first_token_s or o.total_s, 1e-3) for o in selected],
            marker=marker,
            s=14,
            alpha=0.7,
            label=f"{outcome_name} ({len(selected)})",
        )
    axes.set_xscale("log")
    axes.set_yscale("log")
    axes.set_xlabel("prompt length, tokens")
    axes.set_ylabel("time to first token or refusal, s")
    axes.legend()
    axes.grid(alpha=0.3)
    figure.savefig(path, dpi=120)
