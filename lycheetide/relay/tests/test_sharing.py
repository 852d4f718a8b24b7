"""A few nodes read the registry for all, and messages between nodes may be lost."""

import time

import anyio
import pytest

from lycheetide.gossip import RegistryUpdate
from lycheetide.relay import _follow, _peer_state
from lycheetide.relay._roles import (
    is_hub,
    must_read_registry,
    must_wait_for_operator_records,
)
from standins.relay_deployment import RelayDeployment, make_config

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def wait_for_fleet(fleet):
    """Wait until all relays know each other and which one is the reader."""
    now_s = time.monotonic()
    others = len(fleet.relays) - 1
    await fleet.wait_for(
        lambda: all(len(r.peers.alive(now_s=now_s)) == others for r in fleet.relays)
    )
    readers = [r for r in fleet.relays if is_hub(r, now_s=time.monotonic())]
    assert len(readers) == 1
    followers = [relay for relay in fleet.relays if relay not in readers]
    return readers[0], followers


async def test_one_node_reads_and_all_know():
    async with RelayDeployment(relays=4) as fleet:
        _, followers = await wait_for_fleet(fleet)
        await anyio.sleep(0.7)
        counts = fleet.store.calls.copy()
        fleet.store.put(
            "keyed.servers", "r-0", fleet.replicas[0].entry(state="draining", seq=2)
        )
        took_s = await fleet.wait_for(
            lambda: all(
                relay.replicas.replicas["r-0"].entry.is_draining
                for relay in fleet.relays
            )
        )
        now_s = time.monotonic()
        assert not any(must_read_registry(relay, now_s=now_s) for relay in followers)
        reads = [one for one in fleet.store.calls[len(counts) :] if "servers" in one]
    assert took_s < 0.5
    assert len(reads) <= 12


async def test_a_lost_message_is_made_up_for():
    """The datagram that reports a draining replica is lost.

    The node would send it new work until it ends, and those requests would end with it.
    """
    async with RelayDeployment(relays=2) as fleet:
        reader, (follower,) = await wait_for_fleet(fleet)
        real_broadcast = reader.broadcast_change

        def drop_changes(message):
            if not isinstance(message, RegistryUpdate):
                real_broadcast(message)

        reader.broadcast_change = drop_changes
        fleet.store.put(
            "keyed.servers", "r-0", fleet.replicas[0].entry(state="draining", seq=2)
        )
        took_s = await fleet.wait_for(
            lambda: follower.replicas.replicas["r-0"].entry.is_draining
        )
        fetched = follower.counters.counts["peers.fetched.registry"]
        fallback = follower.registry.complete_until_s
    assert took_s < 1.5
    assert fetched >= 1 or fallback > 0


async def test_a_reader_that_falls_silent_is_replaced():
    """The reader is gone, and no other node has read for a while."""
    async with RelayDeployment(relays=3) as fleet:
        reader, followers = await wait_for_fleet(fleet)
        fleet.stop_events[fleet.relays.index(reader)].set()
        await anyio.sleep(0.2)
        fleet.store.put(
            "keyed.servers", "r-0", fleet.replicas[0].entry(state="draining", seq=2)
        )
        took_s = await fleet.wait_for(
            lambda: all(
                relay.replicas.replicas["r-0"].entry.is_draining for relay in followers
            )
        )
    assert took_s < 2.0


async def test_an_outage_of_the_store_brings_it_few_calls():
    """Guards against frequent retries by all nodes while the store refuses them.

    In an outage of three seconds each node retried two or three times a second for each
    of two topics. A fleet of ninety sent hundreds of calls a second to a store in
    trouble.
    """
    async with RelayDeployment(relays=5) as fleet:
        await wait_for_fleet(fleet)
        fleet.store.down = "busy"
        fleet.store.notify_readers()
        before = len(fleet.store.calls)
        await anyio.sleep(3.0)
        calls = len(fleet.store.calls) - before
        fleet.store.down = ""
        fleet.store.put(
            "keyed.servers", "r-0", fleet.replicas[0].entry(state="draining", seq=2)
        )
        took_s = await fleet.wait_for(
            lambda: all(
                relay.replicas.replicas["r-0"].entry.is_draining
                for relay in fleet.relays
            )
        )
    assert calls <= 2 * 8 + 4 * 2 * 4
    assert took_s < 1.5


async def test_a_node_that_starts_among_others_lists_little_at_the_store():
    """A release replaces all nodes, and each of them listed all topics at the store."""
    async with RelayDeployment(relays=2) as fleet:
        reader, _ = await wait_for_fleet(fleet)
        before = len(fleet.store.calls)
        late = await fleet.start_relay()
        calls = fleet.store.calls[before:]
        lists = [one for one in calls if "newest" in one and "nodes" not in one]
        assert late.route_table.routing.version == reader.route_table.routing.version
        assert set(late.replicas.replicas) == set(reader.replicas.replicas)
    assert lists == []


async def test_configurations_in_quick_succession_are_read_together():
    """Operators change the configuration twelve times a second.

    Each node read every version, though only the last one counts.
    """
    async with RelayDeployment(relays=2) as fleet:
        await wait_for_fleet(fleet)
        before = len(fleet.store.calls)
        for version in range(2, 22):
            fleet.store.put("keyed.op", "config", make_config(version=version))
            await anyio.sleep(0.08)
        took_s = await fleet.wait_for(
            lambda: all(
                relay.route_table.routing.version == 21 for relay in fleet.relays
            )
        )
        reads = [one for one in fleet.store.calls[before:] if "keyed.op" in one]
    assert took_s < 1.0
    assert len(reads) <= 2 * 8


def list_operator_calls(fleet, since):
    """Return the calls for operator records after the first ``since`` calls."""
    return [one for one in fleet.store.calls[since:] if "keyed.op" in one]


async def test_a_configuration_is_read_at_few_nodes_and_in_force_at_all():
    """Each node of a fleet used to read each configuration at the store."""
    async with RelayDeployment(relays=7) as fleet:
        await wait_for_fleet(fleet)
        await finish_initial_waits(fleet)
        before = len(fleet.store.calls)
        fleet.store.put("keyed.op", "config", make_config(version=2))
        took_s = await wait_for_version(fleet, fleet.relays, 2)
        await anyio.sleep(0.5)
        calls = list_operator_calls(fleet, before)
    assert took_s < 0.6
    assert len(calls) <= 4


async def finish_initial_waits(fleet):
    """Let the reads return that nodes began before they knew each other."""
    fleet.store.put("keyed.op", "evacuate/none", {})
    await anyio.sleep(2 * _follow.CONFIG_DEBOUNCE_S)


async def wait_for_version(fleet, relays, version):
    """Wait until a configuration is in force at all nodes; return how long it took."""
    return await fleet.wait_for(
        lambda: all(relay.route_table.routing.version == version for relay in relays)
    )


async def test_a_large_configuration_is_read_from_the_store(monkeypatch):
    """A hub would send 500 kB of configuration to 38 peers over a link of 10 Mbit/s."""
    monkeypatch.setattr(_peer_state, "LINK_MBPS", 0.01)
    async with RelayDeployment(relays=5) as fleet:
        await wait_for_fleet(fleet)
        await finish_initial_waits(fleet)
        transfers = count_peer_transfers(fleet)
        before = len(fleet.store.calls)
        fleet.store.put("keyed.op", "config", make_config(version=2))
        took_s = await wait_for_version(fleet, fleet.relays, 2)
        calls = list_operator_calls(fleet, before)
        assert count_peer_transfers(fleet) == transfers
    assert took_s < 1.0
    assert len(calls) >= 2


def count_peer_transfers(fleet):
    """Return how often nodes received operator records from peers."""
    return sum(relay.counters.counts["peers.gave.operator"] for relay in fleet.relays)


async def test_a_node_that_the_store_refuses_gets_a_large_configuration(monkeypatch):
    """The store serves only some nodes; the others must learn of revoked keys too."""
    monkeypatch.setattr(_peer_state, "LINK_MBPS", 0.01)
    async with RelayDeployment(relays=5) as fleet:
        await wait_for_fleet(fleet)
        await finish_initial_waits(fleet)
        now_s = time.monotonic()
        refused_nodes = [
            r
            for r in fleet.relays
            if not must_wait_for_operator_records(r, now_s=now_s)
        ]
        assert refused_nodes

        async def refuse_some(relay, store, name, *, wait_s, read=_follow.read_once):
            if relay in refused_nodes:
                store.address = "127.0.0.1:9"
                await store.aclose()
            await read(relay, store, name, wait_s=wait_s)

        monkeypatch.setattr(_follow, "read_once", refuse_some)
        fleet.store.put("keyed.op", "config", make_config(version=2))
        took_s = await wait_for_version(fleet, fleet.relays, 2)
    assert took_s < 1.5


async def test_a_configuration_is_in_force_soon_though_its_readers_are_frozen():
    """All nodes that wait for operator records are frozen.

    The others notice, wait for the records themselves, and have them within 2 s.
    """
    async with RelayDeployment(relays=6) as fleet:
        await wait_for_fleet(fleet)
        await finish_initial_waits(fleet)
        now_s = time.monotonic()
        readers = [
            r for r in fleet.relays if must_wait_for_operator_records(r, now_s=now_s)
        ]
        others = [relay for relay in fleet.relays if relay not in readers]
        assert (len(readers), len(others)) == (3, 3)
        frozen = {relay.node for relay in readers}
        for relay in others:
            hear = relay.peers.hear

            def ignore(heartbeat, *, now_s, hear=hear):
                return heartbeat.node not in frozen and hear(heartbeat, now_s=now_s)

            relay.peers.hear = ignore
        fleet.store.put("keyed.op", "config", make_config(version=2))
        took_s = await wait_for_version(fleet, others, 2)
    assert took_s < 1.9


async def test_an_outdated_operator_notice_does_not_keep_a_node_busy():
    """Guards against a busy loop after a notice about records already read.

    A peer's notice came while the node itself read the same records from the store. It
    was taken for new again and again, and kept the event loop busy.
    """
    async with RelayDeployment(relays=5) as fleet:
        await wait_for_fleet(fleet)
        await finish_initial_waits(fleet)
        now_s = time.monotonic()
        relay = next(
            one
            for one in fleet.relays
            if not must_wait_for_operator_records(one, now_s=now_s)
        )
        looks = []
        is_behind_peers = relay.is_behind_peers

        def look(*, now_s):
            looks.append(now_s)
            return is_behind_peers(now_s=now_s)

        relay.is_behind_peers = look
        relay.operator_update.set()
        await anyio.sleep(1.0)
    assert len(looks) < 15
