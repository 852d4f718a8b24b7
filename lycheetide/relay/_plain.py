"""Serve a request whose answer is short and goes out as a whole."""

from lycheetide.exchange import Answer
from lycheetide.httpclient import ChannelBroken
from lycheetide.relay._attempt import announced, make_failure, open_attempt
from lycheetide.relay._evidence import note_failure
from lycheetide.relay._outcomes import AttemptFailed, Cause, Refusal
from lycheetide.relay._patience import make_answer_patience
from lycheetide.relay._place import choose, find_place_wait_s, make_refusal
from lycheetide.relay._retries import may_try_again
from lycheetide.relay._state import read_clock

ANSWER_WAIT_S = 0.8
"""How long the answer to a repeatable request may take before another replica is
asked, unless its target is longer; a booking system answers within 0.1 to 0.5 s."""
SERVER_ERROR = 500
"""Statuses from here on may be another one's success if the request is repeated."""
ANSWER_NEEDS_S = 0.05
"""What another attempt needs at least."""


async def serve_plain(relay, call, reply):
    """Bring a call its answer.

    Raises
    ------
    Refusal
        If no replica gave one.
    """
    kept: tuple[Answer, bytes] | None = None
    while True:
        if kept is None:
            placement = await choose(relay, call, wait_s=find_place_wait_s(call))
        else:
            placement = await choose_or_none(relay, call)
        if placement is None:
            break
        call.tried.add(placement.first.id)
        try:
            kept = await ask(relay, call, placement)
        except AttemptFailed as failure:
            note_failure(relay, call, placement, failure)
            if may_try_again(relay, call, needs_s=ANSWER_NEEDS_S):
                relay.counters.add(f"retries.{failure.cause}")
                continue
            if kept is None:
                raise make_refusal(call, failure.cause, message=str(failure)) from None
            break
        call.may_have_run = True
        is_good = kept[0].status < SERVER_ERROR
        if is_good or not may_try_again(relay, call, needs_s=ANSWER_NEEDS_S):
            break
        relay.counters.add(f"retries.{Cause.UPSTREAM_ERROR}")
    if kept is None:
        raise make_refusal(call, Cause.NO_REPLICA)
    answer, body = kept
    headers = relay.adapter.relayed_headers(answer.headers)
    await reply.give(answer.status, headers, body)


async def choose_or_none(relay, call):
    """Return where to try once more, or None; there is an answer to fall back on."""
    try:
        return await choose(relay, call, wait_s=find_place_wait_s(call))
    except Refusal:
        return None


async def ask(relay, call, placement):
    """Return the head and the whole body of one replica's answer.

    Raises
    ------
    AttemptFailed
        If it isn't whole.
    """
    left_s = call.left_s(now_s=read_clock())
    wait_s = left_s
    if call.route.is_repeatable and call.sent + 1 < call.route.max_attempts:
        wait_s = min(left_s, max(ANSWER_WAIT_S, 2 * call.route.target_latency_s))
    more = make_answer_patience(relay, call, placement.first.id, needs_s=ANSWER_NEEDS_S)
    async with (
        announced(relay, call, placement),
        open_attempt(relay, call, placement, head_s=wait_s, more=more) as attempt,
    ):
        try:
            body = await attempt.channel.read_all(timeout_s=wait_s, more=more)
        except ChannelBroken as broken:
            raise make_failure(broken, is_written=True) from broken
        return attempt.answer, body
