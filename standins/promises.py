"""Check what must always hold against the upstreams' own records."""

from standins.callers import list_started, sum_held

MEMORY_FREE_S = 12.0
LATE_S = 1.5


def find_false_not_run(fleet, answers):
    """Return the requests that were told "not run" but that an upstream has started."""
    started = list_started(fleet)
    return [
        answer
        for answer in answers
        if answer.outcome == "not_run" and answer.request_id in started
    ]


def find_foreign_tokens(answers):
    """Return the streamed answers that hold tokens of another request, or a gap."""
    wrong = []
    for answer in answers:
        prefix = answer.request_id[:6]
        expected = tuple(f"{prefix}.{seq} " for seq in range(len(answer.texts)))
        if answer.texts != expected:
            wrong.append(answer)
    return wrong


def find_cut(answers):
    """Return the streams that are short without a typed error that says so."""
    return [
        a
        for a in answers
        if a.outcome == "answered" and (not a.whole or len(a.texts) != a.wanted)
    ]


def find_late(answers, deadline_s):
    """Return the answers that came after their deadline."""
    return [a for a in answers if a.total_s > deadline_s + LATE_S]


def wait_memory_free(fleet, *, timeout_s=MEMORY_FREE_S):
    """Wait until all engines hold nothing; return the seconds that it took."""
    return fleet.wait_for(
        lambda: sum_held(fleet) == 0, timeout_s=timeout_s, what="empty engines"
    )


def find_broken(fleet, answers, *, deadline_s):
    """Return a line for each promise that some answer breaks."""
    broken = []
    for name, found in (
        ("false 'not run'", find_false_not_run(fleet, answers)),
        ("another request's tokens or a gap", find_foreign_tokens(answers)),
        ("a stream cut without an error", find_cut(answers)),
        ("an end after the deadline", find_late(answers, deadline_s)),
    ):
        if found:
            broken.append(f"{name}: {len(found)} of {len(answers)}, {found[0]}")
    return broken
