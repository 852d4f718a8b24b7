"""Counters and latency histograms in the Prometheus text exposition format.

The prometheus-client library takes 4 MB of memory, which is billed, and most nodes of a
large fleet are never scraped. It is therefore imported with the first scrape.
"""

import re
from bisect import bisect_left
from itertools import accumulate

LATENCY_BOUNDS_S = (
    0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 1.0, 1.5, 2.5, 5.0, 10.0, 20.0,
)  # fmt: skip
"""Upper bounds of the buckets. Target latencies of first events are 0.2 to 3 s."""

_INVALID_CHARACTERS = re.compile(r"[^a-zA-Z0-9_]")


def make_metric_name(name):
    """Return the Prometheus name of a metric, with invalid characters replaced.

    Examples
    --------
    >>> make_metric_name("retries.silent")
    'lycheetide_retries_silent'
    """
    return f"lycheetide_{_INVALID_CHARACTERS.sub('_', name)}"


class Histogram:
    """Counts of latencies by bucket, and their sum."""

    def __init__(self):
        self.counts = [0] * (len(LATENCY_BOUNDS_S) + 1)
        self.sum_s = 0.0

    def add(self, seconds):
        """Count one latency."""
        self.counts[bisect_left(LATENCY_BOUNDS_S, seconds)] += 1
        self.sum_s += seconds

    def list_buckets(self):
        """Return each bucket's upper bound, as a label value, and cumulative count."""
        bounds = [*map(str, LATENCY_BOUNDS_S), "+Inf"]
        return list(zip(bounds, accumulate(self.counts), strict=True))


class MetricsExporter:
    """Metrics that a node serves at its metrics address.

    Parameters
    ----------
    counters : Counters
        The node's counters, which are also sent to statsd.
    """

    def __init__(self, counters):
        self.counters = counters
        self._histograms: dict[str, dict[str, Histogram]] = {}

    def collect(self):
        """Yield all metric families; prometheus-client calls this on each scrape."""
        from prometheus_client.core import (  # noqa: PLC0415
            CounterMetricFamily,
            HistogramMetricFamily,
        )

        for name, count in sorted(self.counters.counts.items()):
            yield CounterMetricFamily(make_metric_name(name), name, value=count)
        for name, kinds in sorted(self._histograms.items()):
            family = HistogramMetricFamily(
                f"{make_metric_name(name)}_seconds", name, labels=["kind"]
            )
            for kind, histogram in sorted(kinds.items()):
                family.add_metric([kind], histogram.list_buckets(), histogram.sum_s)
            yield family

    def observe(self, name, seconds, *, kind):
        """Add a latency to a histogram.

        Parameters
        ----------
        name : str
            Name of the histogram.
        seconds : float
            Latency to add.
        kind : str
            Value of the label ``kind``. Use few values, since each of them adds a set
            of buckets.
        """
        kinds = self._histograms.setdefault(name, {})
        if kind not in kinds:
            kinds[kind] = Histogram()
        kinds[kind].add(seconds)

    def render_text(self):
        """Return all metrics as encoded text."""
        from prometheus_client import CollectorRegistry, generate_latest  # noqa: PLC0415

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)

    def make_app(self):
        """Return the ASGI application that serves the metrics."""

        async def metrics_app(scope, receive, send):
            if scope["type"] != "http":
                return
            body = self.render_text()
            headers = [
                (b"content-type", b"text/plain; version=0.0.4"),
                (b"content-length", str(len(body)).encode()),
            ]
            await send(
                {"type": "http.response.start", "status": 200, "headers": headers}
            )
            await send({"type": "http.response.body", "body": body})

        return metrics_app
