"""The three ways in which a request ends without its answer."""

from enum import StrEnum

from lycheetide.outcomes._reasons import Reason


class Outcome(StrEnum):
    """What is known of the work behind a request."""

    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"


class RequestError(Exception):
    """A request that ended without its answer.

    Parameters
    ----------
    reason : Reason
        Why it ended so.
    message : str
        One sentence for the caller.
    retry_after_s : float or None, default=None
        When asking again may help; None where it can't.
    status : int, default=503
        The HTTP status that the caller gets.
    """

    outcome = Outcome.FAILED

    def __init__(self, reason, message="", *, retry_after_s=None, status=503):
        super().__init__(f"{reason}: {message}")
        self.reason = Reason(reason)
        self.message = message
        self.retry_after_s = retry_after_s
        self.status = status


class NotRun(RequestError):
    """No upstream has started the request and none can start it later."""

    outcome = Outcome.NOT_RUN


class Failed(RequestError):
    """An upstream may have worked on the request; its effect can be repeated."""

    outcome = Outcome.FAILED


class OutcomeUnknown(RequestError):
    """A request that may not be repeated may or may not have run."""

    outcome = Outcome.UNKNOWN
