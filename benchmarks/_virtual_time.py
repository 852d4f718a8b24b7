"""Virtual time, and the kills of replicas, for simulations of a fleet."""

import heapq
from itertools import count


class EventQueue:
    """Actions that run in the order of their virtual times."""

    def __init__(self):
        self._events: list = []
        self._order = count()

    def __len__(self):
        return len(self._events)

    def schedule(self, at_s, action, *args):
        """Run an action at a time, which it gets as ``now_s``."""
        heapq.heappush(self._events, (at_s, next(self._order), action, args))

    def run(self):
        """Run all actions in order, those that they schedule too."""
        while self._events:
            now_s, _, action, args = heapq.heappop(self._events)
            action(*args, now_s=now_s)


def list_kills(draws, kills, *, replicas, domains, interval_s):
    """Yield the times of kills, and the replicas that are killed.

    Parameters
    ----------
    draws : random.Random
        Source of random numbers.
    kills : str
        "domain" for four failure domains, "single" for one replica each 0.5 s, "start"
        for all replicas as traffic begins, "series" for four series of eight; empty for
        none.
    replicas, domains : int
        Numbers of replicas and failure domains.
    interval_s : float
        Time from one domain or series to the next.
    """
    all_replicas = range(replicas)
    if kills == "domain":
        for number in range(4):
            domain = draws.randrange(domains)
            hit = [one for one in all_replicas if one % domains == domain]
            yield 5.0 + interval_s * number, hit
    elif kills == "single":
        for number in range(60):
            yield 2.0 + 0.5 * number, [draws.randrange(replicas)]
    elif kills == "start":
        for place, one in enumerate(draws.sample(all_replicas, replicas)):
            yield 0.2 + 0.1 * place, [one]
    elif kills == "series":
        for number in range(4):
            for place, one in enumerate(draws.sample(all_replicas, 8)):
                yield 5.0 + interval_s * number + 0.12 * place, [one]
