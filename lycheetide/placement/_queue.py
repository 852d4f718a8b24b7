"""How long a prompt stands at a replica before it is read."""

from lycheetide.placement._estimate import first_event_s, pass_s, read_s

READ_IN_PASS_S = 0.02
"""Reading that a pass of a full replica has in it: about one short prompt."""


def has_memory(engine, size, candidate):
    """Tell whether a replica has the memory for a request."""
    return candidate.kv_tokens + size.tokens <= engine.kv_tokens


def wait_s(engine, candidate):
    """Return the expected time until a replica begins to read what is sent now."""
    pass_left_s = pass_s(engine, candidate.writers, candidate.kv_tokens) / 2
    return pass_left_s + candidate.backlog_s + candidate.extra_s


def slot_wait_s(engine, candidate, size):
    """Return the expected time until a slot is free; answers are taken to be alike."""
    ahead = max(0, candidate.writers + 1 - candidate.slots)
    if ahead == 0:
        return 0.0
    passes = size.answer_tokens / engine.steps_per_pass
    full_s = pass_s(engine, candidate.slots, candidate.kv_tokens) + READ_IN_PASS_S
    return ahead * passes * full_s / candidate.slots


def expect_alone_s(engine, candidate, size):
    """Return the expected time to the first event of a prompt that is read whole."""
    return (
        first_event_s(
            engine,
            own_read_s=read_s(engine, size.prompt_tokens),
            backlog_s=candidate.backlog_s,
            writers=min(candidate.writers, candidate.slots),
            context_tokens=candidate.kv_tokens,
        )
        + slot_wait_s(engine, candidate, size)
        + candidate.extra_s
    )
