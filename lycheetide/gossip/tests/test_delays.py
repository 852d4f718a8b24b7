"""The delay of messages is estimated although no two nodes' clocks agree."""

import random

import pytest

from lycheetide.gossip import DelayEstimator, make_sent_ms

STEP_S = 0.01


def send(delays, node, late_s, *, begin_s, steps, offset_s):
    """Send a message of a node at each step; return the time after the last step."""
    for step in range(steps):
        sent_s = begin_s + step * STEP_S
        delays.note(node, make_sent_ms(sent_s + offset_s), now_s=sent_s + late_s())
    return begin_s + steps * STEP_S


@pytest.mark.parametrize("late_s", [0.05, 0.3])
def test_a_full_link_shows_as_delay(late_s):
    """A hub's link is full, and messages come half a second late instead of 15 ms.

    Nodes that took this state for current all chose the same replica.
    """
    rng = random.Random(1)
    delays = DelayEstimator()
    for place, offset_s in enumerate((5.0, 7_000.0)):
        send(delays, f"n{place}", lambda: 0.003, begin_s=0.0, steps=50,
             offset_s=offset_s)  # fmt: skip
    assert delays.mean_s() < 0.001
    for place, offset_s in enumerate((5.0, 7_000.0)):
        send(delays, f"n{place}", lambda: rng.uniform(0, 2 * late_s), begin_s=1.0,
             steps=200, offset_s=offset_s)  # fmt: skip
    assert 0.6 * late_s < delays.mean_s() < 1.4 * late_s


def test_a_clock_that_was_stopped_is_no_delay_for_long():
    """The clock of a suspended node stops, so its messages look seconds old later."""
    delays = DelayEstimator()
    end_s = send(delays, "n", lambda: 0.003, begin_s=0.0, steps=50, offset_s=5.0)
    end_s = send(delays, "n", lambda: 0.003, begin_s=end_s, steps=2_500, offset_s=2.0)
    assert delays.mean_s() < 0.01


def test_nodes_that_are_gone_are_forgotten():
    delays = DelayEstimator()
    send(delays, "gone", lambda: 0.003, begin_s=0.0, steps=2, offset_s=0.0)
    delays.drop_absent({"here"})
    assert delays._minimums == {}
