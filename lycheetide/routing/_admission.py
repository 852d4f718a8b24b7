"""Checks that a request has to pass before any further work is done for it."""

import hashlib
import hmac
from dataclasses import dataclass
from typing import Any

from lycheetide.outcomes import NotRunError, Reason

BEARER_PREFIX = "bearer "
MAX_DEADLINE_S = 3600.0


@dataclass(frozen=True)
class AdmittedRequest:
    """A request that passed the admission checks.

    Parameters
    ----------
    request_id : str
        Random id that the entry node has given the request.
    customer : Customer
        Customer that sent the request.
    request_class : RequestClass
        Class of the request, with its priority and deadline.
    arrived_s, deadline_s : float
        Time of arrival and deadline on this node's clock, in seconds.
    """

    request_id: str
    customer: Any
    request_class: Any
    arrived_s: float
    deadline_s: float


def authenticate(authorization, customers):
    """Return the customer that a request's bearer token belongs to.

    Parameters
    ----------
    authorization : str
        Value of the ``Authorization`` header; empty if the request has none.
    customers : iterable of Customer
        All customers.

    Returns
    -------
    Customer

    Raises
    ------
    NotRunError
        If the token is missing or belongs to no customer.
    """
    if authorization.lower().startswith(BEARER_PREFIX):
        token = authorization[len(BEARER_PREFIX) :].strip()
        digest = hashlib.sha256(token.encode()).hexdigest()
        for customer in customers:
            if hmac.compare_digest(customer.token_sha256, digest):
                return customer
    raise NotRunError(
        Reason.UNAUTHENTICATED, "expected the bearer token of a customer", status=401
    )


def find_request_class(name, classes):
    """Return the request class of a given name.

    Parameters
    ----------
    name : str
        Name of the class. If it is empty, the class of the lowest priority, which has
        the largest number, is returned.
    classes : dict of str to RequestClass
        All classes by name.

    Returns
    -------
    RequestClass

    Raises
    ------
    NotRunError
        If there is no class of this name.
    """
    if not name and classes:
        return max(classes.values(), key=lambda c: (c.priority, c.name))
    found = classes.get(name)
    if found is None:
        known = ", ".join(sorted(classes)) or "none"
        raise NotRunError(
            Reason.UNKNOWN_CLASS, f"got class {name!r}, known are {known}", status=400
        )
    return found


def find_deadline(header, request_class, *, now_s):
    """Return the deadline of a request.

    Parameters
    ----------
    header : str
        Value of the ``X-Deadline-Ms`` header, the remaining time in milliseconds. If it
        is empty, the deadline of the request class is used.
    request_class : RequestClass
        Class of the request.
    now_s : float
        Current time, in seconds.

    Returns
    -------
    float
        Deadline on this node's clock, in seconds. It is at most ``MAX_DEADLINE_S``
        after ``now_s`` if the header sets it.

    Raises
    ------
    NotRunError
        If the header is malformed or the deadline has passed.
    """
    if not header:
        return now_s + request_class.deadline_s
    try:
        left_s = int(header) / 1000
    except ValueError:
        raise NotRunError(
            Reason.BAD_DEADLINE,
            f"got X-Deadline-Ms {header!r}, expected whole milliseconds",
            status=400,
        ) from None
    if left_s <= 0:
        raise NotRunError(
            Reason.DEADLINE_PAST,
            "the deadline had passed when the request arrived",
            status=504,
        )
    return now_s + min(left_s, MAX_DEADLINE_S)


def check_body_size(size_bytes, largest_bytes):
    """Raise an error if a request body is too large.

    Parameters
    ----------
    size_bytes : int
        Size of the body.
    largest_bytes : int
        Maximum size of a body.

    Raises
    ------
    NotRunError
        If the body is too large. The message names its size and the maximum.
    """
    if size_bytes > largest_bytes:
        raise NotRunError(
            Reason.BODY_TOO_LARGE,
            f"got {size_bytes} bytes, expected at most {largest_bytes}",
            status=413,
        )
