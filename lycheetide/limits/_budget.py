"""Retry budgets per customer.

A customer's retries are taken from its own budget only, so they can't use up the
retries of other customers.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class TokenBucket:
    """The state of a token bucket at one time.

    Parameters
    ----------
    level : float
        Number of tokens in the bucket.
    at_s : float
        Time of this state, in seconds.
    """

    level: float
    at_s: float


def refill(bucket, *, rate_per_s, burst, now_s):
    """Return the bucket with the tokens that were added until ``now_s``.

    Parameters
    ----------
    bucket : TokenBucket
        Earlier state of the bucket.
    rate_per_s : float
        Tokens added per second.
    burst : float
        Capacity of the bucket, in tokens.
    now_s : float
        Current time, in seconds.

    Returns
    -------
    TokenBucket

    Examples
    --------
    >>> refill(TokenBucket(0.0, 10.0), rate_per_s=2.0, burst=5.0, now_s=11.0)
    TokenBucket(level=2.0, at_s=11.0)
    """
    elapsed_s = max(0.0, now_s - bucket.at_s)
    return TokenBucket(min(burst, bucket.level + rate_per_s * elapsed_s), now_s)


def take_token(bucket, *, rate_per_s, burst, now_s):
    """Take one token from the bucket; parameters as in ``refill``.

    Returns
    -------
    bucket : TokenBucket
        State of the bucket afterwards.
    allowed : bool
        Whether there was a token to take.
    """
    refilled = refill(bucket, rate_per_s=rate_per_s, burst=burst, now_s=now_s)
    if refilled.level < 1:
        return refilled, False
    return TokenBucket(refilled.level - 1, now_s), True


class CustomerRetryBudgets:
    """Retry budgets of all customers at one node.

    Attributes
    ----------
    retries : dict of str to int
        Number of retries that were allowed, by customer name.
    denied : dict of str to int
        Number of retries that were denied, by customer name.
    """

    def __init__(self):
        self._buckets = {}
        self.retries = {}
        self.denied = {}

    def has_retry(self, customer, *, now_s):
        """Return whether the customer's budget allows a retry, without using one.

        Parameters
        ----------
        customer : Customer
            Customer whose budget is checked.
        now_s : float
            Current time, in seconds.
        """
        _, allowed = self._spend(customer, now_s)
        return allowed

    def spend_retry(self, customer, *, now_s):
        """Take one retry from the customer's budget.

        Parameters
        ----------
        customer : Customer
            Customer whose request is to be retried.
        now_s : float
            Current time, in seconds.

        Returns
        -------
        bool
            False if the budget is used up; the request then ends with its error.
        """
        bucket, allowed = self._spend(customer, now_s)
        self._buckets[customer.name] = bucket
        counts = self.retries if allowed else self.denied
        counts[customer.name] = counts.get(customer.name, 0) + 1
        return allowed

    def _spend(self, customer, now_s):
        """Return the customer's bucket after one retry, and whether it is allowed."""
        start = TokenBucket(customer.retry_burst, now_s)
        return take_token(
            self._buckets.get(customer.name, start),
            rate_per_s=customer.retries_per_s,
            burst=customer.retry_burst,
            now_s=now_s,
        )
