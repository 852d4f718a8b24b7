"""Forward bookings whose key another node issued during an outage of the log.

Such a home key has no claim on the log, so only the node that issued it may run it.
"""

import anyio

from lycheetide.bookings import Claim, KeyStatus, resolve_claim
from lycheetide.node._booking_errors import (
    make_holder_lost_error,
    make_key_reused_error,
)
from lycheetide.node._booking_keys import hash_call
from lycheetide.node._state import BOOKING_STREAM, read_clock
from lycheetide.outcomes import NotRunError, OutcomeUnknownError, Reason
from lycheetide.peers import BookingStatus, PeerUnreachable, RunBookingRequest
from lycheetide.platformlog import LogUnavailable
from lycheetide.upstreams import ServiceAnswer

POLL_INTERVAL_S = 0.2
QUERY_TIMEOUT_S = 1.0


async def forward_to_issuer(node, admitted, operation, body, key):
    """Forward a call to the node that issued its home key.

    No other node may ever run the key.

    If the issuer can no longer be reached, the recorded answer is read from the log.

    Parameters
    ----------
    node : NodeState
        This node.
    admitted : AdmittedRequest
        The request.
    operation : Operation
        The operation to call.
    body : bytes
        Body of the request.
    key : BookingKey
        A key of mode ``KeyMode.HOME`` that another node issued.

    Returns
    -------
    ServiceAnswer
        The answer of the service.

    Raises
    ------
    RequestError
        The issuer's error, or ``OutcomeUnknownError`` if the issuer is gone and the log
        has no answer.
    """
    member = node.membership.view.find(key.issuer_id)
    if member is None:
        last_evidence = node.membership.evidence.get(key.issuer_id)
        member = last_evidence.row.member if last_evidence is not None else None
    while member is not None and read_clock() < admitted.deadline_s:
        try:
            reply = await _call_issuer(node, member, admitted, operation, body, key)
        except PeerUnreachable:
            node.counters.add("bookings.home_unreached")
            await anyio.sleep(POLL_INTERVAL_S)
            if node.membership.view.find(key.issuer_id) is None:
                break
            continue
        return parse_reply(reply)
    return await _find_recorded_answer(node, key, hash_call(operation, body))


async def _call_issuer(node, member, admitted, operation, body, key):
    """Send the call to the issuer of the key."""
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
        member.peer_address, "run_booking", request, timeout_s=left_s + QUERY_TIMEOUT_S
    )


async def _find_recorded_answer(node, key, body_hash):
    """Return the answer recorded on the log; without one, the outcome is unknown."""
    claim = Claim("", key.text, "", body_hash)
    try:
        batch = await node.log.read_all(BOOKING_STREAM, key.issue_offset)
    except LogUnavailable:
        raise make_holder_lost_error() from None
    decision = resolve_claim(
        batch.records,
        claim,
        issue_offset=key.issue_offset,
        first_retained=batch.first_retained,
    )
    if decision.key_status is KeyStatus.RECORDED:
        return ServiceAnswer(decision.outcome.status, decision.outcome.body)
    if decision.key_status is KeyStatus.OTHER_BODY:
        raise make_key_reused_error()
    raise make_holder_lost_error()


def parse_reply(reply):
    """Convert another node's reply to an answer, or raise the error it reports."""
    if reply.status is BookingStatus.ANSWERED:
        return ServiceAnswer(reply.http_status, reply.body)
    error_type = (
        NotRunError if reply.status is BookingStatus.NOT_RUN else OutcomeUnknownError
    )
    raise error_type(
        Reason(reply.reason),
        reply.message,
        retry_after_s=reply.retry_after_ms / 1000 or None,
        status=reply.http_status or 503,
    )
