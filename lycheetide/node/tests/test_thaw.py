"""A stalled node serves its callers as soon as it hears from the others again."""

import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from standins.callers import send_prompt
from standins.invariants import find_violations

FROZEN_S = 3.0
"""Longer than a node's state stays fresh, so that it is stale when it resumes."""


@pytest.mark.parametrize("place", range(3))
def test_prompts_that_wait_at_a_frozen_node_are_served_when_it_goes_on(
    own_fleet, place
):
    """A node's process is frozen, and callers' prompts wait in its socket.

    Its state is stale when it resumes, but it hears from the others within a moment.
    Prompts with ten seconds left used to be refused in that moment.
    """
    fleet = own_fleet
    node = list(fleet.nodes.values())[place]
    node.suspend()
    with ThreadPoolExecutor(6) as pool:
        jobs = [
            pool.submit(send_prompt, node, 1_000, seed=i, deadline_s=10.0)
            for i in range(6)
        ]
        time.sleep(FROZEN_S)
        node.resume()
        answers = [job.result() for job in jobs]
    print(*fleet.read_state_changes(), sep="\n")
    assert {(one.outcome, one.reason) for one in answers} == {("answered", "")}
    assert find_violations(fleet, answers, deadline_s=10.0) == []
