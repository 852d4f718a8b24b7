"""State of replicas and configurations at the nodes while the store is faulty."""

import time
from dataclasses import replace
from types import SimpleNamespace

import anyio
import pytest

from lycheetide import platform
from lycheetide.exchange import StoreUnavailable
from standins.relay_deployment import CUSTOMER, RelayDeployment, make_config
from standins.replica import Replica

pytestmark = pytest.mark.anyio

MAX_PROPAGATION_S = 2.0
"""Changes by operators and replicas must be in force within this time."""


@pytest.fixture
def anyio_backend():
    return "asyncio"


def has_version(relay, version):
    return (
        relay.route_table is not None and relay.route_table.routing.version >= version
    )


async def test_a_new_configuration_is_in_force_everywhere():
    async with RelayDeployment(relays=2) as fleet:
        config = make_config(version=7, tenants=[{"name": CUSTOMER, "apiKeys": []}])
        fleet.store.put("keyed.op", "config", config)
        took_s = await fleet.wait_for(
            lambda: all(has_version(relay, 7) for relay in fleet.relays)
        )
        answers = [await fleet.look(relay=index) for index in range(2)]
    assert took_s < MAX_PROPAGATION_S
    assert [answer.status_code for answer in answers] == [401, 401]


async def test_an_older_configuration_never_comes_back():
    """The store's history is compacted, and an old record is written again."""
    async with RelayDeployment() as fleet:
        fleet.store.put("keyed.op", "config", make_config(version=7))
        await fleet.wait_for(lambda: has_version(fleet.relays[0], 7))
        fleet.store.compact("keyed.op")
        fleet.store.put("keyed.op", "config", make_config(version=3, routes=[]))
        await anyio.sleep(0.3)
        assert fleet.relays[0].route_table.routing.version == 7
        assert (await fleet.look()).status_code == 200


NESTED = [b'{"routes":' + 2_000 * b"[", b'{"unknown":' + 2_000 * b"{"]


@pytest.mark.parametrize("broken", [*NESTED, b"", b"{", b'{"version": 9}', b"\xff\xfe"])
async def test_a_configuration_that_cannot_be_read_changes_nothing(broken):
    """A record is truncated; a node that terminated would cut off its clients."""
    async with RelayDeployment() as fleet:
        fleet.store.put("keyed.op", "config", broken)
        await anyio.sleep(0.2)
        assert (await fleet.look()).status_code == 200
        fleet.store.put("keyed.op", "config", make_config(version=9))
        await fleet.wait_for(lambda: has_version(fleet.relays[0], 9))


@pytest.mark.parametrize("down", ["busy", "silent"])
async def test_a_node_that_the_store_refuses_learns_from_its_peers(down):
    """The store serves one node and refuses the other while an API key is revoked.

    Otherwise the revoked key could still be used at the node that is cut off.
    """
    async with RelayDeployment(relays=2) as fleet:
        await fleet.wait_for(
            lambda: all(relay.peers.alive(now_s=0.0) for relay in fleet.relays)
        )
        original = type(fleet.store).answer
        cut = fleet.relays[1]
        cut.settings = cut.settings.__class__(
            **vars(cut.settings) | {"operator_wait_s": 0.0}
        )
        store = fleet.store

        async def answer(request):
            if "waitMs=0" in request.target and "keyed.op" in request.target:
                store.down, before = down, store.down
                try:
                    return await original(store, request)
                finally:
                    store.down = before
            return await original(store, request)

        store.server.handle = answer
        config = make_config(version=7, tenants=[{"name": CUSTOMER, "apiKeys": []}])
        store.put("keyed.op", "config", config)
        took_s = await fleet.wait_for(lambda: has_version(cut, 7))
        refused = await fleet.look(relay=1)
    assert took_s < MAX_PROPAGATION_S + 1.0
    assert refused.status_code == 401


async def test_a_read_that_the_store_forgot_holds_back_no_configuration():
    """Guards against a lost read that delays the next configuration.

    The waiting read for a configuration is sent while the store is silent, and is never
    answered. The store soon works again, as other reads show, but a revoked key stayed
    valid for 20 s.
    """
    async with RelayDeployment() as fleet:
        (relay,) = fleet.relays
        store = fleet.store
        store.down = "busy"
        store.notify_readers()
        await fleet.wait_for(lambda: relay.operator.failures)
        store.down = "silent"
        asked = len(store.calls)
        await fleet.wait_for(
            lambda: any("keyed.op" in target for target in store.calls[asked:])
        )
        store.down = ""
        store.put("keyed.op", "config", make_config(version=9))
        await fleet.wait_for(
            lambda: has_version(relay, 9), timeout_s=MAX_PROPAGATION_S + 1.0
        )


async def test_a_read_after_a_failure_waits_for_nothing():
    """Guards against a waiting read that the store has lost after an earlier failure.

    The store fails one read of operator records and ignores the next. No read of the
    registry showed that the store was back, and a revoked key stayed valid for 20 s.
    """
    async with RelayDeployment() as fleet:
        (relay,) = fleet.relays
        store = fleet.store
        relay.settings = replace(relay.settings, registry_interval_s=60.0)
        await anyio.sleep(0.2)
        store.down = "busy"
        store.notify_readers()
        await fleet.wait_for(lambda: relay.operator.failures)
        store.down = "silent"
        asked = len(store.calls)
        await fleet.wait_for(
            lambda: any("keyed.op" in target for target in store.calls[asked:])
        )
        store.down = ""
        store.put("keyed.op", "config", make_config(version=9))
        await fleet.wait_for(
            lambda: has_version(relay, 9), timeout_s=MAX_PROPAGATION_S + 1.0
        )


async def test_a_draining_replica_gets_no_new_work():
    async with RelayDeployment() as fleet:
        leaving = fleet.replicas[0]
        fleet.store.put("keyed.servers", "r-0", leaving.entry(state="draining", seq=2))
        await fleet.wait_for(
            lambda: fleet.relays[0].replicas.replicas["r-0"].entry.is_draining
        )
        for _ in range(4):
            assert (await fleet.look()).status_code == 200
        assert leaving.received == []


async def test_a_failure_domain_taken_out_gets_no_new_work_until_it_is_back():
    async with RelayDeployment() as fleet:
        relay = fleet.relays[0]
        for replica in fleet.replicas:
            zone = {"r-0": "cork-b", "r-1": "cork-c"}[replica.name]
            fleet.store.put(
                "keyed.servers", replica.name, replica.entry(zone=zone, seq=2)
            )
        fleet.store.put("keyed.op", "evacuate/cork-b", {})
        await fleet.wait_for(lambda: "cork-b" in relay.closed)
        await anyio.sleep(0.2)
        for _ in range(4):
            assert (await fleet.look()).status_code == 200
        assert fleet.replicas[0].received == []
        fleet.store.remove("keyed.op", "evacuate/cork-b")
        await fleet.wait_for(lambda: not relay.closed)


async def test_a_domain_taken_back_while_the_history_was_dropped_is_open_again():
    """The record that reopens the domain is compacted before a node reads it."""
    async with RelayDeployment() as fleet:
        relay = fleet.relays[0]
        fleet.store.put("keyed.op", "evacuate/cork-b", {})
        await fleet.wait_for(lambda: relay.closed)
        fleet.store.topic("keyed.op").put("evacuate/cork-b", b"")
        fleet.store.compact("keyed.op")
        fleet.store.notify_readers()
        await fleet.wait_for(lambda: not relay.closed)


@pytest.mark.parametrize(
    "value",
    [b"", b"\x00\xff", b"[]", b'{"service": 3}', b'{"state": "ready"}',
     {"state": "stolen"}, {"slots": "many"}, {"service": "nowhere"}],
)  # fmt: skip
async def test_an_entry_of_another_writer_names_no_replica(value):
    """Some entries are truncated or forged; the others stay valid, and no task ends."""
    async with RelayDeployment() as fleet:
        if isinstance(value, dict):
            value = fleet.replicas[0].entry(address="127.0.0.1:9") | value
        fleet.store.put("keyed.servers", "stranger", value)
        await anyio.sleep(0.2)
        service = fleet.relays[0].route_table.services["models"]
        names = {one.id for one in fleet.relays[0].candidates(service, now_s=0.0)}
        answer = await fleet.look()
    assert names == {"r-0", "r-1"}
    assert answer.status_code == 200


async def test_entries_that_lapsed_in_an_outage_are_kept_until_they_are_back():
    """Guards against entries of live replicas that expire during a store outage.

    A node that took the replicas for gone would refuse all clients for seconds.
    """
    async with RelayDeployment() as fleet:
        relay = fleet.relays[0]
        fleet.store.down = "busy"
        await fleet.wait_for(lambda: not relay.registry.is_reachable)
        await anyio.sleep(1.6)
        for replica in fleet.replicas:
            fleet.store.remove("keyed.servers", replica.name)
        fleet.store.down = ""
        await fleet.wait_for(lambda: relay.registry.is_reachable)
        await anyio.sleep(0.2)
        assert (await fleet.look()).status_code == 200
        fleet.store.put("keyed.servers", "r-0", fleet.replicas[0].entry(seq=9))
        await anyio.sleep(2.2)
        service = relay.route_table.services["models"]
        now_s = relay.replicas.replicas["r-0"].first_seen_s + 60.0
        names = {one.id for one in relay.candidates(service, now_s=now_s)}
    assert names == {"r-0"}


async def test_a_replica_that_left_while_only_this_node_was_cut_off_gets_no_work():
    """Guards against a removal that is mistaken for an entry that expired in an outage.

    The store refuses one node for a while, and a replica leaves without draining. That
    node would send it new work for two more seconds after it has ended.
    """

    class UnreachableStoreClient(platform.StoreClient):
        is_unreachable = False

        async def read(self, *args, **kwargs):
            if UnreachableStoreClient.is_unreachable:
                raise StoreUnavailable("refused")
            return await super().read(*args, **kwargs)

    adapter = SimpleNamespace(
        **vars(platform) | {"StoreClient": UnreachableStoreClient}
    )
    async with RelayDeployment() as fleet:
        (other,) = fleet.relays
        cut = await fleet.start_relay(adapter=adapter)
        await fleet.wait_for(lambda: cut.peers.alive(now_s=0.0))
        UnreachableStoreClient.is_unreachable = True
        await anyio.sleep(2.0)
        UnreachableStoreClient.is_unreachable = False
        fleet.store.remove("keyed.servers", "r-0")
        await anyio.sleep(0.9)
        service = cut.route_table.services["models"]
        now_s = time.monotonic()
        names = {one.id for one in cut.candidates(service, now_s=now_s)}
        assert other.registry.is_reachable
    assert names == {"r-1"}


async def test_an_outage_of_the_store_stops_nobody():
    async with RelayDeployment(relays=2) as fleet:
        fleet.store.down = "silent"
        await anyio.sleep(1.5)
        answers = [await fleet.look(relay=index) for index in range(2)]
        answers.append(await fleet.stream())
        ready = [
            await fleet.http.get(f"http://{relay.settings.readiness_address}/-/ready")
            for relay in fleet.relays
        ]
    assert {answer.status_code for answer in answers + ready} == {200}


async def test_a_node_that_starts_in_an_outage_learns_from_its_peers():
    """All state comes from a peer; until then the node serves no clients."""
    async with RelayDeployment() as fleet:
        fleet.store.down = "busy"
        relay = await fleet.start_relay(wait=False)
        address = fleet.relays[0].settings.peer_address
        relay.peers.add_address(address, now_s=time.monotonic())
        await fleet.wait_for(lambda: relay.route_table and relay.replicas.replicas)
        assert (await fleet.look(relay=1)).status_code == 200


async def test_a_node_that_starts_in_an_outage_lists_the_replicas_soon_after_it():
    """All nodes were killed in an outage, so no peer knows the replicas.

    The node has a configuration, and refuses all clients until it knows the replicas.
    """
    async with RelayDeployment(relays=0) as fleet:
        fleet.store.down = "busy"
        relay = await fleet.start_relay(wait=False)
        relay.settings = replace(relay.settings, registry_interval_s=3.0)
        await fleet.wait_for(lambda: relay.registry.failures >= 1)
        await anyio.sleep(0.6)
        fleet.store.down = ""
        took_s = await fleet.wait_for(lambda: relay.replicas.replicas)
    assert took_s < 1.0


async def test_a_node_that_knows_nothing_is_not_ready_and_says_not_run():
    async with RelayDeployment() as fleet:
        fleet.store.down = "busy"
        fleet.relays[0].peers.peers.clear()
        relay = await fleet.start_relay(wait=False)
        ready = await fleet.http.get(
            f"http://{relay.settings.readiness_address}/-/ready"
        )
        relay.peers.peers.clear()
        answer = await fleet.look(relay=1) if relay.route_table is None else None
    assert ready.status_code == 503
    assert answer is None or answer.status_code == 503


async def test_a_node_of_another_fleet_is_no_peer():
    """Guards against a node of another fleet that is taken for a peer.

    An address was reassigned to a node of another fleet, and old peers still send it
    heartbeats. It would pass on its own configuration and replicas, and clients would
    get responses from the other fleet.
    """
    async with (
        RelayDeployment() as fleet,
        RelayDeployment(config=make_config(version=99)) as other,
    ):
        ours, strange = fleet.relays[0], other.relays[0]
        now_s = time.monotonic()
        ours.peers.add_address(strange.settings.peer_address, now_s=now_s)
        strange.peers.add_address(ours.settings.peer_address, now_s=now_s)
        await fleet.wait_for(lambda: ours.counters.counts["peers.strange_datagram"])
        await anyio.sleep(0.4)
        assert ours.peers.alive(now_s=now_s) == []
        assert ours.route_table.routing.version == 1


def record_sent_requests(relay, sent):
    """Record when a relay sends a request to which replica."""
    real = relay.record_sent

    def record_sent(replica, *, now_s):
        sent.append((replica, now_s))
        real(replica, now_s=now_s)

    relay.record_sent = record_sent


async def test_a_cold_replica_gets_no_more_than_its_share_from_all_nodes():
    """Guards against a replica that fails under the cold limits of several nodes.

    A replica has just started, and the other one is fully loaded. If each of three
    nodes sent as much as the replica can take, it would fail under the load.
    """
    config = make_config()
    async with RelayDeployment(relays=3, replicas=2, config=config) as fleet:
        sent: list[tuple[str, float]] = []
        for relay in fleet.relays:
            record_sent_requests(relay, sent)
        await fleet.wait_for(
            lambda: all(
                len(relay.peers.alive(now_s=0.0)) == 2 for relay in fleet.relays
            )
        )
        async with anyio.create_task_group() as group:
            for _ in range(90):
                for relay in range(3):
                    group.start_soon(lambda index: fleet.look(relay=index), relay)
                await anyio.sleep(1 / 90)
    # The test's event loop may stall, and requests sent over two seconds then arrive in
    # one. So the times of sending are counted.
    starts_s = sorted(at_s for replica, at_s in sent if replica == "r-0")
    most = max(
        sum(1 for at_s in starts_s if begun_s <= at_s < begun_s + 1.0)
        for begun_s in starts_s
    )
    assert 0 < most <= 20


async def test_a_customer_with_a_home_is_served_there_only():
    """A customer's prompts must not leave its region, even if only others are free."""
    config = make_config()
    config["tenants"][0]["allowedRegions"] = ["mu"]
    async with RelayDeployment(config=config) as fleet:
        settings = fleet.relays[0].settings
        regions = (("cork-a", "munster"), ("plouis-a", "mu"))
        fleet.relays[0].settings = replace(settings, domain_regions=regions)
        refused = await fleet.look()
        entry = fleet.replicas[1].entry(zone="plouis-a", seq=2)
        fleet.store.put("keyed.servers", "r-1", entry)
        await anyio.sleep(0.3)
        answers = [await fleet.look() for _ in range(3)]
    assert refused.status_code == 503
    assert [answer.status_code for answer in answers] == [200] * 3
    assert fleet.replicas[0].received == []


async def test_memory_of_a_huge_prompt_is_held_while_it_runs_and_then_freed():
    """The prompt needs more memory than one replica has; several hold it together."""
    async with RelayDeployment(replicas=4) as fleet:
        for replica in fleet.replicas:
            replica.kv_tokens = 100_000
            replica.events = 30
            replica.pause_s = 0.05
        answer = await fleet.stream(tokens="210000,300", deadline_ms=5_000)
        held = [replica for replica in fleet.replicas if replica.orders]
        (request,) = fleet.received()
        await fleet.wait_for(
            lambda: not any(replica.tickets for replica in fleet.replicas)
        )
        renewed = max(
            sum(order["operation"] == "reserve" for order in replica.orders)
            for replica in held
        )
    assert answer.status_code == 200
    assert len(held) >= 2
    assert renewed >= 2
    named = request.headers["lycheetide-helpers"].split(",")
    assert sum("/" in helper for helper in named) == len(held)


async def test_a_huge_prompt_gets_all_its_memory_or_none():
    """Guards against partial reservations that block other huge prompts forever.

    One of the replicas has no free memory, so the prompt can't be placed.
    """
    async with RelayDeployment(replicas=3) as fleet:
        for replica in fleet.replicas:
            replica.kv_tokens = 10
        fleet.replicas[0].kv_tokens = 100_000
        answer = await fleet.stream(tokens="150000,300")
        await fleet.wait_for(
            lambda: not any(replica.tickets for replica in fleet.replicas)
        )
    orders = [order for replica in fleet.replicas for order in replica.orders]
    assert {order["operation"] for order in orders} == {"reserve", "release"}
    assert answer.status_code == 503
    assert fleet.runs() == []


@pytest.mark.parametrize("tokens", ["50000,300", "210000,300"])
async def test_a_long_prompt_that_no_replica_takes_is_told_to_come_back(tokens):
    """All replicas leave; a client that gets 500 can't tell whether its request ran."""
    async with RelayDeployment() as fleet:
        for replica in fleet.replicas:
            entry = replica.entry(state="draining", seq=2)
            fleet.store.put("keyed.servers", replica.name, entry)
        await fleet.wait_for(
            lambda: all(
                one.entry.is_draining
                for one in fleet.relays[0].replicas.replicas.values()
            )
        )
        answer = await fleet.stream(tokens=tokens)
    assert answer.status_code == 503
    assert answer.headers["retry-after"]


async def test_a_planned_stop_cuts_no_request():
    """A node is told to stop while streams run and clients go on sending requests."""
    async with RelayDeployment(relays=2, stop_notice_s=0.5) as fleet:
        for replica in fleet.replicas:
            replica.events = 20
            replica.pause_s = 0.04
        async with anyio.create_task_group() as group:
            answers = []

            async def ask():
                answers.append(await fleet.stream(deadline_ms=3_000))

            for _ in range(5):
                group.start_soon(ask)
            await anyio.sleep(0.2)
            fleet.stop_events[0].set()
            await anyio.sleep(0.1)
            late = await fleet.look()
            ready = await fleet.http.get(
                f"http://{fleet.relays[0].settings.readiness_address}/-/ready"
            )
    assert [answer.content.count(b"id:") for answer in answers] == [20] * 5
    assert late.status_code == 200
    assert late.headers["connection"] == "close"
    assert ready.status_code == 503


async def test_a_leaving_node_takes_nothing_that_it_would_have_to_cut():
    """Guards against requests that a stopping node accepts too late to finish.

    A client keeps an idle connection open while its node is told to stop. A request
    sent on it just before the end would be read, forwarded and cut off.
    """
    async with RelayDeployment(stop_notice_s=0.3) as fleet:
        for replica in fleet.replicas:
            replica.events = 20
            replica.pause_s = 0.04
        host, _, port = fleet.relays[0].settings.caller_address.rpartition(":")
        async with (
            await anyio.connect_tcp(host, int(port)) as idle,
            anyio.create_task_group() as group,
        ):
            answers = []

            async def ask():
                answers.append(await fleet.stream())

            group.start_soon(ask)
            await anyio.sleep(0.1)
            fleet.stop_events[0].set()
            with anyio.fail_after(0.7), pytest.raises(anyio.EndOfStream):
                await idle.receive()
    assert answers[0].content.count(b"id:") == 20


@pytest.mark.parametrize("broken", [*NESTED, b"\xff", b"[]", b'{"slots": "x"}'])
async def test_a_node_starts_beside_an_entry_that_cannot_be_read(broken):
    """Guards against one record of another writer that keeps all nodes from serving."""
    async with RelayDeployment(relays=0) as fleet:
        fleet.store.put("keyed.servers", "foreign", broken)
        relay = await fleet.start_relay()
        assert relay.counters.counts["registry.skipped"] >= 1
        response = await fleet.stream()
        assert response.status_code == 200


def make_odd_entries(replica):
    """Yield values that no replica writes, some nearly like those of a replica."""
    host = replica.address.rpartition(":")[0]
    for changes in (
        {"address": f"{host}:99999"}, {"address": ""}, {"address": ":80"},
        {"address": f"{host}:0"}, {"slots": -1}, {"slots": 0}, {"slots": 10**25},
        {"seq": 10**25}, {"born": 10**25}, {"coldRemainingMs": 1e308},
        {"address": "nowhere"}, {"service": ""}, {"zone": None},
    ):  # fmt: skip
        yield replica.entry(**changes)
    yield from (*NESTED, b"\xff", b"[]", b"null")


@pytest.mark.parametrize("key", ["foreign", "r-0"])
async def test_odd_entries_disturb_no_request_and_no_later_replica(key):
    """Guards against requests that end with errors, and a list that isn't followed.

    Entries under an id of their own, or under that of a replica, which writes again.
    """
    async with RelayDeployment() as fleet:
        (relay,) = fleet.relays
        odd = list(make_odd_entries(fleet.replicas[0]))
        statuses = []
        for number, value in enumerate(odd):
            name = key if key == "r-0" else f"{key}-{number}"
            fleet.store.put("keyed.servers", name, value)
            await anyio.sleep(0.08)
            for path in ("/look/a", "/stream/s"):
                send = fleet.look if path == "/look/a" else fleet.stream
                statuses.append((await send(path=path)).status_code)
        late = Replica("late")
        async with late.server.run():
            fleet.store.put("keyed.servers", late.name, late.entry())
            for replica in fleet.replicas:
                fleet.store.put("keyed.servers", replica.name, replica.entry(seq=9))
            await fleet.wait_for(lambda: "late" in relay.replicas.replicas)
            fleet.store.put("keyed.servers", "r-1", b"")
            fleet.store.put("keyed.servers", "r-0", b"")
            statuses += [(await fleet.look()).status_code for _ in range(10)]
            assert late.runs
        assert relay.counters.counts["registry.skipped"] >= len(odd)
        assert not [one for one in relay.counters.counts if one.startswith("node.part")]
    assert set(statuses) == {200}
