"""Tests that KNOWN-RED.txt lists may fail; each run prints them."""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent / "KNOWN-RED.txt"


def read_known_red():
    """Return the lines of tests that fail for a known fault, by test."""
    lines = [line.strip() for line in KNOWN_RED.read_text().splitlines()]
    rows = [line for line in lines if line and not line.startswith("#")]
    return {row.split(" | ")[0]: row for row in rows}


def pytest_collection_modifyitems(items):
    """Let listed tests fail without failing the run; no others."""
    known = read_known_red()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason=known[item.nodeid], strict=False))


def pytest_terminal_summary(terminalreporter):
    """Print the list."""
    for row in read_known_red().values():
        terminalreporter.write_line(f"known red: {row}")
