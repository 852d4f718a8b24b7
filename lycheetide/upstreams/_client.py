"""The HTTP client shared by all upstream calls of a node."""

from contextlib import contextmanager

import anyio
import httpx

from lycheetide.upstreams._errors import (
    UpstreamBrokenError,
    UpstreamConnectError,
    UpstreamRefusedError,
    UpstreamTimeoutError,
)

NEVER_RETRY = 0
CONNECTION_ERRORS = (
    httpx.HTTPError,
    httpx.StreamError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    OSError,
)
"""What a broken connection may raise; httpx passes some of anyio's errors through."""

KEEP_ALIVE_EXPIRY_S = 30.0


def make_http_client(*, connect_s, connection_limit=2000):
    """Return an HTTP client that never resends a request.

    A transport that retried by itself could run a booking twice without notice. Only
    the entry node retries requests.

    Parameters
    ----------
    connect_s : float
        The timeout for opening a connection.
    connection_limit : int, default=2000
        The maximum number of open connections.

    Returns
    -------
    httpx.AsyncClient
        The client.
    """
    limits = httpx.Limits(
        max_connections=connection_limit,
        max_keepalive_connections=200,
        keepalive_expiry=KEEP_ALIVE_EXPIRY_S,
    )
    transport = httpx.AsyncHTTPTransport(
        retries=NEVER_RETRY, limits=limits, trust_env=False
    )
    timeout = httpx.Timeout(30.0, connect=connect_s)
    return httpx.AsyncClient(transport=transport, timeout=timeout, trust_env=False)


@contextmanager
def translate_errors():
    """Translate HTTP library errors into ``UpstreamError`` subclasses."""
    try:
        yield
    except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
        raise UpstreamConnectError(repr(error)) from error
    except httpx.ReadTimeout as error:
        raise UpstreamTimeoutError(repr(error)) from error
    except CONNECTION_ERRORS as error:
        raise UpstreamBrokenError(repr(error)) from error


async def request_body(http, method, url, *, max_bytes, **options):
    """Send a request and return its status and the whole body of the answer.

    Parameters
    ----------
    http : httpx.AsyncClient
        The HTTP client.
    method, url : str
        What to ask for.
    max_bytes : int
        The maximum size of the body.
    **options : object
        Passed to ``httpx.AsyncClient.stream``.

    Raises
    ------
    UpstreamError
        If there is no whole answer, or it is too long.
    """
    with translate_errors():
        async with http.stream(method, url, **options) as response:
            return response.status_code, await read_body(response, max_bytes=max_bytes)


async def read_body(response, *, max_bytes):
    """Return the whole body of an answer.

    Raises
    ------
    UpstreamBrokenError
        If it is too long.
    """
    body = bytearray()
    async for part in response.aiter_bytes():
        body.extend(part)
        if len(body) > max_bytes:
            raise UpstreamBrokenError(f"an answer of over {max_bytes} bytes")
    return bytes(body)


def raise_for_error(status, body):
    """Raise an error if the response has an error status.

    Parameters
    ----------
    status : int
        The status of the response.
    body : object
        The decoded body.

    Raises
    ------
    UpstreamRefusedError
        If the body says that the request was not started.
    UpstreamBrokenError
        For any other error status.
    """
    if status < 400:
        return
    if isinstance(body, dict) and body.get("started") is False:
        raise UpstreamRefusedError(str(body.get("error", status)))
    raise UpstreamBrokenError(f"status {status}")
