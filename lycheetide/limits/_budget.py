"""Retry budgets: each customer pays for its own retries and for nobody else's."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Bucket:
    """A token bucket.

    Parameters
    ----------
    level : float
        What is left.
    at_s : float
        When that was so.
    """

    level: float
    at_s: float


def fill(bucket, *, rate_per_s, burst, now_s):
    """Return the bucket as it is at ``now_s``.

    Examples
    --------
    >>> fill(Bucket(0.0, 10.0), rate_per_s=2.0, burst=5.0, now_s=11.0)
    Bucket(level=2.0, at_s=11.0)
    """
    passed_s = max(0.0, now_s - bucket.at_s)
    return Bucket(min(burst, bucket.level + rate_per_s * passed_s), now_s)


def spend(bucket, *, rate_per_s, burst, now_s):
    """Take one from the bucket.

    Returns
    -------
    bucket : Bucket
        What is left.
    allowed : bool
        Whether there was one to take.
    """
    filled = fill(bucket, rate_per_s=rate_per_s, burst=burst, now_s=now_s)
    if filled.level < 1:
        return filled, False
    return Bucket(filled.level - 1, now_s), True


class CustomerBudgets:
    """The retry budgets and accounts of all customers at one node."""

    def __init__(self):
        self._buckets = {}
        self.retries = {}
        self.denied = {}

    def has_retry(self, customer, *, now_s):
        """Tell whether a retry could be taken now; none is."""
        _, allowed = self._spend(customer, now_s)
        return allowed

    def spend_retry(self, customer, *, now_s):
        """Take one retry from the customer's own budget.

        Parameters
        ----------
        customer : Customer
            Whose request is to be tried again.
        now_s : float
            The present time.

        Returns
        -------
        bool
            False if the budget is spent; the request then ends with its error.
        """
        bucket, allowed = self._spend(customer, now_s)
        self._buckets[customer.name] = bucket
        account = self.retries if allowed else self.denied
        account[customer.name] = account.get(customer.name, 0) + 1
        return allowed

    def _spend(self, customer, now_s):
        """Return the customer's bucket less one retry, and whether there was one."""
        start = Bucket(customer.retry_burst, now_s)
        return spend(
            self._buckets.get(customer.name, start),
            rate_per_s=customer.retries_per_s,
            burst=customer.retry_burst,
            now_s=now_s,
        )
