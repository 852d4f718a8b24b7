"""Calls to a node's operator address, shared by all commands."""

import cappa

from lycheetide.cli._exits import EXIT_UNREACHABLE

REQUEST_TIMEOUT_S = 5.0


def fetch_json(address, path):
    """Return the decoded JSON answer of a node's operator address, or exit."""
    import httpx

    try:
        response = httpx.get(
            f"http://{address}{path}", timeout=REQUEST_TIMEOUT_S, trust_env=False
        )
        body = response.json()
    except (httpx.HTTPError, ValueError) as error:
        raise cappa.Exit(
            f"{address} did not answer: {error}", code=EXIT_UNREACHABLE
        ) from None
    if response.status_code >= 400:
        raise cappa.Exit(f"{address}: {body.get('error')}", code=EXIT_UNREACHABLE)
    return body
