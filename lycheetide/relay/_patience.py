"""How long a replica that says nothing is waited for.

Silence alone is no reason to end an attempt. A replica that reads a long prompt lets
all that it writes wait, and goes on. It is left where another replica can take over;
elsewhere its answer is the only one that the caller can still get.
"""

from lycheetide.placement import caller_patience_s
from lycheetide.relay._retries import prepare_successor
from lycheetide.relay._state import read_clock

SILENCE_S = 0.7
"""Silence of a replica beyond what was expected of it that ends an attempt, unless
others hear from it: a pass with much reading in it takes up to half a second."""
PATIENCE = 0.6
"""Part of the time that a caller waits for an event after which another replica is
tried even if this one is alive; the rest is for the other one's first event."""
AGAIN_S = 0.15
"""What another attempt needs at least to bring an event."""
EVIDENCE_S = 0.3
"""Peers tell within this time which replicas they hear."""
LOOK_AGAIN_S = 0.25
"""Pause before it is looked again whether another replica can take over."""


def make_stream_patience(relay, call, progress, replica):
    """Return a function that tells how much longer a silent stream is waited for.

    A replica that others hear is alive and only busy: it gets until shortly before
    the caller gives up. So does one that reads long prompts, which nobody hears either;
    taken for dead it would do all its work again elsewhere. Any other that nobody hears
    is taken for dead at once.

    Then another replica takes over. Where none can, a stream that has begun stays where
    it is until its caller leaves, and so does any whose replica is alive. One that
    hasn't begun at a replica taken for dead is given up, so that its caller is answered
    at once.
    """
    waits_s = caller_patience_s(call.route.target_latency_s, call.route.target_gap_s)
    stay = make_stay(relay, call, replica, needs_s=AGAIN_S)

    def more():
        now_s = read_clock()
        left_s = progress.at_s + PATIENCE * waits_s - now_s
        alive_s = find_alive_s(relay, replica, now_s=now_s)
        wait_s = min(left_s, alive_s)
        if wait_s > 0:
            return wait_s
        if call.is_begun or alive_s > 0:
            return stay(now_s=now_s)
        return 0.0

    return more


def make_answer_patience(relay, call, replica, *, needs_s):
    """Return a function that tells how much longer a short answer is waited for.

    Parameters
    ----------
    relay : RelayState
        This node.
    call : Call
        The call.
    replica : str
        Where it was sent.
    needs_s : float
        What another attempt would take.
    """
    stay = make_stay(relay, call, replica, needs_s=needs_s)
    return lambda: stay(now_s=read_clock())


def find_alive_s(relay, replica, *, now_s):
    """Return for how much longer a silent replica counts as alive.

    Returns
    -------
    float
        Seconds, infinite where somebody heard of it lately, at most 0 where it counts
        as dead.
    """
    if relay.trust.heard_s(replica) >= now_s - EVIDENCE_S - SILENCE_S:
        return float("inf")
    return relay.board.column(replica).busy_until_s + SILENCE_S - now_s


def make_stay(relay, call, replica, *, needs_s):
    """Return a function that tells how much longer a call stays at a silent replica.

    It returns 0 once another replica can take the call over, and until then how soon
    to ask again. The call's deadline isn't looked at; it ends the wait by itself.
    """
    is_told = False

    def stay(*, now_s):
        nonlocal is_told
        hindrance = prepare_successor(relay, call, needs_s=needs_s, now_s=now_s)
        if hindrance is None:
            return 0.0
        if not is_told:
            is_told = True
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
        return LOOK_AGAIN_S

    return stay
