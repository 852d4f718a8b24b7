"""Counters and latency histograms as text, in the format that scrapers read."""

import re

from prometheus_client import CollectorRegistry, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily

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


class Exposition:
    """What a node's metrics address shows.

    Parameters
    ----------
    counters : Counters
        The node's counters; the same go to statsd.
    """

    def __init__(self, counters):
        self.counters = counters
        self.registry = CollectorRegistry()
        self.registry.register(self)
        self._histograms = {}

    def collect(self):
        """Yield the counters, for the registry."""
        for name, count in sorted(self.counters.counts.items()):
            yield CounterMetricFamily(clean_name(name), name, value=count)

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
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._histograms[name] = Histogram(
                f"{clean_name(name)}_seconds",
                name,
                ["kind"],
                buckets=LATENCY_BOUNDS_S,
                registry=self.registry,
            )
        histogram.labels(kind).observe(seconds)

    def make_app(self):
        """Return the application that serves the text."""

        async def metrics_app(scope, receive, send):
            if scope["type"] != "http":
                return
            body = generate_latest(self.registry)
            headers = [
                (b"content-type", b"text/plain; version=0.0.4"),
                (b"content-length", str(len(body)).encode()),
            ]
            await send(
                {"type": "http.response.start", "status": 200, "headers": headers}
            )
            await send({"type": "http.response.body", "body": body})

        return metrics_app
