"""Errors of requests that end without an answer: outcomes and reasons."""

from lycheetide.outcomes._errors import (
    Failed,
    NotRun,
    Outcome,
    OutcomeUnknown,
    RequestError,
)
from lycheetide.outcomes._reasons import Reason, RetryReason

__all__ = [
    "Failed",
    "NotRun",
    "Outcome",
    "OutcomeUnknown",
    "Reason",
    "RequestError",
    "RetryReason",
]
