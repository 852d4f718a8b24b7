"""Orphaned memory is released, and memory of active requests is not."""

import hypothesis.strategies as st
from hypothesis import given, settings

from lycheetide.scheduling import HeldMemory, find_orphans

GRACE_S = 3.0


def make_holding(number):
    return HeldMemory(f"h{number}", f"r{number}", 1_000, 0.0)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["reserve", "crash", "release", "lose", "look"]),
            st.integers(0, 5),
        ),
        max_size=60,
    )
)
@settings(derandomize=True, deadline=None, max_examples=300)
def test_no_order_of_reserve_crash_and_release_leaves_memory_held(events):
    """Entry nodes reserve memory, crash and release it; some releases are lost.

    If any order of these events left memory held, engines would lose more memory each
    day until operators restart them.
    """
    held: dict[str, HeldMemory] = {}
    alive: set[str] = set()
    seen: dict[str, float] = {}
    now_s = 0.0

    def look():
        nonlocal seen
        orphans, seen = find_orphans(
            held.values(), alive, seen, now_s=now_s, grace_s=GRACE_S
        )
        for orphan in orphans:
            assert orphan.request_id not in alive
            held.pop(orphan.holding_id)

    for event, number in events:
        now_s += 0.5
        holding = make_holding(number)
        if event == "reserve":
            held[holding.holding_id] = holding
            alive.add(holding.request_id)
        elif event == "crash":
            alive.discard(holding.request_id)
        elif event == "release":
            alive.discard(holding.request_id)
            held.pop(holding.holding_id, None)
        elif event == "lose":
            alive.discard(holding.request_id)
        look()
    alive.clear()
    for _ in range(8):
        now_s += 0.5
        look()
    assert not held


def test_memory_without_an_owner_gets_its_grace_anew_after_it_had_one():
    """A permit arrives at a new owner during the grace period of its memory."""
    holding = make_holding(1)
    _, seen = find_orphans([holding], set(), {}, now_s=0.0, grace_s=GRACE_S)
    _, seen = find_orphans([holding], {"r1"}, seen, now_s=1.0, grace_s=GRACE_S)
    orphans, _ = find_orphans([holding], set(), seen, now_s=3.5, grace_s=GRACE_S)
    assert orphans == []
