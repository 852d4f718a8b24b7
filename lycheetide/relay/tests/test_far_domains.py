"""Calls of a node whose failure domains are far apart, or not.

The declared delay between two domains is 4.5 ms, which switches control of capacity on,
or 2.9 ms, which doesn't. Only the test of a second attempt uses the loopback network.
"""

import time

import pytest

from lycheetide.gossip import Job, JobPart
from lycheetide.relay._broadcast import estimate_propagation_s
from lycheetide.relay._capacity import find_min_attempt_s, leave_time_for_attempt
from lycheetide.relay._selection import find_placement, list_usable
from lycheetide.routes import DomainDelay, RoutingConfig
from standins.large import make_call, make_large_relay
from standins.relay_deployment import ENGINE, RelayDeployment, make_config

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


def make_relay(delay_s):
    """Return the state of a node of domain "zone-0" with ten replicas in five."""
    relay = make_large_relay(nodes=6, replicas=10)
    table = relay.route_table
    delays = (DomainDelay("zone-1", "zone-0", delay_s),)
    relay.apply_routing(RoutingConfig(1, (), (), None, domain_delays=delays))
    relay.route_table = table
    return relay


def fill(relay, replicas, *, writers, tokens=1_000, now_s):
    for replica in replicas:
        for number in range(writers):
            parts = (JobPart(replica, 0.0, tokens),)
            job = Job(f"{replica}-{number}", "n", parts, now_s, now_s + 60.0)
            relay.job_table.start(job, now_s=now_s)


def place(relay, call, now_s):
    usable = list_usable(relay, call, now_s=now_s)
    return find_placement(relay, call, usable, now_s=now_s)


def test_deployment_with_near_domains_decides_as_before():
    """Guards against a change of behaviour in deployments that don't ask for it."""
    now_s = time.monotonic()
    for is_contended, delay_s in ((False, 0.0029), (True, 0.0045)):
        relay, call = make_relay(delay_s), make_call(0)
        ids = sorted(relay.replicas.replicas)
        known = {one.id: one for one in list_usable(relay, call, now_s=now_s)}
        assert known[ids[1]].distance_s == (2 * delay_s if is_contended else None)
        assert known[ids[2]].round_trip_s == 0.002
        assert estimate_propagation_s(relay, now_s=now_s) == pytest.approx(
            0.003 + 0.0045 * is_contended
        )
        relay.service_times.note("models", 0.02, now_s=now_s)
        relay.random.seed(2)
        fill(relay, [ids[0], ids[5]], writers=1, now_s=now_s)
        assert (place(relay, call, now_s).first.is_near) == is_contended
        fill(relay, ids, writers=8, now_s=now_s)
        # A plain request waits at a full replica for less than its target.
        assert place(relay, call, now_s) is not None
        prompt = make_call(5_000)
        assert (place(relay, prompt, now_s) is None) == is_contended
        # A stream that has begun would be cut without a placement.
        prompt.is_begun = True
        assert place(relay, prompt, now_s) is not None
        # Time is left for a second attempt of twice the usual 0.1 s.
        relay.service_times.note("models", 0.18, now_s=now_s)
        min_attempt_s = find_min_attempt_s(relay, call, default_s=0.05)
        assert min_attempt_s == pytest.approx(0.1 if is_contended else 0.05)
        wait_s = leave_time_for_attempt(relay, 0.8, 0.8, min_attempt_s=min_attempt_s)
        assert wait_s == pytest.approx(0.6 if is_contended else 0.8)


def test_second_attempt_may_go_to_the_next_start_of_a_replica():
    """The only free replica reported an error and has restarted since.

    Guards against the error of a process that has ended as the answer, although its
    next start is idle.
    """
    now_s = time.monotonic()
    for is_contended, delay_s in ((False, 0.0029), (True, 0.0045)):
        relay, call = make_relay(delay_s), make_call(0)
        restarted, same, *_ = sorted(relay.replicas.replicas)
        call.list_excluded = lambda now_s, ids=(restarted, same): set(ids)
        call.error_starts = {restarted: 1_700_000_000_000, same: 0}
        usable_ids = {one.id for one in list_usable(relay, call, now_s=now_s)}
        assert (restarted in usable_ids) == is_contended
        assert same not in usable_ids


def make_far_config(delay_ms):
    delays = [{"from": "cork-a", "targetVersion": "cork-b", "delay_ms": delay_ms}]
    config = make_config()
    config["services"][0]["engine"] = ENGINE | {"delays": delays}
    return config


@pytest.mark.parametrize(("delay_ms", "second"), [(4.5, "r-2"), (2.9, "r-1")])
async def test_second_attempt_after_an_error_goes_to_another_domain(delay_ms, second):
    """All replicas of the near domain report errors, for a cause that they share.

    Guards against a second attempt that gets the same error.
    """
    async with RelayDeployment(replicas=3, config=make_far_config(delay_ms)) as fleet:
        (relay,) = fleet.relays
        for replica in fleet.replicas[:2]:
            replica.default_step = "fail"
        fleet.store.put(
            "keyed.servers", "r-2", fleet.replicas[2].entry(zone="cork-b", seq=2)
        )
        domains = relay.replicas.replicas
        await fleet.wait_for(lambda: domains["r-2"].entry.failure_domain == "cork-b")
        first = (await fleet.look()).status_code
        received = [len(replica.received) for replica in fleet.replicas]
    assert first == (200 if second == "r-2" else 500)
    assert received[int(second[-1])] == 1 and sum(received) == 2
