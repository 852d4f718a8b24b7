"""All nodes together respect the limit that a replica names in its answers."""

import time
from dataclasses import replace

import anyio
import pytest

from lycheetide.gossip import NO_LIMIT, Heartbeat, Life, LimitReport, encode_message
from lycheetide.gossip._messages import MAX_DATAGRAM_BYTES
from lycheetide.placement import rank_replicas
from lycheetide.relay import _messaging
from lycheetide.relay._named_limits import merge_limits
from lycheetide.relay._roles import is_hub
from lycheetide.relay._selection import list_candidates
from lycheetide.relay.tests.test_cold_limits import make_lookup, wait_for_peers
from standins.large import make_large_relay
from standins.relay_deployment import RelayDeployment

pytestmark = pytest.mark.anyio

WINDOW_S = 4.0
SETTLING_S = 3.0
"""Time after which the limit binds all nodes that were told."""
KNOWN_WITHIN_S = 10.0
"""Time within which all nodes must know that a replica names no limit any more."""


@pytest.fixture
def anyio_backend():
    return "asyncio"


def count_most(times, *, window_s, since_s):
    """Return the largest number of requests in any window after a time."""
    late = [at_s for at_s in times if at_s >= since_s]
    return max(
        (sum(from_s <= at_s < from_s + window_s for at_s in late) for from_s in late),
        default=0,
    )


async def test_a_replica_gets_no_more_than_the_limit_that_it_names():
    """Guards against nodes that send on as before when a replica names a limit."""
    async with RelayDeployment(relays=3, replicas=3) as fleet:
        named_s = time.monotonic()
        fleet.replicas[0].limit = "1.5"
        statuses = await fleet.send_lookups(seconds=8.0, per_s=15.0)
        received = fleet.replicas[0].received_times
        most = count_most(received, window_s=WINDOW_S, since_s=named_s + SETTLING_S)
        sent = len(fleet.received())
    assert most <= 1.5 * 1.5 * WINDOW_S + 5
    assert set(statuses) == {200}
    assert len(received) >= 4
    assert sent == len(statuses)


def find_life(relay, replica):
    """Return the present start of a replica."""
    return Life(replica, relay.replicas.replicas[replica].entry.born_ms)


async def test_a_request_that_was_chosen_before_the_limit_is_held_back():
    """Guards against requests that were placed before a limit was known.

    The replica names its limit while the request's connection is being opened, and the
    node has used its share. The request goes elsewhere; it wasn't sent, so it doesn't
    cost a retry, and one that may run only once may go too.
    """
    async with RelayDeployment(replicas=2) as fleet:
        (relay,) = fleet.relays
        open_channel = relay.pool.open

        async def open_late(*args, **options):
            if not relay.limits.make_reports(now_s=0.0):
                now_s = time.monotonic()
                (first,) = relay._own_placed
                life = find_life(relay, first)
                relay.limits.hear(life, 0.0, sent_s=now_s, now_s=now_s)
                relay.record_sent(first, now_s=now_s)
            return await open_channel(*args, **options)

        relay.pool.open = open_late
        response = await fleet.book()
        counts = relay.counters.counts
    assert response.status_code == 200
    assert len(fleet.received()) == 1
    assert counts["attempts_failed.limited"] == 1
    assert relay.retries("models").has_retry_left(1, now_s=time.monotonic())


async def test_a_call_that_only_limited_replicas_could_take_is_refused_at_once():
    """Guards against callers that wait for a limit which leaves nothing in time."""
    async with RelayDeployment(replicas=1) as fleet:
        fleet.replicas[0].limit = "0.1"
        assert (await fleet.look()).status_code == 200
        response, looks = await fleet.count_looks(fleet.look)
    assert response.status_code == 503
    assert float(response.headers["retry-after"]) > 0
    assert looks == 1
    assert len(fleet.received()) == 1


async def test_an_answer_to_another_attempt_does_not_end_a_limit():
    """Guards against a late answer, from before the need, that ends a limit."""
    async with RelayDeployment(replicas=1) as fleet:
        (relay,) = fleet.relays
        (replica,) = fleet.replicas
        replica.limit = "50"
        assert (await fleet.look()).status_code == 200
        replica.limit = None
        replica.next_steps = ["crossed"]
        assert (await fleet.look()).status_code == 502
        assert relay.find_named_limit("r-0") is not None
        assert (await fleet.look()).status_code == 200
        assert relay.find_named_limit("r-0") is None


async def test_a_node_that_hears_of_a_limit_from_a_peer_keeps_it_and_its_end():
    """Guards against nodes that each learn of a limit by exceeding it."""
    async with RelayDeployment(relays=2, replicas=1) as fleet:
        await wait_for_peers(fleet)
        _, other = fleet.relays
        (replica,) = fleet.replicas
        replica.limit = "0.1"
        assert (await fleet.look()).status_code == 200
        await fleet.wait_for(lambda: other.find_named_limit("r-0"), timeout_s=0.5)
        replica.limit = None
        now_s = time.monotonic()
        life = find_life(other, "r-0")
        other.limits.hear(life, NO_LIMIT, sent_s=now_s, now_s=now_s)
        other.trigger_heartbeat(to_all=True)
        first = fleet.relays[0]
        await fleet.wait_for(lambda: not first.find_named_limit("r-0"), timeout_s=0.5)


async def test_the_end_of_a_low_limit_is_known_soon():
    """Guards against a replica that stays unused when its need is over.

    Another replica ranks higher for all prompts, so nothing would be sent to it.
    """
    async with RelayDeployment(relays=3, replicas=2) as fleet:
        await wait_for_peers(fleet)
        ranks = rank_replicas([one.name for one in fleet.replicas])
        replica = max(fleet.replicas, key=lambda one: ranks[one.name])
        now_s = time.monotonic()
        for relay in fleet.relays:
            life = find_life(relay, replica.name)
            relay.limits.hear(life, 0.0, sent_s=now_s, now_s=now_s)

        def is_limited():
            return any(relay.find_named_limit(replica.name) for relay in fleet.relays)

        while is_limited() and time.monotonic() - now_s < KNOWN_WITHIN_S:
            for number in range(len(fleet.relays)):
                assert (await fleet.stream(relay=number)).status_code == 200
            await anyio.sleep(0.3)
        assert not is_limited()


async def test_a_limited_replica_reads_no_part_of_another_replicas_prompt():
    async with RelayDeployment(replicas=2) as fleet:
        (relay,) = fleet.relays
        now_s = time.monotonic()
        life = find_life(relay, "r-0")
        relay.limits.hear(life, 100.0, sent_s=now_s, now_s=now_s)
        candidates, _ = list_candidates(relay, make_lookup(relay))
    assert {one.id: one.may_help for one in candidates} == {"r-0": False, "r-1": True}


def make_large_fleet_messenger(monkeypatch, *, is_own_hub):
    """Return the messenger of a node in a large fleet, and the heartbeats it sends."""
    monkeypatch.setattr(_messaging, "make_sender", lambda _: None)
    relay = make_large_relay(30, 2)
    relay.settings = replace(relay.settings, link_mbps=500.0)
    now_s = time.monotonic()
    if not is_own_hub:
        hub = Heartbeat(
            "", "front-99.1.1", "10.0.9.9:7", "zone-0", 1, 1, 0.0, link_mbps=1_000
        )
        relay.peers.hear(hub, now_s=now_s)
    assert is_hub(relay, now_s=now_s) == is_own_hub
    sent = []
    relay.trigger_heartbeat = lambda **options: sent.append(options)
    return _messaging.PeerMessenger(relay, None), sent


@pytest.mark.parametrize(
    ("is_own_hub", "sender_mbps", "sent"),
    [(True, 0, [{"to_all": True}]), (True, 1_000, []), (False, 0, [])],
)
def test_only_the_hub_of_the_sender_passes_on_what_is_new_of_a_limit(
    monkeypatch, is_own_hub, sender_mbps, sent
):
    """Guards against a large fleet in which all nodes repeat the same news at once."""
    messenger, triggered = make_large_fleet_messenger(
        monkeypatch, is_own_hub=is_own_hub
    )
    (replica, *_) = messenger.relay.replicas.replicas
    report = LimitReport(replica, 0, 1_500, 1, 10)
    heartbeat = Heartbeat(
        "", "front-98.1.1", "10.0.9.8:7", "zone-1", 1, 1, 0.0,
        link_mbps=sender_mbps, limits=(report,),
    )  # fmt: skip
    now_s = time.monotonic()
    messenger.relay.peers.hear(heartbeat, now_s=now_s)
    for _ in range(2):
        merge_limits(messenger.relay, heartbeat, now_s=now_s)
    assert triggered == sent
    assert messenger.relay.find_named_limit(replica).limit_per_s == 1.5


def test_a_heartbeat_with_many_limits_fits_a_datagram(monkeypatch):
    """Guards against heartbeats that are lost when all replicas name a limit."""
    monkeypatch.setattr(_messaging, "make_sender", lambda _: None)
    relay = make_large_relay(30, 200)
    now_s = time.monotonic()
    for replica in relay.replicas.replicas:
        relay.limits.hear(find_life(relay, replica), 1.25, sent_s=now_s, now_s=now_s)
    messenger = _messaging.PeerMessenger(relay, None)
    heartbeat = messenger.make_heartbeat(now_s=now_s)
    assert len(heartbeat.limits) > 5
    assert len(encode_message(heartbeat)) <= MAX_DATAGRAM_BYTES
