"""Apply the rules for capacity that is short to the placement of a call.

They are in force only if the settings or the configuration ask for it.
"""

from lycheetide.gossip import START_WINDOW_S
from lycheetide.placement import (
    estimate_margin_tokens,
    list_open_replicas,
    place_plain_request,
    prefer_other_domains,
)
from lycheetide.relay._broadcast import estimate_propagation_s
from lycheetide.relay._state import read_clock

SECOND_ATTEMPT_TIMES = 2.0
"""Time that the first attempt leaves for a second one, in usual durations of an answer.
The second one may have to wait for a slot for about one."""
MAX_TIME_LEFT_SHARE = 0.5
"""Largest fraction of its time that the first attempt leaves for a second one."""


def find_open_replicas(relay, candidates):
    """Return the candidates that may be sent one more request by their slots."""
    if not relay.activation.is_contended:
        return candidates
    return list_open_replicas(candidates)


def find_margin_tokens(relay, engine, candidates, arrivals, *, now_s):
    """Return the memory that a placement leaves free at each replica, in tokens."""
    if not relay.activation.is_contended:
        return 0
    return estimate_margin_tokens(
        engine,
        candidates,
        arrivals_per_s=arrivals.per_s,
        propagation_delay_s=estimate_propagation_s(relay, now_s=now_s),
    )


def place_plain_call(relay, call, candidates, *, now_s):
    """Return the placement of a call without a prompt, or None if there is none."""
    if not relay.activation.is_contended:
        return place_plain_request(candidates)
    propagation_s = estimate_propagation_s(relay, now_s=now_s)

    def find_unknown(candidate):
        starts = relay.job_table.starts_within(
            candidate.id, START_WINDOW_S, now_s=now_s
        )
        return starts / START_WINDOW_S * propagation_s

    return place_plain_request(
        prefer_other_domains(candidates, call.error_domains),
        service_s=relay.service_times.find_s(call.service.name, now_s=now_s),
        find_unknown=find_unknown,
    )


def record_answer(relay, call, placement, *, sent_s, now_s):
    """Record how long an answer took, unless it may have waited for a slot."""
    first = placement.first
    is_plain = relay.activation.is_contended and not call.size.prompt_tokens
    if is_plain and first.writers < first.slots:
        took_s = now_s - sent_s - first.round_trip_s
        relay.service_times.note(call.service.name, took_s, now_s=now_s)


def record_error_start(relay, call, placement):
    """Record which start of a replica, in which failure domain, reported an error."""
    if relay.activation.is_contended:
        known = relay.replicas.replicas.get(placement.first.id)
        if known is not None:
            call.record_server_error(known.entry)


def list_restarted(relay, call):
    """Return the replicas that restarted since they reported an error to a call."""
    if not relay.activation.is_contended:
        return set()
    return {
        replica
        for replica, born_ms in call.error_starts.items()
        if (known := relay.replicas.replicas.get(replica)) is not None
        and known.entry.born_ms != born_ms
    }


def find_min_attempt_s(relay, call, *, default_s):
    """Return the shortest remaining time in which an attempt is worth starting."""
    if not relay.activation.is_contended:
        return default_s
    usual_s = relay.service_times.find_s(call.service.name, now_s=read_clock())
    return max(default_s, usual_s or 0.0)


def leave_time_for_attempt(relay, wait_s, remaining_s, *, min_attempt_s):
    """Return how long a call may wait if a further attempt is to follow, in seconds.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    wait_s : float
        Longest time without this rule.
    remaining_s : float
        Time until the call's deadline.
    min_attempt_s : float
        Shortest remaining time in which another attempt is worth starting.
    """
    if not relay.activation.is_contended:
        return wait_s
    left_s = min(
        SECOND_ATTEMPT_TIMES * min_attempt_s, MAX_TIME_LEFT_SHARE * remaining_s
    )
    return min(wait_s, remaining_s - left_s)
