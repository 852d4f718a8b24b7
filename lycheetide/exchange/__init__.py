"""Callers' requests, replicas' answers and logs' records, in the product's words."""

from lycheetide.exchange._records import Batch, Record, StoreUnavailable
from lycheetide.exchange._types import Answer, CallerRequest, Load

__all__ = [
    "Answer",
    "Batch",
    "CallerRequest",
    "Load",
    "Record",
    "StoreUnavailable",
]
