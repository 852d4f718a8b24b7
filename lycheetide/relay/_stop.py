"""Refuse calls that may not have ended when a planned stop of this node does."""

from lycheetide.relay._outcomes import Cause, Refusal


def estimate_length_s(call):
    """Return how long a call usually takes, in seconds."""
    length_s = 2 * call.route.target_latency_s
    if call.service.engine is not None:
        length_s += call.size.answer_tokens * call.service.engine.step_s
    return length_s


def may_outlast_stop(relay, call, *, now_s):
    """Tell whether a call that wasn't sent yet may be cut off by this node's stop.

    Until the balancer has noticed that the node leaves, callers have few other nodes,
    and nearly all calls end in time; only those that may not be repeated are refused if
    they usually take longer. Later the few that are left, such as those whose body
    arrived late, must be sure to end in time.
    """
    if not relay.is_leaving:
        return False
    longest_s = call.remaining_s(now_s=now_s)
    if now_s < relay.stop_times.notice_until_s:
        if call.route.is_repeatable:
            return False
        longest_s = min(longest_s, estimate_length_s(call))
    return now_s + longest_s > relay.stop_times.deadline_s


def make_stop_refusal(relay):
    """Return the refusal of a call that hasn't run; other nodes take it at once."""
    relay.counters.add("requests.refused_for_stop")
    return Refusal(503, Cause.STOPPING, retry_after_s=0.0)
