"""A node that starts in a store outage serves as soon as a peer has the state."""

import time
from types import SimpleNamespace

import anyio
import pytest

from lycheetide import platform
from standins.relay_deployment import RelayDeployment

pytestmark = pytest.mark.anyio

MAX_READY_S = 0.6
"""A heartbeat arrives within 0.3 s, and the peer's state within some milliseconds."""


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.mark.parametrize("down", ["busy", "silent"])
@pytest.mark.parametrize("alone_s", [0.5, 1.2, 2.5])
async def test_a_node_that_waits_for_the_store_hears_of_a_peer_that_knows(
    down, alone_s
):
    """Guards against nodes that wait out a retry pause while a peer has the state.

    All nodes were killed in an outage, and the store answers one of them first. The
    others waited up to three seconds before they retried, and refused all clients,
    though that node was sending them heartbeats.
    """
    async with RelayDeployment() as fleet:
        fleet.store.down = down
        fleet.relays[0].peers.peers.clear()
        late = await fleet.start_relay(wait=False)
        late.peers.peers.clear()
        await anyio.sleep(alone_s)
        assert late.route_table is None
        address = fleet.relays[0].settings.peer_address
        late.peers.add_address(address, now_s=time.monotonic())
        late.trigger_heartbeat()
        took_s = await fleet.wait_for(
            lambda: late.is_ready(now_s=time.monotonic()), timeout_s=4.0
        )
    assert took_s < MAX_READY_S


def make_slow_adapter(*, topic, after_s):
    """Return an adapter whose store returns one topic with a delay."""

    class SlowClient(platform.StoreClient):
        async def read(self, *args, **kwargs):
            if args[0] == topic:
                await anyio.sleep(after_s)
            return await super().read(*args, **kwargs)

    return SimpleNamespace(**vars(platform) | {"StoreClient": SlowClient})


@pytest.mark.parametrize("topic", [platform.OPERATOR_TOPIC, platform.REGISTRY_TOPIC])
async def test_a_caller_that_comes_before_the_first_news_waits_for_it(topic):
    """Guards against clients that are refused while the first state is on its way.

    All nodes restart, and a large configuration takes a while over small links. Clients
    were told to retry at a time later than the node was ready.
    """
    async with RelayDeployment(relays=0) as fleet:
        adapter = make_slow_adapter(topic=topic, after_s=0.3)
        relay = await fleet.start_relay(wait=False, adapter=adapter)
        await fleet.wait_for_listener(relay.settings.caller_address)
        assert not relay.is_ready(now_s=time.monotonic())
        answers = [await fleet.look(), await fleet.stream()]
    assert [answer.status_code for answer in answers] == [200, 200]


async def test_a_caller_is_refused_at_once_where_the_news_do_not_come():
    """The store refuses a node that has just started, and the node has no peer."""
    async with RelayDeployment(relays=0) as fleet:
        fleet.store.down = "busy"
        relay = await fleet.start_relay(wait=False)
        await fleet.wait_for_listener(relay.settings.caller_address)
        await fleet.wait_for(lambda: relay.operator.failures)
        begun_s = time.monotonic()
        answer = await fleet.look()
        took_s = time.monotonic() - begun_s
    assert answer.status_code == 503
    assert answer.headers["retry-after"]
    assert took_s < 0.1
