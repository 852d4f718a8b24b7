"""How late news of other nodes is, though no two clocks agree."""

import random

import pytest

from lycheetide.board import Delays, make_sent_ms

STEP_S = 0.01


def tell(delays, node, late_s, *, begin_s, steps, offset_s):
    """Let a node tell something each step; return when the last one came."""
    for step in range(steps):
        sent_s = begin_s + step * STEP_S
        delays.note(node, make_sent_ms(sent_s + offset_s), now_s=sent_s + late_s())
    return begin_s + steps * STEP_S


@pytest.mark.parametrize("late_s", [0.05, 0.3])
def test_a_full_link_shows_as_delay(late_s):
    """A hub's link is full, and news that was 15 ms old is half a second old.

    Nodes that took it for fresh all chose the same replica.
    """
    luck = random.Random(1)
    delays = Delays()
    for place, offset_s in enumerate((5.0, 7_000.0)):
        tell(delays, f"n{place}", lambda: 0.003, begin_s=0.0, steps=50,
             offset_s=offset_s)  # fmt: skip
    assert delays.mean_s() < 0.001
    for place, offset_s in enumerate((5.0, 7_000.0)):
        tell(delays, f"n{place}", lambda: luck.uniform(0, 2 * late_s), begin_s=1.0,
             steps=200, offset_s=offset_s)  # fmt: skip
    assert 0.6 * late_s < delays.mean_s() < 1.4 * late_s


def test_a_clock_that_was_stopped_is_no_delay_for_long():
    """A suspended node's clock stands still, and all it tells looks seconds old."""
    delays = Delays()
    end_s = tell(delays, "n", lambda: 0.003, begin_s=0.0, steps=50, offset_s=5.0)
    end_s = tell(delays, "n", lambda: 0.003, begin_s=end_s, steps=2_500, offset_s=2.0)
    assert delays.mean_s() < 0.01


def test_nodes_that_are_gone_are_forgotten():
    delays = Delays()
    tell(delays, "gone", lambda: 0.003, begin_s=0.0, steps=2, offset_s=0.0)
    delays.forget({"here"})
    assert delays._soonest == {}
