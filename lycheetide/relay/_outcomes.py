"""How an attempt or a request ends without an answer of a replica."""

from enum import StrEnum


class Cause(StrEnum):
    """Why an attempt or a request ended without an answer; each cause has a counter."""

    NOT_READY = "not_ready"
    NO_ROUTE = "no_route"
    UNAUTHENTICATED = "unauthenticated"
    BODY_TOO_LARGE = "body_too_large"
    BAD_REQUEST = "bad_request"
    NO_REPLICA = "no_replica"
    NO_MEMORY = "no_memory"
    NO_ROOM = "no_room"
    NODE_MEMORY = "node_memory"
    LIMITED = "limited"
    RESTING = "resting"
    LEAVING = "leaving"
    STOPPING = "stopping"
    QUARANTINED = "quarantined"
    UNSETTLED = "unsettled"
    REFUSED = "refused"
    OTHER_REPLICA = "other_replica"
    CONNECT_FAILED = "connect_failed"
    BROKEN = "broken"
    SILENT = "silent"
    WRONG_ANSWER = "wrong_answer"
    UPSTREAM_ERROR = "upstream_error"
    DEADLINE = "deadline"
    INTERNAL = "internal"


PROMISE_STATUSES = frozenset({408, 429, 503})
"""Statuses that promise a caller that its request hasn't run and won't. A replica that
answers with one, and doesn't state that it hasn't run the request, promises nothing."""


class AttemptFailed(Exception):
    """An attempt at one replica brought no answer.

    Parameters
    ----------
    cause : Cause
        Why it failed.
    message : str
        Detail for the log.
    may_have_run : bool
        Whether the replica may have started to run the request.
    names_helper : bool
        Whether the replica refused the request because of a helper that it named.
    is_kept : bool
        Whether the connection had served an earlier request.
    """

    def __init__(
        self, cause, message, *, may_have_run, names_helper=False, is_kept=False
    ):
        super().__init__(message)
        self.cause = cause
        self.may_have_run = may_have_run
        self.names_helper = names_helper
        self.is_kept = is_kept


class Refusal(Exception):
    """A request that this node answers itself, instead of a replica.

    Parameters
    ----------
    status : int
        HTTP status; 503 only if the request hasn't run at any replica and won't.
    cause : Cause
        Why it is refused.
    retry_after_s : float or None
        Delay after which a retry may succeed, in seconds.
    message : str
        Detail for the log; the cause if empty.
    """

    def __init__(self, status, cause, *, retry_after_s=None, message=""):
        super().__init__(message or str(cause))
        self.status = status
        self.cause = cause
        self.retry_after_s = retry_after_s


class StreamAborted(Exception):
    """A stream that has begun can't continue, and its connection must be aborted.

    If the connection were closed in an orderly way, the caller could take a part of
    the answer for the whole.
    """


class CallerDisconnected(Exception):
    """The caller has closed its connection and won't read the answer."""
