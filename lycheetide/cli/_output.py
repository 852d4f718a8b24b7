"""What all commands share: exit codes, calls to nodes, findings."""

import sys

import cappa

EXIT_UNREACHED = 1
EXIT_FAULTS = 2
EXIT_REFUSED = 3
CALL_S = 5.0


def print_findings(findings):
    """Print all findings of a file, a line each."""
    for finding in findings:
        print(finding, file=sys.stderr)
    print(f"{len(findings)} findings", file=sys.stderr)


def fetch(address, path):
    """Return a node's decoded answer at its operator address, or exit."""
    import httpx

    try:
        response = httpx.get(f"http://{address}{path}", timeout=CALL_S, trust_env=False)
        body = response.json()
    except (httpx.HTTPError, ValueError) as error:
        raise cappa.Exit(
            f"{address} gives no answer: {error}", code=EXIT_UNREACHED
        ) from None
    if response.status_code >= 400:
        raise cappa.Exit(f"{address}: {body.get('error')}", code=EXIT_UNREACHED)
    return body
