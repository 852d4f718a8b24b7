"""Signals may arrive at any time in the life of a process."""

import signal
import subprocess
import sys
import time

import pytest

from standins.http import LOOPBACK
from standins.local import find_port, survives_hangup

SETTINGS = """\
[node]
name = entry-1
region = munster
failure_domain = cork-a
[relay]
caller_address = {0}
readiness_address = {1}
peer_address = {2}
store_address = {3}
[stop]
stop_s = 3.0
stop_notice_s = 1.0
"""
INTERPRETER_START_S = 20.0
"""Limit on the time from the start of a process until it runs code of this project."""
EXIT_S = 6.0


@pytest.fixture
def node(tmp_path):
    """Start a relay process whose store never answers, and terminate it afterwards."""
    addresses = [f"{LOOPBACK}:{find_port()}" for _ in range(4)]
    path = tmp_path / "node.ini"
    path.write_text(SETTINGS.format(*addresses))
    popen = subprocess.Popen(
        [sys.executable, "-m", "lycheetide", "node", "--settings", str(path)],
        stdout=subprocess.PIPE,
    )
    yield popen
    if popen.poll() is None:
        popen.kill()
    popen.wait()
    assert popen.stdout is not None
    popen.stdout.close()


def test_a_hangup_while_a_node_starts_does_not_end_it(node):
    """Guards against a SIGHUP that terminates a node during its start.

    Operators change the settings while a node starts, and the hangup signal reports the
    change. The process ended without a message and was missing until it was restarted.
    """
    begun_s = time.monotonic()
    while not survives_hangup(node.pid):
        assert time.monotonic() - begun_s < INTERPRETER_START_S
        time.sleep(0.002)
    begun_s = time.monotonic()
    while time.monotonic() - begun_s < 1.5:
        node.send_signal(signal.SIGHUP)
        time.sleep(0.01)
        assert node.poll() is None


def test_a_hangup_while_a_node_leaves_cuts_nothing(node):
    """A node that was told to stop receives a SIGHUP while it still serves clients."""
    assert b"has started" in node.stdout.readline()
    node.send_signal(signal.SIGTERM)
    time.sleep(0.3)
    node.send_signal(signal.SIGHUP)
    time.sleep(0.3)
    assert node.poll() is None
    assert node.wait(EXIT_S) == 0
