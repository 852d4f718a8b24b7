"""A node that starts in an outage of the store serves as soon as a peer knows."""

import time

import anyio
import pytest

from standins.relayed import Relayed

pytestmark = pytest.mark.anyio

HEARD_S = 0.6
"""A greeting comes within 0.3 s, and what the peer knows within some milliseconds."""


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.mark.parametrize("down", ["busy", "silent"])
@pytest.mark.parametrize("alone_s", [0.5, 1.2, 2.5])
async def test_a_node_that_waits_for_the_store_hears_of_a_peer_that_knows(
    down, alone_s
):
    """All nodes were killed in an outage, and the store answers one of them first.

    The others wait out their pauses, up to three seconds, and refuse all callers,
    though the one that knows greets them.
    """
    async with Relayed() as fleet:
        fleet.store.down = down
        fleet.relays[0].peers.peers.clear()
        late = await fleet.start_relay(wait=False)
        late.peers.peers.clear()
        await anyio.sleep(alone_s)
        assert late.table is None
        address = fleet.relays[0].settings.peer_address
        late.peers.learn(address, now_s=time.monotonic())
        late.tell_news()
        took_s = await fleet.wait_for(
            lambda: late.is_ready(now_s=time.monotonic()), timeout_s=4.0
        )
    assert took_s < HEARD_S
