"""Decode callers' requests and replicas' answers; encode what goes to replicas."""

from lycheetide.exchange import Answer, CallerRequest, Load
from lycheetide.httpclient import Outgoing

READY_PATH = "/-/ready"
RESUME_HEADER = b"last-event-id"

ATTEMPT_ID = b"lycheetide-attempt-id"
DEADLINE_MS = b"lycheetide-deadline-ms"
CREDENTIAL = b"lycheetide-credential"
CUSTOMER = b"lycheetide-tenant"
EXPECTED_REPLICA = b"lycheetide-expect-instance"
HELPERS = b"lycheetide-helpers"
PRIORITY = b"lycheetide-request-priority"
TOKENS = b"lycheetide-token-count"
LENGTH_HINT = b"lycheetide-length-hint"
SEAL = b"lycheetide-response-seal"
NOT_EXECUTED = b"lycheetide-not-executed"
LOAD = b"lycheetide-server-load"
AT_FAULT = b"at-server"
COLD_MS = b"lycheetide-cold-ms"

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Headers that concern one connection only (RFC 9110, 7.6.1)."""
SET_HERE = frozenset(
    {DEADLINE_MS, CREDENTIAL, CUSTOMER, EXPECTED_REPLICA, HELPERS, PRIORITY,
     b"content-length", b"expect"}
)  # fmt: skip
"""Headers of a caller that never reach a replica as they came."""


def _find(headers, name):
    """Return a header's value, or empty bytes."""
    return next((value for key, value in headers if key == name), b"")


def _drop_hop_by_hop(headers):
    """Yield the headers that concern more than one connection."""
    named = {
        token.strip().lower()
        for key, value in headers
        if key.lower() == b"connection"
        for token in value.split(b",")
    }
    for key, value in headers:
        lower = key.lower()
        if lower not in HOP_BY_HOP and lower not in named:
            yield key, value


def _read_number(text, default=0.0):
    """Return a number from a header, or the default."""
    try:
        return float(text)
    except ValueError:
        return default


def _read_tokens(text):
    """Return prompt tokens and most answer tokens.

    Examples
    --------
    >>> _read_tokens(b"1460,80")
    (1460, 80)
    >>> _read_tokens(b"")
    (0, 0)
    """
    first, _, second = text.partition(b",")
    return int(_read_number(first)), int(_read_number(second))


def decode_request(*, method, target, headers, now_s):
    """Return a caller's request.

    Parameters
    ----------
    method : str
        Its method.
    target : bytes
        Raw path and query.
    headers : iterable of (bytes, bytes)
        With names in lower case.
    now_s : float
        When its head was read.
    """
    headers = tuple(headers)
    prompt_tokens, answer_tokens = _read_tokens(_find(headers, TOKENS))
    hint = _read_number(_find(headers, LENGTH_HINT))
    if hint > 0:
        answer_tokens = int(min(hint, answer_tokens or hint))
    deadline_ms = _read_number(_find(headers, DEADLINE_MS))
    forwarded = tuple(
        (key, value)
        for key, value in _drop_hop_by_hop(headers)
        if key not in SET_HERE and key != RESUME_HEADER
    )
    return CallerRequest(
        attempt_id=_find(headers, ATTEMPT_ID).decode("latin-1"),
        method=method,
        target=target,
        host=_find(headers, b"host").decode("latin-1").partition(":")[0].lower(),
        headers=forwarded,
        credential=_find(headers, CREDENTIAL).decode("latin-1"),
        received_s=now_s,
        time_left_s=deadline_ms / 1e3 if deadline_ms > 0 else None,
        prompt_tokens=prompt_tokens,
        answer_tokens=answer_tokens,
        resume_after=_find(headers, RESUME_HEADER),
    )


def encode_attempt(
    request, body, *, replica, customer, left_s, helpers, urgency, resume_after
):
    """Return what is sent to a replica.

    Parameters
    ----------
    request : CallerRequest
        What the caller sent.
    body : bytes
        Its body.
    replica : Entry
        The only replica that may run it.
    customer : str
        Whose it is; empty for none.
    left_s : float
        How long the replica may work.
    helpers : sequence of (str, str)
        Addresses that read a part of the prompt, each with a ticket or "".
    urgency : int or None
        From 0, which is admitted first, to 9.
    resume_after : bytes
        The last event that the caller has; empty for none.
    """
    headers = list(request.headers)
    headers.append((DEADLINE_MS, str(max(1, int(left_s * 1000))).encode()))
    headers.append((EXPECTED_REPLICA, replica.id.encode()))
    if customer:
        headers.append((CUSTOMER, customer.encode()))
    if resume_after:
        headers.append((RESUME_HEADER, resume_after))
    if urgency is not None:
        headers.append((PRIORITY, str(urgency).encode()))
    if helpers:
        named = ",".join(
            f"{address}/{ticket}" if ticket else address for address, ticket in helpers
        )
        headers.append((HELPERS, named.encode()))
    return Outgoing(
        request.method.encode(), request.target, tuple(headers), body,
        has_body=bool(body) or request.method in {"POST", "PUT", "PATCH"},
    )  # fmt: skip


def _decode_load(text):
    """Return the load that a replica told of, or None."""
    parts = text.split(b",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    return Load(*(int(part) for part in parts))


def decode_answer(head):
    """Return the head of a replica's answer.

    Parameters
    ----------
    head : Head
        Status and headers.
    """
    headers = head.headers
    unstarted = head.status == 421 or bool(_find(headers, NOT_EXECUTED))
    return Answer(
        status=head.status,
        attempt_id=_find(headers, ATTEMPT_ID).decode("latin-1"),
        is_sealed=bool(_find(headers, SEAL)),
        is_encoded=bool(_find(headers, b"content-encoding")),
        is_unstarted=unstarted,
        is_other_replica=head.status == 421,
        at_fault=_find(headers, AT_FAULT).decode("latin-1"),
        load=_decode_load(_find(headers, LOAD)),
        cold_s=_read_number(_find(headers, COLD_MS)) / 1e3,
        headers=headers,
    )


def relayed_headers(headers):
    """Return the headers of a replica's answer that go to the caller."""
    return [
        (key, value)
        for key, value in _drop_hop_by_hop(headers)
        if key != b"content-length"
    ]


def encode_own_answer(request, *, retry_after_s):
    """Return the headers of an answer that no replica gave.

    Parameters
    ----------
    request : CallerRequest
        What is answered.
    retry_after_s : float or None
        When asking again may help.
    """
    headers = [(b"content-type", b"application/json")]
    if request.attempt_id:
        headers.append((ATTEMPT_ID, request.attempt_id.encode("latin-1")))
    if retry_after_s is not None:
        headers.append((b"retry-after", f"{retry_after_s:.2f}".encode()))
    return headers
