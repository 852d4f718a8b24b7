"""Run calls that may not be repeated: claim, dispatch once, record the answer.

Whoever asks only waits; the run itself goes on when its callers have given up, so
that the answer is recorded for whoever asks again.
"""

from dataclasses import dataclass, field
from typing import Any

import anyio

from lycheetide.bookings import (
    Claim,
    KeyMode,
    OutcomeRecord,
    Standing,
    decide,
    make_claim_record,
    make_outcome_record,
    make_release_record,
)
from lycheetide.charts import load_chart
from lycheetide.metrics import get_log
from lycheetide.node._booking_errors import (
    RETRY_AFTER_S,
    holder_gone,
    log_out,
    other_body,
)
from lycheetide.node._booking_home import serve_at_home
from lycheetide.node._booking_keys import hash_call
from lycheetide.node._permits import Wish, get_permit, give_back, may_send
from lycheetide.node._services import CALL_TOKENS, STALE_PAUSE_S
from lycheetide.node._state import BOOKING_STREAM, draw_id, read_clock
from lycheetide.outcomes import (
    NotRun,
    OutcomeUnknown,
    Reason,
    RequestError,
    RetryReason,
)
from lycheetide.peers import (
    BookingQuery,
    BookingStatus,
    PeerUnreached,
)
from lycheetide.platformlog import LogUnavailable
from lycheetide.routing import RetryDecision, decide_retry
from lycheetide.upstreams import (
    ServiceAnswer,
    ServiceCall,
    Silence,
    UpstreamError,
    call_service,
    run_watched,
)

CHART = load_chart("booking")
LOG_RETRY_S = 0.2
POLL_S = 0.2
QUERY_S = 1.0
RELEASE_TRIES = 600
RECORD_TRIES = 3_000
LARGEST_KEPT = 20_000
FORGOTTEN_AT_ONCE = 1_000

log = get_log("booking")


@dataclass
class BookingRun:
    """One key at the node that runs it.

    Parameters
    ----------
    key : BookingKey
        The key.
    body_hash : str
        Hash of what is to run.
    admitted : Admitted
        The first request that asked for it.
    claim : Claim
        What stands on the log for it.
    life : str
        Its state in the booking chart.
    askers : int
        How many requests wait for it.
    claim_sent : bool
        Whether the claim may stand on the log.
    abandoned : bool
        Set when the last asker was told "not run"; nothing may be sent after that.
    done : anyio.Event
        Set at the end; ``answer`` or ``error`` is there then.
    is_recorded : bool
        Whether the answer stands on the log.
    """

    key: Any
    body_hash: str
    admitted: Any
    claim: Any
    life: str = CHART.initial
    askers: int = 0
    claim_sent: bool = False
    abandoned: bool = False
    done: anyio.Event = field(default_factory=anyio.Event)
    answer: ServiceAnswer | None = None
    error: RequestError | None = None
    is_recorded: bool = False

    def step(self, event):
        """Step the key's life."""
        self.life = CHART.step(self.life, event)


async def serve_booking(node, admitted, operation, body, key):
    """Serve a call that runs once at most, however often it is asked for.

    Parameters
    ----------
    node : NodeState
        This node.
    admitted : Admitted
        The request.
    operation : Operation
        What is called.
    body : bytes
        The caller's body.
    key : BookingKey
        Its key.

    Returns
    -------
    ServiceAnswer
        The service's answer, perhaps to an earlier request with this key.

    Raises
    ------
    RequestError
        ``NotRun`` only if nothing was sent for this key and nothing will be.
    """
    is_home = key.mode is KeyMode.HOME
    if is_home and key.issuer_id != node.own_id:
        return await serve_at_home(node, admitted, operation, body, key)
    run = node.bookings.get(key.text)
    body_hash = hash_call(operation, body)
    if run is None or _may_restart(run):
        run = _start(node, admitted, operation, body, key, body_hash)
    elif run.body_hash != body_hash:
        raise other_body()
    return await _wait(node, run, admitted)


def _may_restart(run):
    """Tell whether a run ended with nothing sent, so the key may be tried anew."""
    return run.done.is_set() and isinstance(run.error, NotRun)


def _start(node, admitted, operation, body, key, body_hash):
    """Begin to run a key; the run outlives its callers."""
    claim = Claim(draw_id(), key.text, node.own_id, body_hash)
    run = BookingRun(key, body_hash, admitted, claim)
    node.bookings[key.text] = run
    node.tasks.start_soon(_run, node, run, operation, body)
    return run


async def _wait(node, run, admitted):
    """Wait for a run, up to the asker's own deadline."""
    run.askers += 1
    try:
        with anyio.CancelScope(deadline=admitted.deadline_s) as scope:
            await run.done.wait()
    finally:
        run.askers -= 1
    if scope.cancelled_caught and not run.done.is_set():
        raise _give_up(run)
    if run.error is not None:
        raise run.error
    return run.answer


def _give_up(run):
    """Return the error for an asker whose time is up.

    "Not run" is said only to the last asker, only while nothing was sent, and only
    if this node's claim is known to stand first: before that, another node may have
    run the key. The mark left here keeps the run from sending anything later.
    """
    if run.life == "claimed" and run.askers == 0:
        run.abandoned = True
        return NotRun(
            Reason.DEADLINE, "the deadline has passed", retry_after_s=RETRY_AFTER_S
        )
    if run.life == "new":
        return log_out()
    return OutcomeUnknown(
        Reason.DEADLINE,
        "the service has not answered in time; ask again with the same key",
        retry_after_s=RETRY_AFTER_S,
        status=504,
    )


async def _run(node, run, operation, body):
    """Claim, send, and record; set ``done`` whatever happens."""
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
        log.exception("A booking failed inside the node.")
        unsent = CHART.has(run.life, "unsent")
        run.abandoned = True
        error_type = NotRun if unsent else OutcomeUnknown
        run.error = error_type(Reason.INTERNAL, "an error inside the node", status=500)
    finally:
        run.done.set()
    if isinstance(run.error, NotRun) or run.life in {"new", "elsewhere"}:
        node.bookings.pop(run.key.text, None)
    if run.claim_sent and run.life in {"new", "claimed", "elsewhere"}:
        await _release_claim(node, run)
    if run.life == "recorded":
        await _record(node, run)
        _forget_recorded(node)


def has_pending(node):
    """Tell whether some booking still runs, or its answer is not on the log yet.

    A node that stopped now would leave such a key unknown for ever.
    """
    return any(
        not run.done.is_set() or (run.life == "recorded" and not run.is_recorded)
        for run in node.bookings.values()
    )


def _forget_recorded(node):
    """Forget the oldest claimed keys whose answers stand on the log."""
    if len(node.bookings) <= LARGEST_KEPT:
        return
    for text, run in list(node.bookings.items())[:FORGOTTEN_AT_ONCE]:
        if run.key.mode is KeyMode.CLAIMED and run.is_recorded:
            del node.bookings[text]


async def _claim(node, run):
    """Put the claim on the log and learn what the records say.

    Returns
    -------
    int
        The fencing number; ``run.answer`` is set instead where there is one already.
    """
    while True:
        _check_not_abandoned(run)
        decision = await _read_standing(node, run)
        standing = decision.standing if decision is not None else None
        if standing is Standing.MINE:
            run.step("claimed")
            return decision.fencing_number
        if standing is Standing.RECORDED:
            run.step("lost")
            run.answer = ServiceAnswer(decision.outcome.status, decision.outcome.body)
            return 0
        if standing is Standing.EXPIRED:
            run.step("lost")
            raise OutcomeUnknown(
                Reason.KEY_EXPIRED,
                "the log no longer has the records of this key's first days",
                status=410,
            )
        if standing is Standing.OTHER_BODY:
            run.step("lost")
            raise other_body()
        if standing is Standing.ELSEWHERE:
            await _follow_holder(node, run, decision.holder_id)
            if run.answer is not None:
                return 0
            await anyio.sleep(POLL_S)
            continue
        await anyio.sleep(LOG_RETRY_S)


def _check_not_abandoned(run):
    """Stop a run whose callers were told that it has not run, or whose time is up."""
    if not run.abandoned and read_clock() < run.admitted.deadline_s:
        return
    run.abandoned = True
    if run.life == "new":
        raise log_out()
    raise NotRun(
        Reason.DEADLINE, "the deadline has passed", retry_after_s=RETRY_AFTER_S
    )


async def _read_standing(node, run):
    """Append the claim and read the key's records; None if the log is out.

    An append without an answer may stand on the log or still arrive there, so it is
    looked up by its id, and appended again with the same id where it is missing.
    """
    run.claim_sent = True
    try:
        await node.booking_writer.append(make_claim_record(run.claim))
    except LogUnavailable:
        node.counters.add("claims.answer_lost")
    try:
        batch = await node.log.read_all(BOOKING_STREAM, run.key.birth_offset)
    except LogUnavailable:
        return None
    if run.key.birth_offset > batch.next_offset:
        run.step("lost")
        raise NotRun(
            Reason.KEY_AHEAD, "the key's birth is ahead of the log", status=400
        )
    return decide(
        batch.records,
        run.claim,
        birth_offset=run.key.birth_offset,
        first_retained=batch.first_retained,
    )


async def _follow_holder(node, run, holder_id):
    """Ask the node whose claim stands what became of the key."""
    member = node.membership.view.find(holder_id)
    if member is None:
        known = node.membership.evidence.get(holder_id)
        member = known.row.member if known is not None else None
    if member is None:
        run.step("lost")
        raise holder_gone()
    try:
        reply = await node.peers.call(
            member.peer_address,
            "query_booking",
            BookingQuery(holder_id, run.key.text),
            timeout_s=QUERY_S,
        )
    except PeerUnreached:
        node.counters.add("bookings.holder_unreached")
        return
    if reply.status is BookingStatus.ANSWERED:
        run.step("lost")
        run.answer = ServiceAnswer(reply.http_status, reply.body)
    elif reply.status is BookingStatus.UNKNOWN:
        run.step("lost")
        raise holder_gone()


async def _dispatch(node, run, operation, body, fencing_number):
    """Get a permit and send the call, once."""
    avoid: list[str] = []
    attempts = 0
    while True:
        wish = Wish(
            run.admitted, operation.service, CALL_TOKENS, CALL_TOKENS,
            avoid=tuple(avoid),
        )  # fmt: skip
        with anyio.CancelScope(deadline=run.admitted.deadline_s) as scope:
            held, asked_s = await get_permit(node, wish)
        if scope.cancelled_caught:
            _check_not_abandoned(run)
        try:
            if not may_send(node, held, asked_s):
                node.counters.add_retry(RetryReason.PERMIT_STALE)
                give_back(node, held)
                await anyio.sleep(STALE_PAUSE_S)
                continue
            # No await stands between this check and the sending, so no caller can be
            # told "not run" in between.
            _check_not_abandoned(run)
            run.step("dispatched")
            return await _send(node, run, held, operation, body, fencing_number)
        except UpstreamError as error:
            attempts += 1
            avoid.extend(held.permit.replicas)
            _settle_error(node, run, error, attempts)
        finally:
            give_back(node, held)


async def _send(node, run, held, operation, body, fencing_number):
    """Send the call; a silent one ends only when nobody waits for it.

    No other may follow it, so ending it would only lose its answer, and leave the key
    unknown.
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
    silence = Silence()

    async def work():
        silence.begin(node.settings.silence_s)
        answer = await call_service(node.http, upstream, call, timeout_s=None)
        silence.end()
        return answer

    async def wait_unasked():
        while run.askers or not silence.is_over(now_s=read_clock()):
            await anyio.sleep(POLL_S)

    answer = await run_watched(work, silence, wait_unasked)
    run.step("answered")
    return answer


def _settle_error(node, run, error, attempts):
    """Raise the caller's error unless the call may be sent again."""
    if error.started_maybe:
        run.step("broke")
        raise OutcomeUnknown(
            Reason.UPSTREAM_BROKE,
            "the service may have run the call; its answer was lost",
            status=504,
        ) from error
    run.step("refused_unstarted")
    now_s = read_clock()
    decision = decide_retry(
        attempts=attempts,
        started_maybe=False,
        repeatable=False,
        left_s=run.admitted.deadline_s - now_s,
        spend=lambda: node.budgets.spend_retry(run.admitted.customer, now_s=now_s),
    )
    if decision is RetryDecision.GIVE_UP:
        raise NotRun(
            Reason.UPSTREAM_REFUSED,
            str(error),
            retry_after_s=RETRY_AFTER_S,
        ) from error
    node.counters.add_retry(RetryReason.UPSTREAM_REFUSED)


async def _release_claim(node, run):
    """Give the claim up on the log, so that the key may run elsewhere."""
    if run.life == "claimed":
        run.step("released")
    for _ in range(RELEASE_TRIES):
        try:
            await node.booking_writer.append(make_release_record(run.claim))
            return
        except LogUnavailable:
            await anyio.sleep(LOG_RETRY_S)


async def _record(node, run):
    """Put the answer on the log, for whoever asks again after this node is gone."""
    outcome = OutcomeRecord(
        run.key.text, run.claim.claim_id, run.body_hash, run.answer.status,
        run.answer.body,
    )  # fmt: skip
    for _ in range(RECORD_TRIES):
        try:
            await node.booking_writer.append(make_outcome_record(outcome))
            run.is_recorded = True
            return
        except LogUnavailable:
            await anyio.sleep(LOG_RETRY_S)
