"""Event counters, kept locally for ``lycheetide status`` and sent to statsd."""

from collections import Counter

import statsd


def make_statsd_client(address, prefix):
    """Return a statsd client, or None if ``address`` is empty."""
    if not address:
        return None
    host, _, port = address.rpartition(":")
    return statsd.StatsClient(host.strip("[]"), int(port), prefix=prefix)


class Counters:
    """All counters of a node.

    Parameters
    ----------
    client : statsd.StatsClient or None
        Client that each increment is also sent to, if any.
    """

    def __init__(self, client=None):
        self.client = client
        self.counts: Counter[str] = Counter()

    def add(self, name, amount=1):
        """Add ``amount`` to the counter ``name``."""
        self.counts[name] += amount
        if self.client is not None:
            self.client.incr(name, amount)

    def add_refusal(self, error):
        """Count a request that ended without an answer, by outcome and reason."""
        self.add(f"refusals.{error.outcome}.{error.reason}")

    def add_retry(self, reason):
        """Count a retry of a failed attempt."""
        self.add(f"retries.{reason}")
