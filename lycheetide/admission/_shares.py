"""Share of the engines' time that each customer has used, and may use."""

from math import exp, isfinite

USAGE_WINDOW_S = 10.0
"""Time constant of the usage: at a constant rate, it is that of this many seconds."""
MIN_USAGE_S = 1e-3
"""A customer whose usage has decayed to less is forgotten."""
JOB_RETENTION_S = 2.0
"""How long the jobs whose usage was added are remembered. Two hubs may deliver a
message twice, in less time than this."""
MIN_LOADED_SHARE = 0.25
"""Fleets use about this part of their replicas' time for prefill while no request waits
for capacity. Below it, requests wait for other reasons than load."""


def estimate_capacity_s(replicas, used_s=float("inf")):
    """Return the engine-seconds that replicas can prefill in the usage window.

    How much time decoding takes isn't known. While requests wait for capacity, what
    all customers have used shows how much there is.

    Parameters
    ----------
    replicas : int
        Number of replicas.
    used_s : float, default=inf
        Usage of all customers while requests wait.
    """
    full_s = USAGE_WINDOW_S * replicas
    return min(full_s, max(MIN_LOADED_SHARE * full_s, used_s))


def find_share_s(demands_s, capacity_s):
    """Return the max-min fair share of a capacity.

    Customers that want less than the share get all that they want, and what they leave
    is divided equally among the others.

    Parameters
    ----------
    demands_s : iterable of float
        Engine-seconds that each customer wants.
    capacity_s : float
        Engine-seconds that there are.

    Returns
    -------
    float
        Infinity if there is enough for all.

    Examples
    --------
    >>> find_share_s([1.0, 2.0, 9.0, 20.0], 15.0)
    6.0
    >>> find_share_s([1.0, 2.0], 15.0)
    inf
    """
    demands = sorted(demands_s)
    left_s = capacity_s
    for place, demand_s in enumerate(demands):
        share_s = left_s / (len(demands) - place)
        if demand_s > share_s:
            return share_s
        left_s -= demand_s
    return float("inf")


class CustomerUsage:
    """Engine-seconds that each customer has used, decaying exponentially."""

    def __init__(self):
        self._levels: dict[int, tuple[float, float]] = {}
        self._added_s: dict[tuple[str, str], float] = {}

    def add(self, customer, engine_s, *, now_s, job=None):
        """Add the engine time of a request.

        Parameters
        ----------
        customer : int
            Hash of the customer's name. All requests without one count as one customer.
        engine_s : float
            Engine time in seconds; other than positive finite values are ignored.
        now_s : float
            Current time.
        job : (str, str) or None, default=None
            Node and id of the job, where its message may arrive twice.

        Returns
        -------
        bool
            Whether it was added.
        """
        if not (isfinite(engine_s) and engine_s > 0.0):
            return False
        if job is not None:
            self._forget_jobs(now_s)
            if job in self._added_s:
                return False
            self._added_s[job] = now_s
        level_s = self.usage_s(customer, now_s=now_s) + engine_s
        self._levels[customer] = (level_s, now_s)
        return True

    def usage_s(self, customer, *, now_s):
        """Return the usage of a customer in engine-seconds; 0 for a new one."""
        level_s, at_s = self._levels.get(customer, (0.0, now_s))
        return level_s * exp(-max(0.0, now_s - at_s) / USAGE_WINDOW_S)

    def total_s(self, *, now_s):
        """Return the usage of all customers in engine-seconds."""
        return sum(self.usage_s(one, now_s=now_s) for one in self._levels)

    def is_above_share(self, customer, *, capacity_s, now_s, waiting=None):
        """Return whether a customer has used more than its share.

        Parameters as in ``list_above_share``.
        """
        return customer in self.list_above_share(
            capacity_s=capacity_s, now_s=now_s, waiting=waiting
        )

    def list_above_share(self, *, capacity_s, now_s, waiting=None):
        """Return the customers that have used more than their share.

        There is no margin: with a tenth, customers that all asked for more than their
        share got 0.36 to 0.69 of one another's engine time in simulations, and 0.79 to
        0.95 without.

        Parameters
        ----------
        capacity_s : float
            Engine-seconds that all replicas can prefill in the usage window.
        now_s : float
            Current time.
        waiting : mapping of int to float, or None
            Engine-seconds that the customers with waiting requests wait for.

        Returns
        -------
        frozenset of int
            Empty while there is enough for all.
        """
        usages = {one: self.usage_s(one, now_s=now_s) for one in self._levels}
        for customer in [one for one, used_s in usages.items() if used_s < MIN_USAGE_S]:
            del usages[customer], self._levels[customer]
        wanted = dict(usages)
        for customer, wanted_s in (waiting or {}).items():
            wanted[customer] = wanted.get(customer, 0.0) + wanted_s
        share_s = find_share_s(wanted.values(), capacity_s)
        return frozenset(one for one, used_s in usages.items() if used_s > share_s)

    def _forget_jobs(self, now_s):
        """Forget jobs that were added so long ago that no copy can arrive."""
        while self._added_s:
            job, at_s = next(iter(self._added_s.items()))
            if now_s - at_s <= JOB_RETENTION_S:
                return
            del self._added_s[job]
