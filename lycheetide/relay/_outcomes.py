"""How one attempt at one replica ends without its answer."""

from enum import StrEnum


class Cause(StrEnum):
    """Why an attempt or a request ended without an answer; each has a counter."""

    NOT_READY = "not_ready"
    NO_ROUTE = "no_route"
    UNAUTHENTICATED = "unauthenticated"
    BODY_TOO_LARGE = "body_too_large"
    BAD_REQUEST = "bad_request"
    NO_REPLICA = "no_replica"
    NO_MEMORY = "no_memory"
    NO_ROOM = "no_room"
    REFUSED = "refused"
    OTHER_REPLICA = "other_replica"
    CONNECT_FAILED = "connect_failed"
    BROKEN = "broken"
    SILENT = "silent"
    WRONG_ANSWER = "wrong_answer"
    UPSTREAM_ERROR = "upstream_error"
    DEADLINE = "deadline"
    INTERNAL = "internal"


class AttemptFailed(Exception):
    """An attempt brought no answer.

    Parameters
    ----------
    cause : Cause
        Why.
    message : str
        For the log.
    may_have_run : bool
        Whether the replica may have begun.
    names_helper : bool
        Whether the replica refused it for a helper that it named.
    """

    def __init__(self, cause, message, *, may_have_run, names_helper=False):
        super().__init__(message)
        self.cause = cause
        self.may_have_run = may_have_run
        self.names_helper = names_helper


class Refusal(Exception):
    """A request that ends with an answer of this node's own.

    Parameters
    ----------
    status : int
        HTTP status; 503 only where nothing has run and nothing will.
    cause : Cause
        Why.
    retry_after_s : float or None
        When asking again may help.
    """

    def __init__(self, status, cause, *, retry_after_s=None, message=""):
        super().__init__(message or str(cause))
        self.status = status
        self.cause = cause
        self.retry_after_s = retry_after_s


class StreamCut(Exception):
    """A stream that has begun can't go on; its connection is broken, not ended.

    An orderly end would let a part of an answer look like the whole.
    """


class CallerLeft(Exception):
    """The caller has closed its connection; nobody reads the answer."""
