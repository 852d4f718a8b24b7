"""A node leaves a replica alone for as long as the replica asked it to."""

import time
from types import SimpleNamespace

import anyio
import msgspec
import pytest

from lycheetide.gossip import (
    Doubted,
    Life,
    RestTable,
    decode_message,
    encode_message,
)
from lycheetide.gossip._rests import MAX_REST_S
from lycheetide.httpclient import ResponseHead
from lycheetide.relay._paces import _ask_replica
from lycheetide.relay._reservations import _reserve
from lycheetide.relay._rests import record_rest
from lycheetide.relay._selection import list_candidates
from lycheetide.relay.tests.test_cold_limits import make_lookup, wait_for_peers
from standins.large import SERVICE, make_large_relay
from standins.relay_deployment import RelayDeployment

pytestmark = pytest.mark.anyio

REST_S = 3.0
SETTLING_S = 0.5
"""Time after the refusal from which on the request for rest binds the node."""


@pytest.fixture
def anyio_backend():
    return "asyncio"


def count_in_rest(times):
    """Return the number of requests within the time of rest after the first one."""
    first_s = times[0]
    return sum(first_s + SETTLING_S < at_s < first_s + REST_S for at_s in times)


async def test_a_replica_that_asked_for_rest_is_not_asked_again_meanwhile():
    """Guards against calls that each try a replica which asked the node for rest."""
    async with RelayDeployment(replicas=2) as fleet:
        resting, other = fleet.replicas
        resting.default_step = "refuse"
        resting.rest = str(REST_S)
        statuses = await fleet.send_lookups(seconds=REST_S, per_s=10.0)
        times = resting.received_times
    assert count_in_rest(times) <= 2
    assert set(statuses) == {200}
    assert len(other.runs) == len(statuses)


def find_entry(relay, replica):
    """Return the registry entry of a replica."""
    return relay.replicas.replicas[replica].entry


async def test_a_request_that_was_chosen_before_the_rest_is_held_back():
    """Guards against requests that were placed before the replica asked for rest.

    The replica turns another request of the node away while the connection for this one
    is being opened.
    """
    async with RelayDeployment(replicas=2) as fleet:
        (relay,) = fleet.relays
        open_channel = relay.pool.open

        async def open_late(*args, **options):
            if not relay.rests.list_resting(now_s=time.monotonic()):
                (first,) = relay._own_placed
                record_rest(relay, find_entry(relay, first), REST_S)
            return await open_channel(*args, **options)

        relay.pool.open = open_late
        response = await fleet.book()
        counts = relay.counters.counts
        idle = sum(len(channels) for channels in relay.pool._idle.values())
    assert response.status_code == 200
    assert len(fleet.received()) == 1
    assert counts["attempts_failed.resting"] == 1
    assert idle == 1


async def test_callers_are_refused_at_once_if_all_replicas_rest():
    """Guards against callers that wait for replicas which take nothing for seconds.

    Retry-After is when the first of them takes work again, and the call has not run.
    """
    async with RelayDeployment(replicas=2) as fleet:
        (relay,) = fleet.relays
        record_rest(relay, find_entry(relay, "r-0"), 2.0)
        record_rest(relay, find_entry(relay, "r-1"), 9.0)
        response, looks = await fleet.count_looks(fleet.look)
    assert response.status_code == 503
    assert 1.0 < float(response.headers["retry-after"]) <= 2.0
    assert looks == 1
    assert not fleet.received()


async def test_a_call_waits_for_a_replica_that_has_nearly_rested():
    async with RelayDeployment(replicas=1) as fleet:
        (relay,) = fleet.relays
        record_rest(relay, find_entry(relay, "r-0"), 0.1)
        response = await fleet.look()
    assert response.status_code == 200


async def test_other_nodes_prefer_other_replicas_meanwhile():
    """Guards against nodes that each have to be turned away themselves.

    Otherwise calls use up their attempts at replicas that are known to take nothing.
    The rest doesn't bind the other nodes: without another replica they ask it.
    """
    async with RelayDeployment(relays=2, replicas=2) as fleet:
        await wait_for_peers(fleet)
        first, other = fleet.relays
        record_rest(first, find_entry(first, "r-0"), REST_S)

        def find_preferred():
            candidates, _ = list_candidates(other, make_lookup(other))
            return {one.id for one in candidates if not one.is_recovering}

        await fleet.wait_for(lambda: find_preferred() == {"r-1"}, timeout_s=0.5)
        fleet.replicas[1].default_step = "refuse"
        assert (await fleet.look(relay=1)).status_code == 200


async def test_a_new_start_of_a_replica_need_not_rest():
    """Guards against a restarted replica that is left alone for what the last said."""
    async with RelayDeployment(replicas=1) as fleet:
        (relay,) = fleet.relays
        record_rest(relay, find_entry(relay, "r-0"), REST_S)
        (replica,) = fleet.replicas
        entry = replica.entry(born=1_700_000_009_000, seq=1)
        fleet.store.put("keyed.servers", replica.name, entry)
        await fleet.wait_for(
            lambda: find_entry(relay, "r-0").born_ms == 1_700_000_009_000
        )
        assert (await fleet.look()).status_code == 200


class RefusingPool:
    """Turns each call away and asks for rest."""

    async def call(self, *_, **__):
        return ResponseHead(503, ((b"retry-after", b"3"),)), b""


async def test_reports_and_reservations_that_are_turned_away_ask_for_rest_too():
    relay = make_large_relay(1, 2)
    relay.pool = RefusingPool()
    relay.broadcast_work = lambda _: None
    relay.route_table.services = {SERVICE: SimpleNamespace(max_connections=10)}
    reporting, reserving = [known.entry for known in relay.replicas.replicas.values()]
    await _ask_replica(relay, reporting, anyio.CapacityLimiter(1), {})
    assert relay.list_withheld(now_s=time.monotonic()) == {reporting.id}
    candidate = SimpleNamespace(id=reserving.id, address=reserving.address)
    results: dict[str, bool] = {}
    await _reserve(relay, candidate, "t", 1_000, results)
    assert results == {"t": False}
    assert relay.list_withheld(now_s=time.monotonic()) == {reporting.id, reserving.id}


def test_an_hour_of_rest_counts_as_a_minute():
    """Guards against a time in wrong units that takes a replica out for ever."""
    table = RestTable()
    life = Life("r", 1)
    assert table.ask(life, float("inf"), now_s=0.0)
    assert not table.ask(life, 1.0, now_s=1.0)
    assert table.left_s(life, now_s=0.0) == MAX_REST_S
    table.note_peer(life, 3_600.0, now_s=0.0, draw=0.5)
    assert table.list_spared(now_s=MAX_REST_S)
    table.drop_outdated(now_s=2 * MAX_REST_S)
    assert not table.list_resting(now_s=0.0) and not table.list_spared(now_s=0.0)


class OldDoubted(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """The message before it could name a time of rest."""

    node: str
    replica: str


def test_nodes_of_older_and_newer_versions_read_the_message():
    """Guards against datagrams that nodes of another version can't decode."""
    new = encode_message(Doubted("n", "r", 7, 3_000))
    assert msgspec.msgpack.decode(new, type=OldDoubted) == OldDoubted("n", "r")
    old = msgspec.msgpack.encode(OldDoubted("n", "r"))
    assert decode_message(old) == Doubted("n", "r")
