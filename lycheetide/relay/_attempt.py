"""Send a request to one replica and read the head of its answer."""

from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

from lycheetide.board import Ended, Part, Started, make_job, make_sent_ms
from lycheetide.exchange import Answer
from lycheetide.httpclient import ChannelBroken, ConnectFailed, count_kept
from lycheetide.placement import Placement
from lycheetide.relay._call import find_urgency
from lycheetide.relay._evidence import note_answer, suspect
from lycheetide.relay._outcomes import AttemptFailed, Cause
from lycheetide.relay._retries import spend_retry
from lycheetide.relay._state import read_clock

CONNECT_S = 0.4
"""How long a connection may take: a hundred round trips between failure domains."""
LATE_START_S = 0.05
"""A request that goes out so much later than it was announced is announced again: the
others count it for a second from when they hear of it."""
JOB_SLACK_S = 1.0
"""How long after its deadline a request is taken for ended if nobody says so."""


@dataclass
class Attempt:
    """A request at one replica, with its answer's head read."""

    channel: Any
    answer: Answer
    placement: Placement


def make_parts(call, placement):
    """Return what a request costs at each replica that takes part."""
    read_s = placement.part_read_s
    held = sum(share.tokens for share in placement.holders)
    parts = [Part(placement.first.id, read_s, call.size.tokens - held, True)]
    parts += [
        Part(share.replica.id, read_s, share.tokens, False)
        for share in placement.holders
    ]
    parts += [Part(helper.id, read_s, 0, False) for helper in placement.helpers]
    return tuple(parts)


@asynccontextmanager
async def announced(relay, call, placement):
    """Tell all nodes of an attempt while it lasts.

    Yields
    ------
    str
        Its name.
    """
    now_s = read_clock()
    lasts_s = max(0.0, call.left_s(now_s=now_s)) + JOB_SLACK_S
    job_id = relay.next_job()
    due_s = call.request.received_s + call.route.target_latency_s
    started = Started(
        relay.node,
        job_id,
        make_parts(call, placement),
        lasts_ms=round(lasts_s * 1e3),
        due_in_ms=round((due_s - now_s) * 1e3),
        gap_ms=round(call.route.target_gap_s * 1e3),
        weight_hundredths=round(call.size.weight * 100),
        sent_ms=make_sent_ms(now_s),
    )
    relay.board.start(make_job(started, now_s=now_s), now_s=now_s)
    relay.tell_work(started)
    try:
        yield job_id
    finally:
        relay.board.end(relay.node, job_id, now_s=read_clock())
        relay.tell_work(Ended(relay.node, job_id))


def announce_start(relay, replica, *, now_s):
    """Tell all nodes of a sending that they wouldn't count in its second.

    It is told as a request that asks nothing of the replica and has ended.
    """
    job_id = relay.next_job()
    started = Started(
        relay.node,
        job_id,
        (Part(replica, 0.0),),
        lasts_ms=0,
        sent_ms=make_sent_ms(now_s),
    )
    relay.board.start(make_job(started, now_s=now_s), now_s=now_s)
    relay.board.end(relay.node, job_id, now_s=now_s)
    relay.tell_work(started)
    relay.tell_work(Ended(relay.node, job_id))


@asynccontextmanager
async def open_attempt(
    relay, call, placement, *, head_s, more=None, tickets=(), resume_after=b""
):
    """Send a request and read the head of its answer.

    Parameters
    ----------
    relay : RelayState
        This node.
    call : Call
        The request.
    placement : Placement
        Where it goes.
    head_s : float
        How long the head may take.
    more : callable or None
        Tells how much longer it may take then.
    tickets : sequence of (str, str)
        Addresses that hold its memory, each with its ticket.
    resume_after : bytes
        The last event that the caller has.

    Yields
    ------
    Attempt

    Raises
    ------
    AttemptFailed
        If there was no head of an answer to this request.
    """
    first = placement.first
    outgoing = relay.adapter.encode_attempt(
        call.request,
        call.body,
        replica=relay.replicas.replicas[first.id].entry,
        customer=call.customer.name if call.customer else "",
        left_s=call.left_s(now_s=read_clock()),
        helpers=(
            *tickets,
            *((one.address, "") for one in placement.helpers),
        ),
        urgency=find_urgency(call),
        resume_after=resume_after or call.request.resume_after,
    )
    channel, head = await exchange_head(
        relay, call, first, outgoing, head_s=head_s, more=more
    )
    whole = False
    try:
        answer = relay.adapter.decode_answer(head)
        note_answer(relay, first.id, answer)
        check_answer(call, answer)
        attempt = Attempt(channel, answer, placement)
        yield attempt
        whole = channel.is_reusable and not _closes(answer)
    finally:
        if whole:
            now_s = read_clock()
            nodes = len(relay.living_nodes(now_s=now_s))
            most = count_kept(call.service.max_connections, nodes)
            await relay.pool.give_back(channel, now_s=now_s, most=most)
        else:
            await channel.aclose()


async def exchange_head(relay, call, first, outgoing, *, head_s, more):
    """Send a request to a replica; return the connection and the answer's head.

    A replica may close a kept connection at any moment, and what crosses that is reset.
    It has nearly always not been read, and the replica is sound; so what may be
    repeated is sent there once more, on a new connection. Otherwise two closed
    connections would use up a request's attempts.

    Raises
    ------
    AttemptFailed
        If there is none.
    """
    is_fresh = not call.route.is_repeatable
    is_counted = False
    announced_s = read_clock()
    while True:
        relay.note_placed(first.id)
        try:
            channel = await connect(relay, call, first, is_fresh=is_fresh)
        finally:
            relay.note_settled(first.id)
        if not is_counted:
            # A replica that can't be reached uses up no attempt.
            call.sent += 1
            call.has_retry = False
            is_counted = True
        is_kept = channel.served > 0
        try:
            now_s = read_clock()
            relay.note_start(first.id, now_s=now_s)
            if now_s - announced_s > LATE_START_S:
                announce_start(relay, first.id, now_s=now_s)
            announced_s = float("-inf")
            head = await channel.request(outgoing, timeout_s=head_s, more=more)
            return channel, head
        except BaseException as error:
            await channel.aclose()
            if not isinstance(error, ChannelBroken):
                raise
            failure = make_failure(error, is_written=channel.is_written)
            call.may_have_run = call.may_have_run or failure.may_have_run
            if not is_kept or error.is_silent or not spend_retry(relay, call):
                raise failure from error
        is_fresh = True
        await relay.pool.forget(first.address)
        relay.counters.add("retries.kept_connection")
        relay.log.info(
            "A kept connection was closed; the request goes out on a new one.",
            extra={"request": call.request.attempt_id, "replica": first.id},
        )


async def connect(relay, call, first, *, is_fresh):
    """Return a connection to a replica.

    Raises
    ------
    AttemptFailed
        If none can be opened.
    """
    try:
        return await relay.pool.open(
            first.address, timeout_s=CONNECT_S, now_s=read_clock(), fresh=is_fresh
        )
    except ConnectFailed as error:
        suspect(relay, first.id, "no connection")
        raise AttemptFailed(
            Cause.CONNECT_FAILED, str(error), may_have_run=call.may_have_run
        ) from error


def make_failure(broken, *, is_written):
    """Return how an attempt failed whose connection broke."""
    cause = Cause.SILENT if broken.is_silent else Cause.BROKEN
    return AttemptFailed(cause, str(broken), may_have_run=is_written)


def _closes(answer):
    """Tell whether the replica closes the connection behind its answer."""
    return any(
        name == b"connection" and b"close" in value.lower()
        for name, value in answer.headers
    )


def check_answer(call, answer):
    """Check that a head answers this request.

    Raises
    ------
    AttemptFailed
        If it is another's answer, a refusal, or none that the replica vouches for.
    """
    if answer.is_unstarted:
        cause = Cause.OTHER_REPLICA if answer.is_other_replica else Cause.REFUSED
        raise AttemptFailed(
            cause,
            f"status {answer.status}",
            may_have_run=False,
            names_helper=bool(answer.at_fault),
        )
    if answer.attempt_id != call.request.attempt_id:
        raise AttemptFailed(
            Cause.WRONG_ANSWER,
            f"got the answer to {answer.attempt_id!r}",
            may_have_run=True,
        )
    if not answer.is_sealed or answer.is_encoded:
        raise AttemptFailed(
            Cause.WRONG_ANSWER, "not the replica's own bytes", may_have_run=True
        )
