"""Losses and their causes, found in logs whose losses are known."""

import json

import pytest

from lycheetide.losses import (
    LossCause,
    LossKind,
    detect_losses,
    format_summary,
    read_events,
    summarize,
)


def make_line(at_s, message, *, node="n1", prefix="", **fields):
    time = f"2026-01-10 05:08:{int(at_s):02},{round(at_s % 1 * 1000):03}"
    row = {"time": time, "level": "INFO", "message": f"Relay: {message}", "node": node}
    return prefix + json.dumps(row | fields) + "\n"


def make_placement(at_s, request, replica="r1", **fields):
    defaults = {"part_ms": 20, "expected_ms": 60, "prompt_tokens": 5_000, "writers": 0,
             "slots": 8, "readers": []}  # fmt: skip
    return make_line(
        at_s,
        "A prompt is placed.",
        request=request,
        replica=replica,
        **defaults | fields,
    )


def make_end(at_s, request, outcome="answered.200", **fields):
    defaults = {"took_ms": 1_000, "target_ms": 300, "gap_ms": 200, "events": 20,
             "first_ms": 100, "longest_pause_ms": 50, "longest_pause_at_ms": 500,
             "route": "quick", "customer": "acme"}  # fmt: skip
    return make_line(
        at_s, "A request ended.", request=request, outcome=outcome, **defaults | fields
    )


def make_failed_attempt(at_s, request, cause):
    return make_line(at_s, "An attempt failed.", request=request, cause=cause)


def find_losses(*lines):
    return list(detect_losses(read_events([lines])))


HUGE_PLACEMENT = make_placement(
    1.0, "huge", part_ms=1_500, expected_ms=1_600, prompt_tokens=700_000
)
CASES = {
    "in time": ([make_placement(2.0, "a"), make_end(3.0, "a")], None),
    "late because of a huge prompt": (
        [HUGE_PLACEMENT, make_placement(1.1, "a"),
         make_end(4.0, "a", took_ms=2_900, first_ms=1_550)],
        (LossKind.LATE, LossCause.BEHIND_READING, "huge"),
    ),
    "paused during the prefill of another prompt": (
        [make_placement(0.2, "a"), HUGE_PLACEMENT,
         make_end(4.0, "a", took_ms=3_800, longest_pause_ms=1_560,
                  longest_pause_at_ms=2_500)],
        (LossKind.PAUSED, LossCause.BEHIND_READING, "huge"),
    ),
    "paused before another prompt's prefill": (
        [make_placement(0.2, "a"), make_placement(3.0, "later", part_ms=900),
         make_end(4.0, "a", took_ms=3_800, longest_pause_ms=600,
                  longest_pause_at_ms=900)],
        (LossKind.PAUSED, LossCause.UNKNOWN, ""),
    ),
    "late because of its own length": (
        [make_placement(1.0, "a", part_ms=900, expected_ms=950),
         make_end(4.0, "a", took_ms=3_000, first_ms=1_000)],
        (LossKind.LATE, LossCause.OWN_LENGTH, ""),
    ),
    "placed on a full replica": (
        [make_placement(1.0, "a", writers=9),
         make_end(4.0, "a", took_ms=3_000, first_ms=900)],
        (LossKind.LATE, LossCause.NO_SLOT, ""),
    ),
    "waited long for its placement": (
        [make_placement(1.2, "a"), make_end(4.0, "a", took_ms=3_000, first_ms=350)],
        (LossKind.LATE, LossCause.NO_PLACE, ""),
    ),
    "retried after a silent replica": (
        [make_placement(1.0, "a"), make_failed_attempt(1.7, "a", "silent"),
         make_placement(1.7, "a", "r2"),
         make_end(4.0, "a", took_ms=3_000, first_ms=900)],
        (LossKind.LATE, LossCause.REPLICA_SILENT, ""),
    ),
    "refused for lack of memory": (
        [make_end(4.0, "a", "refused.503.no_memory")],
        (LossKind.REFUSED, LossCause.NO_MEMORY, ""),
    ),
    "cut when its replica broke": (
        [make_placement(1.0, "a"), make_failed_attempt(1.5, "a", "broken"),
         make_end(2.0, "a", "cut")],
        (LossKind.CUT, LossCause.REPLICA_BROKE, ""),
    ),
    "failed at the replica": (
        [make_end(4.0, "a", "answered.500")],
        (LossKind.FAILED, LossCause.REPLICA_FAILED, ""),
    ),
    "its node was killed": (
        [make_placement(1.0, "a"),
         make_line(3.0, "The node has started.", member="n1.2")],
        (LossKind.UNANSWERED, LossCause.NODE_GONE, ""),
    ),
    "its node had just started": (
        [make_line(0.5, "The node has started.", member="n1.2"),
         make_placement(1.0, "a"),
         make_end(4.0, "a", took_ms=3_000, first_ms=500)],
        (LossKind.LATE, LossCause.NODE_STARTED, ""),
    ),
    "a slow booking": (
        [make_line(4.0, "A request ended.", request="a", outcome="answered.200",
                   took_ms=900, target_ms=400, gap_ms=0, route="book", customer="")],
        (LossKind.LATE, LossCause.SLOW_SERVICE, ""),
    ),
    "not allowed": ([make_end(4.0, "a", "refused.401.unauthenticated")], None),
    "caller left before the target": (
        [make_placement(1.0, "a"),
         make_end(1.2, "a", "caller_left", took_ms=150, first_ms=0, events=0)],
        None,
    ),
    "caller left after the target": (
        [HUGE_PLACEMENT, make_placement(1.1, "a"),
         make_end(3.1, "a", "caller_left", took_ms=2_000, first_ms=0, events=0)],
        (LossKind.LATE, LossCause.BEHIND_READING, "huge"),
    ),
}  # fmt: skip


@pytest.mark.parametrize("case", CASES)
def test_losses_have_kind_and_cause(case):
    lines, expected = CASES[case]
    found = [loss for loss in find_losses(*lines) if loss.request == "a"]
    if expected is None:
        assert found == []
        return
    (loss,) = found
    assert (loss.kind, loss.cause, loss.blocking_prompt) == expected


def test_request_of_killed_node_names_its_customer():
    """Guards against losses of a killed node that can't be told by customer."""
    lines = [
        make_placement(1.0, "a", route="quick", customer="acme"),
        make_line(3.0, "The node has started.", member="n1.2"),
    ]
    (loss,) = find_losses(*lines)
    assert (loss.route, loss.customer) == ("quick", "acme")


def test_logs_of_several_nodes_are_merged():
    """A short prompt on one node waits for a huge one that another node placed."""
    one = [HUGE_PLACEMENT.replace('"n1"', '"n2"')]
    other = [
        "2.0 n1 " + make_placement(1.1, "a"),
        "no json\n",
        '{"torn',
        make_end(4.0, "a", took_ms=2_900, first_ms=1_550),
    ]
    losses = list(detect_losses(read_events([other, one])))
    assert [loss.blocking_prompt for loss in losses if loss.request == "a"] == ["huge"]


def test_summary_lists_prompt_that_blocked_most_requests():
    lines = [HUGE_PLACEMENT]
    lines += [make_placement(1.1, f"s{number}") for number in range(3)]
    lines += [
        make_end(4.0, f"s{number}", took_ms=2_900, first_ms=1_550)
        for number in range(3)
    ]
    lines.append(make_end(4.5, "huge", took_ms=3_500, first_ms=1_600, target_ms=3_000))
    summary = summarize(read_events([lines]))
    assert (summary.requests, summary.lost, summary.known_share) == (4, 3, 1.0)
    (costly,) = summary.costly
    assert (costly.request, costly.lost) == ("huge", 3)
    assert costly.engine_s == pytest.approx(1.5)
    text = "\n".join(format_summary(summary))
    assert "3 of 4 requests lost" in text
    assert "700000 tokens, 1 readers, 1.50 engine-seconds" in text


def test_long_log_is_read_as_stream():
    """A day's logs have millions of lines and must not be held in memory as a whole.

    The state that is kept covers a bounded time, and lines are read as they are needed.
    """
    written: list[int] = []

    def make_lines():
        for number in range(5_000):
            at_s = number / 100
            yield make_placement(at_s, f"q{number}", f"r{number % 4}")
            yield make_end(at_s, f"q{number}", took_ms=0)
            written.append(len(written))

    events = read_events([make_lines()])
    first_event = next(events)
    assert first_event.message == "A prompt is placed."
    assert len(written) <= 1
    assert list(detect_losses(events)) == []
