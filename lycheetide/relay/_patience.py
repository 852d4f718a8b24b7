"""How long a replica that says nothing is waited for.

Silence alone is no reason to end an attempt. A replica that reads a long prompt lets
all that it writes wait, and goes on; its answer may be the only one that the caller can
still get.
"""

from lycheetide.placement import caller_patience_s
from lycheetide.relay._evidence import suspect
from lycheetide.relay._retries import prepare_successor
from lycheetide.relay._state import read_clock

SILENCE_S = 0.7
"""Silence of a replica beyond what was expected of it after which it is asked whether
others hear from it: a pass with much reading in it takes up to half a second."""
PATIENCE = 0.6
"""Part of the time that a caller waits for an event after which another replica is
tried even if this one is alive; the rest is for the other one's first event."""
EVENT_NEEDS_S = 0.15
"""What another attempt needs at least to bring an event."""
EVIDENCE_S = 0.3
"""Peers tell within this time which replicas they hear."""
LOOK_AGAIN_S = 0.25
"""Pause between two looks for a replica that can take over; doubles with each one that
was found and didn't."""
LONGEST_LOOK_S = 2.0


def make_stream_patience(relay, call, listener, race):
    """Return a function that tells how much longer a silent stream is waited for.

    A replica that this node or a peer heard lately is alive and only busy: it gets
    until shortly before the caller gives up. So does one that reads long prompts, which
    nobody hears either; taken for dead it would do all its work again elsewhere. Any
    other is taken for dead at once.

    Then another replica is tried beside it. Where none can be, a stream that has begun
    stays where it is until its caller leaves or its time is up, and so does any whose
    replica is alive. One that hasn't begun at a replica taken for dead is given up, so
    that its caller is answered at once.

    Parameters
    ----------
    relay : RelayState
        This node.
    call : Call
        The stream's request.
    listener : Listener
        The attempt.
    race : Race
        The attempts that run beside it.

    Returns
    -------
    callable
        Returns seconds; 0 ends the attempt.
    """
    waits_s = caller_patience_s(call.route.target_latency_s, call.route.target_gap_s)
    note_stay = make_stay_log(relay, call, listener.replica)
    rivals = 0

    def more():
        nonlocal rivals
        now_s = read_clock()
        alive_s = find_alive_s(relay, listener.replica, now_s=now_s)
        wait_s = min(listener.at_s + PATIENCE * waits_s - now_s, alive_s)
        if wait_s > 0:
            return wait_s
        if not race.is_alone:
            return LOOK_AGAIN_S
        hindrance = prepare_successor(relay, call, needs_s=EVENT_NEEDS_S, now_s=now_s)
        if hindrance is None:
            if rivals == 0:
                note_rival(relay, call, listener.replica)
            rivals += 1
            race.start()
            return min(LONGEST_LOOK_S, LOOK_AGAIN_S * 2**rivals)
        elif call.is_begun or alive_s > 0:
            note_stay(hindrance)
        else:
            return 0.0
        return LOOK_AGAIN_S

    return more


def make_answer_patience(relay, call, replica, *, needs_s):
    """Return a function that tells how much longer a short answer is waited for.

    Another replica is asked where one can be. Where none can, a living one is waited
    for until the caller's time is up.

    Parameters
    ----------
    relay : RelayState
        This node.
    call : Call
        The request.
    replica : str
        Where it was sent.
    needs_s : float
        What another attempt would take.

    Returns
    -------
    callable
        Returns seconds; 0 ends the attempt.
    """
    note_stay = make_stay_log(relay, call, replica)

    def more():
        now_s = read_clock()
        is_alive = find_alive_s(relay, replica, now_s=now_s) > 0
        hindrance = prepare_successor(relay, call, needs_s=needs_s, now_s=now_s)
        if hindrance is None or not is_alive:
            return 0.0
        note_stay(hindrance)
        return LOOK_AGAIN_S

    return more


def find_alive_s(relay, replica, *, now_s):
    """Return for how much longer a silent replica counts as alive.

    Returns
    -------
    float
        Seconds, infinite where this node or a peer heard it lately, at most 0 where it
        counts as dead.
    """
    if relay.trust.heard_s(replica) >= now_s - EVIDENCE_S - SILENCE_S:
        return float("inf")
    return relay.board.column(replica).busy_until_s + SILENCE_S - now_s


def note_rival(relay, call, replica):
    """Note that a stream goes to a second replica while it stays at a silent one."""
    suspect(relay, replica, "silent")
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


def make_stay_log(relay, call, replica):
    """Return a function that notes once that a request stays at a silent replica."""
    is_noted = False

    def note_stay(hindrance):
        nonlocal is_noted
        if is_noted:
            return
        is_noted = True
        suspect(relay, replica, "silent")
        relay.counters.add(f"stayed.{hindrance}")
        relay.log.info(
            "A request stays at a silent replica.",
            extra={
                "request": call.request.attempt_id,
                "replica": replica,
                "why": str(hindrance),
                "sent": call.sent,
            },
        )

    return note_stay
