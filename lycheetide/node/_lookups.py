"""Serve idempotent calls (lookups) of services without prompts."""

from dataclasses import dataclass, field
from typing import Any

import anyio

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
)
from lycheetide.node._successors import (
    acquire_successor,
    decide_next_attempt,
    find_retry_reason,
    pop_successor,
    release_successor,
)
from lycheetide.outcomes import NotRunError, Reason, RequestFailedError, RetryReason
from lycheetide.routing import RetryDecision
from lycheetide.upstreams import (
    ServiceCall,
    SilenceTimer,
    UpstreamError,
    UpstreamRefusedError,
    call_service,
    run_until_unneeded,
)

RETRY_AFTER_S = 1.0
CALL_TOKENS = 1
STALE_PERMIT_DELAY_S = 0.05


@dataclass
class LookupRun:
    """Progress of one lookup.

    Parameters
    ----------
    admitted : AdmittedRequest
        The request.
    operation : Operation
        The operation to call.
    body : bytes
        Body of the request.
    ever_started : bool
        Whether any upstream may have started the call.
    attempts : int
        Number of failed attempts.
    avoid : list of str
        Replicas on which an attempt failed other than by a refusal.
    successor : (HeldPermit, float) or None
        The permit for the next attempt, as ``acquire_permit`` returns it, if the
        current attempt was cancelled in favour of that one.
    name : CallName
        What names the call to the other nodes.
    """

    admitted: Any
    operation: Any
    body: bytes
    ever_started: bool = False
    attempts: int = 0
    avoid: list[str] = field(default_factory=list)
    successor: Any = None
    name: CallName = field(default_factory=CallName)


async def serve_lookup(node, admitted, operation, body):
    """Serve an idempotent call, with retries.

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

    Returns
    -------
    ServiceAnswer
        The answer of the service.

    Raises
    ------
    RequestError
        ``NotRunError`` if no upstream has started the call, ``RequestFailedError``
        otherwise.
    """
    fields = ("lookup", operation.service, operation.name)
    name = name_call(admitted, fields, body)
    run = LookupRun(admitted, operation, body, name=name)
    with anyio.CancelScope(deadline=admitted.deadline_s):
        try:
            return await _attempt_until_done(node, run)
        except NotRunError as error:
            if not run.ever_started:
                raise
            raise RequestFailedError(
                error.reason, error.message, retry_after_s=error.retry_after_s
            ) from error
        finally:
            release_successor(node, run)
    error_type = RequestFailedError if run.ever_started else NotRunError
    raise error_type(
        Reason.DEADLINE, "the deadline has passed", retry_after_s=RETRY_AFTER_S
    )


async def _attempt_until_done(node, run):
    """Send the call until an attempt is answered or no retry is allowed."""
    while True:
        await check_request(node, run.name)
        held, asked_s = pop_successor(run) or await acquire_permit(
            node, _make_permit_spec(run)
        )
        replicas = held.permit.replicas
        broken = ()
        try:
            if not is_permit_usable(node, held, asked_s):
                node.counters.add_retry(RetryReason.PERMIT_STALE)
                release_permit(node, held)
                await anyio.sleep(STALE_PERMIT_DELAY_S)
                continue
            if not may_send(node, run.name):
                release_permit(node, held)
                continue
            was_started = run.ever_started
            run.ever_started = True
            try:
                answer = await _send(node, run, replicas)
                note_answered_request(node, run.name)
                return answer
            except UpstreamError as error:
                run.ever_started = was_started or error.may_have_started
                raise
        except UpstreamError as error:
            run.attempts += 1
            upstream = node.fleet.upstreams.get(replicas[0])
            note_broken_request(node, run.name, upstream, "", error)
            if not isinstance(error, UpstreamRefusedError):
                broken = replicas
                run.avoid.extend(replicas)
            _check_retry(node, run, error)
        finally:
            release_permit(node, held, broken=broken)


def _make_permit_spec(run):
    """Return the request for the permit of the next attempt."""
    return PermitSpec(
        run.admitted,
        run.operation.service,
        CALL_TOKENS,
        CALL_TOKENS,
        avoid=tuple(run.avoid),
    )


async def _send(node, run, replicas):
    """Send one call; it is cancelled for silence only if there is a successor."""
    silence = SilenceTimer()
    call = ServiceCall(run.admitted.request_id, run.operation.name, run.body)
    upstream = node.fleet.upstreams[replicas[0]]

    async def work():
        silence.begin(node.settings.silence_s)
        answer = await call_service(node.http, upstream, call, timeout_s=None)
        silence.end()
        return answer

    async def seek():
        run.successor = await acquire_successor(
            node, _make_permit_spec(run), replicas, silence, attempts=run.attempts + 1
        )

    return await run_until_unneeded(work, silence, seek)


def _check_retry(node, run, error):
    """Raise the error for the caller unless another attempt is allowed."""
    if decide_next_attempt(node, run, error) is RetryDecision.RETRY:
        node.counters.add_retry(find_retry_reason(error))
        return
    error_type = RequestFailedError if run.ever_started else NotRunError
    raise error_type(
        Reason.UPSTREAM_BROKE, str(error), retry_after_s=RETRY_AFTER_S, status=502
    ) from error
