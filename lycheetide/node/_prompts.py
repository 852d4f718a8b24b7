"""Serve one prompt: get a permit, send it, pass on the checked answer."""

from contextlib import aclosing
from dataclasses import dataclass, field
from typing import Any

import anyio

from lycheetide.charts import load_chart
from lycheetide.metrics import get_log
from lycheetide.node._permits import (
    Wish,
    get_permit,
    give_back,
    may_send,
    tell_met,
)
from lycheetide.node._state import draw_id
from lycheetide.node._successors import (
    decide_next,
    find_retry_reason,
    give_back_successor,
    seek_successor,
    take_successor,
)
from lycheetide.outcomes import (
    Failed,
    NotRun,
    Reason,
    RequestError,
    RetryReason,
)
from lycheetide.routing import (
    RetryDecision,
    count_tokens,
    make_prefix_key,
    split_prompt,
)
from lycheetide.streams import ChunkVerdict, StreamCheck, check_chunk
from lycheetide.upstreams import (
    EngineCall,
    Silence,
    UpstreamBroke,
    UpstreamError,
    UpstreamRefused,
    UpstreamUnreached,
    release_holding,
    reserve_memory,
    run_watched,
    send_segment,
    stream_answer,
)

CHART = load_chart("request")
RETRY_AFTER_S = 1.0
STALE_PAUSE_S = 0.05
PREFILL_SLACK = 4.0
"""How many times its expected reading time a prompt may take to its first token."""

log = get_log("prompt")


@dataclass(frozen=True)
class Prompt:
    """What a caller asks of a model."""

    model: str
    text: str
    max_tokens: int


@dataclass
class PromptRun:
    """How far one prompt has come.

    Parameters
    ----------
    admitted : Admitted
        The request.
    prompt : Prompt
        What is asked.
    life : str
        Its state in the request chart.
    ever_started : bool
        Whether some upstream may have begun it.
    check : StreamCheck
        How far the answer has come.
    attempts : int
        The attempts sent.
    avoid : list of str
        Replicas on which an attempt broke.
    silence : Silence
        That of the present attempt's upstreams.
    successor : (HeldPermit, float) or None
        The permit for the next attempt, as ``get_permit`` returns it, where the
        present one was ended for it.
    """

    admitted: Any
    prompt: Prompt
    life: str = CHART.initial
    ever_started: bool = False
    check: StreamCheck = field(default_factory=lambda: StreamCheck(""))
    attempts: int = 0
    avoid: list[str] = field(default_factory=list)
    silence: Silence = field(default_factory=Silence)
    successor: Any = None

    def step(self, event):
        """Step the request's life."""
        self.life = CHART.step(self.life, event)


@dataclass(frozen=True)
class Token:
    """One token of the answer."""

    seq: int
    text: str


async def serve_prompt(node, admitted, prompt, emit):
    """Serve one prompt until its answer is whole or its time is up.

    Parameters
    ----------
    node : NodeState
        This node.
    admitted : Admitted
        The request.
    prompt : Prompt
        What is asked.
    emit : callable
        A coroutine function that takes each ``Token``.

    Raises
    ------
    RequestError
        By what is known of the work.
    """
    run = PromptRun(admitted, prompt)
    run.step("admitted")
    try:
        with anyio.CancelScope(deadline=admitted.deadline_s) as scope:
            try:
                await _attempt_until_done(node, run, emit)
            finally:
                give_back_successor(node, run)
        if scope.cancelled_caught:
            raise NotRun(
                Reason.DEADLINE, "the deadline has passed", retry_after_s=RETRY_AFTER_S
            )
    except NotRun as error:
        run.step("gave_up")
        if not run.ever_started:
            raise
        raise Failed(
            error.reason, error.message, retry_after_s=error.retry_after_s
        ) from error
    run.step("answered")


async def _attempt_until_done(node, run, emit):
    """Make attempts until one delivers the rest of the answer."""
    while True:
        held, asked_s = take_successor(run) or await get_permit(node, _make_wish(run))
        run.step("granted")
        replicas = held.permit.replicas
        broken = ()
        try:
            if not may_send(node, held, asked_s):
                run.step("permit_stale")
                node.counters.add_retry(RetryReason.PERMIT_STALE)
                give_back(node, held)
                await anyio.sleep(STALE_PAUSE_S)
                continue
            await _send_watched(node, run, held, emit)
            return
        except UpstreamError as error:
            if not isinstance(error, UpstreamRefused):
                broken = replicas
            _prepare_retry(node, run, replicas, error)
        finally:
            give_back(node, held, broken=broken)


def _make_wish(run):
    """Return what the next attempt needs a permit for."""
    prompt = run.prompt
    admitted = run.admitted
    return Wish(
        admitted=admitted,
        serves=prompt.model,
        prompt_tokens=count_tokens(prompt.text),
        answer_tokens=prompt.max_tokens,
        prefix_key=make_prefix_key(admitted.customer.name, prompt.model, prompt.text),
        avoid=tuple(run.avoid),
        is_begun=run.check.next_seq > 0,
    )


def _prepare_retry(node, run, replicas, error):
    """Decide on another attempt after ``error``; raise if there is none."""
    run.ever_started = run.ever_started or error.started_maybe
    run.attempts += 1
    decision = decide_next(node, run, error)
    reason = find_retry_reason(error)
    node.note(
        run.admitted.request_id, "An attempt broke.",
        reason=reason, cause=str(error), decision=decision, replicas=list(replicas),
    )  # fmt: skip
    if decision is RetryDecision.GIVE_UP:
        error_type = Failed if run.ever_started else NotRun
        raise error_type(
            _find_reason(error), str(error), retry_after_s=RETRY_AFTER_S, status=502
        ) from error
    node.counters.add_retry(reason)
    if not isinstance(error, UpstreamRefused):
        run.avoid.extend(replicas)
    if CHART.has(run.life, "unsent"):
        run.step("permit_stale")
    else:
        run.step("broke")


def _find_reason(error):
    """Return the reason that a caller is told after ``error``."""
    if isinstance(error, (UpstreamRefused, UpstreamUnreached)):
        return Reason.UPSTREAM_REFUSED
    return Reason.UPSTREAM_BROKE


async def _send_watched(node, run, held, emit):
    """Send one attempt; it ends in silence only when it has a successor."""
    run.silence = Silence()

    async def seek():
        run.successor = await seek_successor(
            node, _make_wish(run), held.permit.replicas, run.silence,
            attempts=run.attempts + 1,
        )  # fmt: skip

    await run_watched(lambda: _send(node, run, held, emit), run.silence, seek)


async def _send(node, run, held, emit):
    """Send one attempt and pass its checked answer on."""
    permit = held.permit
    upstreams = [node.fleet.upstreams[name] for name in permit.replicas]
    attempt_id = draw_id()
    run.check = StreamCheck(attempt_id, run.check.next_seq)
    holdings: list[tuple[Any, str]] = []
    try:
        call = await _prepare_call(node, run, permit, upstreams, holdings)
        await _read_answer(
            node, run, held, call, holdings, upstream=upstreams[-1], emit=emit
        )
        holdings[:] = [h for h in holdings if h[0] is not upstreams[-1]]
    finally:
        for upstream, holding_id in holdings:
            node.tasks.start_soon(_release, node, upstream, holding_id)


async def _release(node, upstream, holding_id):
    """Free memory; if the call is lost, the owner finds what is left over."""
    try:
        await release_holding(node.http, upstream, holding_id)
    except UpstreamError:
        node.counters.add("releases.lost")


async def _prepare_call(node, run, permit, upstreams, holdings):
    """Return the call to the head; a spanning prompt's segments are read first."""
    admitted = run.admitted
    segments = ()
    text = run.prompt.text
    holding_id = None
    if len(upstreams) > 1:
        parts = split_prompt(text, len(upstreams))
        text = parts[-1]
        await _reserve_all(node, run, permit, upstreams, holdings)
        holding_id = holdings[-1][1]
        run.silence.begin(_allow_all_s(node, upstreams[:-1], parts[:-1]))
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
    """Reserve memory at each engine, in the order of their names, or at none.

    ``holdings`` gets each reservation as soon as it is there, so that whatever
    happens next, the caller of this function releases it.
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
    """Have all engines but the head read their segments, all at once."""
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

    if CHART.has(run.life, "unsent"):
        run.step("dispatched")
    run.ever_started = True
    async with anyio.create_task_group() as group:
        for index in range(len(handles)):
            group.start_soon(read, index)
    if errors:
        raise errors[0]
    return tuple(handles)


def _allow_s(node, upstream, text):
    """Return how long reading a text may take before the engine counts as silent."""
    read_s = count_tokens(text) / upstream.prefill_tokens_per_s
    return node.settings.silence_s + PREFILL_SLACK * read_s


def _allow_all_s(node, upstreams, parts):
    """Return how long the engines may read their segments."""
    allowed = zip(upstreams, parts, strict=True)
    return max(_allow_s(node, upstream, text) for upstream, text in allowed)


async def _read_answer(node, run, held, call, holdings, *, upstream, emit):
    """Read the head's answer, check each chunk and emit its token."""
    admitted = run.admitted

    def on_accepted(holding_id, boot_id):
        tell_met(node, held, upstream.name, boot_id)
        if holding_id and all(held != holding_id for _, held in holdings):
            holdings.append((upstream, holding_id))

    if CHART.has(run.life, "unsent"):
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
        first_s=_allow_s(node, upstream, call.prompt),
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
                if run.life == "sent":
                    run.step("first_token")
                await emit(Token(chunk.seq, chunk.text))
    except UpstreamUnreached:
        raise
    except UpstreamError as error:
        run.ever_started = run.ever_started or error.started_maybe
        raise
    except BaseException:
        run.ever_started = True
        raise
    if not whole:
        raise UpstreamBroke("the answer ended without its end mark")


async def check_chunks(node, run, chunks):
    """Yield the chunks that are the next of this attempt, then None at a whole end.

    Parameters
    ----------
    node : NodeState
        Its counters.
    run : PromptRun
        Its ``check`` moves on.
    chunks : async iterator of Chunk
        As they come.
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
            raise UpstreamBroke(f"{verdict}: got token {chunk.seq}, "
                                f"expected {run.check.next_seq}")  # fmt: skip
        else:
            node.counters.add(f"chunks.{verdict}")


def to_request_error(error):
    """Return the typed error for whatever a run raised."""
    if isinstance(error, RequestError):
        return error
    return Failed(Reason.INTERNAL, "an error inside the node", status=500)
