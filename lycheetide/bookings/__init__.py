"""At-most-once requests (bookings): idempotency keys and claims on the log."""

from lycheetide.bookings._claims import (
    Claim,
    ClaimDecision,
    KeyStatus,
    OutcomeRecord,
    make_claim_record,
    make_outcome_record,
    make_release_record,
    resolve_claim,
)
from lycheetide.bookings._keys import BookingKey, KeyMode, make_key, parse_key

__all__ = [
    "BookingKey",
    "Claim",
    "ClaimDecision",
    "KeyMode",
    "KeyStatus",
    "OutcomeRecord",
    "make_claim_record",
    "make_key",
    "make_outcome_record",
    "make_release_record",
    "parse_key",
    "resolve_claim",
]
