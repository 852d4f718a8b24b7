"""Run non-idempotent calls at most once: claim the key, dispatch, record the answer.

Each key is run by a background task, and requests only wait for it. The run continues
after its callers have given up, so that the answer is recorded for later retries.
"""

from dataclasses import dataclass, field
from typing import Any

import anyio

from lycheetide.bookings import (
    Claim,
    KeyMode,
    KeyStatus,
    OutcomeRecord,
    make_claim_record,
    make_outcome_record,
    make_release_record,
    resolve_claim,
)
from lycheetide.charts import load_chart
from lycheetide.metrics import get_logger
from lycheetide.node._booking_errors import (
    RETRY_AFTER_S,
    make_holder_lost_error,
    make_key_reused_error,
    make_log_unavailable_error,
)
from lycheetide.node._booking_forwarding import forward_to_issuer
from lycheetide.node._booking_keys import hash_call
from lycheetide.node._lookups import CALL_TOKENS, STALE_PERMIT_DELAY_S
from lycheetide.node._permits import (
    PermitSpec,
    acquire_permit,
    is_permit_usable,
    release_permit,
)
from lycheetide.node._state import BOOKING_STREAM, generate_id, read_clock
from lycheetide.outcomes import (
    NotRunError,
    OutcomeUnknownError,
    Reason,
    RequestError,
    RetryReason,
)
from lycheetide.peers import (
    BookingQuery,
    BookingStatus,
    PeerUnreachable,
)
from lycheetide.platformlog import LogUnavailable
from lycheetide.routing import RetryDecision, decide_retry
from lycheetide.upstreams import (
    ServiceAnswer,
    ServiceCall,
    SilenceTimer,
    UpstreamError,
    call_service,
    run_until_unneeded,
)

CHART = load_chart("booking")
LOG_RETRY_INTERVAL_S = 0.2
POLL_INTERVAL_S = 0.2
QUERY_TIMEOUT_S = 1.0
MAX_RELEASE_ATTEMPTS = 600
MAX_RECORD_ATTEMPTS = 3_000
MAX_KEPT_RUNS = 20_000
EVICTION_BATCH_SIZE = 1_000

log = get_logger("booking")


@dataclass
class BookingRun:
    """The run of one key on this node.

    Parameters
    ----------
    key : BookingKey
        The idempotency key.
    body_hash : str
        Hash of the operation and the body.
    admitted : AdmittedRequest
        The first request with this key.
    claim : Claim
        This node's claim on the key.
    state : str
        Current state in the booking state chart.
    waiters : int
        Number of requests that wait for the result.
    claim_sent : bool
        Whether the claim may be on the log.
    abandoned : bool
        Set when the last waiting request was told "not run"; nothing may be sent after
        that.
    done : anyio.Event
        Set at the end, when ``answer`` or ``error`` is available.
    answer : ServiceAnswer or None
        The answer of the service.
    error : RequestError or None
        Why there is no answer.
    is_recorded : bool
        Whether the answer is on the log.
    """

    key: Any
    body_hash: str
    admitted: Any
    claim: Any
    state: str = CHART.initial
    waiters: int = 0
    claim_sent: bool = False
    abandoned: bool = False
    done: anyio.Event = field(default_factory=anyio.Event)
    answer: ServiceAnswer | None = None
    error: RequestError | None = None
    is_recorded: bool = False

    def step(self, event):
        """Apply an event to the state chart."""
        self.state = CHART.next_state(self.state, event)


async def serve_booking(node, admitted, operation, body, key):
    """Serve a call that runs at most once, however often it is requested.

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
        The idempotency key.

    Returns
    -------
    ServiceAnswer
        The answer of the service, perhaps to an earlier request with this key.

    Raises
    ------
    RequestError
        ``NotRunError`` only if nothing was or will be sent for this key.
    """
    is_home = key.mode is KeyMode.HOME
    if is_home and key.issuer_id != node.own_id:
        return await forward_to_issuer(node, admitted, operation, body, key)
    run = node.bookings.get(key.text)
    body_hash = hash_call(operation, body)
    if run is None or _may_restart(run):
        run = _start_run(node, admitted, operation, body, key, body_hash)
    elif run.body_hash != body_hash:
        raise make_key_reused_error()
    return await _wait_for_answer(node, run, admitted)


def _may_restart(run):
    """Return whether a run ended with nothing sent, so that the key may run again."""
    return run.done.is_set() and isinstance(run.error, NotRunError)


def _start_run(node, admitted, operation, body, key, body_hash):
    """Start the run of a key in a task that outlives its callers."""
    claim = Claim(generate_id(), key.text, node.own_id, body_hash)
    run = BookingRun(key, body_hash, admitted, claim)
    node.bookings[key.text] = run
    node.tasks.start_soon(_run, node, run, operation, body)
    return run


async def _wait_for_answer(node, run, admitted):
    """Wait for the result of a run until the deadline of this request."""
    run.waiters += 1
    try:
        with anyio.CancelScope(deadline=admitted.deadline_s) as scope:
            await run.done.wait()
    finally:
        run.waiters -= 1
    if scope.cancelled_caught and not run.done.is_set():
        raise _make_deadline_error(run)
    if run.error is not None:
        raise run.error
    return run.answer


def _make_deadline_error(run):
    """Return the error for a waiting request whose deadline has passed.

    "Not run" is reported only to the last waiting request, only while nothing was
    sent, and only if this node's claim is known to be the first: before that, another
    node may have run the key. Setting ``abandoned`` prevents the run from sending
    anything later.
    """
    if run.state == "claimed" and run.waiters == 0:
        run.abandoned = True
        return NotRunError(
            Reason.DEADLINE, "the deadline has passed", retry_after_s=RETRY_AFTER_S
        )
    if run.state == "new":
        return make_log_unavailable_error()
    return OutcomeUnknownError(
        Reason.DEADLINE,
        "the service did not answer before the deadline; retry with the same key",
        retry_after_s=RETRY_AFTER_S,
        status=504,
    )


async def _run(node, run, operation, body):
    """Claim, dispatch and record; ``done`` is set even after an error."""
    try:
        if run.key.mode is KeyMode.HOME:
            run.step("no_log_needed")
            fencing_number = 0
        else:
            fencing_number = await _claim(node, run)
        if run.answer is None:
            run.answer = await _dispatch(node, run, operation, body, fencing_number)
    except RequestError as error:
        run.error = error
    except Exception:
        log.exception("A booking failed because of an internal error.")
        unsent = CHART.has_flag(run.state, "unsent")
        run.abandoned = True
        error_type = NotRunError if unsent else OutcomeUnknownError
        run.error = error_type(Reason.INTERNAL, "an error inside the node", status=500)
    finally:
        run.done.set()
    if isinstance(run.error, NotRunError) or run.state in {"new", "elsewhere"}:
        node.bookings.pop(run.key.text, None)
    if run.claim_sent and run.state in {"new", "claimed", "elsewhere"}:
        await _release_claim(node, run)
    if run.state == "recorded":
        await _record_answer(node, run)
        _evict_recorded_runs(node)


def has_pending_bookings(node):
    """Return whether a booking still runs or its answer is not on the log yet.

    If the node stopped now, the outcome of such a key would stay unknown for ever.
    """
    return any(
        not run.done.is_set() or (run.state == "recorded" and not run.is_recorded)
        for run in node.bookings.values()
    )


def _evict_recorded_runs(node):
    """Drop the oldest runs of claimed keys whose answers are on the log.

    Runs of home keys are kept: they have no claim on the log, so a key that was dropped
    could run again.
    """
    if len(node.bookings) <= MAX_KEPT_RUNS:
        return
    for text, run in list(node.bookings.items())[:EVICTION_BATCH_SIZE]:
        if run.key.mode is KeyMode.CLAIMED and run.is_recorded:
            del node.bookings[text]


async def _claim(node, run):
    """Claim the key on the log, or get the answer of the node that claimed it.

    Returns
    -------
    int
        The fencing number; 0 with ``run.answer`` set if the key was already answered.
    """
    while True:
        _check_not_abandoned(run)
        decision = await _submit_claim(node, run)
        key_status = decision.key_status if decision is not None else None
        if key_status is KeyStatus.MINE:
            run.step("claimed")
            return decision.fencing_number
        if key_status is KeyStatus.RECORDED:
            run.step("lost")
            run.answer = ServiceAnswer(decision.outcome.status, decision.outcome.body)
            return 0
        if key_status is KeyStatus.EXPIRED:
            run.step("lost")
            raise OutcomeUnknownError(
                Reason.KEY_EXPIRED,
                "the log no longer retains the first records of this key",
                status=410,
            )
        if key_status is KeyStatus.OTHER_BODY:
            run.step("lost")
            raise make_key_reused_error()
        if key_status is KeyStatus.ELSEWHERE:
            await _query_holder(node, run, decision.holder_id)
            if run.answer is not None:
                return 0
            await anyio.sleep(POLL_INTERVAL_S)
            continue
        await anyio.sleep(LOG_RETRY_INTERVAL_S)


def _check_not_abandoned(run):
    """Raise if callers were told that nothing ran, or if the deadline has passed."""
    if not run.abandoned and read_clock() < run.admitted.deadline_s:
        return
    run.abandoned = True
    if run.state == "new":
        raise make_log_unavailable_error()
    raise NotRunError(
        Reason.DEADLINE, "the deadline has passed", retry_after_s=RETRY_AFTER_S
    )


async def _submit_claim(node, run):
    """Append the claim and evaluate the key's records; None if they can't be read.

    A claim whose append got no answer may be on the log or may still arrive there. So
    it is looked up by its id and, if it is missing, appended again with the same id.
    """
    run.claim_sent = True
    try:
        await node.booking_writer.append(make_claim_record(run.claim))
    except LogUnavailable:
        node.counters.add("claims.answer_lost")
    try:
        batch = await node.log.read_all(BOOKING_STREAM, run.key.issue_offset)
    except LogUnavailable:
        return None
    if run.key.issue_offset > batch.next_offset:
        run.step("lost")
        raise NotRunError(
            Reason.KEY_AHEAD,
            "the key's issue offset is beyond the end of the log",
            status=400,
        )
    return resolve_claim(
        batch.records,
        run.claim,
        issue_offset=run.key.issue_offset,
        first_retained=batch.first_retained,
    )


async def _query_holder(node, run, holder_id):
    """Query the status of the key from the node whose claim is valid."""
    member = node.membership.view.find(holder_id)
    if member is None:
        last_evidence = node.membership.evidence.get(holder_id)
        member = last_evidence.row.member if last_evidence is not None else None
    if member is None:
        run.step("lost")
        raise make_holder_lost_error()
    try:
        reply = await node.peers.call(
            member.peer_address,
            "query_booking",
            BookingQuery(holder_id, run.key.text),
            timeout_s=QUERY_TIMEOUT_S,
        )
    except PeerUnreachable:
        node.counters.add("bookings.holder_unreached")
        return
    if reply.status is BookingStatus.ANSWERED:
        run.step("lost")
        run.answer = ServiceAnswer(reply.http_status, reply.body)
    elif reply.status is BookingStatus.UNKNOWN:
        run.step("lost")
        raise make_holder_lost_error()


async def _dispatch(node, run, operation, body, fencing_number):
    """Get a permit and send the call.

    Only a call that a replica refused without starting it is sent again.
    """
    avoid: list[str] = []
    attempts = 0
    while True:
        spec = PermitSpec(
            run.admitted, operation.service, CALL_TOKENS, CALL_TOKENS,
            avoid=tuple(avoid),
        )  # fmt: skip
        with anyio.CancelScope(deadline=run.admitted.deadline_s) as scope:
            held, asked_s = await acquire_permit(node, spec)
        if scope.cancelled_caught:
            _check_not_abandoned(run)
        try:
            if not is_permit_usable(node, held, asked_s):
                node.counters.add_retry(RetryReason.PERMIT_STALE)
                release_permit(node, held)
                await anyio.sleep(STALE_PERMIT_DELAY_S)
                continue
            # There is no await between this check and sending, so no caller can be told
            # "not run" in between.
            _check_not_abandoned(run)
            run.step("dispatched")
            return await _send(node, run, held, operation, body, fencing_number)
        except UpstreamError as error:
            attempts += 1
            avoid.extend(held.permit.replicas)
            _handle_upstream_error(node, run, error, attempts)
        finally:
            release_permit(node, held)


async def _send(node, run, held, operation, body, fencing_number):
    """Send the call; it is cancelled for silence only if no request waits for it.

    No other attempt may follow, so cancelling the call would only lose its answer and
    leave the outcome of the key unknown.
    """
    name = held.permit.replicas[0]
    node.note(
        run.admitted.request_id, "The call was sent.",
        upstream=name, fencing_number=fencing_number,
    )  # fmt: skip
    call = ServiceCall(
        run.admitted.request_id, operation.name, body, run.key.text, fencing_number
    )
    upstream = node.fleet.upstreams[name]
    silence = SilenceTimer()

    async def work():
        silence.begin(node.settings.silence_s)
        answer = await call_service(node.http, upstream, call, timeout_s=None)
        silence.end()
        return answer

    async def wait_until_unneeded():
        while run.waiters or not silence.has_expired(now_s=read_clock()):
            await anyio.sleep(POLL_INTERVAL_S)

    answer = await run_until_unneeded(work, silence, wait_until_unneeded)
    run.step("answered")
    return answer


def _handle_upstream_error(node, run, error, attempts):
    """Raise the error for the caller unless the call may be sent again."""
    if error.may_have_started:
        run.step("broke")
        raise OutcomeUnknownError(
            Reason.UPSTREAM_BROKE,
            "the service may have run the call, but its answer was lost",
            status=504,
        ) from error
    run.step("refused_unstarted")
    now_s = read_clock()
    decision = decide_retry(
        attempts=attempts,
        may_have_started=False,
        repeatable=False,
        left_s=run.admitted.deadline_s - now_s,
        spend=lambda: node.budgets.spend_retry(run.admitted.customer, now_s=now_s),
    )
    if decision is RetryDecision.GIVE_UP:
        raise NotRunError(
            Reason.UPSTREAM_REFUSED,
            str(error),
            retry_after_s=RETRY_AFTER_S,
        ) from error
    node.counters.add_retry(RetryReason.UPSTREAM_REFUSED)


async def _release_claim(node, run):
    """Release the claim on the log, so that another node may run the key."""
    if run.state == "claimed":
        run.step("released")
    for _ in range(MAX_RELEASE_ATTEMPTS):
        try:
            await node.booking_writer.append(make_release_record(run.claim))
            return
        except LogUnavailable:
            await anyio.sleep(LOG_RETRY_INTERVAL_S)


async def _record_answer(node, run):
    """Record the answer on the log for retries after this node has stopped."""
    outcome = OutcomeRecord(
        run.key.text, run.claim.claim_id, run.body_hash, run.answer.status,
        run.answer.body,
    )  # fmt: skip
    for _ in range(MAX_RECORD_ATTEMPTS):
        try:
            await node.booking_writer.append(make_outcome_record(outcome))
            run.is_recorded = True
            return
        except LogUnavailable:
            await anyio.sleep(LOG_RETRY_INTERVAL_S)
