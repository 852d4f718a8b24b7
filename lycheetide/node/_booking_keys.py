"""Issue idempotency keys and read those that callers send."""

import hashlib

from lycheetide.bookings import KeyMode, make_key, parse_key
from lycheetide.outcomes import NotRun, Reason

LARGEST_HOME_KEYS = 100_000


def issue_key(node, customer, *, now_s):
    """Issue a key: one that is claimed on the log, or, in an outage, a home key.

    Raises
    ------
    NotRun
        If this node remembers too many home keys already.
    """
    log_reached = now_s - node.log_asked_s <= node.settings.lease_s
    mode = KeyMode.CLAIMED if log_reached else KeyMode.HOME
    if mode is KeyMode.HOME:
        if node.issued_home_keys >= LARGEST_HOME_KEYS:
            raise NotRun(
                Reason.NO_CAPACITY, "too many keys were issued", retry_after_s=30.0
            )
        node.issued_home_keys += 1
    node.counters.add(f"keys.{mode.name.lower()}")
    return make_key(
        mode=mode,
        birth_offset=node.booking_writer.next_offset,
        issuer_id=node.own_id,
        customer=customer.name,
    )


def read_key(text, customer):
    """Read a caller's key.

    Raises
    ------
    NotRun
        If there is none, or it is not this customer's.
    """
    if not text:
        raise NotRun(
            Reason.KEY_MISSING,
            "expected an Idempotency-Key from POST /v1/keys",
            status=400,
        )
    try:
        key = parse_key(text)
    except ValueError as error:
        raise NotRun(
            Reason.KEY_MALFORMED, f"got {text[:80]!r}, expected {error}", status=400
        ) from None
    if key.customer != customer.name:
        raise NotRun(
            Reason.KEY_MALFORMED, "the key was issued to another customer", status=403
        )
    return key


def hash_call(operation, body):
    """Return the hash by which a key used for another body is found out."""
    digest = hashlib.sha256(operation.entry_name.encode())
    digest.update(b"\0")
    digest.update(body)
    return digest.hexdigest()
