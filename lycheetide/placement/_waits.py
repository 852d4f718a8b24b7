"""Estimate how long a prompt waits at a replica before its prefill begins."""

from lycheetide.placement._estimate import (
    estimate_first_event_s,
    estimate_pass_s,
    estimate_prefill_s,
)

FULL_PASS_PREFILL_S = 0.02
"""Prefill time within one pass of a full replica: about one short prompt."""


def wait_s(engine, candidate):
    """Return the expected time until the prefill of a prompt sent now, in seconds."""
    pass_s = estimate_pass_s(engine, candidate.writers, candidate.kv_tokens)
    remaining_pass_s = candidate.pace * pass_s / 2
    return remaining_pass_s + candidate.backlog_s + candidate.penalty_s


def estimate_slot_wait_s(engine, candidate, size):
    """Return the expected time until a slot is free, in seconds.

    All answers at the replica are assumed to be as long as that of this request.
    """
    queued = max(0, candidate.writers + 1 - candidate.slots)
    if queued == 0:
        return 0.0
    passes = size.answer_tokens / engine.steps_per_pass
    full_s = (
        estimate_pass_s(engine, candidate.slots, candidate.kv_tokens)
        + FULL_PASS_PREFILL_S
    )
    return queued * passes * candidate.pace * full_s / candidate.slots


def estimate_unsplit_s(engine, candidate, size):
    """Return the expected time to the first event of a prompt that isn't split.

    The replica prefills the whole prompt. The time is in seconds.
    """
    return (
        candidate.pace
        * estimate_first_event_s(
            engine,
            own_prefill_s=estimate_prefill_s(engine, size.prompt_tokens),
            backlog_s=0.0,
            writers=min(candidate.writers, candidate.slots),
            context_tokens=candidate.kv_tokens,
        )
        + candidate.backlog_s
        + estimate_slot_wait_s(engine, candidate, size)
        + candidate.penalty_s
    )
