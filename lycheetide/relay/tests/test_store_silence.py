"""Load pattern: all nodes restart together while the store is silent or refuses them.

The nodes know no replicas until one of them reads the registry, and every read is
charged for.
"""

import time
from dataclasses import replace
from types import SimpleNamespace

import anyio
import pytest

from lycheetide import platform
from lycheetide.exchange import RecordBatch, StoreUnavailable
from lycheetide.relay._follow import (
    MAX_FLEET_RETRIES_PER_S,
    RETRY_BASE_S,
    get_retry_delay_s,
    load_first_state,
)
from lycheetide.relay._state import RelayState
from lycheetide.settings import RelaySettings

pytestmark = pytest.mark.anyio

NODES = 30
SILENT_S = 0.4
"""How long the store doesn't answer after the nodes have started."""
MAX_UNNOTICED_S = 0.2
"""Until then one of the nodes must have read the registry after the store is back; a
heartbeat takes it to the others."""


@pytest.fixture
def anyio_backend():
    return "asyncio"


def make_store_client(back_s):
    """Return a class of store clients whose calls are lost before a point in time."""

    class SilentClient:
        def __init__(self, *_, **__):
            pass

        async def read(self, *_, timeout_s, **__):
            if time.monotonic() < back_s:
                await anyio.sleep(timeout_s)
                raise StoreUnavailable(f"nothing for {timeout_s} s")
            return RecordBatch((), 5, is_listing=True)

        async def aclose(self):
            pass

    return SilentClient


def make_node(index, back_s):
    settings = replace(
        RelaySettings("", "munster", "cork-a", "", "", "", "10.9.9.9:8"),
        name=f"front-{index}",
        peer_address=f"10.0.0.{index}:7",
    )
    parts = vars(platform) | {"StoreClient": make_store_client(back_s)}
    return RelayState(settings, SimpleNamespace(**parts), f"front-{index}.1.1")


async def measure_first_read_s():
    """Return the time from the store's return until a node has read the registry."""
    back_s = time.monotonic() + SILENT_S
    first_read = anyio.Event()

    async def start(node):
        node.trigger_heartbeat = lambda **_: first_read.set()
        await load_first_state(node, node.make_store_client("registry"), "registry")

    with anyio.move_on_after(SILENT_S + 2 * MAX_UNNOTICED_S):
        async with anyio.create_task_group() as group:
            for index in range(NODES):
                group.start_soon(start, make_node(index, back_s))
            await first_read.wait()
            group.cancel_scope.cancel()
    return time.monotonic() - back_s


async def test_one_of_many_nodes_notices_soon_that_the_store_is_back():
    """Guards against nodes that all wait out the same timeout and pause together.

    Their callers were refused for more than a second after the store was back, and
    refused again when they returned.
    """
    assert await measure_first_read_s() < MAX_UNNOTICED_S


def count_retries_per_s(nodes, *, outage_s):
    """Return how often all nodes together retry per second during an outage."""
    retries, at_s = 0, 0.0
    while (at_s := at_s + get_retry_delay_s("registry", retries + 1, False, nodes)) < (
        outage_s
    ):
        retries += 1
    return nodes * retries / outage_s


@pytest.mark.parametrize("nodes", [24, 67, 195, 300])
def test_retries_in_an_outage_do_not_grow_with_the_fleet(nodes):
    """Guards against calls to the store that grow with the fleet, and their charge."""
    assert count_retries_per_s(nodes, outage_s=60.0) < 1.5 * MAX_FLEET_RETRIES_PER_S


@pytest.mark.parametrize("nodes", [24, 67, 195, 300])
def test_nodes_that_read_for_others_retry_at_once_in_any_fleet(nodes):
    """Guards against a store whose return is noticed after changes are due."""
    for name in ("operator", "registry"):
        assert get_retry_delay_s(name, 9, True, nodes) == RETRY_BASE_S
