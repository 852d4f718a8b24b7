"""Serve counters as text, in the format that scrapers read."""

import re

_BAD = re.compile(r"[^a-zA-Z0-9_]")


def render_counters(counts):
    """Yield a line for each counter.

    Examples
    --------
    >>> list(render_counters({"retries.silent": 2}))
    ['lycheetide_retries_silent_total 2']
    """
    for name, count in sorted(counts.items()):
        yield f"lycheetide_{_BAD.sub('_', name)}_total {count}"


def make_metrics_app(counters):
    """Return the application that serves a node's counters.

    Parameters
    ----------
    counters : Counters
        The node's.
    """

    async def metrics_app(scope, receive, send):
        if scope["type"] != "http":
            return
        body = ("\n".join(render_counters(counters.counts)) + "\n").encode()
        headers = [
            (b"content-type", b"text/plain; version=0.0.4"),
            (b"content-length", str(len(body)).encode()),
        ]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": body})

    return metrics_app
