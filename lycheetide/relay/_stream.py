"""Serve a stream: whole events, at once, and on from where a replica broke off."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from lycheetide.httpclient import ChannelBroken
from lycheetide.placement import CALLER_WAITS_S, pass_s
from lycheetide.relay._attempt import announced, make_failure, open_attempt
from lycheetide.relay._events import EventSplitter
from lycheetide.relay._evidence import note_failure
from lycheetide.relay._outcomes import AttemptFailed, Cause, StreamCut
from lycheetide.relay._patience import EVENT_NEEDS_S, SILENCE_S, make_stream_patience
from lycheetide.relay._place import choose, find_place_wait_s, make_refusal
from lycheetide.relay._race import Race
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
    writing : anyio.Lock
        Held while something is passed on, since attempts may run side by side.
    """

    last_id: bytes = b""
    last_number: int | None = None
    events: int = 0
    passed_s: float = 0.0
    first_s: float = 0.0
    longest_pause_s: float = 0.0
    longest_pause_at_s: float = 0.0
    writing: anyio.Lock = field(default_factory=anyio.Lock)


@dataclass
class Listener:
    """One attempt at a stream, as far as it has come.

    Parameters
    ----------
    replica : str
        Where it was sent.
    job_id : str
        Its name among the attempts of all nodes.
    at_s : float
        When something last came.
    is_read : bool
        Whether an event came.
    lead : callable
        Ends the attempts beside it.
    """

    replica: str
    job_id: str
    at_s: float
    lead: Callable[[], None]
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

    async def make_attempt(race, scope):
        await run_attempt(relay, call, reply, progress, race, scope)

    while True:
        failure = await Race(make_attempt).run()
        if failure is None:
            return
        if isinstance(failure, AttemptFailed) and may_try_again(
            relay, call, needs_s=EVENT_NEEDS_S
        ):
            relay.counters.add(f"retries.{failure.cause}")
            continue
        if reply.is_started:
            raise StreamCut(str(failure))
        if isinstance(failure, AttemptFailed):
            raise make_refusal(call, failure.cause, message=str(failure))
        raise failure


async def run_attempt(relay, call, reply, progress, race, scope):
    """Send a call to one replica and pass on what comes.

    Raises
    ------
    AttemptFailed
        If the answer isn't whole.
    Refusal
        If there is no place for it.
    """
    # Beside another attempt there is no need to wait for a place: that one goes on.
    wait_s = find_place_wait_s(call) if race.is_alone else 0.0
    try:
        async with hold_memory(relay, call, wait_s=wait_s) as memory:
            placement = memory.placement or await choose(relay, call, wait_s=wait_s)
            call.tried.add(placement.first.id)
            try:
                async with announced(relay, call, placement) as job_id:
                    listener = Listener(
                        placement.first.id, job_id, read_clock(),
                        lead=lambda: race.lead(scope),
                    )  # fmt: skip
                    more = make_stream_patience(relay, call, listener, race)
                    log_placement(relay, call, placement, memory)
                    await _pass_stream(
                        relay,
                        call,
                        reply,
                        progress,
                        listener,
                        placement,
                        tickets=memory.tickets,
                        more=more,
                    )
            except AttemptFailed as failure:
                note_failure(relay, call, placement, failure)
                raise
    except NoMemory as error:
        raise make_refusal(call, Cause.NO_MEMORY, message=str(error)) from None


async def _pass_stream(
    relay, call, reply, progress, listener, placement, *, tickets, more
):
    """Pass one replica's events on."""
    first_s = SILENCE_S + 2 * placement.expected_s
    async with open_attempt(
        relay, call, placement, head_s=first_s, more=more,
        tickets=tickets, resume_after=progress.last_id,
    ) as attempt:  # fmt: skip
        call.may_have_run = True
        if attempt.answer.status != 200:
            await _pass_other(relay, call, reply, attempt, listener)
            return
        await _pass_head(relay, call, reply, progress, attempt)
        await _pass_events(
            relay, call, reply, progress, listener, attempt, first_s=first_s, more=more
        )
        listener.lead()
        await reply.end()


async def _pass_head(relay, call, reply, progress, attempt):
    """Pass the head of the first replica's answer on."""
    async with progress.writing:
        if reply.is_started:
            return
        headers = relay.adapter.relayed_headers(attempt.answer.headers)
        call.is_begun = True
        await reply.start(200, headers)


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


async def _pass_other(relay, call, reply, attempt, listener):
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
    listener.lead()
    await reply.give(attempt.answer.status, headers, body)


async def _pass_events(
    relay, call, reply, progress, listener, attempt, *, first_s, more
):
    """Pass events on until the stream is complete.

    Raises
    ------
    AttemptFailed
        If it breaks off or stays silent.
    """
    splitter = EventSplitter()
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
        listener.at_s = read_clock()
        relay.trust.hear(listener.replica, now_s=listener.at_s)
        if not listener.is_read:
            listener.is_read = True
            relay.board.note_read(relay.node, listener.job_id, now_s=listener.at_s)
        for event in splitter.split(data):
            async with progress.writing:
                await _pass_event(relay, call, reply, progress, listener, event)
            quiet_s = SILENCE_S + pass_s(engine, 1)
    if splitter.rest.strip():
        raise AttemptFailed(Cause.BROKEN, "ended within an event", may_have_run=True)


async def _pass_event(relay, call, reply, progress, listener, event):
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
    listener.lead()
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
