"""Serve one prompt: acquire a permit, send the prompt, relay the checked answer."""

from contextlib import aclosing
from dataclasses import dataclass, field
from typing import Any

import anyio

from lycheetide.charts import load_chart
from lycheetide.metrics import get_logger
from lycheetide.node._broken_requests import (
    CallName,
    check_request,
    may_send,
    name_call,
    note_answered_request,
    note_broken_request,
)
from lycheetide.node._permits import (
    PermitSpec,
    acquire_permit,
    is_permit_usable,
    release_permit,
    report_acceptance,
)
from lycheetide.node._presence import Presence, note_accepted, note_ended
from lycheetide.node._quarantine import (
    check_prompt,
    hash_prompt,
    note_broken_attempt,
    note_first_token,
)
from lycheetide.node._state import generate_id
from lycheetide.node._successors import (
    acquire_successor,
    decide_next_attempt,
    find_retry_reason,
    pop_successor,
    release_successor,
)
from lycheetide.outcomes import (
    NotRunError,
    Reason,
    RequestError,
    RequestFailedError,
    RetryReason,
)
from lycheetide.routing import (
    RetryDecision,
    estimate_tokens,
    make_prefix_key,
    split_prompt,
)
from lycheetide.streams import ChunkVerdict, StreamCheck, check_chunk
from lycheetide.upstreams import (
    EngineCall,
    SilenceTimer,
    UpstreamBrokenError,
    UpstreamConnectError,
    UpstreamError,
    UpstreamRefusedError,
    release_holding,
    reserve_memory,
    run_until_unneeded,
    send_segment,
    stream_answer,
)

CHART = load_chart("request")
RETRY_AFTER_S = 1.0
STALE_PERMIT_DELAY_S = 0.05
PREFILL_TIMEOUT_FACTOR = 4.0
"""Limit on the time to first token, as a multiple of the expected prefill time.

The setting ``silence_s`` is added to it.
"""

log = get_logger("prompt")


@dataclass(frozen=True)
class Prompt:
    """A prompt and the largest answer that its caller wants."""

    model: str
    text: str
    max_tokens: int


@dataclass
class PromptRun:
    """The state of one prompt while it is served.

    Parameters
    ----------
    admitted : AdmittedRequest
        The admitted request.
    prompt : Prompt
        The prompt.
    lifecycle_state : str
        State in the request chart (``charts/request.toml``).
    ever_started : bool
        Whether any upstream may have started to execute the request.
    check : StreamCheck
        Sequence check of the answer, which holds the next expected token.
    attempts : int
        Number of attempts that have failed so far.
    avoid : list of str
        Replicas on which an attempt broke.
    silence : SilenceTimer
        Silence timer of the current attempt's upstreams.
    successor : (HeldPermit, float) or None
        Permit for the next attempt, as ``acquire_permit`` returns it, if the current
        attempt was ended in favour of that one.
    parts : tuple of (bytes, bytes)
        Hashes of the prompt's beginning and of its text.
    name : CallName
        What names the call to the other nodes.
    accepted_by : str
        Id of the engine process that accepted the current attempt; empty before.
    has_token : bool
        Whether the current attempt has received a token.
    presence : Presence
        The current attempt at its engine.
    is_quarantined : bool
        Whether it was cancelled because it crashes engines.
    """

    admitted: Any
    prompt: Prompt
    lifecycle_state: str = CHART.initial
    ever_started: bool = False
    check: StreamCheck = field(default_factory=lambda: StreamCheck(""))
    attempts: int = 0
    avoid: list[str] = field(default_factory=list)
    silence: SilenceTimer = field(default_factory=SilenceTimer)
    successor: Any = None
    parts: tuple[bytes, bytes] = (b"", b"")
    name: CallName = field(default_factory=CallName)
    accepted_by: str = ""
    has_token: bool = False
    presence: Presence = field(default_factory=lambda: Presence((b"", b""), False))
    is_quarantined: bool = False

    def step(self, event):
        """Apply an event to the lifecycle state."""
        self.lifecycle_state = CHART.next_state(self.lifecycle_state, event)


@dataclass(frozen=True)
class Token:
    """One token of the answer."""

    seq: int
    text: str


async def serve_prompt(node, admitted, prompt, emit):
    """Serve one prompt until its answer is complete or its deadline passes.

    Parameters
    ----------
    node : NodeState
        This node.
    admitted : AdmittedRequest
        The admitted request.
    prompt : Prompt
        The prompt.
    emit : callable
        Coroutine function that is called with each ``Token``.

    Raises
    ------
    RequestError
        ``NotRunError`` if no upstream can have started the request, else
        ``RequestFailedError``.
    """
    fields = ("prompt", prompt.model, str(prompt.max_tokens))
    name = name_call(admitted, fields, prompt.text.encode())
    parts = hash_prompt(admitted.customer.name, prompt)
    run = PromptRun(admitted, prompt, parts=parts, name=name)
    run.step("admitted")
    try:
        with anyio.CancelScope(deadline=admitted.deadline_s) as scope:
            node.quarantine.running[id(run)] = run, scope
            try:
                await _attempt_until_done(node, run, emit)
            finally:
                del node.quarantine.running[id(run)]
                release_successor(node, run)
        if run.is_quarantined and scope.cancelled_caught:
            check_prompt(node, run.parts)
        if scope.cancelled_caught:
            raise NotRunError(
                Reason.DEADLINE, "the deadline has passed", retry_after_s=RETRY_AFTER_S
            )
    except NotRunError as error:
        run.step("gave_up")
        if not run.ever_started:
            raise
        raise RequestFailedError(
            error.reason, error.message, retry_after_s=error.retry_after_s
        ) from error
    run.step("answered")


async def _attempt_until_done(node, run, emit):
    """Make attempts until one delivers the rest of the answer."""
    while True:
        check_prompt(node, run.parts)
        await check_request(node, run.name)
        run.accepted_by, run.has_token = "", False
        held, asked_s = pop_successor(run) or await acquire_permit(
            node, _make_permit_spec(run)
        )
        run.step("granted")
        replicas = held.permit.replicas
        broken = ()
        try:
            if not is_permit_usable(node, held, asked_s):
                run.step("permit_stale")
                node.counters.add_retry(RetryReason.PERMIT_STALE)
                release_permit(node, held)
                await anyio.sleep(STALE_PERMIT_DELAY_S)
                continue
            is_quarantined = node.quarantine.table.find(run.parts) is not None
            if is_quarantined or not may_send(node, run.name):
                run.step("permit_stale")
                release_permit(node, held)
                continue
            await _send_until_replaced(node, run, held, emit)
            note_answered_request(node, run.name)
            return
        except UpstreamError as error:
            if not isinstance(error, UpstreamRefusedError):
                broken = replicas
            head = node.fleet.upstreams.get(replicas[-1])
            note_broken_request(node, run.name, head, run.accepted_by, error)
            await note_broken_attempt(node, run, head, run.accepted_by, error)
            _prepare_retry(node, run, replicas, error)
        finally:
            release_permit(node, held, broken=broken)


def _make_permit_spec(run):
    """Return the description of the permit that the next attempt needs."""
    prompt = run.prompt
    admitted = run.admitted
    return PermitSpec(
        admitted=admitted,
        serves=prompt.model,
        prompt_tokens=estimate_tokens(prompt.text),
        answer_tokens=prompt.max_tokens,
        prefix_key=make_prefix_key(admitted.customer.name, prompt.model, prompt.text),
        avoid=tuple(run.avoid),
        is_begun=run.check.next_seq > 0,
    )


def _prepare_retry(node, run, replicas, error):
    """Prepare another attempt after ``error``, or raise if none is allowed."""
    run.ever_started = run.ever_started or error.may_have_started
    run.attempts += 1
    decision = decide_next_attempt(node, run, error)
    reason = find_retry_reason(error)
    node.note(
        run.admitted.request_id, "An attempt ended with an upstream error.",
        reason=reason, cause=str(error), decision=decision, replicas=list(replicas),
    )  # fmt: skip
    if decision is RetryDecision.GIVE_UP:
        error_type = RequestFailedError if run.ever_started else NotRunError
        raise error_type(
            _find_reason(error), str(error), retry_after_s=RETRY_AFTER_S, status=502
        ) from error
    node.counters.add_retry(reason)
    if not isinstance(error, UpstreamRefusedError):
        run.avoid.extend(replicas)
    if CHART.has_flag(run.lifecycle_state, "unsent"):
        run.step("permit_stale")
    else:
        run.step("broke")


def _find_reason(error):
    """Return the reason that is reported to the caller for ``error``."""
    if isinstance(error, (UpstreamRefusedError, UpstreamConnectError)):
        return Reason.UPSTREAM_REFUSED
    return Reason.UPSTREAM_BROKE


async def _send_until_replaced(node, run, held, emit):
    """Send one attempt; if it falls silent, end it only once it has a successor."""
    run.silence = SilenceTimer()

    async def seek():
        run.successor = await acquire_successor(
            node, _make_permit_spec(run), held.permit.replicas, run.silence,
            attempts=run.attempts + 1,
        )  # fmt: skip

    await run_until_unneeded(lambda: _send(node, run, held, emit), run.silence, seek)


async def _send(node, run, held, emit):
    """Send one attempt and relay its checked answer.

    Memory reservations that remain at the end are released in the background.
    """
    permit = held.permit
    upstreams = [node.fleet.upstreams[name] for name in permit.replicas]
    attempt_id = generate_id()
    run.check = StreamCheck(attempt_id, run.check.next_seq)
    run.presence = Presence(run.parts, run.check.next_seq > 0)
    failure: BaseException | None = anyio.get_cancelled_exc_class()()
    holdings: list[tuple[Any, str]] = []
    try:
        call = await _prepare_call(node, run, permit, upstreams, holdings)
        await _read_answer(
            node, run, held, call, holdings, upstream=upstreams[-1], emit=emit
        )
        holdings[:] = [h for h in holdings if h[0] is not upstreams[-1]]
        failure = None
    except UpstreamError as error:
        failure = error
        raise
    finally:
        note_ended(node, run.presence, upstreams[-1], failure)
        for upstream, holding_id in holdings:
            node.tasks.start_soon(_release, node, upstream, holding_id)


async def _release(node, upstream, holding_id):
    """Release reserved memory; if the call is lost, the owner reclaims it later."""
    try:
        await release_holding(node.http, upstream, holding_id)
    except UpstreamError:
        node.counters.add("releases.lost")


async def _prepare_call(node, run, permit, upstreams, holdings):
    """Return the call to the head engine, which generates the answer.

    A prompt that spans several engines is split. The other engines prefill their
    segments first.
    """
    admitted = run.admitted
    segments = ()
    text = run.prompt.text
    holding_id = None
    if len(upstreams) > 1:
        parts = split_prompt(text, len(upstreams))
        text = parts[-1]
        await _reserve_all(node, run, permit, upstreams, holdings)
        holding_id = holdings[-1][1]
        run.silence.begin(_find_segments_timeout_s(node, upstreams[:-1], parts[:-1]))
        segments = await _read_segments(node, run, upstreams, holdings, parts)
        run.silence.end()
    return EngineCall(
        request_id=admitted.request_id,
        attempt_id=run.check.attempt_id,
        prompt=text,
        max_tokens=run.prompt.max_tokens,
        priority=admitted.request_class.priority,
        prefix_key=make_prefix_key(
            admitted.customer.name, run.prompt.model, run.prompt.text
        ),
        resume_from=run.check.next_seq,
        holding_id=holding_id,
        segments=segments,
    )


async def _reserve_all(node, run, permit, upstreams, holdings):
    """Reserve memory at each engine, in the order of their names.

    Each reservation is appended to ``holdings`` as soon as it is made, so that the
    caller of this function releases it whatever happens next: either all engines keep
    their reservations or none does.
    """
    for upstream, tokens in zip(upstreams, permit.tokens, strict=True):
        holding_id = await reserve_memory(
            node.http,
            upstream,
            request_id=run.admitted.request_id,
            tokens=tokens,
            silence=run.silence,
        )
        holdings.append((upstream, holding_id))


async def _read_segments(node, run, upstreams, holdings, parts):
    """Prefill the segments on all engines but the head, concurrently."""
    handles = [""] * (len(upstreams) - 1)
    errors = []

    async def read(index):
        upstream = upstreams[index]
        try:
            handles[index] = await send_segment(
                node.http,
                upstream,
                holding_id=holdings[index][1],
                prompt=parts[index],
                priority=run.admitted.request_class.priority,
            )
        except UpstreamError as error:
            errors.append(error)

    if CHART.has_flag(run.lifecycle_state, "unsent"):
        run.step("dispatched")
    run.ever_started = True
    async with anyio.create_task_group() as group:
        for index in range(len(handles)):
            group.start_soon(read, index)
    if errors:
        raise errors[0]
    return tuple(handles)


def _find_read_timeout_s(node, upstream, text):
    """Return how long a text's prefill may take before the engine counts as silent."""
    read_s = estimate_tokens(text) / upstream.prefill_tokens_per_s
    return node.settings.silence_s + PREFILL_TIMEOUT_FACTOR * read_s


def _find_segments_timeout_s(node, upstreams, parts):
    """Return how long the slowest engine may take to prefill its segment."""
    engine_parts = zip(upstreams, parts, strict=True)
    return max(
        _find_read_timeout_s(node, upstream, text) for upstream, text in engine_parts
    )


async def _read_answer(node, run, held, call, holdings, *, upstream, emit):
    """Read the answer of the head engine, check each chunk and emit its token."""
    admitted = run.admitted

    def on_accepted(holding_id, boot_id):
        run.accepted_by = boot_id
        note_accepted(node, run.presence, upstream, boot_id)
        report_acceptance(node, held, upstream.name, boot_id)
        if holding_id and all(held != holding_id for _, held in holdings):
            holdings.append((upstream, holding_id))

    if CHART.has_flag(run.lifecycle_state, "unsent"):
        run.step("dispatched")
    node.note(
        admitted.request_id, "An attempt was sent.",
        upstream=upstream.name, attempt_id=call.attempt_id, from_token=call.resume_from,
    )  # fmt: skip
    whole = False
    chunks = stream_answer(
        node.http,
        upstream,
        call,
        first_s=_find_read_timeout_s(node, upstream, call.prompt),
        between_s=node.settings.silence_s,
        silence=run.silence,
        on_accepted=on_accepted,
    )
    checked = check_chunks(node, run, chunks)
    try:
        async with aclosing(chunks), aclosing(checked):
            async for chunk in checked:
                if chunk is None:
                    whole = True
                    break
                if run.lifecycle_state == "sent":
                    run.step("first_token")
                if not run.has_token:
                    run.has_token = True
                    note_first_token(node, run)
                await emit(Token(chunk.seq, chunk.text))
    except UpstreamConnectError:
        raise
    except UpstreamError as error:
        run.ever_started = run.ever_started or error.may_have_started
        raise
    except BaseException:
        run.ever_started = True
        raise
    if not whole:
        raise UpstreamBrokenError("the answer ended without an end marker")


async def check_chunks(node, run, chunks):
    """Yield the chunks that arrive in sequence, then None if the answer is complete.

    Parameters
    ----------
    node : NodeState
        Node whose counters record dropped and missing chunks.
    run : PromptRun
        Run whose ``check`` is advanced by each chunk.
    chunks : async iterator of Chunk
        Chunks as the engine sends them.

    Raises
    ------
    UpstreamBrokenError
        If a token is missing, or the end marker does not follow the last token.
    """
    async for chunk in chunks:
        run.check, verdict = check_chunk(run.check, chunk)
        if verdict is ChunkVerdict.DELIVER:
            yield chunk
        elif verdict is ChunkVerdict.END:
            yield None
            return
        elif verdict in (ChunkVerdict.GAP, ChunkVerdict.SHORT):
            node.counters.add(f"chunks.{verdict}")
            raise UpstreamBrokenError(f"{verdict}: got token {chunk.seq}, "
                                f"expected {run.check.next_seq}")  # fmt: skip
        else:
            node.counters.add(f"chunks.{verdict}")


def to_request_error(error):
    """Return the ``RequestError`` for any exception that a run raised."""
    if isinstance(error, RequestError):
        return error
    return RequestFailedError(Reason.INTERNAL, "an error inside the node", status=500)
