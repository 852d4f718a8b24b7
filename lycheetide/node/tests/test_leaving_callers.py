"""Work ends soon after its caller has disconnected."""

import time
from concurrent.futures import ThreadPoolExecutor

import httpx
import pytest

from standins.callers import CLIENT, make_headers, make_prompt, sum_kv_used_tokens
from standins.invariants import wait_until_memory_free

MAX_RELEASE_S = 1.5
"""Work ends within 0.5 s; the rest is a margin for the processes of the test."""


def set_faults_on_all(fleet, **faults):
    for name in fleet.engines:
        fleet.set_faults(name, **faults)


def ask_and_disconnect(node, *, is_streamed, after_s):
    """Send a prompt and close the connection before any answer."""
    body = {
        "model": "assistant",
        "prompt": make_prompt(1_000),
        "max_tokens": 8,
        "stream": is_streamed,
    }
    url = f"{node.url}/v1/completions"
    headers = make_headers(deadline_s=20.0)
    with pytest.raises(httpx.ReadTimeout):
        CLIENT.post(url, json=body, headers=headers, timeout=after_s)


@pytest.mark.parametrize("is_streamed", [True, False])
def test_a_prompt_ends_when_its_caller_leaves_before_the_first_token(
    own_fleet, is_streamed
):
    """Engines are slow to start, and impatient callers disconnect.

    If their prompts were not cancelled, they would hold memory and slots until their
    deadlines, and callers that ask again would add to the load.
    """
    fleet = own_fleet
    set_faults_on_all(fleet, stall_at=0, stall_s=8.0)
    nodes = list(fleet.nodes.values())
    with ThreadPoolExecutor(6) as pool:
        jobs = [
            pool.submit(
                ask_and_disconnect, nodes[i % 3], is_streamed=is_streamed, after_s=0.8
            )
            for i in range(6)
        ]
        time.sleep(0.5)
        held = sum_kv_used_tokens(fleet)
        for job in jobs:
            job.result()
    assert held > 0
    assert wait_until_memory_free(fleet, timeout_s=MAX_RELEASE_S) < MAX_RELEASE_S
    active = [fleet.status(name)["active_requests"] for name in fleet.nodes]
    assert active == [0] * len(active)
