"""A deposit runs at most once, and "not run" is true, whichever part fails."""

import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from lycheetide.fleet import FailureDomain
from standins.callers import (
    book,
    count_runs,
    list_started_request_ids,
    request_idempotency_key,
)
from standins.invariants import find_wrong_not_run
from standins.local import DOMAINS


def set_domains(fleet, state):
    """Set the state of all failure domains and wait until all nodes have applied it."""
    changes = [
        ("failure_domains", name, FailureDomain(name, "munster", state))
        for name in DOMAINS
    ]
    fleet.publish(changes)
    fleet.wait_for(
        lambda: all(
            (fleet.status(name) or {}).get("config_version", 0) >= fleet.version
            for name, node in fleet.nodes.items()
            if node.is_running()
        )
    )


def freeze_owner(fleet):
    """Freeze the owner of the booking cell, so that requests wait for a permit.

    Returns
    -------
    tuple of node
        The owner and the two other nodes.
    """
    owners = [
        name
        for name in fleet.nodes
        for cell in fleet.status(name)["cells"]
        if cell["cell"].startswith("booking")
    ]
    owner = fleet.nodes[owners[0]]
    owner.suspend()
    return owner, *[node for node in fleet.nodes.values() if node is not owner]


def check(fleet, key, answers):
    """Check what must always hold, and return the number of runs of the key."""
    runs = count_runs(fleet, key)
    assert runs <= 1
    assert find_wrong_not_run(fleet, answers) == []
    if any(answer.outcome == "answered" for answer in answers):
        assert runs == 1
    return runs


def test_deposit_sent_through_two_nodes_at_once_runs_once(fleet):
    """A client library sends the same deposit to several nodes concurrently."""
    nodes = list(fleet.nodes.values())
    with ThreadPoolExecutor(8) as pool:
        for _ in range(5):
            key = request_idempotency_key(nodes[0])
            answers = list(pool.map(lambda n, k=key: book(n, k), nodes * 2))
            assert check(fleet, key, answers) == 1
            assert {answer.outcome for answer in answers} == {"answered"}


def test_lost_answers_of_the_log_do_not_lose_or_double_a_deposit(fleet):
    """The log appends a claim, but its response is lost."""
    nodes = list(fleet.nodes.values())
    fleet.set_faults("platform", lose_answers=3)
    key = request_idempotency_key(nodes[1])
    answers = [book(nodes[1], key), book(nodes[2], key)]
    assert check(fleet, key, answers) == 1
    assert [answer.outcome for answer in answers] == ["answered", "answered"]


def test_a_slow_log_delays_a_deposit_and_does_not_double_it(fleet):
    """Each call to the log takes 1 s, and the caller sends the deposit to two nodes."""
    nodes = list(fleet.nodes.values())
    key = request_idempotency_key(nodes[0])
    fleet.set_faults("platform", slow_s=1.0)
    try:
        with ThreadPoolExecutor(2) as pool:
            answers = list(pool.map(lambda n: book(n, key), nodes[:2]))
    finally:
        fleet.set_faults("platform", slow_s=0.0)
    assert check(fleet, key, answers) == 1


def test_another_body_under_a_used_key_is_refused(fleet):
    nodes = list(fleet.nodes.values())
    key = request_idempotency_key(nodes[0])
    first = book(nodes[0], key, amount=1)
    others = [book(node, key, amount=2) for node in nodes]
    assert first.status == 200
    assert [answer.reason for answer in others] == ["key_reused"] * 3
    assert count_runs(fleet, key) == 1


def test_a_customer_can_not_use_the_key_of_another(fleet):
    """A customer that learns another's key must not get the recorded answer."""
    nodes = list(fleet.nodes.values())
    key = request_idempotency_key(nodes[0], customer="kestrel")
    assert book(nodes[0], key, customer="kestrel").status == 200
    assert book(nodes[1], key, customer="parish").status == 403


def test_a_service_that_refuses_or_breaks_gives_the_right_outcome(fleet):
    """All replicas refuse a call; then the replica that runs a call fails."""
    node = next(iter(fleet.nodes.values()))
    for name in fleet.services:
        fleet.set_faults(name, refuse=True)
    refused = book(node, request_idempotency_key(node), deadline_s=5.0)
    for name in fleet.services:
        fleet.set_faults(name, refuse=False, fail=True)
    key = request_idempotency_key(node)
    broken = book(node, key)
    for name in fleet.services:
        fleet.set_faults(name, fail=False)
    assert (refused.outcome, refused.reason) == ("not_run", "upstream_refused")
    assert (broken.outcome, broken.reason) == ("unknown", "upstream_broke")
    check(fleet, key, [refused, broken, book(node, key)])


@pytest.mark.parametrize("moment", ["before", "during", "after"])
def test_a_deposit_resent_after_its_node_was_killed(own_fleet, moment):
    """The node is killed before, while or after the service runs the deposit.

    The caller's connection breaks, and it retries through another node.
    """
    fleet = own_fleet
    first, second, _ = fleet.nodes.values()
    for name in fleet.services:
        fleet.set_faults(name, work_s=1.5 if moment == "during" else 0.02)
    if moment == "before":
        owner, first, second = freeze_owner(fleet)
    key = request_idempotency_key(first)
    with ThreadPoolExecutor(1) as pool:
        asked = pool.submit(book, first, key, deadline_s=15.0)
        if moment == "after":
            asked.result()
            time.sleep(0.3)
        else:
            time.sleep(0.7)
        first.kill()
        lost = asked.result()
    if moment == "before":
        owner.resume()
    again = book(second, key, deadline_s=8.0)
    runs = check(fleet, key, [again] if moment != "after" else [lost, again])
    expected = {
        "before": (0, "unknown"),
        "during": (1, "unknown"),
        "after": (1, "answered"),
    }
    assert (runs, again.outcome) == expected[moment]


def test_a_deposit_whose_node_is_frozen_past_every_lease(own_fleet):
    """A node claims a deposit and is frozen while it waits for a permit.

    Meanwhile the caller retries through another node. If the first node still sent its
    call after it resumes, the deposit could run twice.
    """
    fleet = own_fleet
    owner, first, second = freeze_owner(fleet)
    key = request_idempotency_key(first)
    with ThreadPoolExecutor(1) as pool:
        asked = pool.submit(book, first, key, deadline_s=12.0)
        time.sleep(0.7)
        first.suspend()
        owner.resume()
        again = book(second, key, deadline_s=6.0)
        first.resume()
        frozen = asked.result()
    time.sleep(1.0)
    later = book(second, key, deadline_s=8.0)
    assert again.outcome == "unknown"
    check(fleet, key, [frozen, again, later])


def test_an_outage_of_the_log_does_not_stop_bookings(own_fleet):
    """During an outage of the log, callers get keys and book through any node.

    A key issued before the outage can't be claimed, and the error says so. It must
    neither run nor be reported as "not run", since another node may have run it.
    """
    fleet = own_fleet
    nodes = list(fleet.nodes.values())
    early_key = request_idempotency_key(nodes[0])
    fleet.set_faults("platform", down=True)
    time.sleep(3.0)
    early = book(nodes[0], early_key, deadline_s=1.5)
    keys = [request_idempotency_key(node) for node in nodes]
    answers = [book(node, key) for key in keys for node in nodes]
    fleet.set_faults("platform", down=False)
    assert (early.outcome, early.reason) == ("unknown", "log_unavailable")
    assert [answer.outcome for answer in answers] == ["answered"] * 9
    assert [check(fleet, key, answers) for key in keys] == [1, 1, 1]
    again = book(nodes[1], early_key, deadline_s=8.0)
    assert check(fleet, early_key, [early, again]) == 1


def test_a_key_of_an_outage_whose_node_died_stays_unknown_or_answered(own_fleet):
    """The node that issued a key during an outage of the log runs it and is killed.

    No record can have been written, so no other node can know the outcome or may run
    the key.
    """
    fleet = own_fleet
    first, second, _ = fleet.nodes.values()
    fleet.set_faults("platform", down=True)
    time.sleep(2.5)
    key = request_idempotency_key(first)
    assert book(first, key).outcome == "answered"
    first.kill()
    during = book(second, key, deadline_s=3.0)
    fleet.set_faults("platform", down=False)
    after = book(second, key, deadline_s=6.0)
    assert (during.outcome, after.outcome) == ("unknown", "unknown")
    assert check(fleet, key, [during, after]) == 1


def test_a_key_older_than_the_retained_log_is_not_run_again(own_fleet):
    """A deposit is retried days later, after the log has dropped its records."""
    fleet = own_fleet
    first, second, _ = fleet.nodes.values()
    key = request_idempotency_key(first)
    assert book(first, key).outcome == "answered"
    time.sleep(0.5)
    end = fleet.record("platform")["next_offsets"]["bookings"]
    fleet.http.post(
        f"{fleet.platform.url}/retain", json={"stream": "bookings", "from": end}
    )
    again = book(second, key)
    assert (again.outcome, again.reason) == ("unknown", "key_expired")
    assert check(fleet, key, [again]) == 1


def test_not_run_is_reported_only_if_nothing_started(own_fleet):
    """A call for which no replica is open until its deadline ends as "not run"."""
    fleet = own_fleet
    node = next(iter(fleet.nodes.values()))
    key = request_idempotency_key(node)
    set_domains(fleet, "out")
    answer = book(node, key, deadline_s=1.0)
    set_domains(fleet, "in")
    time.sleep(1.5)
    assert answer.outcome == "not_run"
    assert answer.request_id not in list_started_request_ids(fleet)
    again = book(node, key)
    assert check(fleet, key, [answer, again]) == 1


def test_a_refused_retry_of_a_key_that_ran_is_not_reported_as_not_run(fleet):
    """A caller lost the answer to a deposit and retries through another node.

    That node refused the retry on arrival, because its deadline had passed or the node
    was not ready, and answered "not run", although the key had run.
    """
    first, second, _ = fleet.nodes.values()
    key = request_idempotency_key(first)
    assert book(first, key).outcome == "answered"
    refused = book(second, key, deadline_s=0.0)
    assert refused.outcome == "unknown"
    assert book(second, key).outcome == "answered"
    assert count_runs(fleet, key) == 1


def test_a_node_that_is_not_ready_does_not_report_a_key_that_ran_as_not_run(own_fleet):
    """A deposit that ran is retried through a node that has just started.

    The log and the host list are unreachable, so that node has no configuration or view
    and refuses the request.
    """
    fleet = own_fleet
    first = next(iter(fleet.nodes.values()))
    key = request_idempotency_key(first)
    assert book(first, key).outcome == "answered"
    started = fleet.start_node("late", "cork-a")
    fleet.platform.suspend()
    try:
        fleet.wait_url(f"{started.url}/healthz")
        refused = book(started, key)
    finally:
        fleet.platform.resume()
    assert (refused.outcome, refused.reason) == ("unknown", "not_ready")
    fleet.wait_for(lambda: fleet.status("late")["state"] == "serving", what="a start")
    assert book(started, key).outcome == "answered"
    assert count_runs(fleet, key) == 1
