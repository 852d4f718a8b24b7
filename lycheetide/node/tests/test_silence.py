"""A silent upstream is given up only when another one can take its request."""

import hashlib
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from lycheetide.fleet import Customer, FailureDomain, RequestClass
from standins.callers import (
    book,
    count_runs,
    post,
    request_idempotency_key,
    send_prompt,
)
from standins.invariants import find_violations
from standins.local import DOMAINS, TOKENS, LocalFleet, start_example_fleet

SILENCE_S = 0.5
STALL_S = 1.6
"""Longer than an upstream may be silent if another one can take its request."""
DEADLINE_S = 20.0
CUSTOMER_NAME = "kestrel"


@pytest.fixture
def make_fleet():
    """Return a function that starts a fleet with a short silence limit."""
    fleets = []

    def make(**sizes):
        fleet = LocalFleet(settings={"upstreams": {"silence_s": SILENCE_S}})
        fleets.append(fleet)
        start_example_fleet(fleet, nodes=1, **sizes)
        fleet.wait_ready()
        return fleet

    yield make
    for fleet in fleets:
        fleet.__exit__()


def forbid_retries(fleet):
    """Set the customer's retry budget to zero."""
    digest = hashlib.sha256(TOKENS[CUSTOMER_NAME].encode()).hexdigest()
    customer = Customer(CUSTOMER_NAME, digest, retries_per_s=0.0, retry_burst=0.0)
    fleet.publish([("customers", CUSTOMER_NAME, customer)])
    wait_config_in_force(fleet)


def wait_config_in_force(fleet):
    """Wait until the configuration published last is in force at all nodes."""
    fleet.wait_for(
        lambda: all(
            fleet.status(name)["config_version"] >= fleet.version
            for name in fleet.nodes
        )
    )


def ask_node(fleet, *, max_tokens=8, **fields):
    """Ask the fleet's only node for an answer."""
    (node,) = fleet.nodes.values()
    return send_prompt(
        node, 1_000, max_tokens=max_tokens, deadline_s=DEADLINE_S, **fields
    )


def set_domain_state(fleet, name, state):
    """Set the state of a failure domain, and wait until it is in force."""
    domain = FailureDomain(name, "munster", state)
    fleet.publish([("failure_domains", name, domain)])
    wait_config_in_force(fleet)


def wait_started(fleet):
    """Wait until an engine has started a prompt."""
    fleet.wait_for(
        lambda: any(fleet.record(name)["starts"] for name in fleet.engines),
        what="a start",
    )


@pytest.mark.parametrize(("engines", "has_budget"), [(6, True), (2, False), (1, True)])
def test_a_stream_that_may_go_nowhere_else_outlasts_a_silence(
    make_fleet, engines, has_budget
):
    """A stream must not be cut while its engine is only silent and would go on.

    No other attempt is possible: the attempts or the customer's retries are used up, or
    there is no other engine.
    """
    fleet = make_fleet(engines=engines, bookings=1)
    if not has_budget:
        forbid_retries(fleet)
    for name in fleet.engines:
        fleet.set_faults(name, stall_at=3, stall_s=STALL_S)
    answer = ask_node(fleet)
    assert (answer.outcome, answer.whole) == ("answered", True)
    assert find_violations(fleet, [answer], deadline_s=DEADLINE_S) == []


def test_a_stream_leaves_an_engine_that_is_silent_for_good(make_fleet):
    """One of two engines accepts requests and stops answering them for good.

    Callers would wait until their deadlines unless their requests moved to the other
    engine.
    """
    fleet = make_fleet(engines=2, bookings=1)
    fleet.set_faults("assistant-1", stall_at=3)
    answers = [ask_node(fleet, seed=seed) for seed in range(4)]
    starts = fleet.record("assistant-1")["starts"]
    assert {answer.outcome for answer in answers} == {"answered"}
    assert find_violations(fleet, answers, deadline_s=DEADLINE_S) == []
    assert starts


@pytest.mark.parametrize(("services", "has_budget"), [(3, True), (2, False), (1, True)])
def test_a_lookup_that_may_go_nowhere_else_outlasts_a_silence(
    make_fleet, services, has_budget
):
    """A lookup must not fail while its service is only slower than usual.

    No other attempt helps: other replicas are as slow, the customer's retries are used
    up, or there is no other replica.
    """
    fleet = make_fleet(engines=1, bookings=services)
    if not has_budget:
        forbid_retries(fleet)
    for name in fleet.services:
        fleet.set_faults(name, work_s=STALL_S)
    (node,) = fleet.nodes.values()
    path = "/v1/services/booking/status"
    answer = post(node, path, {}, deadline_s=DEADLINE_S)
    assert answer.status == 200


def test_a_deposit_whose_service_is_slow_is_answered(make_fleet):
    """A deposit's caller must not be told "unknown" while the service works on it.

    No other replica may run the deposit, so nothing is gained by giving up the call.
    Its answer would be lost, and later requests with the key would get "unknown" too.
    """
    fleet = make_fleet(engines=1, bookings=2)
    for name in fleet.services:
        fleet.set_faults(name, work_s=STALL_S)
    (node,) = fleet.nodes.values()
    key = request_idempotency_key(node)
    answers = [book(node, key, deadline_s=DEADLINE_S) for _ in range(2)]
    assert [answer.status for answer in answers] == [200, 200]
    assert count_runs(fleet, key) == 1


def test_a_deposit_that_nobody_waits_for_ends_in_silence(make_fleet):
    """A service hangs for good, and the deposit's caller has given up.

    A caller that asks again must be told "unknown" at once, and the node must be able
    to stop.
    """
    fleet = make_fleet(engines=1, bookings=2)
    for name in fleet.services:
        fleet.set_faults(name, work_s=3600.0)
    (node,) = fleet.nodes.values()
    key = request_idempotency_key(node)
    first = book(node, key, deadline_s=1.5)
    time.sleep(1.0)
    again = book(node, key, deadline_s=DEADLINE_S)
    assert [first.outcome, again.outcome] == ["unknown", "unknown"]
    assert again.total_s < 5.0
    assert count_runs(fleet, key) == 1


def test_a_stream_that_has_begun_waits_for_an_engine_to_go_on_at(make_fleet):
    """A stream's engine breaks the connection while no other engine is open.

    Another one opens long before the caller's deadline, and the stream must resume
    there.
    """
    fleet = make_fleet(engines=2, bookings=1, decode_s=0.05)
    first_domain, spare_domain, _ = DOMAINS
    set_domain_state(fleet, spare_domain, "out")
    with ThreadPoolExecutor(1) as pool:
        asked = pool.submit(ask_node, fleet, max_tokens=60)
        wait_started(fleet)
        set_domain_state(fleet, first_domain, "out")
        fleet.set_faults("assistant-1", cut_at=50)
        time.sleep(4.0)
        set_domain_state(fleet, spare_domain, "in")
        answer = asked.result()
    assert (answer.reason, answer.whole) == ("", True)
    assert fleet.record("assistant-2")["starts"]
    assert find_violations(fleet, [answer], deadline_s=DEADLINE_S) == []


def test_a_stream_that_has_begun_waits_longer_than_its_class_lets_new_ones(make_fleet):
    """A long stream breaks off, and its engine accepts no work for a few seconds.

    Its class lets new requests wait one second for a replica. The stream arrived longer
    ago than that, and must still wait for the engine.
    """
    fleet = make_fleet(engines=1, bookings=1, decode_s=0.05)
    hasty = RequestClass("quote", deadline_s=DEADLINE_S, max_wait_s=1.0)
    fleet.publish([("classes", "quote", hasty)])
    wait_config_in_force(fleet)
    with ThreadPoolExecutor(1) as pool:
        asked = pool.submit(ask_node, fleet, max_tokens=60)
        wait_started(fleet)
        fleet.set_faults("assistant-1", cut_at=50, load_silent=True)
        time.sleep(6.0)
        fleet.set_faults("assistant-1", load_silent=False)
        answer = asked.result()
    assert (answer.reason, answer.whole) == ("", True)
    assert find_violations(fleet, [answer], deadline_s=DEADLINE_S) == []


def test_a_stream_that_finds_no_engine_again_ends_at_its_deadline(make_fleet):
    """A stream breaks off after operators have taken out the only engine.

    It may wait for another engine, but its caller must be answered by the deadline.
    """
    deadline_s = 5.0
    fleet = make_fleet(engines=1, bookings=1, decode_s=0.05)
    (node,) = fleet.nodes.values()
    with ThreadPoolExecutor(1) as pool:
        asked = pool.submit(
            send_prompt, node, 1_000, max_tokens=60, deadline_s=deadline_s
        )
        wait_started(fleet)
        set_domain_state(fleet, DOMAINS[0], "out")
        fleet.set_faults("assistant-1", cut_at=50)
        answer = asked.result()
    assert (answer.outcome, answer.reason) == ("failed", "deadline")
    assert find_violations(fleet, [answer], deadline_s=deadline_s) == []
