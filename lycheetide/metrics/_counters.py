"""Count events locally, for ``lycheetide status``, and towards statsd."""

from collections import Counter

import statsd


def make_statsd(address, prefix):
    """Return a statsd client, or None where no address is set."""
    if not address:
        return None
    host, _, port = address.rpartition(":")
    return statsd.StatsClient(host.strip("[]"), int(port), prefix=prefix)


class Counters:
    """All counters of a node.

    Parameters
    ----------
    client : statsd.StatsClient or None
        Where they go besides.
    """

    def __init__(self, client=None):
        self.client = client
        self.counts: Counter[str] = Counter()

    def add(self, name, amount=1):
        """Add to one counter."""
        self.counts[name] += amount
        if self.client is not None:
            self.client.incr(name, amount)

    def add_refusal(self, error):
        """Count a request that ended without its answer, by outcome and reason."""
        self.add(f"refusals.{error.outcome}.{error.reason}")

    def add_retry(self, reason):
        """Count an attempt that followed a broken one."""
        self.add(f"retries.{reason}")
