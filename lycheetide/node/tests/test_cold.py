"""Cold engines get no more requests than they can bear, from all nodes together."""

import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from lycheetide.node.tests.test_domains import send_prompts_for
from standins.callers import send_prompt
from standins.invariants import find_violations, wait_until_memory_free
from standins.local import LocalFleet, start_example_fleet

COLD_S = 2.0


@pytest.fixture
def cold_fleet():
    """Start nine nodes and four engines that take two seconds to warm up."""
    with LocalFleet() as local:
        start_example_fleet(
            local, engines=4, nodes=9, bookings=1, cold_s=COLD_S, cold_limit=2,
            decode_s=0.03,
        )  # fmt: skip
        local.wait_ready(timeout_s=40.0)
        time.sleep(COLD_S)
        yield local


def find_crashed(fleet):
    return {
        name: fleet.record(name)["fallen_over"]
        for name in fleet.engines
        if fleet.record(name)["fallen_over"]
    }


def test_nine_nodes_do_not_overload_engines_that_restart_under_load(cold_fleet):
    """Engines restart at the same address unnoticed, one by one, then all at once.

    If each of the nine nodes limited only its own requests to a cold engine, the engine
    would get nine times as many as it can bear.
    """
    fleet = cold_fleet
    with ThreadPoolExecutor(200) as pool:
        jobs = send_prompts_for(fleet, pool, 2.0)
        for name in fleet.engines:
            fleet.set_faults(name, turn_cold=True)
            jobs += send_prompts_for(fleet, pool, 0.7)
        for name in fleet.engines:
            fleet.set_faults(name, turn_cold=True)
        jobs += send_prompts_for(fleet, pool, 2.0)
        answers = [job.result() for job in jobs]
    worst = [fleet.record(name)["worst_cold_in_flight"] for name in fleet.engines]
    print(f"{len(answers)} requests, most in flight on a cold engine {max(worst)}")
    assert max(worst) > 0
    assert find_crashed(fleet) == {}
    assert find_violations(fleet, answers, deadline_s=10.0) == []
    wait_until_memory_free(fleet)


def test_idle_engines_restart_just_before_a_burst(cold_fleet):
    """Engines restart while they are idle, so no broken stream reveals the restart.

    Eighty requests arrive at nine nodes before the next load report is due, while the
    owner still takes the engines for warm.
    """
    fleet = cold_fleet
    nodes = list(fleet.nodes.values())
    with ThreadPoolExecutor(80) as pool:
        for job in send_prompts_for(fleet, pool, 2.5):
            job.result()
        time.sleep(1.0)
        for name in fleet.engines:
            fleet.set_faults(name, turn_cold=True)
        jobs = [
            pool.submit(
                send_prompt, nodes[i % 9], 1_000, seed=i, max_tokens=3, deadline_s=15.0
            )
            for i in range(80)
        ]
        answers = [job.result() for job in jobs]
    assert find_crashed(fleet) == {}
    assert find_violations(fleet, answers, deadline_s=15.0) == []
    assert {answer.outcome for answer in answers} == {"answered"}


def test_engines_restart_while_their_owner_is_frozen(cold_fleet):
    """The owner of the engines is frozen and resumed later; engines restart meanwhile.

    The next owner does not know which permits were granted, and the resumed one still
    takes itself for the owner. Both could grant permits for cold engines.
    """
    fleet = cold_fleet
    owners = [
        node
        for name, node in fleet.nodes.items()
        if any(c["cell"].startswith("assistant") for c in fleet.status(name)["cells"])
    ]
    others = [node for node in fleet.nodes.values() if node is not owners[0]]
    with ThreadPoolExecutor(250) as pool:
        jobs = send_prompts_for(fleet, pool, 1.0)
        owners[0].suspend()
        for name in fleet.engines:
            fleet.set_faults(name, turn_cold=True)
        jobs += send_prompts_for(fleet, pool, 5.0, nodes=others)
        for name in fleet.engines:
            fleet.set_faults(name, turn_cold=True)
        owners[0].resume()
        jobs += send_prompts_for(fleet, pool, 2.0)
        answers = [job.result() for job in jobs]
    assert find_crashed(fleet) == {}
    assert find_violations(fleet, answers, deadline_s=10.0) == []
    answered = [a for a in answers if a.outcome == "answered"]
    print(f"{len(answered)} of {len(answers)} answered")
    wait_until_memory_free(fleet)
