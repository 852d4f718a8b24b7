"""Encode orders to replicas, which reserve and release memory for a prompt."""

import msgspec

from lycheetide.httpclient import OutgoingRequest

ORDER_PATH = b"/-/order"


def _encode(address, body):
    """Return the HTTP request for an order."""
    headers = (
        (b"Host", address.encode()),
        (b"Content-Type", b"application/json"),
    )
    return OutgoingRequest(b"POST", ORDER_PATH, headers, msgspec.json.encode(body))


def encode_reserve(address, ticket, tokens, hold_s):
    """Return the order that makes or renews a reservation of memory.

    Parameters
    ----------
    address : str
        The address of the replica.
    ticket : str
        The id of the reservation.
    tokens : int
        The amount of memory, in tokens.
    hold_s : float
        The time after which the reservation expires unless it is renewed.
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
    """Return the order that releases a reservation of memory."""
    return _encode(address, {"operation": "release", "id": ticket})
