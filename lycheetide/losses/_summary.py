"""Summarize losses and format the summary."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from datetime import datetime

from lycheetide.losses._detection import detect_losses
from lycheetide.losses._types import (
    UNPREVENTABLE_CAUSES,
    BlockingPrompt,
    Event,
    LossCause,
    LossGroup,
    Summary,
)

WINDOW_S = 2.0
"""Length of the time windows; the summary shows those with most losses."""


class _PrefillTotals:
    """Prefill work of each prompt."""

    def __init__(self):
        self.tokens: dict[str, int] = {}
        self.readers: Counter[str] = Counter()
        self.engine_s: dict[str, float] = defaultdict(float)

    def add(self, read):
        """Add the prefill of one part of a prompt."""
        self.tokens[read.request] = read.tokens
        self.readers[read.request] += 1
        self.engine_s[read.request] += read.prefill_s


def summarize(events: Iterable[Event], *, probes=frozenset()) -> Summary:
    """Return the summary of the losses in a stream of events.

    Parameters
    ----------
    events : iterable of Event
        Log events in the order of their times.
    probes : set of str
        Routes whose requests only probe which configuration is in force. Their failures
        are no losses and are counted separately.
    """
    probed = 0
    ended = Counter[str]()
    prefill_totals = _PrefillTotals()
    groups: dict[str, dict[str, Counter]] = defaultdict(lambda: defaultdict(Counter))
    blocked_counts = Counter[str]()
    losses = detect_losses(
        events, on_end=lambda: ended.update(["all"]), on_read=prefill_totals.add
    )
    for loss in losses:
        if loss.route in probes:
            probed += 1
            continue
        names = {
            "cause": loss.cause,
            "kind": loss.kind,
            "route": loss.route or "?",
            "customer": loss.customer or "?",
            "window": _format_window(loss.at_s),
        }
        for group, name in names.items():
            groups[group][name][loss.cause] += 1
        if loss.blocking_prompt:
            blocked_counts[loss.blocking_prompt] += 1
    return _make_summary(ended["all"], probed, groups, blocked_counts, prefill_totals)


def _format_window(at_s):
    """Return the time of day at which the window that contains ``at_s`` starts."""
    window_start_s = at_s // WINDOW_S * WINDOW_S
    return datetime.fromtimestamp(window_start_s).strftime("%H:%M:%S")


def _make_summary(requests, probed, groups, blocked_counts, prefill_totals):
    """Return the summary of the counted losses."""
    by_cause = {name: sum(counts.values()) for name, counts in groups["cause"].items()}
    lost = sum(by_cause.values())
    unknown = by_cause.get(LossCause.UNKNOWN, 0)
    costly = tuple(
        BlockingPrompt(
            name,
            prefill_totals.tokens.get(name, 0),
            prefill_totals.readers[name],
            round(prefill_totals.engine_s[name], 3),
            count,
        )
        for name, count in blocked_counts.most_common()
    )
    return Summary(
        requests=requests,
        probed=probed,
        lost=lost,
        known_share=1.0 - unknown / lost if lost else 1.0,
        beyond_decisions=sum(by_cause.get(cause, 0) for cause in UNPREVENTABLE_CAUSES),
        causes=_make_groups(groups["cause"]),
        kinds=_make_groups(groups["kind"]),
        routes=_make_groups(groups["route"]),
        customers=_make_groups(groups["customer"]),
        windows=_make_groups(groups["window"]),
        costly=costly,
    )


def _make_groups(counts):
    """Return the groups, those with most losses first."""
    rows = [
        LossGroup(str(name), sum(causes.values()), tuple(
            (str(cause), count) for cause, count in causes.most_common()
        ))
        for name, causes in counts.items()
    ]  # fmt: skip
    return tuple(sorted(rows, key=lambda row: (-row.count, row.name)))


def format_summary(summary: Summary, *, max_rows: int = 8) -> Iterator[str]:
    """Yield the lines of a summary as a plain-text report.

    Parameters
    ----------
    summary : Summary
        Summary to format.
    max_rows : int
        Maximum number of rows of each table.
    """
    yield (
        f"{summary.lost} of {summary.requests} requests lost; the cause of "
        f"{summary.known_share:.0%} is known; {summary.beyond_decisions} could not "
        "have been prevented by any placement"
    )
    if summary.probed:
        yield f"{summary.probed} failed probes are not counted as losses"
    tables = (
        ("cause", summary.causes),
        ("kind of loss", summary.kinds),
        (f"window of {WINDOW_S:.0f} s", summary.windows),
        ("route", summary.routes),
        ("customer", summary.customers),
    )
    for title, rows in tables:
        yield ""
        yield f"{title:24}{'lost':>6}  by cause"
        for row in rows[:max_rows]:
            causes = ", ".join(f"{name} {count}" for name, count in row.causes[:4])
            yield f"{row.name:24}{row.count:6}  {causes}"
    yield ""
    yield f"{'prompt':24}{'lost':>6}  blocked by its prefill"
    for prompt in summary.costly[:max_rows]:
        yield (
            f"{prompt.request:24}{prompt.lost:6}  {prompt.tokens} tokens, "
            f"{prompt.readers} readers, {prompt.engine_s:.2f} engine-seconds"
        )
