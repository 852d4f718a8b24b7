"""A planned stop interrupts no request."""

import signal
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from lycheetide.node._run import HAND_OVER_TIMEOUT_S
from lycheetide.node.tests.test_domains import send_prompts_for
from standins.callers import book, count_runs, request_idempotency_key, send_prompt
from standins.invariants import find_violations, wait_until_memory_free

STOP_S = 60.0


def ask_ready_nodes(fleet, pool, seconds):
    """Send prompts like a lagging load balancer: to nodes that were ready 0.2 s ago."""
    jobs: list[Any] = []
    started_s = time.monotonic()
    while time.monotonic() - started_s < seconds:
        ready = [
            node
            for node in list(fleet.nodes.values())
            if node.is_running() and fleet.try_get(f"{node.url}/readyz")
        ]
        time.sleep(0.2)
        for node in ready:
            jobs.append(
                pool.submit(
                    send_prompt, node, 1_000, seed=len(jobs), max_tokens=20,
                    deadline_s=15.0,
                )
            )  # fmt: skip
    return jobs


def test_two_nodes_stop_at_once_while_they_stream_long_answers(own_fleet):
    """Two of three nodes get SIGTERM while they stream long answers.

    A leaving node must not hand its cells over to the other one, which leaves as well.
    """
    fleet = own_fleet
    first, second, third = fleet.nodes.values()
    with ThreadPoolExecutor(40) as pool:
        long = [
            pool.submit(send_prompt, node, 1_000, seed=i, max_tokens=500)
            for i, node in enumerate([first, second, first, second, third])
        ]
        time.sleep(0.7)
        first.signal(signal.SIGTERM)
        second.signal(signal.SIGTERM)
        arriving = [
            pool.submit(send_prompt, node, 1_000, seed=50 + i, deadline_s=20.0)
            for i, node in enumerate([first, second, third] * 3)
        ]
        first.popen.wait(STOP_S)
        second.popen.wait(STOP_S)
        answers = [job.result() for job in long + arriving]
    assert [answer.whole for answer in answers] == [True] * len(answers)
    assert find_violations(fleet, answers, deadline_s=60.0) == []
    wait_until_memory_free(fleet)


def test_a_node_that_stops_in_an_outage_records_its_bookings_first(own_fleet):
    """A node runs a booking during an outage of the log and is stopped before its end.

    If the node ended at once, the outcome of the booking could never be determined.
    """
    fleet = own_fleet
    first, second, _ = fleet.nodes.values()
    fleet.set_faults("platform", down=True)
    time.sleep(2.5)
    key = request_idempotency_key(first)
    booked = book(first, key)
    first.signal(signal.SIGTERM)
    time.sleep(HAND_OVER_TIMEOUT_S + 3.0)
    assert first.is_running()
    fleet.set_faults("platform", down=False)
    first.popen.wait(STOP_S)
    again = book(second, key, deadline_s=10.0)
    assert (booked.status, again.status) == (200, 200)
    assert again.body == booked.body
    assert count_runs(fleet, key) == 1


def test_all_nodes_are_replaced_one_by_one_under_load(own_fleet):
    """Every node is replaced by a new one while callers keep sending requests."""
    fleet = own_fleet
    old = list(fleet.nodes)
    with ThreadPoolExecutor(100) as pool:
        jobs = ask_ready_nodes(fleet, pool, 0.5)
        for index, name in enumerate(old):
            fleet.start_node(f"entry-{index + 4}", fleet.nodes[name].failure_domain)
            jobs += ask_ready_nodes(fleet, pool, 2.0)
            leaving = fleet.nodes[name]
            leaving.signal(signal.SIGTERM)
            jobs += ask_ready_nodes(fleet, pool, 1.0)
            leaving.popen.wait(STOP_S)
            del fleet.nodes[name]
            fleet.publish_hosts()
        # A load balancer sends nothing to a host that has never been ready.
        fleet.wait_ready(may_have_ended=True)
        jobs += send_prompts_for(fleet, pool, 1.0)
        answers = [job.result() for job in jobs]
    unanswered = [a for a in answers if not a.whole]
    print(f"{len(answers)} requests, {len(unanswered)} without their answer")
    assert unanswered == []
    assert find_violations(fleet, answers, deadline_s=15.0) == []
    wait_until_memory_free(fleet)
