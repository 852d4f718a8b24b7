"""Exit codes and output of findings."""

import sys

EXIT_UNREACHABLE = 1
EXIT_INVALID = 2
EXIT_REJECTED = 3


def print_findings(findings):
    """Print all findings of a file to standard error, one per line."""
    for finding in findings:
        print(finding, file=sys.stderr)
    print(f"{len(findings)} findings", file=sys.stderr)
