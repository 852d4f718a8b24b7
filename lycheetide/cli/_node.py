"""Run a node from its settings file.

This module doesn't import the command-line library (cappa). With its dependencies it
would take 6 MB, a fifth of a relay's memory, in each node for as long as it runs.
"""

import sys

import anyio

from lycheetide.cli._exits import EXIT_INVALID, print_findings
from lycheetide.metrics import configure_logging
from lycheetide.settings import RelaySettings, read_settings


def load_settings(path):
    """Read a settings file; print all findings and exit if it is invalid."""
    try:
        return read_settings(path)
    except ExceptionGroup as group:
        print_findings(group.exceptions)
    except OSError as error:
        print(f"{path}: {error.strerror}", file=sys.stderr)
    raise SystemExit(EXIT_INVALID)


def run_node_from_file(path):
    """Run the node that a settings file describes until SIGTERM."""
    settings = load_settings(path)
    if isinstance(settings, RelaySettings):
        _run_relay(settings, path)
    else:
        _run_engine_node(settings)


def _run_relay(settings, path):
    """Run a relay in front of replicas that register themselves on a platform."""
    from lycheetide import platform
    from lycheetide.relay import run_relay

    configure_logging(
        level=settings.log_level,
        node=settings.name,
        lines_per_s=settings.log_lines_per_s,
    )

    async def run():
        await run_relay(settings, platform, settings_path=path)

    anyio.run(run)


def _run_engine_node(settings):
    """Run a node in front of the product's own engines."""
    from lycheetide.node import ListenError, run_node

    configure_logging(level=settings.log_level, node=settings.name)
    try:
        anyio.run(run_node, settings)
    except* ListenError as group:
        for error in group.exceptions:
            print(error, file=sys.stderr)
        raise SystemExit(EXIT_INVALID) from None
