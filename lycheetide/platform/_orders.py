"""Orders to replicas: memory that is set aside for a prompt."""

import msgspec

from lycheetide.httpclient import Outgoing

ORDER_TARGET = b"/-/order"


def _encode(address, body):
    """Return an order as a request."""
    headers = (
        (b"Host", address.encode()),
        (b"Content-Type", b"application/json"),
    )
    return Outgoing(b"POST", ORDER_TARGET, headers, msgspec.json.encode(body))


def encode_reserve(address, ticket, tokens, hold_s):
    """Return the order that sets memory aside, or renews it.

    Parameters
    ----------
    address : str
        The replica.
    ticket : str
        Names the reservation.
    tokens : int
        How much.
    hold_s : float
        How long it holds without being renewed.
    """
    return _encode(
        address,
        {
            "operation": "reserve",
            "id": ticket,
            "tokens": tokens,
            "holdMs": int(hold_s * 1000),
        },
    )


def encode_release(address, ticket):
    """Return the order that gives memory back."""
    return _encode(address, {"operation": "release", "id": ticket})
