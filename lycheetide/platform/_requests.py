"""Decode callers' requests and replicas' responses; encode requests to replicas."""

import re

from lycheetide.exchange import CallerRequest, ReplicaResponse, ReportedLoad
from lycheetide.httpclient import OutgoingRequest

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
MODEL = b"lycheetide-model"
LENGTH_HINT = b"lycheetide-length-hint"
PROMPT_PREFIX = b"lycheetide-prompt-prefix"
SEAL = b"lycheetide-response-seal"
NOT_EXECUTED = b"lycheetide-not-executed"
LOAD = b"lycheetide-server-load"
AT_FAULT = b"at-server"
COLD_MS = b"lycheetide-cold-ms"
LIMIT = b"server-limit"
RETRY_AFTER = b"retry-after"
LEAVING = b"server-leaving"

_PROMPT_ID = re.compile(rb"[!-+\--~]{1,128}")
"""Visible ASCII characters without the comma, which separates entries."""
MAX_NUMBER = 1e12
"""Largest number in a header that is taken for one: 30 years in milliseconds."""
MAX_DIGITS = 12
_DECIMAL_NUMBER = re.compile(rb"\d+(\.\d*)?|\.\d+")
MAX_SHARED_PARTS = 512
"""Entries of a prompt's list of prefixes that are read; a longer list is forwarded
whole."""

HOP_BY_HOP_HEADERS = frozenset(
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
"""Headers that apply to a single connection only (RFC 9110, section 7.6.1)."""
OVERRIDDEN_HEADERS = frozenset(
    {DEADLINE_MS, CREDENTIAL, CUSTOMER, EXPECTED_REPLICA, HELPERS, PRIORITY,
     b"content-length", b"expect"}
)  # fmt: skip
"""Headers of a caller's request that are never forwarded to a replica unchanged."""
CONTENT_HEADERS = frozenset(
    {MODEL, TOKENS, PROMPT_PREFIX, b"accept", b"content-encoding", b"content-type"}
)
"""Headers that say what a caller asks for, and are the same in each of its tries."""


def _find_header(headers, name):
    """Return the value of a header, or empty bytes if there is none."""
    return next((value for key, value in headers if key == name), b"")


def _drop_hop_by_hop(headers):
    """Yield the headers that are not limited to a single connection."""
    connection_options = {
        token.strip().lower()
        for key, value in headers
        if key.lower() == b"connection"
        for token in value.split(b",")
    }
    for key, value in headers:
        lower = key.lower()
        if lower not in HOP_BY_HOP_HEADERS and lower not in connection_options:
            yield key, value


def _parse_number(text, default=0.0):
    """Parse a number, or return the default if it is malformed or too large.

    Examples
    --------
    >>> [_parse_number(text) for text in (b"1.5", b"x", b"nan", b"inf", b"1e999")]
    [1.5, 0.0, 0.0, 0.0, 0.0]
    """
    try:
        number = float(text)
    except ValueError:
        return default
    return number if abs(number) <= MAX_NUMBER else default


def _parse_limit(headers):
    """Return the limit that a replica names, in requests per second.

    Returns
    -------
    float or None
        Infinity if there is no header; the lowest if there are several; None if a value
        isn't a decimal number. A number too large for a float is infinity.

    Examples
    --------
    >>> _parse_limit([(b"server-limit", b"1.5")])
    1.5
    >>> _parse_limit([(b"server-limit", b"nan")])
    """
    values = [value.strip() for key, value in headers if key == LIMIT]
    if not all(_DECIMAL_NUMBER.fullmatch(value) for value in values):
        return None
    return min(map(float, values), default=float("inf"))


def _parse_rest_s(head):
    """Return for how many seconds a refusal asks this node to send nothing.

    Returns
    -------
    float
        0 if the response is no refusal or asks for no rest; the longest time if it
        names several. A value that isn't a decimal number, such as a date, is ignored.
        A number too large for a float is infinity.
    """
    if head.status != 503:
        return 0.0
    values = [value.strip() for key, value in head.headers if key == RETRY_AFTER]
    numbers = [float(value) for value in values if _DECIMAL_NUMBER.fullmatch(value)]
    return max(numbers, default=0.0)


def _parse_token_counts(text):
    """Return the number of prompt tokens and the maximum number of answer tokens.

    Examples
    --------
    >>> _parse_token_counts(b"1460,80")
    (1460, 80)
    >>> _parse_token_counts(b"")
    (0, 0)
    """
    first, _, second = text.partition(b",")
    return max(0, int(_parse_number(first))), max(0, int(_parse_number(second)))


def _parse_prompt_id(text):
    """Return the last entry of a prompt's list of prefixes.

    The last entry names the prompt's own part, those before it the parts that it shares
    with other prompts.

    Returns
    -------
    str
        Empty if there is no list or its last entry is malformed.

    Examples
    --------
    >>> _parse_prompt_id(b"system-a, 51c0")
    '51c0'
    >>> _parse_prompt_id(b"system-a,")
    ''
    """
    last = text.rpartition(b",")[2].strip(b" \t")
    return last.decode("latin-1") if _PROMPT_ID.fullmatch(last) else ""


def _parse_shared_parts(text):
    """Return the ids of the parts that a prompt shares with others.

    An entry is an id with a number of tokens after a colon. Ids are hexadecimal, so the
    case of letters and leading zeros don't matter. Empty and malformed entries are
    skipped.

    Returns
    -------
    tuple of str
        All but the last, each once, at most ``MAX_SHARED_PARTS``.

    Examples
    --------
    >>> _parse_shared_parts(b"5C1e:800, 005c1e:80,91bd:410,e4402b7d:250")
    ('5c1e', '91bd')
    >>> _parse_shared_parts(b"e4402b7d:250")
    ()
    """
    *entries, _ = text.split(b",", MAX_SHARED_PARTS)
    ids = (entry.partition(b":")[0].strip(b" \t") for entry in entries)
    return tuple(
        dict.fromkeys(
            (one.lower().lstrip(b"0") or b"0").decode("latin-1")
            for one in ids
            if _PROMPT_ID.fullmatch(one)
        )
    )


def decode_request(*, method, target, headers, now_s):
    """Decode the head of a caller's request.

    Parameters
    ----------
    method : str
        The HTTP method.
    target : bytes
        The raw path and query.
    headers : iterable of (bytes, bytes)
        The headers, with names in lower case.
    now_s : float
        When the head was read.

    Returns
    -------
    CallerRequest
        The request.
    """
    headers = tuple(headers)
    prompt_tokens, answer_tokens = _parse_token_counts(_find_header(headers, TOKENS))
    hint = _parse_number(_find_header(headers, LENGTH_HINT))
    if hint > 0:
        answer_tokens = int(min(hint, answer_tokens or hint))
    deadline_ms = _parse_number(_find_header(headers, DEADLINE_MS))
    forwarded = tuple(
        (key, value)
        for key, value in _drop_hop_by_hop(headers)
        if key not in OVERRIDDEN_HEADERS and key != RESUME_HEADER
    )
    return CallerRequest(
        attempt_id=_find_header(headers, ATTEMPT_ID).decode("latin-1"),
        method=method,
        target=target,
        host=_find_header(headers, b"host").decode("latin-1").partition(":")[0].lower(),
        headers=forwarded,
        credential=_find_header(headers, CREDENTIAL).decode("latin-1"),
        received_s=now_s,
        time_left_s=deadline_ms / 1e3 if deadline_ms > 0 else None,
        prompt_tokens=prompt_tokens,
        answer_tokens=answer_tokens,
        resume_after=_find_header(headers, RESUME_HEADER),
        prompt_id=_parse_prompt_id(_find_header(headers, PROMPT_PREFIX)),
        shared_parts=_parse_shared_parts(_find_header(headers, PROMPT_PREFIX)),
    )


def list_content_fields(request):
    """Return the fields of a request's head that say what its caller asks for.

    Parameters
    ----------
    request : CallerRequest
        The request.

    Returns
    -------
    list of bytes
        Method, host and target, and the headers that describe the content.
    """
    headers = sorted(row for row in request.headers if row[0] in CONTENT_HEADERS)
    target = (request.method.encode(), request.host.encode("latin-1"), request.target)
    return [*target, *(text for row in headers for text in row)]


def encode_attempt(
    request, body, *, replica, customer, left_s, helpers, urgency, resume_after
):
    """Encode the request of one attempt at a replica.

    Parameters
    ----------
    request : CallerRequest
        The caller's request.
    body : bytes
        The body of the caller's request.
    replica : RegistryEntry
        The replica; no other replica may run the request.
    customer : str
        The customer who sent the request; empty if there is none.
    left_s : float
        The time that the replica has for the request.
    helpers : sequence of (str, str)
        Addresses of replicas that prefill a part of the prompt, each with the ticket of
        its reservation, or "".
    urgency : int or None
        The priority from 0, which is admitted first, to 9.
    resume_after : bytes
        The id of the last event that the caller received; empty if there is none.

    Returns
    -------
    OutgoingRequest
        The request to send.
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
        helper_list = ",".join(
            f"{address}/{ticket}" if ticket else address for address, ticket in helpers
        )
        headers.append((HELPERS, helper_list.encode()))
    return OutgoingRequest(
        request.method.encode(), request.target, tuple(headers), body,
        has_body=bool(body) or request.method in {"POST", "PUT", "PATCH"},
    )  # fmt: skip


def _decode_load(text):
    """Decode the load reported by a replica; None if it is missing or malformed."""
    parts = [part.strip() for part in text.split(b",", 3)]
    if len(parts) != 3 or not all(
        part.isdigit() and len(part) <= MAX_DIGITS for part in parts
    ):
        return None
    return ReportedLoad(*(int(part) for part in parts))


def decode_answer(head):
    """Decode the head of a replica's response.

    Parameters
    ----------
    head : ResponseHead
        The status and headers.

    Returns
    -------
    ReplicaResponse
        The decoded head.
    """
    headers = head.headers
    unstarted = head.status == 421 or bool(_find_header(headers, NOT_EXECUTED))
    return ReplicaResponse(
        status=head.status,
        attempt_id=_find_header(headers, ATTEMPT_ID).decode("latin-1"),
        is_sealed=bool(_find_header(headers, SEAL)),
        is_encoded=bool(_find_header(headers, b"content-encoding")),
        is_unstarted=unstarted,
        is_other_replica=head.status == 421,
        at_fault=_find_header(headers, AT_FAULT).decode("latin-1"),
        load=_decode_load(_find_header(headers, LOAD)),
        cold_s=max(0.0, _parse_number(_find_header(headers, COLD_MS))) / 1e3,
        limit_per_s=_parse_limit(headers),
        rest_s=_parse_rest_s(head),
        is_leaving=(LEAVING, b"1") in headers,
        headers=headers,
    )


def filter_response_headers(headers):
    """Return the headers of a replica's response that are passed to the caller."""
    return [
        (key, value)
        for key, value in _drop_hop_by_hop(headers)
        if key != b"content-length"
    ]


def encode_node_response_headers(request, *, retry_after_s):
    """Return the headers of a response that the node itself gives.

    Parameters
    ----------
    request : CallerRequest
        The request to respond to.
    retry_after_s : float or None
        The delay after which a retry may succeed; None to send no such header.
    """
    headers = [(b"content-type", b"application/json")]
    if request.attempt_id:
        headers.append((ATTEMPT_ID, request.attempt_id.encode("latin-1")))
    if retry_after_s is not None:
        headers.append((b"retry-after", f"{retry_after_s:.2f}".encode()))
    return headers
