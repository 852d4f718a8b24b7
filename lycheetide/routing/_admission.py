"""What a request needs before it costs anything."""

import hashlib
import hmac
from dataclasses import dataclass
from typing import Any

from lycheetide.outcomes import NotRun, Reason

BEARER = "bearer "
LONGEST_DEADLINE_S = 3600.0


@dataclass(frozen=True)
class Admitted:
    """A request that may go on.

    Parameters
    ----------
    request_id : str
        Drawn by the entry node.
    customer : Customer
        Whose it is.
    request_class : RequestClass
        How it is treated.
    arrived_s, deadline_s : float
        On this node's clock.
    """

    request_id: str
    customer: Any
    request_class: Any
    arrived_s: float
    deadline_s: float


def authenticate(authorization, customers):
    """Return the customer whose token a request carries.

    Parameters
    ----------
    authorization : str
        The header; empty if there is none.
    customers : iterable of Customer
        All customers.

    Raises
    ------
    NotRun
        If no customer has this token.
    """
    if authorization.lower().startswith(BEARER):
        token = authorization[len(BEARER) :].strip()
        digest = hashlib.sha256(token.encode()).hexdigest()
        for customer in customers:
            if hmac.compare_digest(customer.token_sha256, digest):
                return customer
    raise NotRun(
        Reason.UNAUTHENTICATED, "expected the bearer token of a customer", status=401
    )


def find_class(name, classes):
    """Return the class that a request names, or the last one where it names none.

    Raises
    ------
    NotRun
        If there is no such class.
    """
    if not name and classes:
        return max(classes.values(), key=lambda c: (c.priority, c.name))
    found = classes.get(name)
    if found is None:
        known = ", ".join(sorted(classes)) or "none"
        raise NotRun(
            Reason.UNKNOWN_CLASS, f"got class {name!r}, known are {known}", status=400
        )
    return found


def find_deadline(header, request_class, *, now_s):
    """Return the instant at which a request is given up on.

    Parameters
    ----------
    header : str
        The time left in milliseconds, as the caller sent it; empty for the class's.
    request_class : RequestClass
        The request's class.
    now_s : float
        The present time.

    Returns
    -------
    float
        On this node's clock.

    Raises
    ------
    NotRun
        If it is malformed or past.
    """
    if not header:
        return now_s + request_class.deadline_s
    try:
        left_s = int(header) / 1000
    except ValueError:
        raise NotRun(
            Reason.BAD_DEADLINE,
            f"got X-Deadline-Ms {header!r}, expected whole milliseconds",
            status=400,
        ) from None
    if left_s <= 0:
        raise NotRun(Reason.DEADLINE_PAST, "no time was left on arrival", status=504)
    return now_s + min(left_s, LONGEST_DEADLINE_S)


def check_body_size(size_bytes, largest_bytes):
    """Refuse a body that is too large.

    Raises
    ------
    NotRun
        With what came and what is allowed.
    """
    if size_bytes > largest_bytes:
        raise NotRun(
            Reason.BODY_TOO_LARGE,
            f"got {size_bytes} bytes, expected at most {largest_bytes}",
            status=413,
        )
