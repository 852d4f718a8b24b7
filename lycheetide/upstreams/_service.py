"""The calls to a plain service."""

from dataclasses import dataclass
from typing import Any

import httpx
import msgspec

from lycheetide.upstreams._client import check_started, translate_errors
from lycheetide.upstreams._errors import UpstreamBroke


@dataclass(frozen=True)
class ServiceCall:
    """What a plain service is asked.

    Parameters
    ----------
    request_id : str
        Whose answer it is.
    operation : str
        The operation.
    body : bytes
        The caller's body as it came.
    key : str
        The idempotency key; empty for idempotent operations.
    fencing_number : int
        Rises with each claim; for services that check it.
    """

    request_id: str
    operation: str
    body: bytes
    key: str = ""
    fencing_number: int = 0


@dataclass(frozen=True)
class ServiceAnswer:
    """What it answered."""

    status: int
    body: Any


async def call_service(http, upstream, call, *, timeout_s):
    """Send one call and return the answer.

    Parameters
    ----------
    http : httpx.AsyncClient
        The connections.
    upstream : Upstream
        The service.
    call : ServiceCall
        What it is asked.
    timeout_s : float or None
        How long it may be silent; None where the caller watches that.

    Raises
    ------
    UpstreamError
        By what may have happened.
    """
    headers = {
        "content-type": "application/json",
        "x-request-id": call.request_id,
    }
    if call.key:
        headers["idempotency-key"] = call.key
        headers["x-fencing-number"] = str(call.fencing_number)
    timeout = httpx.Timeout(timeout_s, connect=http.timeout.connect)
    with translate_errors():
        response = await http.post(
            f"{upstream.url}/run/{call.operation}",
            content=call.body,
            headers=headers,
            timeout=timeout,
        )
    try:
        body = msgspec.json.decode(response.content)
    except msgspec.MsgspecError as error:
        raise UpstreamBroke(f"not JSON: {error}") from error
    if response.status_code >= 500 or _is_refusal(body):
        check_started(response, body)
    return ServiceAnswer(response.status_code, body)


def _is_refusal(body):
    """Tell whether the service says that it has not started."""
    return isinstance(body, dict) and body.get("started") is False
