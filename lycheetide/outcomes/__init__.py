"""Errors of requests that end without an answer: outcomes and reasons."""

from lycheetide.outcomes._errors import (
    NotRunError,
    Outcome,
    OutcomeUnknownError,
    RequestError,
    RequestFailedError,
)
from lycheetide.outcomes._reasons import Reason, RetryReason

__all__ = [
    "NotRunError",
    "Outcome",
    "OutcomeUnknownError",
    "Reason",
    "RequestError",
    "RequestFailedError",
    "RetryReason",
]
