"""Handle calls of other nodes that query or forward bookings."""

from lycheetide.bookings import parse_key
from lycheetide.node._booking_errors import (
    make_holder_lost_error,
    make_refused_key_error,
)
from lycheetide.node._bookings import serve_booking
from lycheetide.node._state import read_clock
from lycheetide.outcomes import NotRunError, Reason, RequestError
from lycheetide.peers import BookingReply, BookingStatus
from lycheetide.routing import AdmittedRequest


async def query_booking(node, request):
    """Report the status of a key that this node has claimed."""
    if request.member_id != node.own_id:
        return BookingReply(BookingStatus.UNKNOWN)
    run = node.bookings.get(request.key)
    if run is None:
        # The run was dropped before anything was sent; its release is being appended.
        return BookingReply(BookingStatus.NOT_RUN)
    return make_reply(run)


def make_reply(run):
    """Return the status of a run as a reply."""
    if not run.done.is_set():
        return BookingReply(BookingStatus.RUNNING, run.body_hash)
    if run.answer is not None:
        return BookingReply(
            BookingStatus.ANSWERED, run.body_hash, run.answer.status, run.answer.body
        )
    return make_error_reply(run.error)


def make_error_reply(error):
    """Convert an error to a reply."""
    not_run = isinstance(error, NotRunError)
    return BookingReply(
        BookingStatus.NOT_RUN if not_run else BookingStatus.UNKNOWN,
        http_status=error.status,
        reason=error.reason,
        message=error.message,
        retry_after_ms=int((error.retry_after_s or 0) * 1000),
    )


async def run_booking(node, request):
    """Run a home key of this node for another node that received the request."""
    if request.member_id != node.own_id:
        return make_error_reply(make_holder_lost_error())
    operation = node.fleet.operations.get(f"{request.service}/{request.operation}")
    customer = node.fleet.customers.get(request.customer)
    request_class = node.fleet.classes.get(request.request_class)
    if operation is None or customer is None or request_class is None:
        error = NotRunError(
            Reason.NOT_READY,
            "this node's configuration lacks the operation, customer or request class",
            retry_after_s=1.0,
        )
        return make_error_reply(make_refused_key_error(error))
    now_s = read_clock()
    admitted = AdmittedRequest(
        request.request_id, customer, request_class, now_s,
        now_s + request.left_ms / 1000,
    )  # fmt: skip
    try:
        key = parse_key(request.key)
        answer = await serve_booking(node, admitted, operation, request.body, key)
    except RequestError as error:
        return make_error_reply(error)
    return BookingReply(
        BookingStatus.ANSWERED, http_status=answer.status, body=answer.body
    )
