"""Serve a stream: whole events, at once, and on from where a replica broke off."""

from dataclasses import dataclass

from lycheetide.httpclient import ChannelBroken
from lycheetide.placement import CALLER_WAITS_S, pass_s
from lycheetide.relay._attempt import announced, make_failure, open_attempt
from lycheetide.relay._events import EventSplitter
from lycheetide.relay._evidence import note_failure
from lycheetide.relay._outcomes import AttemptFailed, Cause, Refusal, StreamCut
from lycheetide.relay._patience import AGAIN_S, SILENCE_S, make_stream_patience
from lycheetide.relay._place import choose, make_refusal
from lycheetide.relay._retries import may_try_again
from lycheetide.relay._state import read_clock
from lycheetide.relay._tickets import NoMemory, hold_memory
from lycheetide.routes import ANY_ENGINE


@dataclass
class Progress:
    """How far a stream has come.

    Parameters
    ----------
    last_id : bytes
        Id of the last event that was passed on.
    last_number : int or None
        The same as a number.
    at_s : float
        When something last came from the present replica.
    events : int
        Events passed on.
    passed_s : float
        When the last of them was.
    first_s : float
        Time from the request to the first of them.
    longest_pause_s : float
        Longest time between two of them.
    longest_pause_at_s : float
        When it ended, from when the request came.
    job_id : str
        The name of the present attempt.
    is_read : bool
        Whether the present replica has sent an event.
    """

    last_id: bytes = b""
    last_number: int | None = None
    at_s: float = 0.0
    events: int = 0
    passed_s: float = 0.0
    first_s: float = 0.0
    longest_pause_s: float = 0.0
    longest_pause_at_s: float = 0.0
    job_id: str = ""
    is_read: bool = False


async def serve_stream(relay, call, reply):
    """Bring a call its stream.

    Raises
    ------
    Refusal
        If nothing of an answer came.
    StreamCut
        If it broke off after a part was written and can't go on.
    """
    progress = Progress()
    try:
        await _keep_trying(relay, call, reply, progress)
    finally:
        reply.note(
            events=progress.events,
            first_ms=round(progress.first_s * 1e3),
            longest_pause_ms=round(progress.longest_pause_s * 1e3),
            longest_pause_at_ms=round(progress.longest_pause_at_s * 1e3),
        )


async def _keep_trying(relay, call, reply, progress):
    """Send a call to replicas until its stream is complete."""
    while True:
        try:
            await run_attempt(relay, call, reply, progress)
            return
        except AttemptFailed as failure:
            if not may_try_again(relay, call, needs_s=AGAIN_S):
                if reply.is_started:
                    raise StreamCut(str(failure)) from None
                raise make_refusal(call, failure.cause, message=str(failure)) from None
            relay.counters.add(f"retries.{failure.cause}")
        except Refusal as refusal:
            if reply.is_started:
                raise StreamCut(str(refusal)) from None
            raise


async def run_attempt(relay, call, reply, progress):
    """Send a call to one replica and pass on what comes.

    Raises
    ------
    AttemptFailed
        If the answer isn't whole.
    """
    try:
        async with hold_memory(relay, call) as memory:
            placement = memory.placement or await choose(relay, call)
            call.tried.add(placement.first.id)
            try:
                async with announced(relay, call, placement) as progress.job_id:
                    await _pass_stream(relay, call, reply, progress, placement, memory)
            except AttemptFailed as failure:
                note_failure(relay, call, placement, failure)
                raise
    except NoMemory as error:
        raise make_refusal(call, Cause.NO_MEMORY, message=str(error)) from None


async def _pass_stream(relay, call, reply, progress, placement, memory):
    """Pass one replica's events on."""
    log_placement(relay, call, placement, memory)
    progress.at_s = read_clock()
    progress.is_read = False
    first_s = SILENCE_S + 2 * placement.expected_s
    more = make_stream_patience(relay, call, progress, placement.first.id)
    async with open_attempt(
        relay, call, placement, head_s=first_s, more=more,
        tickets=memory.tickets, resume_after=progress.last_id,
    ) as attempt:  # fmt: skip
        call.may_have_run = True
        if attempt.answer.status != 200:
            await _pass_other(relay, call, reply, attempt)
            return
        if not reply.is_started:
            headers = relay.adapter.relayed_headers(attempt.answer.headers)
            await reply.start(200, headers)
            call.is_begun = True
        await _pass_events(
            relay, call, reply, progress, attempt, first_s=first_s, more=more
        )
        await reply.end()


def log_placement(relay, call, placement, memory):
    """Log where a prompt goes and what decided it."""
    relay.log.info(
        "A prompt is placed.",
        extra={
            "request": call.request.attempt_id,
            "replica": placement.first.id,
            "readers": list_readers(placement),
            "part_ms": round(placement.part_read_s * 1e3),
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
    """Return the other replicas that read a part of a prompt, holders first."""
    holders = [share.replica.id for share in placement.holders]
    return holders + [helper.id for helper in placement.helpers]


async def _pass_other(relay, call, reply, attempt):
    """Pass on a replica's answer that is no stream."""
    try:
        body = await attempt.channel.read_all(timeout_s=CALLER_WAITS_S)
    except ChannelBroken as broken:
        raise make_failure(broken, is_written=True) from broken
    if reply.is_started or attempt.answer.status >= 500:
        raise AttemptFailed(
            Cause.UPSTREAM_ERROR,
            f"status {attempt.answer.status}",
            may_have_run=True,
        )
    headers = relay.adapter.relayed_headers(attempt.answer.headers)
    await reply.give(attempt.answer.status, headers, body)


async def _pass_events(relay, call, reply, progress, attempt, *, first_s, more):
    """Pass events on until the stream is complete.

    Raises
    ------
    AttemptFailed
        If it breaks off or stays silent.
    """
    splitter = EventSplitter()
    replica = attempt.placement.first.id
    engine = call.service.engine or ANY_ENGINE
    quiet_s = first_s
    channel = attempt.channel
    while True:
        try:
            data = await channel.wait_for(channel.next_chunk, quiet_s, more)
        except ChannelBroken as broken:
            raise make_failure(broken, is_written=True) from broken
        if data is None:
            break
        progress.at_s = read_clock()
        relay.trust.hear(replica, now_s=progress.at_s)
        if not progress.is_read:
            progress.is_read = True
            relay.board.note_read(relay.node, progress.job_id, now_s=progress.at_s)
        for event in splitter.split(data):
            await _pass_event(relay, call, reply, progress, event)
            quiet_s = SILENCE_S + pass_s(engine, 1)
    if splitter.rest.strip():
        raise AttemptFailed(Cause.BROKEN, "ended within an event", may_have_run=True)


async def _pass_event(relay, call, reply, progress, event):
    """Pass one event on unless the caller has it.

    Raises
    ------
    AttemptFailed
        If events before it are missing.
    """
    number = event.number
    if number is not None and progress.last_number is not None:
        if number <= progress.last_number:
            return
        if number > progress.last_number + 1:
            raise AttemptFailed(
                Cause.WRONG_ANSWER,
                f"event {number} follows {progress.last_number}",
                may_have_run=True,
            )
    await reply.write(event.data)
    now_s = read_clock()
    if progress.events == 0:
        progress.first_s = now_s - call.request.received_s
        relay.exposition.observe("first_event", progress.first_s, kind="stream")
    else:
        pause_s = now_s - progress.passed_s
        if pause_s > progress.longest_pause_s:
            progress.longest_pause_s = pause_s
            progress.longest_pause_at_s = now_s - call.request.received_s
        relay.exposition.observe("pause", pause_s, kind="stream")
    progress.passed_s = now_s
    progress.events += 1
    if event.id:
        progress.last_id = event.id
        progress.last_number = number
