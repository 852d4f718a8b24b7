"""A few nodes read the registry for all; messages between nodes are lost."""

import time

import anyio
import pytest

from lycheetide.board import Changed
from lycheetide.relay._sharing import is_hub, must_read
from standins.relayed import Relayed, make_config

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def start_fleet(fleet):
    """Wait until all relays know one another and which one reads."""
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
    async with Relayed(relays=4) as fleet:
        _, followers = await start_fleet(fleet)
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
        assert not any(must_read(relay, now_s=now_s) for relay in followers)
        reads = [one for one in fleet.store.calls[len(counts) :] if "servers" in one]
    assert took_s < 0.5
    assert len(reads) <= 12


async def test_a_lost_message_is_made_up_for():
    """The datagram that tells of a draining replica never arrives.

    The node would send it new work until it ends, and callers' requests with it.
    """
    async with Relayed(relays=2) as fleet:
        reader, (follower,) = await start_fleet(fleet)
        tell = reader.tell_change

        def lose(message):
            if not isinstance(message, Changed):
                tell(message)

        reader.tell_change = lose
        fleet.store.put(
            "keyed.servers", "r-0", fleet.replicas[0].entry(state="draining", seq=2)
        )
        took_s = await fleet.wait_for(
            lambda: follower.replicas.replicas["r-0"].entry.is_draining
        )
        fetched = follower.counters.counts["peers.fetched.registry"]
        fallback = follower.registry.read_s
    assert took_s < 1.5
    assert fetched >= 1 or fallback > 0


async def test_a_reader_that_falls_silent_is_replaced():
    """The node that reads for all is gone; nobody else has read for a while."""
    async with Relayed(relays=3) as fleet:
        reader, followers = await start_fleet(fleet)
        fleet.stops[fleet.relays.index(reader)].set()
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
    """The store refuses everybody for three seconds.

    Each node asked it again two or three times a second for each of two topics, so a
    fleet of ninety sent a store in trouble hundreds of calls a second.
    """
    async with Relayed(relays=5) as fleet:
        await start_fleet(fleet)
        fleet.store.down = "busy"
        fleet.store.wake()
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
    """A release replaces all nodes, and each lists all topics at the store anew."""
    async with Relayed(relays=2) as fleet:
        reader, _ = await start_fleet(fleet)
        before = len(fleet.store.calls)
        late = await fleet.start_relay()
        calls = fleet.store.calls[before:]
        lists = [one for one in calls if "newest" in one and "nodes" not in one]
        assert late.table.routing.version == reader.table.routing.version
        assert set(late.replicas.replicas) == set(reader.replicas.replicas)
    assert lists == []


async def test_configurations_in_quick_succession_are_read_together():
    """Operators change the configuration twelve times a second.

    Each node reads every one of them, though only the last one counts.
    """
    async with Relayed(relays=2) as fleet:
        await start_fleet(fleet)
        before = len(fleet.store.calls)
        for version in range(2, 22):
            fleet.store.put("keyed.op", "config", make_config(version=version))
            await anyio.sleep(0.08)
        took_s = await fleet.wait_for(
            lambda: all(relay.table.routing.version == 21 for relay in fleet.relays)
        )
        reads = [one for one in fleet.store.calls[before:] if "keyed.op" in one]
    assert took_s < 1.0
    assert len(reads) <= 2 * 8
