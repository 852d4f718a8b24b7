"""Calls to services, which are upstreams other than model engines."""

from dataclasses import dataclass
from typing import Any

import httpx
import msgspec

from lycheetide.exchange import DECODE_ERRORS
from lycheetide.upstreams._client import raise_for_error, request_body
from lycheetide.upstreams._errors import UpstreamBrokenError

MAX_ANSWER_BYTES = 16_000_000


@dataclass(frozen=True)
class ServiceCall:
    """A call to a service.

    Parameters
    ----------
    request_id : str
        The id of the caller's request.
    operation : str
        The name of the operation.
    body : bytes
        The caller's request body, unchanged.
    key : str
        The idempotency key; empty for idempotent operations.
    fencing_number : int
        A number that increases with each claim, for services that check it.
    """

    request_id: str
    operation: str
    body: bytes
    key: str = ""
    fencing_number: int = 0


@dataclass(frozen=True)
class ServiceAnswer:
    """The response of a service."""

    status: int
    body: Any


async def call_service(http, upstream, call, *, timeout_s):
    """Send one call and return the response.

    Parameters
    ----------
    http : httpx.AsyncClient
        The HTTP client.
    upstream : Upstream
        The service replica.
    call : ServiceCall
        The call to send.
    timeout_s : float or None
        The maximum silence; None if the caller enforces its own limit.

    Returns
    -------
    ServiceAnswer
        The status and the decoded body.

    Raises
    ------
    UpstreamError
        If the call fails; the subclass tells whether it may have been started.
    """
    headers = {
        "content-type": "application/json",
        "x-request-id": call.request_id,
    }
    if call.key:
        headers["idempotency-key"] = call.key
        headers["x-fencing-number"] = str(call.fencing_number)
    timeout = httpx.Timeout(timeout_s, connect=http.timeout.connect)
    status, content = await request_body(
        http,
        "POST",
        f"{upstream.url}/run/{call.operation}",
        max_bytes=MAX_ANSWER_BYTES,
        content=call.body,
        headers=headers,
        timeout=timeout,
    )
    try:
        body = msgspec.json.decode(content)
    except DECODE_ERRORS as error:
        raise UpstreamBrokenError(f"not JSON: {error}") from error
    if status >= 500 or _is_refusal(body):
        raise_for_error(status, body)
    return ServiceAnswer(status, body)


def _is_refusal(body):
    """Return whether the body says that the call was not started."""
    return isinstance(body, dict) and body.get("started") is False
