"""Test processes that search for free ports concurrently."""

import itertools
import subprocess
import sys

from standins import local

FIND_FIVE_PORTS = """
import itertools, sys
from standins import local
local.PORTS = itertools.cycle(range(32_100, 32_120))
print(*[local.find_port() for _ in range(5)], flush=True)
sys.stdin.read()
"""


def test_two_test_processes_are_not_given_the_same_port(monkeypatch):
    """Two test workers search for free ports in the same range.

    Both found the same port free, because on a busy machine neither worker's node had
    bound it yet, and the second node ended with "Address already in use".
    """
    monkeypatch.setattr(local, "PORTS", itertools.cycle(range(32_100, 32_120)))
    with subprocess.Popen(
        [sys.executable, "-c", FIND_FIVE_PORTS],
        stdin=subprocess.PIPE, stdout=subprocess.PIPE, cwd=local.ROOT, text=True,
    ) as other:  # fmt: skip
        assert other.stdout is not None and other.stdin is not None
        theirs = {int(port) for port in other.stdout.readline().split()}
        ours = {local.find_port() for _ in range(5)}
        other.stdin.close()
    assert len(theirs) == len(ours) == 5
    assert theirs.isdisjoint(ours)
