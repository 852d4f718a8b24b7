"""Load pattern: a fifth of the replicas turns slow in a burst of huge prompts.

Nodes learn of it from the hubs, which ask the replicas of their failure domains.
"""

import time
from dataclasses import replace
from types import SimpleNamespace

import anyio
import msgspec
import pytest

from lycheetide.gossip import (
    Heartbeat,
    JobPart,
    PaceTable,
    Started,
    decode_message,
    encode_message,
    make_job,
)
from lycheetide.gossip._messages import MAX_DATAGRAM_BYTES
from lycheetide.gossip._paces import MAX_PACE, PACE_TTL_S
from lycheetide.httpclient import ChannelError
from lycheetide.placement import Candidate, Placement, RequestSize, place_prompt
from lycheetide.relay import _messaging
from lycheetide.relay._attempt import make_parts
from lycheetide.relay._paces import (
    ask_for_paces,
    follow_paces,
    list_assigned_replicas,
)
from lycheetide.relay._roles import is_hub
from lycheetide.replicas import RegistryChange
from standins.large import ENGINE, SERVICE, make_large_relay

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


class FakePool:
    """Answers each request for a report, with the pace of its address."""

    def __init__(self, paces, *, status=200):
        self.paces = paces
        self.status = status
        self.asked = []

    async def call(self, address, outgoing, **_):
        self.asked.append(address)
        pace = self.paces.get(address, 1.0)
        if pace is None:
            raise ChannelError(f"nothing from {address}")
        return SimpleNamespace(status=self.status), msgspec.json.encode({"pace": pace})


def make_hub(replicas=10, *, nodes=1):
    """Return a relay that is the hub of its failure domain, and its replicas."""
    relay = make_large_relay(nodes, replicas)
    relay.route_table = SimpleNamespace(
        services={
            SERVICE: SimpleNamespace(name=SERVICE, engine=ENGINE, max_connections=200)
        },
        find_shortest_target_s=lambda _: 0.4,
    )
    relay.heartbeats = []
    relay.trigger_heartbeat = lambda **options: relay.heartbeats.append(options)
    return relay, [known.entry for known in relay.replicas.replicas.values()]


async def test_all_nodes_are_told_at_once_of_a_replica_that_has_become_slow():
    relay, entries = make_hub()
    relay.pool = FakePool({entries[3].address: 4.2})
    await ask_for_paces(relay, entries)
    now_s = time.monotonic()
    assert relay.paces.pace(entries[3].id, now_s=now_s) == 4.2
    assert relay.reported_paces == ((entries[3].id, 4.2),)
    assert relay.heartbeats == [{"to_all": True}]
    await ask_for_paces(relay, entries)
    assert relay.reported_paces == ((entries[3].id, 4.2),)
    assert len(relay.heartbeats) == 1


async def test_all_nodes_are_told_that_a_replica_is_no_longer_slow():
    relay, entries = make_hub()
    relay.pool = FakePool({entries[3].address: 4.2})
    await ask_for_paces(relay, entries)
    relay.pool = FakePool({})
    await ask_for_paces(relay, entries)
    assert relay.reported_paces == ((entries[3].id, 1.0),)
    assert len(relay.heartbeats) == 2
    await ask_for_paces(relay, entries)
    assert relay.reported_paces == ()


@pytest.mark.parametrize("status", [200, 421, 500])
async def test_replicas_without_a_report_are_left_out(status):
    """Guards against a silent or replaced replica whose pace is taken for known."""
    relay, entries = make_hub()
    silent = {entry.address: None for entry in entries} if status == 200 else {}
    relay.pool = FakePool(silent, status=status)
    await ask_for_paces(relay, entries)
    assert relay.reported_paces == ()
    assert relay.heartbeats == []


def test_each_replica_is_asked_by_one_hub():
    """Guards against reports that every node asks for, or that no node asks for."""
    relay, entries = make_hub(nodes=30)
    domain = relay.settings.failure_domain
    assigned = list_assigned_replicas(relay, now_s=time.monotonic())
    is_own_hub = is_hub(relay, now_s=time.monotonic())
    assert {entry.failure_domain for entry in assigned} == (
        {domain} if is_own_hub else set()
    )
    alone, entries = make_hub(nodes=1)
    assert list_assigned_replicas(alone, now_s=time.monotonic()) == entries


def test_draining_and_cold_replicas_and_closed_domains_are_not_asked():
    relay, entries = make_hub()
    now_s = time.monotonic()
    relay.closed = frozenset({"zone-1"})
    draining = replace(entries[0], is_draining=True, sequence=1)
    cold = replace(entries[2], cold_s=5.0, sequence=1)
    relay.replicas.apply(
        [RegistryChange(one.id, 100, one) for one in (draining, cold)],
        now_s=now_s,
    )
    asked = {entry.id for entry in list_assigned_replicas(relay, now_s=now_s)}
    left_out = {entries[0].id, entries[2].id}
    left_out |= {entry.id for entry in entries if entry.failure_domain == "zone-1"}
    assert asked == {entry.id for entry in entries} - left_out


def make_messenger(relay, monkeypatch):
    """Return the messenger of a node, which sends nothing."""
    sender = SimpleNamespace(sendto=lambda *_: None)
    monkeypatch.setattr(_messaging, "make_sender", lambda _: sender)
    return _messaging.PeerMessenger(relay, None)


def test_nodes_learn_the_paces_from_the_heartbeat_of_a_hub(monkeypatch):
    hub, entries = make_hub()
    hub.reported_paces = ((entries[0].id, 4.2), (entries[1].id, 1.0))
    messenger = make_messenger(hub, monkeypatch)
    heartbeat = messenger.make_heartbeat(now_s=time.monotonic())
    heard = decode_message(encode_message(heartbeat))
    assert isinstance(heard, Heartbeat)
    assert heard.paces == ((entries[0].id, 420), (entries[1].id, 100))
    node, _ = make_hub()
    now_s = time.monotonic()
    heard = msgspec.structs.replace(heard, node="front-9.1.1", address="10.0.0.9:7")
    make_messenger(node, monkeypatch).handle_message(heard, now_s=now_s)
    assert node.paces.pace(entries[0].id, now_s=now_s) == 4.2
    assert node.paces.pace(entries[1].id, now_s=now_s) == 1.0


def test_a_heartbeat_with_many_slow_replicas_fits_a_datagram(monkeypatch):
    """Guards against heartbeats that are lost when a whole failure domain is slow."""
    hub, entries = make_hub(replicas=200)
    hub.reported_paces = tuple((entry.id, 4.2) for entry in entries)
    messenger = make_messenger(hub, monkeypatch)
    heartbeat = messenger.make_heartbeat(now_s=time.monotonic())
    assert len(encode_message(heartbeat)) < MAX_DATAGRAM_BYTES / 2
    listed = {
        replica
        for _ in range(60)
        for replica, _ in messenger.make_heartbeat(now_s=time.monotonic()).paces
    }
    assert len(listed) > len(entries) / 2


@pytest.mark.parametrize("is_idle", [True, False])
async def test_replicas_are_asked_while_requests_arrive(is_idle):
    """Guards against a charge for reports while nobody sends requests."""
    relay, entries = make_hub()
    relay.pool = FakePool({})
    if not is_idle:
        started = Started("front-1", "1", (JobPart(entries[0].id, 0.1),), 1_000)
        now_s = time.monotonic()
        relay.job_table.start(make_job(started, now_s=now_s), now_s=now_s)
    with anyio.move_on_after(0.05):
        await follow_paces(relay)
    assert bool(relay.pool.asked) is not is_idle


def test_a_pace_that_is_not_repeated_is_forgotten():
    """Guards against replicas avoided for good after their hub has died."""
    paces = PaceTable()
    assert paces.note("r", 4.2, now_s=0.0)
    assert paces.pace("r", now_s=PACE_TTL_S) == 4.2
    assert paces.pace("r", now_s=PACE_TTL_S + 0.1) == 1.0
    paces.drop_outdated(now_s=PACE_TTL_S + 0.1)
    assert not paces.note("r", 1.0, now_s=PACE_TTL_S + 0.2)


def test_a_replica_that_reports_an_absurd_pace_is_only_slow():
    """Guards against a report that ends the task that sends heartbeats."""
    paces = PaceTable()
    paces.note("r", 1e308, now_s=0.0)
    assert paces.pace("r", now_s=0.0) == MAX_PACE


def make_candidates(slow):
    return [
        Candidate(f"r{rank}", f"10.0.0.{rank}:80", rank, 6, pace=pace)
        for rank, pace in enumerate([4.2] * slow + [1.0] * (45 - slow))
    ]


@pytest.mark.parametrize("tokens", [2_000, 45_000, 268_000, 600_000])
def test_no_slow_replica_takes_part_while_others_can(tokens):
    placement = place_prompt(
        ENGINE, RequestSize(tokens, 700), make_candidates(9), target_s=4.0
    )
    readers = [placement.first, *placement.helpers]
    readers += [share.replica for share in placement.holders]
    assert all(reader.pace == 1.0 for reader in readers)


def test_a_slow_fleet_still_packs_short_prompts():
    """Guards against prompts spread over all replicas when all are equally slow."""
    placement = place_prompt(
        ENGINE, RequestSize(2_000, 700), make_candidates(45), target_s=4.0
    )
    assert placement.first.rank == 0


def test_the_part_of_a_slow_replica_counts_for_longer():
    first, slow = make_candidates(1)[1], make_candidates(1)[0]
    placement = Placement(first, (slow,), expected_s=1.0, part_prefill_s=0.5)
    call = SimpleNamespace(size=RequestSize(100_000, 700))
    parts = make_parts(call, placement)
    assert [part.read_s for part in parts] == [0.5, pytest.approx(2.1)]
