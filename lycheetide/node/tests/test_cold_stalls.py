"""Engines that turn cold while nodes with permits in their hands stand still."""

import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from lycheetide.node.tests.test_cold import cold_fleet, find_fallen
from lycheetide.node.tests.test_domains import keep_asking

__all__ = ["cold_fleet"]


def stall_some(nodes, stopped, *, seed):
    """Let some nodes stand still for a moment, again and again."""
    draw = random.Random(seed)
    while not stopped.is_set():
        some = draw.sample(nodes, 4)
        for node in some:
            node.freeze()
        time.sleep(draw.uniform(0.1, 0.6))
        for node in some:
            node.thaw()
        time.sleep(draw.uniform(0.05, 0.2))


def test_engines_that_turn_cold_while_entry_nodes_stand_still(cold_fleet):
    """Nodes get their permits, stand still, and send all when they go on.

    The engines have restarted meanwhile, and each permit was given to a warm one.
    """
    fleet = cold_fleet
    owners = {
        name
        for name in fleet.nodes
        if any(c["cell"].startswith("assistant") for c in fleet.status(name)["cells"])
    }
    others = [node for name, node in fleet.nodes.items() if name not in owners]
    stopped = threading.Event()
    stalls = threading.Thread(
        target=stall_some, args=(others, stopped), kwargs={"seed": 1}
    )
    with ThreadPoolExecutor(200) as pool:
        jobs = keep_asking(fleet, pool, 2.0)
        stalls.start()
        for _ in range(4):
            for name in fleet.engines:
                fleet.set_faults(name, turn_cold=True)
                jobs += keep_asking(fleet, pool, 0.5)
        stopped.set()
        stalls.join()
        answers = [job.result() for job in jobs]
    worst = [fleet.record(name)["worst_cold_in_flight"] for name in fleet.engines]
    print(f"{len(answers)} requests, most in flight on a cold engine {worst}")
    assert find_fallen(fleet) == {}
