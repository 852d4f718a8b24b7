"""Hundreds of callers read slowly while the memory of the node runs short."""

import pytest

from lycheetide.buffering import (
    HeldBytes,
    MemoryGauge,
    MemoryStage,
    SlowReader,
    accepts_body,
    choose_victim,
    find_memory_stage,
    is_above_bound,
)


def test_stage_does_not_alternate_at_a_threshold():
    """Guards against a node that is taken in and out of rotation with each body."""
    stage, stages = MemoryStage.NORMAL, []
    for used_bytes in (69, 71, 68, 72, 66, 79, 81, 76, 91, 86, 84, 74, 64):
        stage = find_memory_stage(0, used_bytes, 100, previous=stage)
        stages.append(int(stage))
    assert stages == [0, 1, 1, 1, 1, 1, 2, 2, 3, 3, 2, 1, 0]


@pytest.mark.parametrize(
    ("held_bytes", "limit_bytes", "expected"),
    [(95, 100, 3), (95, 200, 0), (95, 0, 0), (85, 100, 2)],
)
def test_held_bytes_count_where_the_size_of_the_process_is_unknown(
    held_bytes, limit_bytes, expected
):
    """Guards against no limit at all without /proc, and against one nobody set."""
    assert find_memory_stage(held_bytes, 0, limit_bytes) == expected


def test_short_bodies_are_accepted_when_long_ones_are_not():
    """Guards against refusing the short prompts that take hardly any memory."""
    assert accepts_body(MemoryStage.NORMAL, 1 << 24)
    assert accepts_body(MemoryStage.NO_LONG_BODIES, 10_000)
    assert not accepts_body(MemoryStage.NO_LONG_BODIES, 100_000)


def test_memory_held_or_freed_between_two_readings_counts_at_once():
    """Guards against aborting more and more streams until the next reading."""
    readings = iter([1_000, 5_000])
    gauge = MemoryGauge(lambda: next(readings))
    assert gauge.estimate(100, now_s=0.0) == 1_000
    assert gauge.estimate(400, now_s=0.1) == 1_300
    assert gauge.estimate(50, now_s=0.2) == 950
    assert gauge.estimate(50, now_s=0.3) == 5_000


def test_slowest_reader_of_the_largest_customer_is_aborted_first():
    """Guards against victims among customers that hold little, or of whole answers."""
    readers = [
        SlowReader(1, "large", 90, 9.0, is_complete=True),
        SlowReader(2, "large", 30, 2.0),
        SlowReader(3, "large", 40, 1.0),
        SlowReader(4, "small", 60, 8.0),
        SlowReader(5, "idle", 0, 50.0),
    ]
    order = []
    while (caller := choose_victim(readers)) is not None:
        order.append(caller)
        readers = [reader for reader in readers if reader.caller != caller]
    assert order == [2, 4, 3, 1]


def test_repeated_release_leaves_the_totals_of_others():
    """Guards against totals below what is held, after a release that is repeated."""
    held = HeldBytes()
    held.hold("hule", 1, 100)
    held.hold("hule", 2, 30)
    held.release("hule", 1)
    held.release("hule", 1, 100)
    assert (held.total, held.peak, held.count_customer("hule")) == (30, 130, 30)
    assert is_above_bound(30, 100)
    assert not is_above_bound(30, 0)
