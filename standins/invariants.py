"""Check the guarantees of a fleet against what its upstreams have recorded."""

from standins.callers import list_started_request_ids, sum_kv_used_tokens

MEMORY_FREE_TIMEOUT_S = 12.0
DEADLINE_TOLERANCE_S = 1.5


def find_wrong_not_run(fleet, answers):
    """Return the results "not_run" whose request an upstream has started."""
    started = list_started_request_ids(fleet)
    return [
        answer
        for answer in answers
        if answer.outcome == "not_run" and answer.request_id in started
    ]


def find_foreign_tokens(answers):
    """Return the streams with a token of another request, or with a missing token."""
    wrong = []
    for answer in answers:
        prefix = answer.request_id[:6]
        expected = tuple(f"{prefix}.{seq} " for seq in range(len(answer.texts)))
        if answer.texts != expected:
            wrong.append(answer)
    return wrong


def find_truncated(answers):
    """Return the streams that are incomplete although they reported no error."""
    return [
        a
        for a in answers
        if a.outcome == "answered"
        and (not a.whole or len(a.texts) != a.expected_tokens)
    ]


def find_late(answers, deadline_s):
    """Return the results that ended after their deadline and the tolerance."""
    return [a for a in answers if a.total_s > deadline_s + DEADLINE_TOLERANCE_S]


def wait_until_memory_free(fleet, *, timeout_s=MEMORY_FREE_TIMEOUT_S):
    """Wait until no engine has KV memory in use; return the seconds that it took."""
    return fleet.wait_for(
        lambda: sum_kv_used_tokens(fleet) == 0,
        timeout_s=timeout_s,
        what="empty engines",
    )


def find_violations(fleet, answers, *, deadline_s):
    """Return a line for each guarantee that some result violates."""
    broken = []
    for name, found in (
        ("false 'not run'", find_wrong_not_run(fleet, answers)),
        ("token of another request, or missing token", find_foreign_tokens(answers)),
        ("stream truncated without an error", find_truncated(answers)),
        ("end after the deadline", find_late(answers, deadline_s)),
    ):
        if found:
            broken.append(f"{name}: {len(found)} of {len(answers)}, {found[0]}")
    return broken
