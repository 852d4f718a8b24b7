"""Limits that apply to each customer separately."""

from lycheetide.limits._budget import (
    CustomerRetryBudgets,
    TokenBucket,
    refill,
    take_token,
)

__all__ = ["CustomerRetryBudgets", "TokenBucket", "refill", "take_token"]
