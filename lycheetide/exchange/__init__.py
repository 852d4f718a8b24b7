"""Protocol-independent types of requests, answers and store records."""

from lycheetide.exchange._records import Record, RecordBatch, StoreUnavailable
from lycheetide.exchange._types import (
    CallerRequest,
    ReplicaReport,
    ReplicaResponse,
    ReportedLoad,
)

__all__ = [
    "CallerRequest",
    "Record",
    "RecordBatch",
    "ReplicaReport",
    "ReplicaResponse",
    "ReportedLoad",
    "StoreUnavailable",
]
