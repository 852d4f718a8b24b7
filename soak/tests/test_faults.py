"""Faults that would break a promise by themselves, and not by a fault of the nodes."""

import subprocess
import sys

import anyio
import pytest

from soak.deployment import Node
from soak.faults import wait_until_read

pytestmark = pytest.mark.anyio

LOADS_S = 0.6
PROGRAM = f"""
import signal, time
signal.signal(signal.SIGHUP, signal.SIG_IGN)
time.sleep({LOADS_S})
signal.signal(signal.SIGHUP, lambda *_: None)
time.sleep(60)
"""


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
def node(tmp_path):
    """Return a node whose process takes a moment to read its settings."""
    node = Node("n", "", "", "", "", tmp_path)
    node.popen = subprocess.Popen([sys.executable, "-c", PROGRAM])
    yield node
    node.popen.kill()
    node.popen.wait()


async def test_settings_are_torn_only_once_they_were_read(node):
    """A process that starts meets half a settings file, ends, and counts as a fault."""
    begun_s = anyio.current_time()
    assert await wait_until_read(node)
    assert anyio.current_time() - begun_s > LOADS_S / 2


async def test_settings_of_a_process_that_is_gone_are_left_whole(node):
    """A killed node's file is torn, and its next process starts on it."""
    node.popen.kill()
    node.popen.wait()
    assert not await wait_until_read(node, within_s=0.2)
