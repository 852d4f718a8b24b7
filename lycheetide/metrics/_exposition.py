"""Counters and latency histograms as text, in the format that scrapers read.

The library that writes the text takes 4 MB, so it is loaded with the first question for
it. Most nodes of a large fleet are never asked, and memory is paid for.
"""

import re
from bisect import bisect_left
from itertools import accumulate

LATENCY_BOUNDS_S = (
    0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 1.0, 1.5, 2.5, 5.0, 10.0, 20.0,
)  # fmt: skip
"""Upper bounds of the buckets; the targets of first events lie between 0.2 and 3 s."""

_BAD = re.compile(r"[^a-zA-Z0-9_]")


def clean_name(name):
    """Return a metric's name without characters that scrapers don't take.

    Examples
    --------
    >>> clean_name("retries.silent")
    'lycheetide_retries_silent'
    """
    return f"lycheetide_{_BAD.sub('_', name)}"


class Histogram:
    """How many latencies were within each bound."""

    def __init__(self):
        self.counts = [0] * (len(LATENCY_BOUNDS_S) + 1)
        self.sum_s = 0.0

    def add(self, seconds):
        """Add a latency."""
        self.counts[bisect_left(LATENCY_BOUNDS_S, seconds)] += 1
        self.sum_s += seconds

    def list_buckets(self):
        """Return bounds, as scrapers write them, each with the latencies within it."""
        bounds = [*map(str, LATENCY_BOUNDS_S), "+Inf"]
        return list(zip(bounds, accumulate(self.counts), strict=True))


class Exposition:
    """What a node's metrics address shows.

    Parameters
    ----------
    counters : Counters
        The node's counters; the same go to statsd.
    """

    def __init__(self, counters):
        self.counters = counters
        self._histograms: dict[str, dict[str, Histogram]] = {}

    def collect(self):
        """Yield all metrics, for the library that writes them."""
        from prometheus_client.core import (  # noqa: PLC0415
            CounterMetricFamily,
            HistogramMetricFamily,
        )

        for name, count in sorted(self.counters.counts.items()):
            yield CounterMetricFamily(clean_name(name), name, value=count)
        for name, kinds in sorted(self._histograms.items()):
            family = HistogramMetricFamily(
                f"{clean_name(name)}_seconds", name, labels=["kind"]
            )
            for kind, histogram in sorted(kinds.items()):
                family.add_metric([kind], histogram.list_buckets(), histogram.sum_s)
            yield family

    def observe(self, name, seconds, *, kind):
        """Add a latency to a histogram.

        Parameters
        ----------
        name : str
            Which histogram.
        seconds : float
            The latency.
        kind : str
            One of a few, since each makes a row of buckets.
        """
        kinds = self._histograms.setdefault(name, {})
        if kind not in kinds:
            kinds[kind] = Histogram()
        kinds[kind].add(seconds)

    def write_text(self):
        """Return the text."""
        from prometheus_client import CollectorRegistry, generate_latest  # noqa: PLC0415

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)

    def make_app(self):
        """Return the application that serves the text."""

        async def metrics_app(scope, receive, send):
            if scope["type"] != "http":
                return
            body = self.write_text()
            headers = [
                (b"content-type", b"text/plain; version=0.0.4"),
                (b"content-length", str(len(body)).encode()),
            ]
            await send(
                {"type": "http.response.start", "status": 200, "headers": headers}
            )
            await send({"type": "http.response.body", "body": body})

        return metrics_app
