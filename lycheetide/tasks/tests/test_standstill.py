"""A process detects its own stalls."""

import pytest

from lycheetide.tasks import StallDetector


@pytest.mark.parametrize(("gap_s", "stood_s"), [(0.1, 0.0), (0.4, 0.0), (3.1, 3.0)])
def test_a_loop_that_turns_late_stood_still(gap_s, stood_s):
    """A process was suspended, and its late answers must be told from lost ones."""
    stall_detector = StallDetector()
    assert stall_detector.tick(now_s=10.0) == 0.0
    assert stall_detector.tick(now_s=10.0 + gap_s) == pytest.approx(stood_s)


def test_a_process_that_stood_still_knows_before_its_next_turn():
    """Requests are handled before the next tick, while the process's state is old."""
    stall_detector = StallDetector()
    stall_detector.tick(now_s=10.0)
    assert not stall_detector.has_stalled(now_s=10.1, within_s=2.0)
    assert stall_detector.has_stalled(now_s=13.0, within_s=2.0)
    stall_detector.tick(now_s=13.0)
    for step in range(1, 22):
        stall_detector.tick(now_s=13.0 + 0.1 * step)
    assert stall_detector.has_stalled(now_s=15.1, within_s=2.2)
    assert not stall_detector.has_stalled(now_s=15.1, within_s=2.0)
