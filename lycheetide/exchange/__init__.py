"""Protocol-independent types of requests, answers and store records."""

from lycheetide.exchange._records import (
    DECODE_ERRORS,
    Record,
    RecordBatch,
    StoreUnavailable,
)
from lycheetide.exchange._types import (
    CallerRequest,
    ReplicaReport,
    ReplicaResponse,
    ReportedLoad,
)

__all__ = [
    "DECODE_ERRORS",
    "CallerRequest",
    "Record",
    "RecordBatch",
    "ReplicaReport",
    "ReplicaResponse",
    "ReportedLoad",
    "StoreUnavailable",
]
