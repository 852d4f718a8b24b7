"""Limits that belong to one customer alone."""

from lycheetide.limits._budget import Bucket, CustomerBudgets, fill, spend

__all__ = ["Bucket", "CustomerBudgets", "fill", "spend"]
