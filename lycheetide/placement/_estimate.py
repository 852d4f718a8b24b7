"""Estimate processing times from an engine's performance model.

A replica processes its requests in passes. A pass runs a fixed number of decode steps
for all requests that are generating an answer, and prefills waiting prompts as well.
The prefill time adds to the length of the pass, so it delays the tokens of all decoding
requests.
"""

IDLE_PASS_STEPS = 1
"""Steps of a pass without decoding requests: only the step that generates the first
token of a new request."""


def estimate_prefill_s(engine, tokens):
    """Return the time to prefill a prompt while nothing else is processed.

    Parameters
    ----------
    engine : EngineProfile
        Performance model of the replica.
    tokens : int
        Length of the prompt.

    Returns
    -------
    float
        Prefill time in seconds. It has a term that grows with the square of the length.
    """
    pairs = tokens * tokens / 2
    return tokens * engine.read_s_per_token + pairs * engine.read_s_per_pair


def estimate_pass_s(engine, writers, context_tokens=0):
    """Return the length of a pass without prefill, in seconds.

    Parameters
    ----------
    engine : EngineProfile
        Performance model of the replica.
    writers : int
        Number of decoding requests.
    context_tokens : int, default=0
        Total tokens of their prompts and of their answers so far.
    """
    if writers == 0:
        return IDLE_PASS_STEPS * engine.step_s
    step_s = (
        engine.step_s
        + engine.step_s_per_writer * writers
        + engine.step_s_per_context_token * context_tokens
    )
    return engine.steps_per_pass * step_s


def estimate_first_event_s(
    engine, *, own_prefill_s, backlog_s, writers, context_tokens=0
):
    """Return the expected time until a request's first event, in seconds.

    The request waits for the pass in progress, which takes half a pass on average, and
    for the prefill of the prompts that were sent before it. Its own pass then prefills
    the prompt and generates the first event.
    """
    remaining_pass_s = estimate_pass_s(engine, writers, context_tokens) / 2
    own_pass_s = estimate_pass_s(engine, writers + 1, context_tokens)
    return remaining_pass_s + backlog_s + own_prefill_s + own_pass_s


MIN_CALLER_PATIENCE_S = 2.0
PATIENCE_PER_TARGET = 4.0
PATIENCE_PER_GAP = 8.0
"""Callers abandon a stream after the longest of 2 s, 4 times the target time to the
first event and 8 times the target gap between events."""


def caller_patience_s(target_s, gap_s):
    """Return how long a caller waits for the next event of a stream, in seconds.

    Parameters
    ----------
    target_s : float
        Target time to the first event, in seconds.
    gap_s : float
        Target gap between two events, in seconds.
    """
    return max(
        MIN_CALLER_PATIENCE_S, PATIENCE_PER_TARGET * target_s, PATIENCE_PER_GAP * gap_s
    )
