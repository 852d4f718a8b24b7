"""Fault injection must not violate a guarantee by itself, without a node defect."""

import subprocess
import sys

import anyio
import pytest

from soak.deployment import Node
from soak.faults import wait_for_settings_read

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
    node = Node("n", "", "", "", "", "", tmp_path)
    node.process = subprocess.Popen([sys.executable, "-c", PROGRAM])
    yield node
    node.process.kill()
    node.process.wait()


async def test_settings_are_truncated_only_after_they_were_read(node):
    """Otherwise a starting process reads a truncated file, exits, and is reported."""
    started_s = anyio.current_time()
    assert await wait_for_settings_read(node)
    assert anyio.current_time() - started_s > LOADS_S / 2


async def test_settings_of_an_exited_process_are_not_truncated(node):
    """Otherwise the next process of a killed node starts with a truncated file."""
    node.process.kill()
    node.process.wait()
    assert not await wait_for_settings_read(node, within_s=0.2)
