"""Tests of the retry budgets per customer."""

from lycheetide.fleet import Customer
from lycheetide.limits import CustomerRetryBudgets

KESTREL = Customer("kestrel", "0" * 64, retries_per_s=1.0, retry_burst=3.0)
PARISH = Customer("parish", "1" * 64, retries_per_s=1.0, retry_burst=3.0)


def test_one_customers_retries_leave_anothers_alone():
    """One customer's requests fail repeatedly, another's request fails once."""
    budgets = CustomerRetryBudgets()
    allowed = [budgets.spend_retry(KESTREL, now_s=0.0) for _ in range(10)]
    assert allowed == [True] * 3 + [False] * 7
    assert budgets.spend_retry(PARISH, now_s=0.0)
    assert budgets.retries == {"kestrel": 3, "parish": 1}
    assert budgets.denied == {"kestrel": 7}
    assert budgets.spend_retry(KESTREL, now_s=1.0)


def test_a_look_at_the_budget_takes_nothing():
    """Checking the budget must not use it.

    A request that only waits for another replica would use up its customer's retries.
    """
    budgets = CustomerRetryBudgets()
    assert all(budgets.has_retry(KESTREL, now_s=0.0) for _ in range(10))
    assert [budgets.spend_retry(KESTREL, now_s=0.0) for _ in range(4)] == [
        True, True, True, False,
    ]  # fmt: skip
    assert not budgets.has_retry(KESTREL, now_s=0.0)
    assert budgets.denied == {"kestrel": 1}
