"""Sum losses up, and print them."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from datetime import datetime

from lycheetide.losses._account import account_losses
from lycheetide.losses._types import (
    BEYOND_DECISIONS,
    Cause,
    Costly,
    Event,
    Row,
    Summary,
)

WINDOW_S = 2.0
"""Length of the windows of which the worst are shown."""


class _Reading:
    """What each prompt cost in reading."""

    def __init__(self):
        self.tokens: dict[str, int] = {}
        self.readers: Counter[str] = Counter()
        self.engine_s: dict[str, float] = defaultdict(float)

    def note(self, read):
        """Take in one part."""
        self.tokens[read.request] = read.tokens
        self.readers[read.request] += 1
        self.engine_s[read.request] += read.part_s


def summarize(events: Iterable[Event], *, probes=frozenset()) -> Summary:
    """Return the account of a stream of events.

    Parameters
    ----------
    events : iterable of Event
        In the order of their times.
    probes : set of str
        Routes whose requests only probe which configuration is in force. What they
        don't get is no loss; it is counted apart.
    """
    probed = 0
    ended = Counter[str]()
    reading = _Reading()
    groups: dict[str, dict[str, Counter]] = defaultdict(lambda: defaultdict(Counter))
    blamed = Counter[str]()
    losses = account_losses(
        events, note_end=lambda: ended.update(["all"]), note_read=reading.note
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
            "window": _name_window(loss.at_s),
        }
        for group, name in names.items():
            groups[group][name][loss.cause] += 1
        if loss.blamed:
            blamed[loss.blamed] += 1
    return _make_summary(ended["all"], probed, groups, blamed, reading)


def _name_window(at_s):
    """Return the time of day at which the window of a moment begins."""
    begins_s = at_s // WINDOW_S * WINDOW_S
    return datetime.fromtimestamp(begins_s).strftime("%H:%M:%S")


def _make_summary(requests, probed, groups, blamed, reading):
    """Return the summary of what was counted."""
    by_cause = {name: sum(counts.values()) for name, counts in groups["cause"].items()}
    lost = sum(by_cause.values())
    unknown = by_cause.get(Cause.UNKNOWN, 0)
    costly = tuple(
        Costly(
            name,
            reading.tokens.get(name, 0),
            reading.readers[name],
            round(reading.engine_s[name], 3),
            count,
        )
        for name, count in blamed.most_common()
    )
    return Summary(
        requests=requests,
        probed=probed,
        lost=lost,
        known_share=1.0 - unknown / lost if lost else 1.0,
        beyond_decisions=sum(by_cause.get(cause, 0) for cause in BEYOND_DECISIONS),
        causes=_make_rows(groups["cause"]),
        kinds=_make_rows(groups["kind"]),
        routes=_make_rows(groups["route"]),
        customers=_make_rows(groups["customer"]),
        windows=_make_rows(groups["window"]),
        costly=costly,
    )


def _make_rows(counts):
    """Return rows, the worst first."""
    rows = [
        Row(str(name), sum(causes.values()), tuple(
            (str(cause), count) for cause, count in causes.most_common()
        ))
        for name, causes in counts.items()
    ]  # fmt: skip
    return tuple(sorted(rows, key=lambda row: (-row.count, row.name)))


def print_summary(summary: Summary, *, most: int = 8) -> Iterator[str]:
    """Yield the lines of a summary.

    Parameters
    ----------
    summary : Summary
        What to print.
    most : int
        Rows of each table.
    """
    yield (
        f"{summary.lost} of {summary.requests} requests lost; the cause of "
        f"{summary.known_share:.0%} is known; {summary.beyond_decisions} by what no "
        "choice could have prevented"
    )
    if summary.probed:
        yield f"{summary.probed} probes without a good answer are left out"
    tables = (
        ("cause", summary.causes),
        ("noticed as", summary.kinds),
        (f"window of {WINDOW_S:.0f} s", summary.windows),
        ("route", summary.routes),
        ("customer", summary.customers),
    )
    for title, rows in tables:
        yield ""
        yield f"{title:24}{'lost':>6}  by cause"
        for row in rows[:most]:
            causes = ", ".join(f"{name} {count}" for name, count in row.causes[:4])
            yield f"{row.name:24}{row.count:6}  {causes}"
    yield ""
    yield f"{'prompt':24}{'lost':>6}  behind it"
    for one in summary.costly[:most]:
        yield (
            f"{one.request:24}{one.lost:6}  {one.tokens} tokens, "
            f"{one.readers} readers, {one.engine_s:.2f} engine-seconds"
        )
