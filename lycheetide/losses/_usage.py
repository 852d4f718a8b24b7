"""Sum up a fleet's billable resource usage from its logs."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from lycheetide.losses._types import Event

WINDOW_S = 10.0
"""Length of the time windows of the report and of the plot."""
UNITS = {"bytes": "B", "store": "calls", "connections": ""}
"""Unit of each group of resources; the group is the first word of a resource's name."""


@dataclass(frozen=True)
class NodeUsage:
    """Resource usage of one node within one interval.

    Parameters
    ----------
    node : str
        Name of the node.
    at_s : float
        End of the interval on the node's wall clock.
    amounts : dict of str to int
        Amounts by resource: "store.TOPIC.CALL", "bytes.near.KIND", "bytes.far.KIND",
        "connections".
    peak_mb : float
        Peak memory of the process, in MB.
    """

    node: str
    at_s: float
    amounts: dict[str, int]
    peak_mb: float


@dataclass(frozen=True)
class FleetUsage:
    """Resource usage of a fleet.

    Parameters
    ----------
    nodes : int
        Number of nodes that logged their usage.
    totals : dict of str to int
        Total amounts by resource.
    windows : dict of float to dict of str to int
        Amounts by resource for each time window, by the window's start.
    busiest : dict of str to tuple of (str, int)
        For each resource, the node that used most of it and the amount.
    peak_mb : float
        Highest peak memory of all nodes, in MB.
    mean_peak_mb : float
        Mean of the nodes' peak memory, in MB.
    """

    nodes: int
    totals: dict[str, int]
    windows: dict[float, dict[str, int]]
    busiest: dict[str, tuple[str, int]]
    peak_mb: float
    mean_peak_mb: float


def iter_usage(events: Iterable[Event]) -> Iterator[NodeUsage]:
    """Yield the resource usage that nodes logged."""
    for event in events:
        if event.message == "What was used.":
            fields = event.fields
            yield NodeUsage(event.node, event.at_s, fields["used"], fields["peak_mb"])


def sum_usage(events: Iterable[Event]) -> FleetUsage:
    """Return the resource usage of a fleet by resource, node and time.

    Parameters
    ----------
    events : iterable of Event
        Events of any number of logs.
    """
    by_node: dict[str, Counter] = defaultdict(Counter)
    windows: dict[float, Counter] = defaultdict(Counter)
    peaks: dict[str, float] = {}
    for usage in iter_usage(events):
        by_node[usage.node].update(usage.amounts)
        windows[usage.at_s // WINDOW_S * WINDOW_S].update(usage.amounts)
        peaks[usage.node] = max(usage.peak_mb, peaks.get(usage.node, 0.0))
    totals = sum(by_node.values(), Counter())
    busiest = {}
    for reason in totals:
        node = max(by_node, key=lambda name: by_node[name][reason])
        busiest[reason] = (node, by_node[node][reason])
    return FleetUsage(
        len(by_node),
        dict(totals),
        {start_s: dict(counts) for start_s, counts in sorted(windows.items())},
        busiest,
        max(peaks.values(), default=0.0),
        sum(peaks.values()) / len(peaks) if peaks else 0.0,
    )


def format_usage(prices: FleetUsage) -> Iterator[str]:
    """Yield the lines of a table; each group lists its largest amounts first."""
    yield (
        f"{prices.nodes} nodes; peak memory {prices.peak_mb:.1f} MB, "
        f"{prices.mean_peak_mb:.1f} MB on average"
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


def save_usage_plot(prices: FleetUsage, path: str):
    """Plot the calls to the store and the bytes sent in each time window.

    Parameters
    ----------
    prices : FleetUsage
        Usage to plot.
    path : str
        Path of the PNG file to write.
    """
    import matplotlib  # noqa: PLC0415

    matplotlib.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415

    figure, rows = pyplot.subplots(2, 1, sharex=True, figsize=(10, 7))
    first_start_s = min(prices.windows, default=0.0)
    times = [start_s - first_start_s for start_s in prices.windows]
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
