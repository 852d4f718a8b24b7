"""Load pattern: huge prompts arrive while nearly all replicas are busy or gone.

Few replicas are left, each with many short answers, so reading a huge prompt at one
replica is cheapest, and takes longer than its deadline allows.
"""

import time
from dataclasses import replace

import pytest

from lycheetide.placement import Candidate, DecodingGroup
from lycheetide.relay._selection import find_placement, is_worthwhile
from standins.large import ENGINE, make_call, make_large_relay

SHORT_GAP_S = 0.25
HUGE_TOKENS = 130_000
"""Prompt whose prefill at one replica takes about 1.8 s."""


def place_huge(deadline_s, *, replicas=4, writers=4):
    """Return the call of a huge prompt on a busy service, and its placement."""
    relay = make_large_relay(1, 0)
    group = DecodingGroup(SHORT_GAP_S, 40.0)
    candidates = [
        Candidate(
            f"r{rank}", f"10.0.0.{rank}:80", rank, 6,
            writers=writers, decoding_groups=(group,) if writers else (),
        )
        for rank in range(replicas)
    ]  # fmt: skip
    call = make_call(HUGE_TOKENS, target_s=1.0, gap_s=1.0)
    call.is_begun = False
    call.remaining_s = lambda *, now_s: deadline_s
    return call, find_placement(relay, call, candidates, now_s=time.monotonic())


def test_a_prompt_that_cannot_be_complete_before_its_deadline_is_not_placed():
    """Guards against prompts that are read for seconds and then cut by the deadline."""
    call, placement = place_huge(2.0)
    assert not is_worthwhile(call, placement)


def test_a_prompt_that_can_be_complete_late_is_placed():
    call, placement = place_huge(30.0, writers=0)
    assert is_worthwhile(call, placement)


@pytest.mark.parametrize(("step_s", "is_placed"), [(1e-3, True), (5e-3, False)])
def test_the_time_to_write_the_answer_counts_towards_the_deadline(step_s, is_placed):
    """Guards against answers whose first event is in time and whose last isn't."""
    relay = make_large_relay(1, 0)
    call = make_call(HUGE_TOKENS, target_s=4.0, gap_s=1.0)
    call.service.engine = replace(ENGINE, step_s=step_s)
    call.is_begun = False
    call.remaining_s = lambda *, now_s: 5.0
    candidates = [Candidate("r0", "10.0.0.1:80", 0, 6)]
    found = find_placement(relay, call, candidates, now_s=time.monotonic())
    assert is_worthwhile(call, found) is is_placed
