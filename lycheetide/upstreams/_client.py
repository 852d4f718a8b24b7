"""The HTTP client that all of a node's calls share."""

from contextlib import contextmanager

import anyio
import httpx

from lycheetide.upstreams._errors import (
    UpstreamBroke,
    UpstreamRefused,
    UpstreamSilent,
    UpstreamUnreached,
)

NEVER_RETRY = 0
BROKEN = (
    httpx.HTTPError,
    httpx.StreamError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    OSError,
)
"""What a broken connection may raise; the HTTP library lets some of anyio's through."""

LONGEST_KEEP_ALIVE_S = 30.0


def make_http_client(*, connect_s, largest_connections=2000):
    """Return a client that never sends a request a second time.

    A transport that tries again by itself would run a booking twice without anybody
    knowing; the only layer that repeats work is the entry node's own.
    """
    limits = httpx.Limits(
        max_connections=largest_connections,
        max_keepalive_connections=200,
        keepalive_expiry=LONGEST_KEEP_ALIVE_S,
    )
    transport = httpx.AsyncHTTPTransport(
        retries=NEVER_RETRY, limits=limits, trust_env=False
    )
    timeout = httpx.Timeout(30.0, connect=connect_s)
    return httpx.AsyncClient(transport=transport, timeout=timeout, trust_env=False)


@contextmanager
def translate_errors():
    """Turn the library's errors into what may have happened at the upstream."""
    try:
        yield
    except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
        raise UpstreamUnreached(repr(error)) from error
    except httpx.ReadTimeout as error:
        raise UpstreamSilent(repr(error)) from error
    except BROKEN as error:
        raise UpstreamBroke(repr(error)) from error


def check_started(response, body):
    """Raise if the upstream says that it refused, or answered with an error.

    Parameters
    ----------
    response : httpx.Response
        The answer; its status is looked at.
    body : object
        The decoded body.
    """
    if response.status_code < 400:
        return
    if isinstance(body, dict) and body.get("started") is False:
        raise UpstreamRefused(str(body.get("error", response.status_code)))
    raise UpstreamBroke(f"status {response.status_code}")
