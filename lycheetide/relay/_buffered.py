"""Serve a request whose answer is short and is sent as a whole."""

from lycheetide.exchange import ReplicaResponse
from lycheetide.httpclient import ChannelError
from lycheetide.relay._answers import hold_answer
from lycheetide.relay._attempt import (
    announced_attempt,
    check_end,
    make_failure,
    open_attempt,
)
from lycheetide.relay._capacity import (
    find_min_attempt_s,
    leave_time_for_attempt,
    record_answer,
    record_error_start,
)
from lycheetide.relay._evidence import record_failed_attempt
from lycheetide.relay._outcomes import PROMISE_STATUSES, AttemptFailed, Cause, Refusal
from lycheetide.relay._quarantine import note_answered, note_written
from lycheetide.relay._retries import claim_retry
from lycheetide.relay._selection import (
    choose_placement,
    find_placement_wait_s,
    make_refusal,
)
from lycheetide.relay._state import read_clock
from lycheetide.relay._timeouts import make_answer_timeout_extension

ANSWER_TIMEOUT_S = 0.8
"""How long a replica may take to answer a repeatable request before another replica is
tried, unless the target of the route is longer. A booking system answers within 0.1 to
0.5 s."""
MIN_SERVER_ERROR_STATUS = 500
"""Lowest status that counts as a server error, after which a repeated request may
succeed at another replica."""
MIN_ANSWER_ATTEMPT_S = 0.05
"""Shortest remaining time in which another attempt is worth starting."""


async def serve_buffered(relay, call, reply):
    """Send the caller the answer of a replica, as ``_serve_held``."""
    with hold_answer(relay) as held:
        await _serve_held(relay, call, reply, held)


async def _serve_held(relay, call, reply, held):
    """Send the caller the answer of a replica.

    If the last attempt that answered returned a server error and no further attempt
    succeeds, that error is sent.

    Raises
    ------
    Refusal
        If no replica answered.
    """
    last_answer: tuple[ReplicaResponse, bytes] | None = None
    while True:
        if last_answer is None:
            placement = await choose_placement(
                relay, call, wait_s=find_placement_wait_s(call)
            )
        else:
            placement = await choose_placement_or_none(relay, call)
        if placement is None:
            break
        call.tried.add(placement.first.id)
        call.error_starts.pop(placement.first.id, None)
        try:
            last_answer = await request_answer(relay, call, placement, held)
        except AttemptFailed as failure:
            record_failed_attempt(relay, call, placement, failure)
            if await claim_retry(
                relay, call, min_attempt_s=find_min_answer_attempt_s(relay, call)
            ):
                relay.counters.add(f"retries.{failure.cause}")
                continue
            if last_answer is None:
                raise make_refusal(call, failure.cause, message=str(failure)) from None
            break
        call.may_have_run = True
        is_success = last_answer[0].status < MIN_SERVER_ERROR_STATUS
        if not is_success:
            record_server_error(relay, call, placement, last_answer[0])
            record_error_start(relay, call, placement)
        if is_success or not await claim_retry(
            relay, call, min_attempt_s=find_min_answer_attempt_s(relay, call)
        ):
            break
        relay.counters.add(f"retries.{Cause.UPSTREAM_ERROR}")
    if last_answer is None:
        raise make_refusal(call, Cause.NO_REPLICA)
    answer, body = last_answer
    if answer.status in PROMISE_STATUSES and not call.route.is_repeatable:
        raise make_refusal(
            call, Cause.UPSTREAM_ERROR, message=f"status {answer.status} of a replica"
        )
    headers = relay.adapter.filter_response_headers(answer.headers)
    await reply.send_whole(answer.status, headers, body)


def find_min_answer_attempt_s(relay, call):
    """Return the shortest remaining time in which an attempt is worth starting."""
    return find_min_attempt_s(relay, call, default_s=MIN_ANSWER_ATTEMPT_S)


def record_server_error(relay, call, placement, answer):
    """Count and log an answer with which a replica itself reports an error."""
    relay.counters.add("attempts.server_error")
    relay.log.info(
        "A replica answered with a server error.",
        extra={
            "request": call.request.attempt_id,
            "replica": placement.first.id,
            "status": answer.status,
            "sent": call.sent,
            "writers": placement.first.writers,
            "slots": placement.first.slots,
        },
    )


async def choose_placement_or_none(relay, call):
    """Return a placement for a further attempt, or None if there is none.

    Doesn't raise, since an earlier answer can be sent instead.
    """
    wait_s = leave_time_for_attempt(
        relay,
        find_placement_wait_s(call),
        call.remaining_s(now_s=read_clock()),
        min_attempt_s=find_min_answer_attempt_s(relay, call),
    )
    try:
        return await choose_placement(relay, call, wait_s=wait_s)
    except Refusal:
        return None


async def request_answer(relay, call, placement, held):
    """Return the head and the whole body of one replica's answer.

    Raises
    ------
    AttemptFailed
        If the answer isn't complete.
    """
    sent_s = read_clock()
    remaining_s = call.remaining_s(now_s=sent_s)
    min_attempt_s = find_min_answer_attempt_s(relay, call)
    wait_s = remaining_s
    if call.route.is_repeatable and call.sent + 1 < call.route.max_attempts:
        wait_s = min(
            remaining_s, max(ANSWER_TIMEOUT_S, 2 * call.route.target_latency_s)
        )
        wait_s = leave_time_for_attempt(
            relay, wait_s, remaining_s, min_attempt_s=min_attempt_s
        )
    more = make_answer_timeout_extension(
        relay, call, placement.first.id, min_attempt_s=min_attempt_s
    )
    async with (
        announced_attempt(relay, call, placement),
        open_attempt(
            relay, call, placement, head_timeout_s=wait_s, more=more
        ) as attempt,
    ):
        try:
            body = await held.read(attempt.channel, timeout_s=wait_s, more=more)
        except ChannelError as broken:
            raise make_failure(broken, attempt.channel) from broken
        await check_end(relay, attempt)
        if attempt.answer.status < MIN_SERVER_ERROR_STATUS:
            note_written(relay, call)
            note_answered(relay, call, placement.first.id)
            record_answer(relay, call, placement, sent_s=sent_s, now_s=read_clock())
        return attempt.answer, body
