"""Many nodes broadcast their work with few datagrams.

Most fleets here have no network: datagrams go from list to list.
"""

import time
from collections import Counter
from types import SimpleNamespace

import anyio
import pytest

from lycheetide.gossip import (
    Ended,
    Heartbeat,
    Job,
    JobPart,
    JobTable,
    PeerTable,
    Started,
    decode_message,
    order_node,
)
from lycheetide.relay import _broadcast
from lycheetide.relay._broadcast import MAX_BUNDLE_BYTES, Broadcaster, make_bundles
from lycheetide.relay._messaging import BURST_PAUSE_S, MAX_BURST, PeerMessenger
from lycheetide.relay._roles import HUB_TIMEOUT_S, find_hubs, is_hub
from standins.relay_deployment import RelayDeployment

pytestmark = pytest.mark.anyio

DOMAINS = ("a", "b", "c", "d")
DATAGRAM_HEAD_BYTES = 28


@pytest.fixture
def anyio_backend():
    return "asyncio"


def make_node(index, *, domains=DOMAINS, link_mbps=0.0):
    """Return a stand-in with what the tested functions read of a relay."""
    name = f"front-{index}.1.2"
    return SimpleNamespace(
        node=name,
        order=order_node(name),
        place=(-round(link_mbps), order_node(name)),
        is_leaving=False,
        settings=SimpleNamespace(
            failure_domain=domains[index % len(domains)], link_mbps=link_mbps
        ),
        peers=PeerTable(f"10.0.0.{index}:7"),
        registry=SimpleNamespace(offset=1, complete_until_s=0.0, failures=0),
        is_store_reachable=True,
        sent=[],
    )


def make_heartbeat(node):
    return Heartbeat(
        "", node.node, node.peers.own_address, node.settings.failure_domain, 1, 1, 0.0,
        is_leaving=node.is_leaving, link_mbps=round(node.settings.link_mbps),
        is_store_reachable=node.is_store_reachable,
    )  # fmt: skip


def make_fleet(count, *, now_s=None, domains=DOMAINS, links_mbps=()):
    """Return nodes that have received each other's heartbeats, by address.

    By default they received them just now. The first nodes have the given bandwidths.
    Making a large fleet takes a second on a busy machine, after which its nodes count
    as silent; so tests pass the time of the heartbeats.
    """
    links_mbps = [*links_mbps, *(0.0 for _ in range(count))]
    nodes = [
        make_node(index, domains=domains, link_mbps=links_mbps[index])
        for index in range(count)
    ]
    now_s = time.monotonic() if now_s is None else now_s
    for node in nodes:
        for other in nodes:
            if other is not node:
                node.peers.hear(make_heartbeat(other), now_s=now_s)
        node.broadcaster = Broadcaster(
            node, lambda data, to, by=node: by.sent.append(to)
        )
    return {node.peers.own_address: node for node in nodes}


def make_started(number):
    part = JobPart(f"i-{number:010x}", 0.02, 6_000)
    return Started("front-17.1ecc477f.f88", f"{number:x}", (part,), 10_000)


def test_nodes_agree_on_one_hub_a_failure_domain():
    now_s = time.monotonic()
    fleet = make_fleet(60, now_s=now_s)
    hubs = [node for node in fleet.values() if is_hub(node, now_s=now_s)]
    assert sorted(hub.settings.failure_domain for hub in hubs) == list(DOMAINS)
    for node in fleet.values():
        found = find_hubs(node, now_s=now_s)
        assert {peer.node for peer in found.values() if peer} | (
            {node.node} & {hub.node for hub in hubs}
        ) == {hub.node for hub in hubs}


def test_hubs_are_nodes_with_the_highest_bandwidth():
    """Guards against a hub with a saturated link, which delays or loses messages.

    195 nodes place 160 prompts a second. What a hub forwards fills a link of 10 Mbit/s,
    while three nodes of its failure domain have ten times that bandwidth.
    """
    domains = ("a", "b", "c", "d", "e")
    links_mbps = [10.0] * 195
    for place in range(90, 105):
        links_mbps[place] = 100.0
    now_s = time.monotonic()
    fleet = make_fleet(195, domains=domains, links_mbps=links_mbps, now_s=now_s)
    hubs = [node for node in fleet.values() if is_hub(node, now_s=now_s)]
    assert sorted(hub.settings.failure_domain for hub in hubs) == list(domains)
    assert {hub.settings.link_mbps for hub in hubs} == {100.0}
    bits_per_s = 8 * count_forwarded_bytes(hubs[0], per_s=160, now_s=now_s)
    assert bits_per_s < 0.2 * hubs[0].settings.link_mbps * 1e6


def count_forwarded_bytes(hub, *, per_s, now_s):
    """Return the bytes, headers included, that a hub forwards in one second."""
    sent: list[bytes] = []
    hub.broadcaster._send = lambda data, _: sent.append(data)
    turns = round(1 / _broadcast.BUNDLE_DELAY_S)
    for turn in range(turns):
        messages = []
        for number in range(turn * per_s // turns, (turn + 1) * per_s // turns):
            started = make_started(number)
            messages += [started, Ended(started.node, started.job)]
        hub.broadcaster._send_bundles(messages, now_s=now_s)
    return sum(len(data) + DATAGRAM_HEAD_BYTES for data in sent)


def test_a_hub_that_falls_silent_or_leaves_is_replaced():
    """A hub is frozen, so messages sent to it reach no node of its failure domain."""
    fleet = make_fleet(60)
    node = next(iter(fleet.values()))
    now_s = time.monotonic()
    silent = next(hub for hub in find_hubs(node, now_s=now_s).values() if hub)
    later_s = now_s + HUB_TIMEOUT_S + 0.1
    for other in fleet.values():
        if other.node not in (node.node, silent.node):
            node.peers.hear(make_heartbeat(other), now_s=later_s - 0.1)
    hubs = find_hubs(node, now_s=later_s)
    assert set(hubs) == set(DOMAINS)
    assert silent.node not in {hub.node for hub in hubs.values() if hub}
    following = hubs[silent.failure_domain]
    leaving = fleet[following.address]
    leaving.is_leaving = True
    node.peers.hear(make_heartbeat(leaving), now_s=later_s)
    assert find_hubs(node, now_s=later_s)[silent.failure_domain] != following


def test_datagrams_of_one_request_do_not_grow_with_a_large_fleet():
    """Guards against datagrams to every node in a large fleet.

    Ninety nodes sent two datagrams to each other for each request of the fleet, which
    kept them all busy.
    """
    counts = {}
    for size in (8, 60, 120):
        fleet = make_fleet(size)
        node = next(iter(fleet.values()))
        node.broadcaster.broadcast_via_hubs(make_started(1))
        node.broadcaster.broadcast_via_hubs(Ended("front-17.1ecc477f.f88", "1"))
        counts[size] = len(node.sent)
    assert counts[8] == 2 * 7
    assert counts[60] <= 2 * len(DOMAINS)
    assert counts[120] <= 2 * len(DOMAINS)


def test_bundles_hold_all_in_order_and_fit_a_datagram():
    messages = [make_started(number) for number in range(200)]
    bundles = list(make_bundles("n", messages))
    assert [one for bundle in bundles for one in bundle.messages] == messages
    assert len(bundles) <= 12
    for bundle in bundles:
        data = _broadcast.encode_message(bundle)
        assert len(data) < MAX_BUNDLE_BYTES + 100
        assert decode_message(data) == bundle


def test_a_node_that_is_vouched_for_lives_and_a_dead_one_is_not_vouched_for_long():
    """Guards against dead nodes that stay alive on hearsay.

    In a large fleet nodes exchange heartbeats rarely, and hubs report who is alive. If
    they also reported nodes that they only heard of, a dead node would stay alive
    forever, and its share of each cold replica would stay unused.
    """
    fleet = make_fleet(60)
    node, other, *_ = fleet.values()
    begun_s = time.monotonic()
    silent_s = begun_s + 5.0
    assert node.peers.alive(now_s=silent_s) == []
    node.peers.hear_indirectly([other.order], now_s=silent_s)
    assert [peer.node for peer in node.peers.alive(now_s=silent_s)] == [other.node]
    assert node.peers.list_heard_directly(now_s=silent_s, within_s=1.0) == []
    assert node.peers.alive(now_s=silent_s + 3.0) == []


def test_a_request_whose_end_was_lost_is_settled_by_the_next_greeting():
    """The datagram that reports the end of a request is lost.

    Its replica appeared busy at every other node until the request's deadline, so it
    got no work for some ten seconds.
    """
    job_table = JobTable()
    parts = (JobPart("r", 0.02, 100),)
    for name, at_s in (("old", 0.0), ("kept", 0.0), ("new", 1.8)):
        job_table.start(Job(name, "n", parts, at_s, 10.0), now_s=at_s)
    job_table.start(Job("old", "other", parts, 0.0, 10.0), now_s=0.0)
    assert job_table.reconcile("n", {"kept"}, now_s=2.0) == 1
    assert set(job_table.jobs) == {("n", "kept"), ("n", "new"), ("other", "old")}
    assert job_table.workload("r").writers == 3


def make_messenger(node):
    """Return a node's ``PeerMessenger`` without sockets."""
    messenger = PeerMessenger.__new__(PeerMessenger)
    messenger.relay = node
    return messenger


def count_heartbeats_per_s(fleet, *, now_s):
    """Return the number of heartbeats per second that each address receives."""
    per_s: Counter[str] = Counter()
    for node in fleet.values():
        messenger = make_messenger(node)
        intervals = messenger._choose_intervals(len(fleet) - 1, now_s=now_s)
        # A heartbeat to the hubs replaces one within the failure domain.
        domain_per_s = 1 / intervals.domain_s - 1 / intervals.hubs_s
        for addresses, rate_per_s in (
            (list(fleet), 1 / intervals.all_s),
            (messenger._list_hub_targets(now_s=now_s), 1 / intervals.hubs_s),
            (messenger._list_domain_targets(now_s=now_s), domain_per_s),
        ):
            for address in addresses:
                per_s[address] += rate_per_s
    return per_s


def test_greetings_of_a_large_fleet_are_few_and_never_many_at_once():
    """Guards against bursts of heartbeats that delay other messages.

    Every hub sent heartbeats to ninety nodes three times a second, all at once. On a
    link of 10 Mbit/s each round delayed everything else by 70 ms, and nodes learned
    that late of each other's work.
    """
    now_s = time.monotonic()
    fleet = make_fleet(92, now_s=now_s)
    per_s = count_heartbeats_per_s(fleet, now_s=now_s)
    hubs = {n.peers.own_address for n in fleet.values() if is_hub(n, now_s=now_s)}
    others = [rate for address, rate in per_s.items() if address not in hubs]
    assert max(others) < 20
    assert MAX_BURST * 1_000 * 8 / 10e6 < BURST_PAUSE_S


def test_a_node_never_heard_from_soon_gets_another_heartbeat():
    """First heartbeats are lost when 195 nodes start, and the next came 19 s later.

    Until then a third of the nodes didn't know each other.
    """
    fleet = make_fleet(60)
    node = next(iter(fleet.values()))
    now_s = time.monotonic()
    node.peers.add_address("10.0.9.9:7", now_s=now_s)
    messenger = make_messenger(node)
    assert "10.0.9.9:7" in messenger._list_hub_targets(now_s=now_s)
    assert messenger._choose_intervals(60, now_s=now_s).hubs_s <= 2.0


def test_a_hub_gets_frequent_heartbeats_only_from_its_failure_domain():
    """195 nodes sent heartbeats to each of five hubs 2.5 times a second.

    Each hub received 490 heartbeats a second, a third of what a small link can carry.
    """
    now_s = time.monotonic()
    fleet = make_fleet(195, domains=("a", "b", "c", "d", "e"), now_s=now_s)
    per_s = count_heartbeats_per_s(fleet, now_s=now_s)
    hubs = {n.peers.own_address for n in fleet.values() if is_hub(n, now_s=now_s)}
    assert all(90 < per_s[hub] < 220 for hub in hubs)


@pytest.mark.parametrize(("count", "most_per_s"), [(9, 30), (22, 45)])
def test_heartbeats_of_a_fleet_without_hubs_are_few(count, most_per_s):
    """Each of 22 nodes sent all others 3.3 heartbeats a second; each received 70."""
    now_s = time.monotonic()
    fleet = make_fleet(count, now_s=now_s)
    per_s = 0.0
    for node in fleet.values():
        intervals = make_messenger(node)._choose_intervals(count - 1, now_s=now_s)
        per_s += 1 / intervals.domain_s
        assert 2 * intervals.domain_s < HUB_TIMEOUT_S or not is_hub(node, now_s=now_s)
    assert per_s < most_per_s


async def test_all_nodes_of_a_large_fleet_know_all_work(monkeypatch):
    """Each node sends to hubs only, and every node still learns of all placements."""
    monkeypatch.setattr(_broadcast, "LARGE_FLEET", 3)
    async with RelayDeployment(relays=5) as fleet:
        await fleet.wait_for(
            lambda: all(
                len(relay.peers.alive(now_s=time.monotonic())) == 4
                for relay in fleet.relays
            )
        )
        for replica in fleet.replicas:
            replica.pause_s = 0.5
        seen: Counter[str] = Counter()
        async with anyio.create_task_group() as group:
            for index in range(5):
                group.start_soon(_stream_from, fleet, index)
            with anyio.move_on_after(1.0):
                while len(seen) < 5 or min(seen.values()) < 5:
                    await anyio.sleep(0.01)
                    for relay in fleet.relays:
                        known = {node for node, _ in relay.job_table.jobs}
                        seen[relay.node] = max(seen[relay.node], len(known))
        assert min(seen.values()) == 5
        await fleet.wait_for(
            lambda: not any(relay.job_table.jobs for relay in fleet.relays),
            timeout_s=2.0,
        )


async def _stream_from(fleet, index):
    """Send one prompt through one relay."""
    answer = await fleet.stream(relay=index)
    assert answer.status_code == 200
