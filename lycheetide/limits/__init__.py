"""Limits that apply to each customer separately."""

from lycheetide.limits._budget import Bucket, CustomerBudgets, refill, spend

__all__ = ["Bucket", "CustomerBudgets", "refill", "spend"]
