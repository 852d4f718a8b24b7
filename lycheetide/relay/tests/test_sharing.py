"""A few nodes read the registry for all; messages between nodes are lost."""

import time

import anyio
import pytest

from lycheetide.board import Changed
from lycheetide.relay import _follow, _peer_state
from lycheetide.relay._sharing import is_hub, must_read, waits_for_operators
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


def list_operator_calls(fleet, since):
    """Return the calls for operators' records since there were so many calls."""
    return [one for one in fleet.store.calls[since:] if "keyed.op" in one]


async def test_a_configuration_is_read_at_few_nodes_and_in_force_at_all():
    """Each node of a fleet read each configuration at the store."""
    async with Relayed(relays=7) as fleet:
        await start_fleet(fleet)
        await end_first_waits(fleet)
        before = len(fleet.store.calls)
        fleet.store.put("keyed.op", "config", make_config(version=2))
        took_s = await wait_for_version(fleet, fleet.relays, 2)
        await anyio.sleep(0.5)
        calls = list_operator_calls(fleet, before)
    assert took_s < 0.6
    assert len(calls) <= 4


async def end_first_waits(fleet):
    """Let the reads return that nodes began before they knew one another."""
    fleet.store.put("keyed.op", "evacuate/none", {})
    await anyio.sleep(2 * _follow.GATHER_CHANGES_S)


async def wait_for_version(fleet, relays, version):
    """Wait until a configuration is in force at nodes; return how long it took."""
    return await fleet.wait_for(
        lambda: all(relay.table.routing.version == version for relay in relays)
    )


async def test_a_large_configuration_is_read_from_the_store(monkeypatch):
    """A hub gives 38 peers a configuration of 500 kB, over a link of 10 Mbit/s."""
    monkeypatch.setattr(_peer_state, "LINK_MBPS", 0.01)
    async with Relayed(relays=5) as fleet:
        await start_fleet(fleet)
        await end_first_waits(fleet)
        gave = sum_given(fleet)
        before = len(fleet.store.calls)
        fleet.store.put("keyed.op", "config", make_config(version=2))
        took_s = await wait_for_version(fleet, fleet.relays, 2)
        calls = list_operator_calls(fleet, before)
        assert sum_given(fleet) == gave
    assert took_s < 1.0
    assert len(calls) >= 2


def sum_given(fleet):
    """Return how often nodes got operators' records from peers."""
    return sum(relay.counters.counts["peers.gave.operator"] for relay in fleet.relays)


async def test_a_node_that_the_store_turns_away_gets_a_large_configuration(monkeypatch):
    """The store serves some nodes only; the others have to hear of taken keys too."""
    monkeypatch.setattr(_peer_state, "LINK_MBPS", 0.01)
    async with Relayed(relays=5) as fleet:
        await start_fleet(fleet)
        await end_first_waits(fleet)
        now_s = time.monotonic()
        away = [r for r in fleet.relays if not waits_for_operators(r, now_s=now_s)]
        assert away

        async def turn_away(relay, store, name, *, wait_s, read=_follow.read_once):
            if relay in away:
                store.address = "127.0.0.1:9"
                await store.aclose()
            await read(relay, store, name, wait_s=wait_s)

        monkeypatch.setattr(_follow, "read_once", turn_away)
        fleet.store.put("keyed.op", "config", make_config(version=2))
        took_s = await wait_for_version(fleet, fleet.relays, 2)
    assert took_s < 1.5


async def test_a_configuration_is_in_force_soon_though_its_readers_are_frozen():
    """All nodes that wait for operators' records say nothing any more.

    The others notice, wait for the records themselves, and have them within 2 s.
    """
    async with Relayed(relays=6) as fleet:
        await start_fleet(fleet)
        await end_first_waits(fleet)
        now_s = time.monotonic()
        readers = [r for r in fleet.relays if waits_for_operators(r, now_s=now_s)]
        others = [relay for relay in fleet.relays if relay not in readers]
        assert (len(readers), len(others)) == (3, 3)
        frozen = {relay.node for relay in readers}
        for relay in others:
            hear = relay.peers.hear

            def ignore(hello, *, now_s, hear=hear):
                return hello.node not in frozen and hear(hello, now_s=now_s)

            relay.peers.hear = ignore
        fleet.store.put("keyed.op", "config", make_config(version=2))
        took_s = await wait_for_version(fleet, others, 2)
    assert took_s < 1.9


async def test_old_news_of_operators_does_not_keep_a_node_busy():
    """A peer's news came while the node itself read the same from the store.

    Taken for new again and again, it kept the whole loop busy.
    """
    async with Relayed(relays=5) as fleet:
        await start_fleet(fleet)
        await end_first_waits(fleet)
        now_s = time.monotonic()
        relay = next(
            one for one in fleet.relays if not waits_for_operators(one, now_s=now_s)
        )
        looks = []
        lags_behind = relay.lags_behind

        def look(*, now_s):
            looks.append(now_s)
            return lags_behind(now_s=now_s)

        relay.lags_behind = look
        relay.operator_news.set()
        await anyio.sleep(1.0)
    assert len(looks) < 15
