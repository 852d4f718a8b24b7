"""Protocol-independent types of requests, answers and store records."""

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
