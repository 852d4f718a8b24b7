"""Connections that peers carry: who may ask, how they end, and when they are used."""

import time

import anyio
import pytest

from lycheetide.paths import TunnelAnswer, TunnelRequest, encode_request
from lycheetide.relay._dial import choose_peers
from lycheetide.relay.tests.test_cold_limits import wait_for_peers
from standins.relay_deployment import RelayDeployment

pytestmark = pytest.mark.anyio

CANCEL_LIMIT_S = 0.5


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def wait_for_tunnel_peers(fleet):
    """Wait until each node knows where the others carry connections."""
    await wait_for_peers(fleet)
    await fleet.wait_for(
        lambda: all(
            peer.tunnel_port
            for relay in fleet.relays
            for peer in relay.peers.alive(now_s=time.monotonic())
        )
    )


async def ask_for_tunnel(address, data):
    """Send bytes to a node's tunnel port; return the answer, None if there is none."""
    host, _, port = address.rpartition(":")
    async with await anyio.connect_tcp(host, int(port)) as stream:
        await stream.send(data)
        try:
            return TunnelAnswer(ord(await stream.receive(1)))
        except anyio.EndOfStream:
            return None


async def test_only_peers_get_tunnels_and_only_to_replicas():
    """Guards against a port by which anybody reaches any server.

    Neither these nor bytes that are no request end the service to the peers.
    """
    async with RelayDeployment(relays=2, replicas=1) as fleet:
        await wait_for_tunnel_peers(fleet)
        first, other = fleet.relays
        store, replica = fleet.store.address, fleet.replicas[0].address
        tunnel_address = first.settings.tunnel_address
        requests = {
            TunnelRequest(store, other.node, replica): TunnelAnswer.OPEN,
            TunnelRequest("10.9.9.9:1", other.node, replica): TunnelAnswer.REFUSED,
            TunnelRequest(store, "stranger.1", replica): TunnelAnswer.REFUSED,
            TunnelRequest(store, other.node, store): TunnelAnswer.REFUSED,
        }
        answers = {
            request: await ask_for_tunnel(tunnel_address, encode_request(request))
            for request in requests
        }
        assert answers == requests
        assert await ask_for_tunnel(tunnel_address, b"GET / HTTP/1.1\r\n\r\n") is None
        fleet.cut(1)
        assert (await fleet.book(relay=1)).status_code == 200


async def test_a_caller_that_leaves_ends_the_work_behind_a_tunnel():
    """Guards against replicas that work on for callers who have left."""
    async with RelayDeployment(relays=2, replicas=1) as fleet:
        await wait_for_tunnel_peers(fleet)
        (replica,) = fleet.replicas
        replica.pause_s = 2.0
        fleet.cut(0)
        async with fleet.open_stream(deadline_ms=9_000) as response:
            assert response.status_code == 200
            await fleet.wait_for(lambda: fleet.relays[1].tunnels.count)
        left_s = time.monotonic()
        await fleet.wait_for(lambda: replica.cancelled_s)
        assert replica.cancelled_s[0] - left_s < CANCEL_LIMIT_S


async def test_streams_end_whole_at_a_peer_that_is_stopped():
    """Guards against a planned stop that cuts the streams of another node's callers."""
    async with RelayDeployment(relays=2, replicas=1) as fleet:
        await wait_for_tunnel_peers(fleet)
        fleet.replicas[0].pause_s = 0.2
        fleet.cut(0)
        async with fleet.open_stream() as response:
            fleet.stop_events[1].set()
            body = await response.aread()
    assert body.count(b"data:") == 4
    assert len(fleet.runs()) == 1


async def test_a_node_that_starts_inside_a_cut_serves():
    """Guards against nodes that need a sound path once before they can lose it."""
    async with RelayDeployment(relays=1, replicas=2) as fleet:
        fleet.cut(1)
        await fleet.start_relay()
        await wait_for_tunnel_peers(fleet)
        responses = [await fleet.book(relay=1), await fleet.stream(relay=1)]
    assert [response.status_code for response in responses] == [200, 200]


async def test_a_node_uses_its_own_paths_again_after_a_cut():
    """Guards against peers that go on carrying connections that nobody needs."""
    async with RelayDeployment(relays=2, replicas=2) as fleet:
        await wait_for_tunnel_peers(fleet)
        cut_off, carrier = fleet.relays
        fleet.cut(0)
        await fleet.send_lookups(seconds=1.0, per_s=20.0)
        assert carrier.tunnels.count
        fleet.links.heal(0)
        await fleet.send_lookups(seconds=2.0, per_s=20.0)
        await fleet.wait_for(lambda: not carrier.tunnels.count, timeout_s=1.0)
        opened = cut_off.counters.counts["tunnels.opened"]
        assert (await fleet.book()).status_code == 200
    assert cut_off.counters.counts["tunnels.opened"] == opened


@pytest.mark.parametrize("kind", ["silent", "reset", "refused"])
async def test_the_others_suspect_no_replica_that_only_one_node_misses(kind):
    """Guards against a node without paths that makes the others avoid all replicas."""
    async with RelayDeployment(relays=3, replicas=3) as fleet:
        await wait_for_tunnel_peers(fleet)
        await fleet.send_lookups(seconds=0.5, per_s=30.0)
        fleet.cut(0, kind=kind)
        await fleet.send_lookups(seconds=2.0, per_s=30.0)
        avoided = [
            (relay.settings.name, replica.name)
            for relay in fleet.relays
            for replica in fleet.replicas
            if relay.failure_detector.is_recovering(
                replica.name, now_s=time.monotonic()
            )
        ]
    assert avoided == []


async def test_all_nodes_soon_suspect_a_replica_that_nobody_reaches():
    """Guards against nodes that take the death of a replica for the loss of a path."""
    async with RelayDeployment(relays=2, replicas=2) as fleet:
        await wait_for_tunnel_peers(fleet)
        await fleet.send_lookups(seconds=0.5, per_s=20.0)
        dead = fleet.replicas[0]
        for relay in (0, 1):
            fleet.cut(relay, kind="reset", replicas=[dead])
        statuses = await fleet.send_lookups(seconds=1.0, per_s=8.0)
        suspects = [
            relay.failure_detector.is_suspect(dead.name, now_s=time.monotonic())
            for relay in fleet.relays
        ]
    assert set(statuses) == {200}
    assert suspects == [True, True]


async def test_bodies_of_requests_with_homes_pass_no_other_regions():
    """Guards against a prompt that leaves the regions it has to stay in."""
    async with RelayDeployment(relays=2, replicas=1) as fleet:
        await wait_for_tunnel_peers(fleet)
        relay = fleet.relays[0]
        regions = {"cork-a": "munster"}
        relay.find_region = lambda domain: regions.get(domain, "")
        now_s = time.monotonic()
        found = [
            len(choose_peers(relay, homes=homes, now_s=now_s))
            for homes in [(), ((), ()), (("munster",), ()), (("munster",), ("ulster",))]
        ]
    assert found == [1, 1, 1, 0]
