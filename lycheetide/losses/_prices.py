"""Sum up what a fleet used that is paid for, from its logs."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from lycheetide.losses._types import Event

WINDOW_S = 10.0
"""Length of the windows of the table and of the plot."""
UNITS = {"bytes": "B", "store": "calls", "connections": ""}
"""What is counted, by the first word of a reason."""


@dataclass(frozen=True)
class Use:
    """What one node used within a span of time.

    Parameters
    ----------
    node : str
        Which node.
    at_s : float
        When the span ended, on the node's wall clock.
    amounts : dict of str to int
        By reason: "store.TOPIC.CALL", "bytes.near.KIND", "bytes.far.KIND",
        "connections".
    peak_mb : float
        The most memory that it had at once, in MB.
    """

    node: str
    at_s: float
    amounts: dict[str, int]
    peak_mb: float


@dataclass(frozen=True)
class Prices:
    """What a fleet used.

    Parameters
    ----------
    nodes : int
        How many nodes wrote of it.
    totals : dict of str to int
        By reason.
    windows : dict of float to dict of str to int
        The same by the time at which a window begins.
    busiest : dict of str to tuple of (str, int)
        The node that used most, by reason, and how much.
    peak_mb : float
        The most memory that any node had, in MB.
    mean_peak_mb : float
        The mean over the nodes.
    """

    nodes: int
    totals: dict[str, int]
    windows: dict[float, dict[str, int]]
    busiest: dict[str, tuple[str, int]]
    peak_mb: float
    mean_peak_mb: float


def read_uses(events: Iterable[Event]) -> Iterator[Use]:
    """Yield what nodes wrote of their use."""
    for event in events:
        if event.message == "What was used.":
            fields = event.fields
            yield Use(event.node, event.at_s, fields["used"], fields["peak_mb"])


def sum_prices(events: Iterable[Event]) -> Prices:
    """Return what a fleet used, by reason, node and time.

    Parameters
    ----------
    events : iterable of Event
        Lines of any number of logs.
    """
    by_node: dict[str, Counter] = defaultdict(Counter)
    windows: dict[float, Counter] = defaultdict(Counter)
    peaks: dict[str, float] = {}
    for use in read_uses(events):
        by_node[use.node].update(use.amounts)
        windows[use.at_s // WINDOW_S * WINDOW_S].update(use.amounts)
        peaks[use.node] = max(use.peak_mb, peaks.get(use.node, 0.0))
    totals = sum(by_node.values(), Counter())
    busiest = {}
    for reason in totals:
        node = max(by_node, key=lambda name: by_node[name][reason])
        busiest[reason] = (node, by_node[node][reason])
    return Prices(
        len(by_node),
        dict(totals),
        {begin_s: dict(counts) for begin_s, counts in sorted(windows.items())},
        busiest,
        max(peaks.values(), default=0.0),
        sum(peaks.values()) / len(peaks) if peaks else 0.0,
    )


def print_prices(prices: Prices) -> Iterator[str]:
    """Yield the lines of a table, the most of each kind first."""
    yield (
        f"{prices.nodes} nodes; memory at its peak {prices.peak_mb:.1f} MB, "
        f"{prices.mean_peak_mb:.1f} on average"
    )
    groups = defaultdict(list)
    for reason, amount in prices.totals.items():
        groups[reason.partition(".")[0]].append((amount, reason))
    for group, rows in sorted(groups.items()):
        unit = UNITS.get(group, "")
        yield ""
        yield f"{group:32}{sum(amount for amount, _ in rows):12} {unit}"
        for amount, reason in sorted(rows, reverse=True):
            node, most = prices.busiest[reason]
            yield f"  {reason:30}{amount:12}  most {most} by {node}"


def save_price_plot(prices: Prices, path: str):
    """Draw what was used in each window: calls to the store, and bytes.

    Parameters
    ----------
    prices : Prices
        What to draw.
    path : str
        The PNG to write.
    """
    import matplotlib  # noqa: PLC0415

    matplotlib.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415

    figure, rows = pyplot.subplots(2, 1, sharex=True, figsize=(10, 7))
    first_s = min(prices.windows, default=0.0)
    times = [begin_s - first_s for begin_s in prices.windows]
    for axes, group in zip(rows, ("store", "bytes"), strict=True):
        below = [0] * len(times)
        for reason in sorted(prices.totals):
            if not reason.startswith(f"{group}."):
                continue
            heights = [counts.get(reason, 0) for counts in prices.windows.values()]
            axes.bar(times, heights, WINDOW_S * 0.8, bottom=below, label=reason)
            below = [low + high for low, high in zip(below, heights, strict=True)]
        axes.set_ylabel(f"{group}, {UNITS[group]}")
        if any(below):
            axes.legend(fontsize=7)
    rows[-1].set_xlabel("seconds")
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    pyplot.close(figure)
