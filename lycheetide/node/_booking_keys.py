"""Issue idempotency keys and validate those that callers send."""

import hashlib

from lycheetide.bookings import KeyMode, make_key, parse_key
from lycheetide.outcomes import NotRunError, Reason

MAX_HOME_KEYS = 100_000


def issue_key(node, customer, *, now_s):
    """Issue an idempotency key to a customer.

    A key is normally claimed on the log when it is used. While the log is unreachable,
    a home key is issued instead, which only this node may run.

    Parameters
    ----------
    node : NodeState
        This node.
    customer : Customer
        The customer that requested the key.
    now_s : float
        The current time.

    Returns
    -------
    BookingKey
        The new key.

    Raises
    ------
    NotRunError
        If this node has already issued ``MAX_HOME_KEYS`` home keys, all of which it
        has to remember.
    """
    is_log_reachable = now_s - node.log_read_started_s <= node.settings.lease_s
    mode = KeyMode.CLAIMED if is_log_reachable else KeyMode.HOME
    if mode is KeyMode.HOME:
        if node.issued_home_keys >= MAX_HOME_KEYS:
            raise NotRunError(
                Reason.NO_CAPACITY,
                "too many keys were issued without the log",
                retry_after_s=30.0,
            )
        node.issued_home_keys += 1
    node.counters.add(f"keys.{mode.name.lower()}")
    return make_key(
        mode=mode,
        issue_offset=node.booking_writer.next_offset,
        issuer_id=node.own_id,
        customer=customer.name,
    )


def validate_key(text, customer):
    """Parse a caller's key and check that it was issued to this customer.

    Raises
    ------
    NotRunError
        If the key is missing, malformed, or was issued to another customer.
    """
    if not text:
        raise NotRunError(
            Reason.KEY_MISSING,
            "expected an Idempotency-Key from POST /v1/keys",
            status=400,
        )
    try:
        key = parse_key(text)
    except ValueError as error:
        raise NotRunError(
            Reason.KEY_MALFORMED, f"got {text[:80]!r}, expected {error}", status=400
        ) from None
    if key.customer != customer.name:
        raise NotRunError(
            Reason.KEY_MALFORMED, "the key was issued to another customer", status=403
        )
    return key


def hash_call(operation, body):
    """Return a hash that shows whether a key is reused for another call."""
    digest = hashlib.sha256(operation.entry_name.encode())
    digest.update(b"\0")
    digest.update(body)
    return digest.hexdigest()
