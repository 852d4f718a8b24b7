"""Decide how long to wait for a silent replica.

Silence alone is no reason to end an attempt. A replica that reads a long prompt sends
nothing for any of its requests meanwhile, and continues afterwards; its answer may be
the only one that the caller can still get.
"""

from lycheetide.placement import caller_patience_s
from lycheetide.relay._admission import has_earlier_waiting
from lycheetide.relay._evidence import check_silent_path, suspect_silent
from lycheetide.relay._path_checks import has_lost_path
from lycheetide.relay._retries import RetryDenial, prepare_next_attempt
from lycheetide.relay._state import read_clock

SILENCE_MARGIN_S = 0.7
"""How long a replica may be silent beyond the expected time before another replica is
considered. A pass with much reading in it takes up to half a second."""
HEDGE_SHARE = 0.6
"""Share of the caller's patience after which another replica is tried even if the
silent one is alive. The rest is left for the other replica's first event."""
MIN_STREAM_ATTEMPT_S = 0.15
"""Shortest remaining time in which another attempt can bring an event."""
PEER_REPORT_S = 0.3
"""Time within which peers report the replicas that answered them."""
PATH_CHECK_S = 0.12
"""Time to find out whether a silent replica can be reached by the same path, or only by
another one."""
RECHECK_S = 0.25
"""Interval at which a silent attempt looks for a replica that can take over. It doubles
with each replica that was found and tried without success."""
MAX_RECHECK_S = 2.0


def make_stream_timeout_extension(relay, call, stream_attempt, hedged_attempts):
    """Return a function that tells how much longer to wait for a silent stream.

    A replica from which this node or a peer received something recently is alive and
    only busy: it may be silent until shortly before the caller gives up. So may a
    replica that reads long prompts, from which nobody receives anything either; if it
    were taken for dead, all its work would be done again elsewhere. Any other silent
    replica is taken for dead at once.

    When that time is over, a hedged attempt is started at another replica. If none is
    available, a stream that has begun continues to wait until its caller disconnects or
    its deadline passes, and so does any stream whose replica is alive. A stream that
    hasn't begun, at a replica taken for dead, is given up, so that its caller is
    answered at once.

    While requests wait whose turn is earlier, a prompt isn't prefilled again elsewhere
    unless its replica counts as dead: its first prefill has only to wait as well.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    call : Call
        The request of the stream.
    stream_attempt : StreamAttempt
        The attempt that may be silent.
    hedged_attempts : HedgedAttempts
        All running attempts at this stream.

    Returns
    -------
    callable
        Takes nothing and returns the extension in seconds; 0 ends the attempt.
    """
    patience_s = caller_patience_s(call.route.target_latency_s, call.route.target_gap_s)
    record_stay = make_stay_recorder(relay, call, stream_attempt.replica)
    hedges = 0

    def more():
        nonlocal hedges
        now_s = read_clock()
        replica = stream_attempt.replica
        via = call.paths.get(replica, "")
        if check_silent_path(relay, replica, via, since_s=stream_attempt.at_s):
            return PATH_CHECK_S
        liveness_s = find_liveness_s(relay, replica, now_s=now_s)
        wait_s = min(stream_attempt.at_s + HEDGE_SHARE * patience_s - now_s, liveness_s)
        is_cut_off = has_lost_path(relay, replica, via, now_s=now_s)
        if wait_s > 0 and not is_cut_off:
            return wait_s
        if not hedged_attempts.is_single:
            return RECHECK_S
        is_alive = liveness_s > 0 and not is_cut_off
        if is_alive and has_earlier_waiting(relay, call, now_s=now_s):
            denial = RetryDenial.NO_TURN
        else:
            denial = prepare_next_attempt(
                relay, call, min_attempt_s=MIN_STREAM_ATTEMPT_S, now_s=now_s
            )
        if denial is None:
            if hedges == 0:
                record_hedge(relay, call, stream_attempt.replica)
            hedges += 1
            hedged_attempts.start()
            return min(MAX_RECHECK_S, RECHECK_S * 2**hedges)
        elif call.is_begun or liveness_s > 0:
            record_stay(denial)
        else:
            return 0.0
        return RECHECK_S

    return more


def make_answer_timeout_extension(relay, call, replica, *, min_attempt_s):
    """Return a function that tells how much longer to wait for a short answer.

    Another replica is tried if one is available. If none is, the request waits for a
    live replica until the caller's deadline.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    call : Call
        The request.
    replica : str
        The replica that it was sent to.
    min_attempt_s : float
        Shortest remaining time in which another attempt is worth starting.

    Returns
    -------
    callable
        Takes nothing and returns the extension in seconds; 0 ends the attempt.
    """
    record_stay = make_stay_recorder(relay, call, replica)

    def more():
        now_s = read_clock()
        is_alive = find_liveness_s(relay, replica, now_s=now_s) > 0
        denial = prepare_next_attempt(
            relay, call, min_attempt_s=min_attempt_s, now_s=now_s
        )
        if denial is None or not is_alive:
            return 0.0
        record_stay(denial)
        return RECHECK_S

    return more


def find_liveness_s(relay, replica, *, now_s):
    """Return for how much longer a silent replica counts as alive.

    Returns
    -------
    float
        Seconds; infinite if this node or a peer received something from the replica
        recently, at most 0 if it counts as dead.
    """
    if (
        relay.failure_detector.last_heard_s(replica)
        >= now_s - PEER_REPORT_S - SILENCE_MARGIN_S
    ):
        return float("inf")
    return relay.job_table.workload(replica).busy_until_s + SILENCE_MARGIN_S - now_s


def record_hedge(relay, call, replica):
    """Suspect a silent replica, and count and log a hedged attempt at another one."""
    suspect_silent(relay, replica, call.paths.get(replica, ""), "silent")
    relay.counters.add("retries.silent")
    relay.log.info(
        "A silent stream is tried elsewhere as well.",
        extra={
            "request": call.request.attempt_id,
            "replica": replica,
            "cause": "silent",
            "sent": call.sent,
        },
    )


def make_stay_recorder(relay, call, replica):
    """Return a function that records that a request stays at a silent replica.

    It records that once for lack of a turn, and once for all other reasons.
    """
    recorded: set[bool] = set()

    def record_stay(denial):
        # While requests wait, silence of a replica that is alive shows only its load,
        # and a suspicion would take the replica from those that wait.
        shows_load = denial is RetryDenial.NO_TURN
        if shows_load in recorded:
            return
        recorded.add(shows_load)
        if not shows_load:
            suspect_silent(relay, replica, call.paths.get(replica, ""), "silent")
        relay.counters.add(f"stayed.{denial}")
        relay.log.info(
            "A request keeps waiting for a silent replica.",
            extra={
                "request": call.request.attempt_id,
                "replica": replica,
                "why": str(denial),
                "sent": call.sent,
            },
        )

    return record_stay
