"""The typed errors that several parts of bookings give."""

from lycheetide.outcomes import NotRun, OutcomeUnknown, Reason

RETRY_AFTER_S = 1.0
NEW_KEY_HINT = "POST /v1/keys gives a key that runs without the log"


def other_body():
    """Return the error for a key that was used with another body."""
    return NotRun(Reason.KEY_REUSED, "the key was used with another body", status=422)


def log_out():
    """Return the error for a key of which the log could not tell in time."""
    return OutcomeUnknown(
        Reason.LOG_UNAVAILABLE,
        "this node has sent nothing, but can't read whether another one ran the key; "
        f"ask again with the same key. For new work, {NEW_KEY_HINT}",
        retry_after_s=RETRY_AFTER_S,
    )


def holder_gone():
    """Return the error for a key whose holder can't tell what became of it."""
    return OutcomeUnknown(
        Reason.KEY_HOME_LOST,
        "the node that ran this key is gone; whether it ran is not known",
        status=504,
    )


def refused_with_key(refusal):
    """Return the error for a request with a key that is refused before that is read.

    Its caller may be asking again, after another node ran the key. "Not run" would be
    true of this request, and read as said of the booking.
    """
    return OutcomeUnknown(
        refusal.reason,
        f"{refusal.message}; this node has sent nothing and hasn't looked whether "
        "another one ran the key; ask again with the same key",
        retry_after_s=refusal.retry_after_s,
        status=refusal.status,
    )
