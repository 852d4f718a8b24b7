"""A silent upstream is left only where another one takes its request over."""

import hashlib
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from lycheetide.fleet import Customer, FailureDomain, RequestClass
from standins.callers import ask_prompt, book, count_runs, get_key, post
from standins.local import DOMAINS, TOKENS, LocalFleet, make_forge_works
from standins.promises import find_broken

SILENCE_S = 0.5
STALL_S = 1.6
"""Longer than an upstream may be silent where another one may take its request."""
DEADLINE_S = 20.0
CALLER = "kestrel"


@pytest.fixture
def make_fleet():
    """Return a function that starts a fleet whose nodes lose patience quickly."""
    fleets = []

    def make(**sizes):
        fleet = LocalFleet(settings={"upstreams": {"silence_s": SILENCE_S}})
        fleets.append(fleet)
        make_forge_works(fleet, nodes=1, **sizes)
        fleet.wait_ready()
        return fleet

    yield make
    for fleet in fleets:
        fleet.__exit__()


def forbid_retries(fleet):
    """Leave the caller no retry in its budget."""
    digest = hashlib.sha256(TOKENS[CALLER].encode()).hexdigest()
    customer = Customer(CALLER, digest, retries_per_s=0.0, retry_burst=0.0)
    fleet.publish([("customers", CALLER, customer)])
    wait_in_force(fleet)


def wait_in_force(fleet):
    """Wait until the configuration that was published last is in force."""
    fleet.wait_for(
        lambda: all(
            fleet.status(name)["config_version"] >= fleet.version
            for name in fleet.nodes
        )
    )


def ask_node(fleet, *, max_tokens=8, **fields):
    """Ask the fleet's only node for an answer."""
    (node,) = fleet.nodes.values()
    return ask_prompt(
        node, 1_000, max_tokens=max_tokens, deadline_s=DEADLINE_S, **fields
    )


def set_domain(fleet, name, state):
    """Take a failure domain out, or in again."""
    domain = FailureDomain(name, "munster", state)
    fleet.publish([("failure_domains", name, domain)])
    wait_in_force(fleet)


def wait_started(fleet):
    """Wait until an engine has begun a prompt."""
    fleet.wait_for(
        lambda: any(fleet.record(name)["starts"] for name in fleet.engines),
        what="a start",
    )


@pytest.mark.parametrize(("engines", "has_budget"), [(6, True), (2, False), (1, True)])
def test_a_stream_that_may_go_nowhere_else_outlasts_a_silence(
    make_fleet, engines, has_budget
):
    """A stream is cut while its engine is only silent and would have gone on.

    Its attempts or its customer's retries are used up, or there is no other engine.
    """
    fleet = make_fleet(engines=engines, bookings=1)
    if not has_budget:
        forbid_retries(fleet)
    for name in fleet.engines:
        fleet.set_faults(name, stall_at=3, stall_s=STALL_S)
    answer = ask_node(fleet)
    assert (answer.outcome, answer.whole) == ("answered", True)
    assert find_broken(fleet, [answer], deadline_s=DEADLINE_S) == []


def test_a_stream_leaves_an_engine_that_is_silent_for_good(make_fleet):
    """One of two engines takes requests and never answers them.

    Callers wait in vain unless their requests move on to the other one.
    """
    fleet = make_fleet(engines=2, bookings=1)
    fleet.set_faults("assistant-1", stall_at=3)
    answers = [ask_node(fleet, seed=seed) for seed in range(4)]
    starts = fleet.record("assistant-1")["starts"]
    assert {answer.outcome for answer in answers} == {"answered"}
    assert find_broken(fleet, answers, deadline_s=DEADLINE_S) == []
    assert starts


@pytest.mark.parametrize(("services", "has_budget"), [(3, True), (2, False), (1, True)])
def test_a_lookup_that_may_go_nowhere_else_outlasts_a_silence(
    make_fleet, services, has_budget
):
    """A lookup fails although its service answers, only later than usual.

    Other replicas are as slow, or its customer's retries are used up, or there is none.
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
    """A deposit's caller is told "unknown" while the service still works on it.

    Nothing else may run the deposit, so it gains nothing from not being waited for;
    its answer is lost, and the key stays unknown for whoever asks again.
    """
    fleet = make_fleet(engines=1, bookings=2)
    for name in fleet.services:
        fleet.set_faults(name, work_s=STALL_S)
    (node,) = fleet.nodes.values()
    key = get_key(node)
    answers = [book(node, key, deadline_s=DEADLINE_S) for _ in range(2)]
    assert [answer.status for answer in answers] == [200, 200]
    assert count_runs(fleet, key) == 1


def test_a_deposit_that_nobody_waits_for_ends_in_silence(make_fleet):
    """A service is hung for good, and the deposit's caller has given up.

    Whoever asks again must be told "unknown" at once, and the node be able to stop.
    """
    fleet = make_fleet(engines=1, bookings=2)
    for name in fleet.services:
        fleet.set_faults(name, work_s=3600.0)
    (node,) = fleet.nodes.values()
    key = get_key(node)
    first = book(node, key, deadline_s=1.5)
    time.sleep(1.0)
    again = book(node, key, deadline_s=DEADLINE_S)
    assert [first.outcome, again.outcome] == ["unknown", "unknown"]
    assert again.total_s < 5.0
    assert count_runs(fleet, key) == 1


def test_a_stream_that_has_begun_waits_for_an_engine_to_go_on_at(make_fleet):
    """A stream's engine breaks off while no other one is open.

    The next one is open long before the caller's deadline.
    """
    fleet = make_fleet(engines=2, bookings=1, decode_s=0.05)
    first_domain, spare_domain, _ = DOMAINS
    set_domain(fleet, spare_domain, "out")
    with ThreadPoolExecutor(1) as pool:
        asked = pool.submit(ask_node, fleet, max_tokens=60)
        wait_started(fleet)
        set_domain(fleet, first_domain, "out")
        fleet.set_faults("assistant-1", cut_at=50)
        time.sleep(4.0)
        set_domain(fleet, spare_domain, "in")
        answer = asked.result()
    assert (answer.reason, answer.whole) == ("", True)
    assert fleet.record("assistant-2")["starts"]
    assert find_broken(fleet, [answer], deadline_s=DEADLINE_S) == []


def test_a_stream_that_has_begun_waits_longer_than_its_class_lets_new_ones(make_fleet):
    """A long stream breaks off, and its engine takes no work for a few seconds.

    Its class lets requests wait a second for a replica. The stream came longer ago.
    """
    fleet = make_fleet(engines=1, bookings=1, decode_s=0.05)
    hasty = RequestClass("quote", deadline_s=DEADLINE_S, max_wait_s=1.0)
    fleet.publish([("classes", "quote", hasty)])
    wait_in_force(fleet)
    with ThreadPoolExecutor(1) as pool:
        asked = pool.submit(ask_node, fleet, max_tokens=60)
        wait_started(fleet)
        fleet.set_faults("assistant-1", cut_at=50, load_silent=True)
        time.sleep(6.0)
        fleet.set_faults("assistant-1", load_silent=False)
        answer = asked.result()
    assert (answer.reason, answer.whole) == ("", True)
    assert find_broken(fleet, [answer], deadline_s=DEADLINE_S) == []


def test_a_stream_that_finds_no_engine_again_ends_at_its_deadline(make_fleet):
    """A stream breaks off after operators have taken the only engine out.

    It may wait for another one, but its caller is told by the deadline, not later.
    """
    deadline_s = 5.0
    fleet = make_fleet(engines=1, bookings=1, decode_s=0.05)
    (node,) = fleet.nodes.values()
    with ThreadPoolExecutor(1) as pool:
        asked = pool.submit(
            ask_prompt, node, 1_000, max_tokens=60, deadline_s=deadline_s
        )
        wait_started(fleet)
        set_domain(fleet, DOMAINS[0], "out")
        fleet.set_faults("assistant-1", cut_at=50)
        answer = asked.result()
    assert (answer.outcome, answer.reason) == ("failed", "deadline")
    assert find_broken(fleet, [answer], deadline_s=deadline_s) == []
