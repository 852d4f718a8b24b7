"""Serve a stream of events, and resume it at another replica if one breaks off.

Events are forwarded whole and as soon as they arrive.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

import anyio

from lycheetide.httpclient import ChannelError
from lycheetide.placement import MIN_CALLER_PATIENCE_S, estimate_pass_s
from lycheetide.relay._answers import hold_answer
from lycheetide.relay._attempt import (
    announced_attempt,
    check_end,
    is_close_delimited,
    make_failure,
    open_attempt,
)
from lycheetide.relay._evidence import record_failed_attempt
from lycheetide.relay._hedging import HedgedAttempts
from lycheetide.relay._outcomes import (
    PROMISE_STATUSES,
    AttemptFailed,
    Cause,
    StreamAborted,
)
from lycheetide.relay._presence import note_begun
from lycheetide.relay._quarantine import note_answered, note_written
from lycheetide.relay._reservations import MemoryUnavailable, reserve_memory
from lycheetide.relay._retries import claim_retry
from lycheetide.relay._selection import (
    choose_placement,
    find_placement_wait_s,
    make_refusal,
)
from lycheetide.relay._state import read_clock
from lycheetide.relay._timeouts import (
    MIN_STREAM_ATTEMPT_S,
    SILENCE_MARGIN_S,
    make_stream_timeout_extension,
)
from lycheetide.routes import DEFAULT_ENGINE
from lycheetide.streams import BYTE_ORDER_MARK, EventSplitter, EventTooLongError


@dataclass
class Progress:
    """How much of a stream was forwarded to the caller.

    Parameters
    ----------
    last_id : bytes
        Id of the last event that was forwarded.
    last_number : int or None
        The same id as a number; None if it isn't one.
    events : int
        Number of events forwarded.
    forwarded_s : float
        Time at which the last event was forwarded.
    first_event_s : float
        Time from the request to the first event, in seconds.
    longest_pause_s : float
        Longest time between two events, in seconds.
    longest_pause_at_s : float
        End of the longest pause, in seconds since the request arrived.
    write_lock : anyio.Lock
        Held while writing to the caller, since attempts may run concurrently.
    last_byte : bytes
        Last byte that was forwarded; empty if none was.
    record : callable or None
        Records that an event was written to the caller's connection.
    """

    last_id: bytes = b""
    last_number: int | None = None
    events: int = 0
    forwarded_s: float = 0.0
    first_event_s: float = 0.0
    longest_pause_s: float = 0.0
    longest_pause_at_s: float = 0.0
    last_byte: bytes = b""
    write_lock: anyio.Lock = field(default_factory=anyio.Lock)
    record: Callable[[float, float], None] | None = None


@dataclass
class StreamAttempt:
    """The progress of one attempt at a stream.

    Parameters
    ----------
    replica : str
        The replica that the request was sent to.
    job_id : str
        Id of the attempt in the announcements to other nodes.
    at_s : float
        Time at which data last arrived.
    cancel_others : callable
        Cancels the concurrent attempts.
    has_data : bool
        Whether the answer has started to arrive.
    events : int
        Number of whole events that arrived.
    events_forwarded : int
        Number of those that were forwarded.
    """

    replica: str
    job_id: str
    at_s: float
    cancel_others: Callable[[], None]
    has_data: bool = False
    events: int = 0
    events_forwarded: int = 0


async def serve_stream(relay, call, reply):
    """Forward a stream to the caller.

    Raises
    ------
    Refusal
        If no part of an answer arrived.
    StreamAborted
        If the stream broke off after a part was sent, and can't be resumed.
    """
    progress = Progress()
    progress.record = partial(record_event, relay, call, progress)
    try:
        await _forward_with_retries(relay, call, reply, progress)
    finally:
        reply.note(
            events=progress.events,
            first_ms=round(progress.first_event_s * 1e3),
            longest_pause_ms=round(progress.longest_pause_s * 1e3),
            longest_pause_at_ms=round(progress.longest_pause_at_s * 1e3),
        )


async def _forward_with_retries(relay, call, reply, progress):
    """Send a call to replicas until its stream is complete."""

    async def make_attempt(hedged_attempts, scope):
        await run_attempt(relay, call, reply, progress, hedged_attempts, scope)

    while True:
        failure = await HedgedAttempts(make_attempt).run()
        if failure is None:
            return
        if isinstance(failure, AttemptFailed) and await claim_retry(
            relay, call, min_attempt_s=MIN_STREAM_ATTEMPT_S
        ):
            relay.counters.add(f"retries.{failure.cause}")
            continue
        if reply.is_started:
            raise StreamAborted(str(failure))
        if isinstance(failure, AttemptFailed):
            raise make_refusal(call, failure.cause, message=str(failure))
        raise failure


async def run_attempt(relay, call, reply, progress, hedged_attempts, scope):
    """Send a call to one replica and forward its answer.

    Raises
    ------
    AttemptFailed
        If the answer isn't complete.
    Refusal
        If no placement is found.
    """
    # A hedged attempt doesn't wait for a placement, since the other attempt continues.
    wait_s = find_placement_wait_s(call) if hedged_attempts.is_single else 0.0
    stream_attempt = None
    try:
        async with reserve_memory(relay, call, wait_s=wait_s) as memory:
            placement = memory.placement or await choose_placement(
                relay, call, wait_s=wait_s
            )
            call.tried.add(placement.first.id)
            try:
                async with announced_attempt(relay, call, placement) as job_id:
                    stream_attempt = StreamAttempt(
                        placement.first.id, job_id, read_clock(),
                        cancel_others=lambda: hedged_attempts.cancel_others(scope),
                    )  # fmt: skip
                    more = make_stream_timeout_extension(
                        relay, call, stream_attempt, hedged_attempts
                    )
                    log_placement(relay, call, placement, memory)
                    await _forward_stream(
                        relay,
                        call,
                        reply,
                        progress,
                        stream_attempt,
                        placement,
                        tickets=memory.tickets,
                        more=more,
                    )
            except AttemptFailed as failure:
                events = stream_attempt.events if stream_attempt is not None else 0
                record_failed_attempt(relay, call, placement, failure, events=events)
                raise
    except MemoryUnavailable as error:
        raise make_refusal(call, Cause.NO_MEMORY, message=str(error)) from None


async def _forward_stream(
    relay, call, reply, progress, stream_attempt, placement, *, tickets, more
):
    """Send the request to the chosen replica and forward its events."""
    initial_timeout_s = SILENCE_MARGIN_S + 2 * placement.expected_s
    async with open_attempt(
        relay, call, placement, head_timeout_s=initial_timeout_s, more=more,
        tickets=tickets, resume_after=progress.last_id,
    ) as attempt:  # fmt: skip
        call.may_have_run = True
        if attempt.answer.status != 200:
            with hold_answer(relay) as held:
                await _forward_unstreamed(
                    relay, call, reply, attempt, stream_attempt, held=held
                )
            return
        await _forward_head(relay, call, reply, progress, attempt)
        with hold_answer(relay) as held:
            await _forward_events(
                relay,
                call,
                reply,
                progress,
                stream_attempt,
                attempt,
                held=held,
                initial_timeout_s=initial_timeout_s,
                more=more,
            )
        note_answered(relay, call, placement.first.id)
        stream_attempt.cancel_others()
        await reply.end()


async def _forward_head(relay, call, reply, progress, attempt):
    """Forward the head of the first answer that arrives."""
    async with progress.write_lock:
        if reply.is_started:
            return
        headers = relay.adapter.filter_response_headers(attempt.answer.headers)
        call.is_begun = True
        await reply.start(200, headers)


def log_placement(relay, call, placement, memory):
    """Log the placement of a prompt and the figures it was based on."""
    relay.log.info(
        "A prompt is placed.",
        extra={
            "request": call.request.attempt_id,
            "route": call.route.name,
            "customer": call.customer.name if call.customer else "",
            "replica": placement.first.id,
            "readers": list_readers(placement),
            "part_ms": round(placement.part_prefill_s * 1e3),
            "tickets": len(memory.tickets),
            "prompt_tokens": call.size.prompt_tokens,
            "expected_ms": round(placement.expected_s * 1e3),
            "backlog_ms": round(placement.first.backlog_s * 1e3),
            "writers": placement.first.writers,
            "slots": placement.first.slots,
            "sent": call.sent,
        },
    )


def list_readers(placement):
    """Return the other replicas that read a part of a prompt, memory holders first."""
    holders = [share.replica.id for share in placement.holders]
    return holders + [helper.id for helper in placement.helpers]


async def _forward_unstreamed(relay, call, reply, attempt, stream_attempt, *, held):
    """Forward an answer that isn't a stream."""
    try:
        body = await held.read(attempt.channel, timeout_s=MIN_CALLER_PATIENCE_S)
    except ChannelError as broken:
        raise make_failure(broken, attempt.channel) from broken
    status = attempt.answer.status
    is_promise = status in PROMISE_STATUSES and not call.route.is_repeatable
    if reply.is_started or status >= 500 or is_promise:
        raise AttemptFailed(
            Cause.UPSTREAM_ERROR,
            f"status {status}",
            may_have_run=True,
        )
    headers = relay.adapter.filter_response_headers(attempt.answer.headers)
    stream_attempt.cancel_others()
    await reply.send_whole(status, headers, body)


async def _forward_events(
    relay, call, reply, progress, stream_attempt, attempt, *, held, initial_timeout_s,
    more,
):  # fmt: skip
    """Forward events until the stream is complete.

    Raises
    ------
    AttemptFailed
        If the stream breaks off or stays silent.
    """
    splitter = EventSplitter()
    engine = call.service.engine or DEFAULT_ENGINE
    event_timeout_s = initial_timeout_s
    channel = attempt.channel
    while True:
        try:
            data = await channel.wait_for(channel.next_chunk, event_timeout_s, more)
        except ChannelError as broken:
            raise make_failure(broken, attempt.channel) from broken
        if data is None:
            break
        stream_attempt.at_s = read_clock()
        relay.failure_detector.hear(stream_attempt.replica, now_s=stream_attempt.at_s)
        if not channel.via:
            relay.paths.note_received(channel.address, now_s=stream_attempt.at_s)
        if not stream_attempt.has_data:
            stream_attempt.has_data = True
            relay.job_table.note_read(
                relay.node, stream_attempt.job_id, now_s=stream_attempt.at_s
            )
        try:
            for event in splitter.split(data):
                stream_attempt.events += 1
                if stream_attempt.events == 1:
                    note_written(relay, call)
                    note_begun(call, stream_attempt.replica)
                async with progress.write_lock:
                    await _forward_event(reply, progress, stream_attempt, event)
                # While the reading waited for the caller, the replica wasn't silent.
                stream_attempt.at_s = max(stream_attempt.at_s, reply.waited_until_s)
                pace = relay.paces.pace(
                    stream_attempt.replica, now_s=stream_attempt.at_s
                )
                event_timeout_s = SILENCE_MARGIN_S + pace * estimate_pass_s(engine, 1)
            held.count_event(channel, splitter.rest_bytes)
        except (EventTooLongError, ChannelError) as endless:
            raise AttemptFailed(
                Cause.WRONG_ANSWER, str(endless), may_have_run=True
            ) from endless
    if splitter.is_within_event:
        raise AttemptFailed(
            Cause.BROKEN, "the stream ended within an event", may_have_run=True
        )
    is_resumed = bool(progress.last_id or call.request.resume_after)
    if is_close_delimited(attempt.answer) and not (stream_attempt.events or is_resumed):
        raise AttemptFailed(
            Cause.BROKEN, "the stream ended before its first event", may_have_run=True
        )
    await check_end(relay, attempt)
    if splitter.rest:
        await reply.write(splitter.rest)


async def _forward_event(reply, progress, stream_attempt, event):
    """Forward one event unless the caller has received it already.

    Ids rise, but need not be consecutive: a number that is left out is no event that is
    missing. Whatever an answer contains arrives in the order in which it was sent.
    """
    number = event.number
    is_known = (
        number is not None
        and progress.last_number is not None
        and number <= progress.last_number
    )
    if is_known:
        return
    data = event.data
    if stream_attempt.events_forwarded == 0 and progress.last_byte:
        data = continue_stream(progress, data)
    stream_attempt.events_forwarded += 1
    stream_attempt.cancel_others()
    await reply.write(data, progress.record)
    progress.last_byte = data[-1:]
    if event.id:
        progress.last_id = event.id
        progress.last_number = number


def continue_stream(progress, data):
    """Return the first event of an answer that continues another one.

    A byte order mark stands for nothing only where a stream begins. A LF completes the
    line end of the last event, if the former answer ended between the two bytes.
    """
    data = data.removeprefix(BYTE_ORDER_MARK)
    return b"\n" + data if progress.last_byte == b"\r" else data


def record_event(relay, call, progress, started_s, ended_s):
    """Record that an event was written to the caller's connection.

    A pause is the time from the end of one write to the start of the next: the time
    that a write takes because the caller doesn't read isn't a pause of the stream.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    call : Call
        The request.
    progress : Progress
        What was forwarded so far.
    started_s, ended_s : float
        When the write began and ended.
    """
    if progress.events == 0:
        progress.first_event_s = started_s - call.request.received_s
        relay.metrics_exporter.observe(
            "first_event", progress.first_event_s, kind="stream"
        )
    else:
        pause_s = started_s - progress.forwarded_s
        if pause_s > progress.longest_pause_s:
            progress.longest_pause_s = pause_s
            progress.longest_pause_at_s = started_s - call.request.received_s
        relay.metrics_exporter.observe("pause", pause_s, kind="stream")
    progress.forwarded_s = ended_s
    progress.events += 1
