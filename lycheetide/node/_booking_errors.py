"""Errors that several booking modules raise."""

from lycheetide.outcomes import NotRunError, OutcomeUnknownError, Reason

RETRY_AFTER_S = 1.0
NEW_KEY_HINT = "POST /v1/keys issues a key that does not need the log"


def make_key_reused_error():
    """Return the error for a key that was already used with another body."""
    return NotRunError(
        Reason.KEY_REUSED, "the key was used with another body", status=422
    )


def make_log_unavailable_error():
    """Return the error for a key whose records could not be read in time."""
    return OutcomeUnknownError(
        Reason.LOG_UNAVAILABLE,
        "this node has sent nothing but cannot read from the log whether another node "
        f"ran the key; retry with the same key. For a new request, {NEW_KEY_HINT}",
        retry_after_s=RETRY_AFTER_S,
    )


def make_holder_lost_error():
    """Return the error for a key whose holder can no longer report its outcome."""
    return OutcomeUnknownError(
        Reason.KEY_HOME_LOST,
        "the node that held this key is gone; whether the request ran is unknown",
        status=504,
    )


def make_refused_key_error(refusal):
    """Return the error for a request that is refused before its key is looked up.

    The request may be a retry whose first attempt ran through another node. "Not run"
    would be true of this request alone, but the caller would take it to mean that the
    booking never ran. So the outcome is reported as unknown.

    Parameters
    ----------
    refusal : RequestError
        Why the request is refused.

    Returns
    -------
    OutcomeUnknownError
        With the reason, status and retry delay of ``refusal``.
    """
    return OutcomeUnknownError(
        refusal.reason,
        f"{refusal.message}; this node has sent nothing and did not check whether "
        "another node ran the key; retry with the same key",
        retry_after_s=refusal.retry_after_s,
        status=refusal.status,
    )
