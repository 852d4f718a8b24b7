"""Nodes that learn of waiting requests late, die, freeze or have no peers.

All nodes must find the same order from the same messages, and nothing may wait for the
requests of a node that is gone.
"""

import random

import pytest

from lycheetide.admission import (
    AdmissionQueue,
    Ahead,
    CustomerUsage,
    KindDemand,
    WaitingRequest,
    assess_wait,
    has_turn,
    measure_supply,
    read_waiting_message,
)
from lycheetide.placement import Candidate

SERVICE = 7


def make_request(queue, job, *, now_s, due_in_s=1.0, engine_s=0.03, **fields):
    return WaitingRequest(
        queue.next_number(now_s=now_s), fields.pop("node", "n"), job, SERVICE,
        fields.pop("customer", 1), engine_s, 1_000, now_s + due_in_s,
    )  # fmt: skip


def list_order(queue, requests, *, now_s):
    def count_ahead(one):
        return len(queue.list_ahead(one, service=SERVICE, now_s=now_s))

    return [one.job for one in sorted(requests, key=count_ahead)]


def test_nodes_with_different_clocks_and_delays_agree_on_the_order():
    """Guards against two nodes that both think that it is the other's turn."""
    draw = random.Random(5)
    # Clocks of nodes that were started days apart.
    clocks_s = [0.0, 3_600.033, 7e5 + 0.061]
    queues = [AdmissionQueue() for _ in clocks_s]
    for queue in queues:
        queue.note_replicas(SERVICE, 60)
    jobs = [
        (f"j{place}", place % 3, draw.uniform(0, 1), draw.choice([0.03, 0.55, 7.3]))
        for place in range(120)
    ]
    # The first message of the node whose clock is ahead sets the time of all.
    jobs.append(("first", 2, -0.5, 0.03))
    events = sorted(jobs, key=lambda one: one[2])
    noted: list[dict[str, WaitingRequest]] = [{} for _ in queues]
    for job, node, at_s, engine_s in events:
        sender, now_s = queues[node], clocks_s[node] + 10.0 + at_s
        request = make_request(
            sender, job, now_s=now_s, due_in_s=draw.uniform(0.2, 3.0),
            engine_s=engine_s, node=f"n{node}",
        )  # fmt: skip
        sender.note(request, now_s=now_s)
        noted[node][job] = request
        message = sender.make_message(request, now_s=now_s)
        for place, queue in enumerate(queues):
            if place != node:
                arrival_s = clocks_s[place] + 10.0 + at_s + draw.uniform(0.002, 0.02)
                received = read_waiting_message(message, now_s=arrival_s)
                queue.note(received, now_s=arrival_s)
                noted[place][job] = received
    orders = [
        list_order(queue, noted[place].values(), now_s=clocks_s[place] + 11.0)
        for place, queue in enumerate(queues)
    ]
    assert orders[0] == orders[1] == orders[2]


@pytest.mark.parametrize("is_known_dead", [True, False])
def test_nothing_waits_for_requests_of_a_dead_or_frozen_node(is_known_dead):
    """Guards against capacity that stays reserved for callers that are gone."""
    queue = AdmissionQueue()
    queue.note(make_request(queue, "a", now_s=0.0, node="dead"), now_s=0.0)
    own = make_request(queue, "b", now_s=0.0, due_in_s=1.5)
    for now_s in (0.0, 0.3, 0.6, 0.9, 1.2):
        queue.note(own, now_s=now_s)
        assert len(queue.list_ahead(own, service=SERVICE, now_s=now_s)) == 1
    if is_known_dead:
        queue.drop_nodes({"dead"})
    now_s = 1.2 if is_known_dead else 1.21
    assert not queue.list_ahead(own, service=SERVICE, now_s=now_s)
    assert len(queue) == 1


def test_request_that_left_is_not_added_by_a_late_renewal():
    """Guards against messages that hubs deliver twice or in another order."""
    queue = AdmissionQueue()
    request = make_request(queue, "a", now_s=0.0)
    assert queue.note(request, now_s=0.0)
    queue.drop("n", "a")
    assert not queue.note(request, now_s=0.05)
    assert len(queue) == 0


def test_renewals_and_newer_requests_do_not_change_a_late_request_s_position():
    """Guards against requests that are overtaken for ever once they are late."""
    queue = AdmissionQueue()
    queue.note_replicas(SERVICE, 60)
    late = make_request(queue, "late", now_s=0.0, due_in_s=3.0, engine_s=7.3)
    queue.note(late, now_s=0.0)
    for place in range(100):
        now_s = 0.1 * place
        queue.note(late, now_s=now_s)
        queue.note(make_request(queue, str(place), now_s=now_s), now_s=now_s)
        if now_s > 3.0:
            ahead = queue.list_ahead(late, service=SERVICE, now_s=now_s)
            assert len(ahead) == 0


def test_node_without_peers_orders_its_own_requests():
    """Guards against waiting for peers that don't exist."""
    queue = AdmissionQueue(CustomerUsage())
    requests = [
        make_request(queue, str(place), now_s=0.0, due_in_s=2.0 - 0.3 * place)
        for place in range(5)
    ]
    for one in requests:
        queue.note(one, now_s=0.0)
    assert list_order(queue, requests, now_s=0.1) == ["4", "3", "2", "1", "0"]


def test_sums_follow_requests_that_join_and_leave_in_the_middle():
    """Guards against sums that are out of date after a change."""
    draw = random.Random(2)
    queue = AdmissionQueue()
    kept: dict[str, WaitingRequest] = {}
    for place in range(400):
        if kept and draw.random() < 0.4:
            queue.drop("n", kept.pop(draw.choice(list(kept))).job)
        one = make_request(
            queue, str(place), now_s=0.0, due_in_s=draw.uniform(0, 3),
            engine_s=draw.choice([0.03, 0.5, 7.0]),
        )  # fmt: skip
        queue.note(one, now_s=0.0)
        kept[one.job] = one
        probe = draw.choice(list(kept.values()))
        ahead = queue.list_ahead(probe, service=SERVICE, now_s=0.0)
        assert len(ahead) <= len(kept) - 1
    whole = queue.list_ahead(None, service=SERVICE, now_s=0.0)
    assert len(whole) == len(kept) == len(queue)
    assert whole.engine_s == pytest.approx(sum(one.engine_s for one in kept.values()))
    assert whole.tokens == 1_000 * len(kept)
    order = list_order(queue, kept.values(), now_s=0.0)
    for place, job in enumerate(order):
        ahead = queue.list_ahead(kept[job], service=SERVICE, now_s=0.0)
        expected_s = sum(kept[one].engine_s for one in order[:place])
        assert ahead.engine_s == pytest.approx(expected_s)


@pytest.mark.parametrize(
    ("backlog_s", "writers", "ahead", "is_servable"),
    [
        (0.0, 0, Ahead((KindDemand(3, 0.09, 3_000),)), True),
        (0.5, 0, Ahead((KindDemand(), KindDemand(), KindDemand(2, 90.0, 9_000))), True),
        (60.0, 0, Ahead((KindDemand(1, 0.03, 1_000),)), False),
        (0.0, 6, Ahead((KindDemand(500, 15.0, 500_000),)), False),
    ],
    ids=["little ahead", "two very long ones ahead", "busy replicas", "no slots"],
)
def test_request_that_cannot_be_served_in_time_is_refused(
    backlog_s, writers, ahead, is_servable
):
    """Guards against callers that wait in vain, and needless refusals."""
    queue = AdmissionQueue()
    request = make_request(queue, "a", now_s=0.0, due_in_s=0.3)
    candidates = [
        Candidate(str(rank), "", rank, 6, writers=writers, backlog_s=backlog_s)
        for rank in range(40)
    ]
    found = assess_wait(request, ahead, candidates, now_s=0.0, leaves_s=2.0)
    assert found.is_servable == is_servable
    assert 0.0 < found.retry_after_s <= 2.0 / 3
    if not is_servable:
        assert not has_turn(request, ahead, candidates, now_s=0.0)
    supply = measure_supply(candidates)
    assert assess_wait(request, ahead, supply, now_s=0.0, leaves_s=2.0) == found


def test_fleet_without_replicas_refuses_with_a_finite_retry_after():
    """Guards against an unlimited wait while all replicas are gone."""
    request = make_request(AdmissionQueue(), "a", now_s=0.0)
    found = assess_wait(request, Ahead(), [], now_s=0.0)
    assert not found.is_servable and found.retry_after_s < 1.0
    assert not has_turn(request, Ahead(), [], now_s=0.0)
