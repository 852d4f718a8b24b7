"""A node sends nothing more to a replica whose answers say that it leaves."""

import time

import pytest

from lycheetide.relay._leaving import record_leaving
from lycheetide.relay._selection import list_candidates
from lycheetide.relay.tests.test_cold_limits import make_lookup, wait_for_peers
from lycheetide.relay.tests.test_rests import find_entry
from standins.relay_deployment import RelayDeployment

pytestmark = pytest.mark.anyio

DRAIN_S = 2.0


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def test_a_replica_that_says_it_leaves_gets_nothing_after_the_drain_time():
    """Guards against nodes that believe only the registry that a replica leaves.

    The registry goes on listing the replica as ready.
    """
    async with RelayDeployment(replicas=2) as fleet:
        leaving, _ = fleet.replicas
        leaving.is_leaving = True
        statuses = await fleet.send_lookups(seconds=DRAIN_S + 1.0, per_s=10.0)
        times = leaving.received_times
    assert set(statuses) == {200}
    assert times
    assert times[-1] - times[0] < DRAIN_S


async def test_a_request_that_was_chosen_before_the_word_is_held_back():
    """Guards against requests that were placed before the replica said it leaves."""
    async with RelayDeployment(replicas=2) as fleet:
        (relay,) = fleet.relays
        open_channel = relay.pool.open

        async def open_late(*args, **options):
            if not relay.leaving:
                (first,) = relay._own_placed
                record_leaving(relay, find_entry(relay, first))
            return await open_channel(*args, **options)

        relay.pool.open = open_late
        response = await fleet.book()
        counts = relay.counters.counts
    assert response.status_code == 200
    assert len(fleet.received()) == 1
    assert counts["attempts_failed.leaving"] == 1


async def test_other_nodes_prefer_replicas_that_stay():
    async with RelayDeployment(relays=2, replicas=2) as fleet:
        await wait_for_peers(fleet)
        first, other = fleet.relays
        record_leaving(first, find_entry(first, "r-0"))

        def find_preferred():
            candidates, _ = list_candidates(other, make_lookup(other))
            return {one.id for one in candidates if not one.is_recovering}

        await fleet.wait_for(lambda: find_preferred() == {"r-1"}, timeout_s=0.5)


async def test_the_next_start_of_a_replica_that_left_gets_work():
    """Guards against a restarted replica that is held to the word of its last start.

    While none is left, callers are refused at once.
    """
    async with RelayDeployment(replicas=1) as fleet:
        (relay,) = fleet.relays
        (replica,) = fleet.replicas
        replica.is_leaving = True
        assert (await fleet.look()).status_code == 200
        response, looks = await fleet.count_looks(fleet.look)
        assert (response.status_code, looks) == (503, 1)
        replica.is_leaving = False
        entry = replica.entry(born=1_700_000_009_000, seq=1)
        fleet.store.put("keyed.servers", replica.name, entry)
        await fleet.wait_for(
            lambda: find_entry(relay, "r-0").born_ms == 1_700_000_009_000
        )
        assert (await fleet.look()).status_code == 200


async def test_what_is_gone_is_dropped():
    """Guards against a set that grows with every replica that ever left."""
    async with RelayDeployment(replicas=2) as fleet:
        (relay,) = fleet.relays
        record_leaving(relay, find_entry(relay, "r-0"))
        now_s = time.monotonic()
        relay.drop_gone_replicas(now_s=now_s + 100.0)
        assert relay.leaving
        del relay.replicas.replicas["r-0"]
        relay.drop_gone_replicas(now_s=now_s + 10.0)
        assert relay.leaving
        relay.drop_gone_replicas(now_s=now_s + 100.0)
        assert not relay.leaving
