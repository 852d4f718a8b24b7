"""Test processes that look for ports at the same moment."""

import itertools
import subprocess
import sys

from standins import local

TAKE_FIVE = """
import itertools, sys
from standins import local
local.PORTS = itertools.cycle(range(32_100, 32_120))
print(*[local.find_port() for _ in range(5)], flush=True)
sys.stdin.read()
"""


def test_two_test_processes_are_not_given_the_same_port(monkeypatch):
    """Two test workers look for free ports in the same range.

    Each found the same port free, since neither's node had bound it yet on a busy
    machine, and the second node ended with "Address already in use".
    """
    monkeypatch.setattr(local, "PORTS", itertools.cycle(range(32_100, 32_120)))
    with subprocess.Popen(
        [sys.executable, "-c", TAKE_FIVE],
        stdin=subprocess.PIPE, stdout=subprocess.PIPE, cwd=local.ROOT, text=True,
    ) as other:  # fmt: skip
        assert other.stdout is not None and other.stdin is not None
        theirs = {int(port) for port in other.stdout.readline().split()}
        ours = {local.find_port() for _ in range(5)}
        other.stdin.close()
    assert len(theirs) == len(ours) == 5
    assert theirs.isdisjoint(ours)
