"""Reasons of failed requests and of retries; each reason has its own counter."""

from enum import StrEnum


class Reason(StrEnum):
    """Why a request ended without an answer.

    Notes
    -----
    ``docs/OPERATIONS.md`` describes what an operator can do about each reason.
    """

    BAD_BODY = "bad_body"
    BODY_TOO_LARGE = "body_too_large"
    UNAUTHENTICATED = "unauthenticated"
    UNKNOWN_CLASS = "unknown_class"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    BAD_DEADLINE = "bad_deadline"
    DEADLINE_PAST = "deadline_past"
    KEY_MISSING = "key_missing"
    KEY_MALFORMED = "key_malformed"
    KEY_REUSED = "key_reused"
    KEY_EXPIRED = "key_expired"
    KEY_AHEAD = "key_ahead"
    KEY_HOME_LOST = "key_home_lost"
    PROMPT_TOO_LONG = "prompt_too_long"
    NOT_READY = "not_ready"
    NOT_FRESH = "not_fresh"
    NO_CAPACITY = "no_capacity"
    OVERLOADED = "overloaded"
    CUSTOMER_LIMIT = "customer_limit"
    LOG_UNAVAILABLE = "log_unavailable"
    UPSTREAM_REFUSED = "upstream_refused"
    UPSTREAM_BROKE = "upstream_broke"
    QUARANTINED = "quarantined"
    DEADLINE = "deadline"
    INTERNAL = "internal"


class RetryReason(StrEnum):
    """Why a failed attempt was retried."""

    UPSTREAM_REFUSED = "upstream_refused"
    UPSTREAM_BROKE = "upstream_broke"
    UPSTREAM_SILENT = "upstream_silent"
    PERMIT_STALE = "permit_stale"
