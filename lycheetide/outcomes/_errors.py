"""Errors for the three outcomes of a request that ends without an answer."""

from enum import StrEnum

from lycheetide.outcomes._reasons import Reason


class Outcome(StrEnum):
    """Whether a request that ended without an answer was executed."""

    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"


class RequestError(Exception):
    """Base class of errors that end a request without an answer.

    Parameters
    ----------
    reason : Reason
        Why the request ended.
    message : str
        Explanation for the caller, in one sentence.
    retry_after_s : float or None, default=None
        Time after which a retry may succeed; None if a retry can't help.
    status : int, default=503
        HTTP status of the response to the caller.
    """

    outcome = Outcome.FAILED

    def __init__(self, reason, message="", *, retry_after_s=None, status=503):
        super().__init__(f"{reason}: {message}")
        self.reason = Reason(reason)
        self.message = message
        self.retry_after_s = retry_after_s
        self.status = status


class NotRunError(RequestError):
    """No upstream has started the request, and none can start it later."""

    outcome = Outcome.NOT_RUN


class RequestFailedError(RequestError):
    """An upstream may have executed the request, which is safe to repeat."""

    outcome = Outcome.FAILED


class OutcomeUnknownError(RequestError):
    """A request that isn't safe to repeat may or may not have been executed."""

    outcome = Outcome.UNKNOWN
