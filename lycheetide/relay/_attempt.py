"""Send a request to one replica and read the head of its answer."""

from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from typing import Any

from lycheetide.exchange import ReplicaResponse
from lycheetide.gossip import Ended, JobPart, Life, Started, make_job, make_sent_ms
from lycheetide.httpclient import ChannelConnectError, ChannelError, compute_idle_limit
from lycheetide.placement import Placement
from lycheetide.relay._admission import find_announced_customer, record_usage
from lycheetide.relay._call import find_admission_priority
from lycheetide.relay._crash_checks import ask_process, has_successor
from lycheetide.relay._dial import (
    CONNECT_TIMEOUT_S,
    connect_replica,
    retry_direct_path,
)
from lycheetide.relay._evidence import record_response, record_unreached
from lycheetide.relay._named_limits import may_still_send
from lycheetide.relay._outcomes import AttemptFailed, Cause
from lycheetide.relay._presence import note_sent, present
from lycheetide.relay._quarantine import (
    is_quarantined,
    is_unsettled,
    note_generation,
)
from lycheetide.relay._retries import spend_retry
from lycheetide.relay._state import make_life, read_clock
from lycheetide.relay._stop import make_stop_refusal, may_outlast_stop

LATE_SEND_S = 0.05
"""A request that is sent this much later than it was announced is announced again: the
other nodes count it for one second from when they receive the announcement."""
MIN_UNSUCCESSFUL_STATUS = 300
JOB_EXPIRY_MARGIN_S = 1.0
"""How long after its deadline a request counts as ended if its end isn't announced."""


@dataclass
class Attempt:
    """A request at one replica after the head of its answer was read."""

    channel: Any
    answer: ReplicaResponse
    placement: Placement
    life: Life


def make_parts(call, placement):
    """Return the cost of a request at each replica that takes part in it."""
    held_tokens = sum(share.tokens for share in placement.holders)
    shares = [(placement.first, call.size.tokens - held_tokens, True)]
    shares += [(share.replica, share.tokens, False) for share in placement.holders]
    shares += [(helper, 0, False) for helper in placement.helpers]
    return tuple(
        JobPart(reader.id, reader.pace * placement.part_prefill_s, kv_tokens, writes)
        for reader, kv_tokens, writes in shares
    )


@asynccontextmanager
async def announced_attempt(relay, call, placement):
    """Announce an attempt to all nodes, and its end when the context exits.

    Yields
    ------
    str
        The job id of the attempt.
    """
    now_s = read_clock()
    expires_in_s = max(0.0, call.remaining_s(now_s=now_s)) + JOB_EXPIRY_MARGIN_S
    job_id = relay.make_attempt_name()
    due_s = call.request.received_s + call.route.target_latency_s
    started = Started(
        relay.node,
        job_id,
        make_parts(call, placement),
        expires_in_ms=round(expires_in_s * 1e3),
        due_in_ms=round((due_s - now_s) * 1e3),
        gap_ms=round(call.route.target_gap_s * 1e3),
        weight_hundredths=round(call.size.weight * 100),
        sent_ms=make_sent_ms(now_s),
        customer=find_announced_customer(relay, call),
    )
    relay.job_table.start(make_job(started, now_s=now_s), now_s=now_s)
    record_usage(relay, started, now_s=now_s)
    relay.broadcast_work(started)
    try:
        yield job_id
    finally:
        relay.job_table.end(relay.node, job_id, now_s=read_clock())
        relay.broadcast_work(Ended(relay.node, job_id))


def announce_late_send(relay, replica, *, now_s):
    """Announce a late request that other nodes wouldn't count in the right second.

    The announcement is a job without cost that has ended already, so that only the
    start is counted.
    """
    job_id = relay.make_attempt_name()
    started = Started(
        relay.node,
        job_id,
        (JobPart(replica, 0.0),),
        expires_in_ms=0,
        sent_ms=make_sent_ms(now_s),
    )
    relay.job_table.start(make_job(started, now_s=now_s), now_s=now_s)
    relay.job_table.end(relay.node, job_id, now_s=now_s)
    relay.broadcast_work(started)
    relay.broadcast_work(Ended(relay.node, job_id))


@asynccontextmanager
async def open_attempt(
    relay, call, placement, *, head_timeout_s, more=None, tickets=(), resume_after=b""
):
    """Send a request and read the head of its answer.

    On exit the connection is returned to the pool if the answer was read completely,
    and closed otherwise.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    call : Call
        The request.
    placement : Placement
        The replicas that take part.
    head_timeout_s : float
        Longest time until the head arrives.
    more : callable or None
        Called after that time; returns how many more seconds to wait, 0 to give up.
    tickets : sequence of (str, str)
        Addresses that hold memory for the request, each with its ticket.
    resume_after : bytes
        Id of the last event that the caller received.

    Yields
    ------
    Attempt

    Raises
    ------
    AttemptFailed
        If no head of an answer to this request arrived.
    """
    first = placement.first
    entry = relay.replicas.replicas[first.id].entry
    outgoing = relay.adapter.encode_attempt(
        call.request,
        call.body,
        replica=entry,
        customer=call.customer.name if call.customer else "",
        left_s=call.remaining_s(now_s=read_clock()),
        helpers=(
            *tickets,
            *((one.address, "") for one in placement.helpers),
        ),
        urgency=find_admission_priority(call),
        resume_after=resume_after or call.request.resume_after,
    )
    if relay.activation.held_limit_bytes > 0:
        outgoing = replace(outgoing, joins_body=False)
    is_resumed = bool(resume_after or call.request.resume_after)
    with present(relay, call, entry, is_resumed=is_resumed):
        channel, head, sent_s = await exchange_head(
            relay, call, first, outgoing, head_timeout_s=head_timeout_s, more=more
        )
        whole = False
        try:
            answer = relay.adapter.decode_answer(head)
            if answer.attempt_id != call.request.attempt_id:
                # A late answer to some earlier request, of which the time isn't known.
                sent_s = float("-inf")
            if not channel.via:
                relay.paths.note_received(entry.address, now_s=read_clock())
            record_response(relay, entry, answer, sent_s=sent_s)
            check_answer(call, answer)
            attempt = Attempt(channel, answer, placement, make_life(entry))
            yield attempt
            whole = channel.is_reusable and not _closes_connection(answer)
        finally:
            if whole:
                await return_channel(relay, call, channel)
            else:
                await channel.aclose()


async def return_channel(relay, call, channel):
    """Return a connection to the pool."""
    now_s = read_clock()
    nodes = len(relay.list_alive_nodes(now_s=now_s))
    max_idle = compute_idle_limit(call.service.max_connections, nodes)
    await relay.pool.give_back(channel, now_s=now_s, max_idle=max_idle)


async def exchange_head(relay, call, first, outgoing, *, head_timeout_s, more):
    """Send a request to a replica and read the head of its answer.

    A replica may close a kept connection at any time; a request that crosses the close
    on the wire is reset. The replica has nearly always not read it, and is healthy, so
    a repeatable request is sent to it again on a new connection. Otherwise two closed
    connections would use up all attempts of a request.

    Returns
    -------
    channel : Channel
        The connection.
    head : ResponseHead
        The head of the answer.
    sent_s : float
        When the request was sent.

    Raises
    ------
    AttemptFailed
        If no head arrives.
    Refusal
        If this node stops before the call is sure to have ended.
    """
    is_fresh = not call.route.is_repeatable
    is_counted = False
    broken = None
    announced_s = read_clock()
    while True:
        relay.record_placed(first.id)
        try:
            channel = await connect(relay, call, first, is_fresh=is_fresh)
        except AttemptFailed as unreached:
            # The replica has ended together with the kept connection.
            raise broken or unreached from unreached
        finally:
            relay.record_placement_ended(first.id)
        held_for = find_hold_cause(relay, call, first.id, now_s=read_clock())
        if held_for is not None:
            # An unused connection in the pool would count as a new one.
            if channel.request_count > 0:
                await return_channel(relay, call, channel)
            else:
                await channel.aclose()
            raise AttemptFailed(held_for, "not sent", may_have_run=call.may_have_run)
        await check_start_before_stop(relay, call, channel)
        if not is_counted:
            # Counted only now: an unreachable replica must not use up an attempt.
            call.sent += 1
            call.has_retry = False
            is_counted = True
            note_generation(relay, call, first.id)
        is_kept = channel.request_count > 0
        call.paths[first.id] = channel.via
        try:
            now_s = read_clock()
            relay.record_sent(first.id, now_s=now_s)
            note_sent(call, first.id)
            if now_s - announced_s > LATE_SEND_S:
                announce_late_send(relay, first.id, now_s=now_s)
            announced_s = float("-inf")
            head = await channel.request(outgoing, timeout_s=head_timeout_s, more=more)
            return channel, head, now_s
        except BaseException as error:
            await channel.aclose()
            if not isinstance(error, ChannelError):
                raise
            failure = make_failure(error, channel)
            call.may_have_run = call.may_have_run or failure.may_have_run
            if not is_kept or error.is_silent or not spend_retry(relay, call):
                raise failure from error
            broken = failure
        is_fresh = True
        await relay.pool.close_idle(first.address)
        relay.counters.add("retries.kept_connection")
        relay.log.info(
            "A persistent connection was closed; the request is sent on a new one.",
            extra={"request": call.request.attempt_id, "replica": first.id},
        )


async def check_start_before_stop(relay, call, channel):
    """Check that a call that is sent for the first time ends before this node does.

    Raises
    ------
    Refusal
        If that isn't sure; the connection is closed.
    """
    if call.sent == 0 and may_outlast_stop(relay, call, now_s=read_clock()):
        await channel.aclose()
        raise make_stop_refusal(relay)


def find_hold_cause(relay, call, replica, *, now_s):
    """Return why a request may no longer be sent to the replica it was placed at.

    Returns
    -------
    Cause or None
        None if it may be sent.
    """
    if is_quarantined(relay, call):
        return Cause.QUARANTINED
    if is_unsettled(relay, call):
        return Cause.UNSETTLED
    if replica in relay.list_leaving():
        return Cause.LEAVING
    if replica in relay.list_withheld(now_s=now_s):
        return Cause.RESTING
    if not may_still_send(relay, replica, now_s=now_s):
        return Cause.LIMITED
    return None


async def connect(relay, call, first, *, is_fresh):
    """Return a connection to a replica.

    Raises
    ------
    AttemptFailed
        If no connection can be opened.
    """
    try:
        channel = await relay.pool.open(
            first.address,
            timeout_s=CONNECT_TIMEOUT_S,
            now_s=read_clock(),
            fresh=is_fresh,
            homes=call.list_homes(),
        )
    except ChannelConnectError as error:
        record_unreached(relay, first.id, error)
        raise AttemptFailed(
            Cause.CONNECT_FAILED, str(error), may_have_run=call.may_have_run
        ) from error
    if channel.via:
        retry_direct_path(relay, first.address, now_s=read_clock())
    return channel


def make_failure(broken, channel):
    """Return the failure of an attempt whose connection broke."""
    return AttemptFailed(
        Cause.SILENT if broken.is_silent else Cause.BROKEN,
        str(broken),
        may_have_run=channel.is_written,
        is_kept=channel.request_count > 1,
    )


def is_close_delimited(answer):
    """Tell whether only the end of the connection ends the body of an answer."""
    framing = {b"content-length", b"transfer-encoding"}
    return not any(name.lower() in framing for name, _ in answer.headers)


async def check_end(relay, attempt):
    """Check that an answer didn't end because its replica's process did.

    A process that ends closes its connections in an orderly way. An answer without a
    length or chunks then looks whole. The next process may listen at its address, so
    the one that listens is asked who it is.

    Raises
    ------
    AttemptFailed
        If no connection to the replica can be opened any more, if another process is at
        its address, or if it ended a success before it had the whole request.
    """
    if not is_close_delimited(attempt.answer):
        return
    channel = attempt.channel
    is_success = attempt.answer.status < MIN_UNSUCCESSFUL_STATUS
    if is_success and not channel.is_request_sent:
        raise AttemptFailed(
            Cause.BROKEN,
            "the answer ended before the request was sent",
            may_have_run=True,
        )
    try:
        another = await connect_replica(
            relay, channel.address, timeout_s=CONNECT_TIMEOUT_S, first_via=channel.via
        )
    except ChannelConnectError as error:
        # It answered a moment ago, so the replica is more likely gone than the path.
        raise AttemptFailed(
            Cause.BROKEN, "the replica ended with its answer", may_have_run=True
        ) from error
    is_alive = await ask_process(relay, attempt.life, another)
    if is_alive is False or has_successor(relay, attempt.life, channel.address):
        raise AttemptFailed(
            Cause.BROKEN,
            "another process is in place of the replica's",
            may_have_run=True,
        )


def _closes_connection(answer):
    """Tell whether the replica closes the connection after its answer."""
    return any(
        name == b"connection" and b"close" in value.lower()
        for name, value in answer.headers
    )


def check_answer(call, answer):
    """Check that the head of an answer belongs to this request.

    Raises
    ------
    AttemptFailed
        If it answers another request, refuses this one, or isn't vouched for by the
        replica.
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
            f"received the response to attempt {answer.attempt_id!r}",
            may_have_run=True,
        )
    if not answer.is_sealed or answer.is_encoded:
        raise AttemptFailed(
            Cause.WRONG_ANSWER,
            "the response lacks the replica's seal or has a content encoding",
            may_have_run=True,
        )
