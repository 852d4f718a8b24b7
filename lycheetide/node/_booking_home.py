"""Bookings whose key another node issued during an outage of the log."""

import anyio

from lycheetide.bookings import Claim, Standing, decide
from lycheetide.node._booking_errors import holder_gone, other_body
from lycheetide.node._booking_keys import hash_call
from lycheetide.node._state import BOOKING_STREAM, read_clock
from lycheetide.outcomes import NotRun, OutcomeUnknown, Reason
from lycheetide.peers import BookingStatus, PeerUnreached, RunBookingRequest
from lycheetide.platformlog import LogUnavailable
from lycheetide.upstreams import ServiceAnswer

POLL_S = 0.2
QUERY_S = 1.0


async def serve_at_home(node, admitted, operation, body, key):
    """Have the node that issued a home key run it; no other ever may."""
    member = node.membership.view.find(key.issuer_id)
    if member is None:
        known = node.membership.evidence.get(key.issuer_id)
        member = known.row.member if known is not None else None
    while member is not None and read_clock() < admitted.deadline_s:
        try:
            reply = await _call_home(node, member, admitted, operation, body, key)
        except PeerUnreached:
            node.counters.add("bookings.home_unreached")
            await anyio.sleep(POLL_S)
            if node.membership.view.find(key.issuer_id) is None:
                break
            continue
        return read_reply(reply)
    return await _find_recorded(node, key, hash_call(operation, body))


async def _call_home(node, member, admitted, operation, body, key):
    """Pass the call to the key's issuer."""
    left_s = max(0.001, admitted.deadline_s - read_clock())
    request = RunBookingRequest(
        member_id=key.issuer_id,
        key=key.text,
        customer=admitted.customer.name,
        service=operation.service,
        operation=operation.name,
        request_class=admitted.request_class.name,
        request_id=admitted.request_id,
        body=body,
        left_ms=int(left_s * 1000),
    )
    return await node.peers.call(
        member.peer_address, "run_booking", request, timeout_s=left_s + QUERY_S
    )


async def _find_recorded(node, key, body_hash):
    """Look for the answer on the log; a home key without one stays unknown."""
    claim = Claim("", key.text, "", body_hash)
    try:
        batch = await node.log.read_all(BOOKING_STREAM, key.birth_offset)
    except LogUnavailable:
        raise holder_gone() from None
    decision = decide(
        batch.records,
        claim,
        birth_offset=key.birth_offset,
        first_retained=batch.first_retained,
    )
    if decision.standing is Standing.RECORDED:
        return ServiceAnswer(decision.outcome.status, decision.outcome.body)
    if decision.standing is Standing.OTHER_BODY:
        raise other_body()
    raise holder_gone()


def read_reply(reply):
    """Turn another node's reply into an answer, or raise its error."""
    if reply.status is BookingStatus.ANSWERED:
        return ServiceAnswer(reply.http_status, reply.body)
    error_type = NotRun if reply.status is BookingStatus.NOT_RUN else OutcomeUnknown
    raise error_type(
        Reason(reply.reason),
        reply.message,
        retry_after_s=reply.retry_after_ms / 1000 or None,
        status=reply.http_status or 503,
    )
