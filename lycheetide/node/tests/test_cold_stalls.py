"""Engines restart cold while nodes that hold permits are stalled."""

import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from lycheetide.node.tests.test_cold import cold_fleet, find_crashed
from lycheetide.node.tests.test_domains import send_prompts_for

__all__ = ["cold_fleet"]


def freeze_some_repeatedly(nodes, stopped, *, seed):
    """Repeatedly freeze four random nodes for a fraction of a second."""
    draw = random.Random(seed)
    while not stopped.is_set():
        chosen = draw.sample(nodes, 4)
        for node in chosen:
            node.suspend()
        time.sleep(draw.uniform(0.1, 0.6))
        for node in chosen:
            node.resume()
        time.sleep(draw.uniform(0.05, 0.2))


def test_engines_restart_while_entry_nodes_are_stalled(cold_fleet):
    """Nodes acquire permits, stall, and send all their requests when they resume.

    The engines have restarted meanwhile, so permits that were granted for warm engines
    would overload cold ones.
    """
    fleet = cold_fleet
    owners = {
        name
        for name in fleet.nodes
        if any(c["cell"].startswith("assistant") for c in fleet.status(name)["cells"])
    }
    others = [node for name, node in fleet.nodes.items() if name not in owners]
    stopped = threading.Event()
    stall_thread = threading.Thread(
        target=freeze_some_repeatedly, args=(others, stopped), kwargs={"seed": 1}
    )
    with ThreadPoolExecutor(200) as pool:
        jobs = send_prompts_for(fleet, pool, 2.0)
        stall_thread.start()
        for _ in range(4):
            for name in fleet.engines:
                fleet.set_faults(name, turn_cold=True)
                jobs += send_prompts_for(fleet, pool, 0.5)
        stopped.set()
        stall_thread.join()
        answers = [job.result() for job in jobs]
    worst = [fleet.record(name)["worst_cold_in_flight"] for name in fleet.engines]
    print(f"{len(answers)} requests, most in flight on a cold engine {worst}")
    assert find_crashed(fleet) == {}
