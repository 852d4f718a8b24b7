"""Serve idempotent calls of plain services."""

import anyio

from lycheetide.node._permits import Wish, get_permit, give_back
from lycheetide.node._state import read_clock
from lycheetide.outcomes import Failed, NotRun, Reason, RetryReason
from lycheetide.routing import RetryDecision, check_dispatch, decide_retry
from lycheetide.upstreams import (
    ServiceCall,
    UpstreamError,
    UpstreamRefused,
    call_service,
)

RETRY_AFTER_S = 1.0
CALL_TOKENS = 1
STALE_PAUSE_S = 0.05


async def serve_lookup(node, admitted, operation, body):
    """Serve a call that may be repeated.

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

    Returns
    -------
    ServiceAnswer
        What the service answered.

    Raises
    ------
    RequestError
        By what is known of the work.
    """
    started = [False]
    with anyio.CancelScope(deadline=admitted.deadline_s):
        try:
            return await _attempt_until_done(node, admitted, operation, body, started)
        except NotRun as error:
            if not started[0]:
                raise
            raise Failed(
                error.reason, error.message, retry_after_s=error.retry_after_s
            ) from error
    error_type = Failed if started[0] else NotRun
    raise error_type(
        Reason.DEADLINE, "the deadline has passed", retry_after_s=RETRY_AFTER_S
    )


async def _attempt_until_done(node, admitted, operation, body, started):
    """Make attempts until one is answered."""
    attempts = 0
    avoid: list[str] = []
    while True:
        wish = Wish(
            admitted, operation.service, CALL_TOKENS, CALL_TOKENS, avoid=tuple(avoid)
        )
        held, asked_s = await get_permit(node, wish)
        name = held.permit.replicas[0]
        broken: tuple[str, ...] = ()
        try:
            if not may_send(node, held, asked_s):
                node.counters.add_retry(RetryReason.PERMIT_STALE)
                give_back(node, held)
                await anyio.sleep(STALE_PAUSE_S)
                continue
            was_started = started[0]
            started[0] = True
            try:
                return await call_service(
                    node.http,
                    node.fleet.upstreams[name],
                    ServiceCall(admitted.request_id, operation.name, body),
                    timeout_s=node.settings.silence_s,
                )
            except UpstreamError as error:
                started[0] = was_started or error.started_maybe
                raise
        except UpstreamError as error:
            attempts += 1
            if not isinstance(error, UpstreamRefused):
                broken = (name,)
                avoid.append(name)
            _check_retry(node, admitted, error, attempts, started)
        finally:
            give_back(node, held, broken=broken)


def may_send(node, held, asked_s):
    """Look a last time whether a permit may be used."""
    now_s = read_clock()
    return check_dispatch(
        node.fleet,
        held.permit.replicas,
        fresh=node.is_fresh(now_s=now_s),
        permit_asked_s=asked_s,
        now_s=now_s,
        permit_use_s=node.settings.permit_use_s,
    )


def _check_retry(node, admitted, error, attempts, started):
    """Raise the caller's error unless there is to be another attempt."""
    now_s = read_clock()
    decision = decide_retry(
        attempts=attempts,
        started_maybe=error.started_maybe,
        repeatable=True,
        left_s=admitted.deadline_s - now_s,
        spend=lambda: node.budgets.spend_retry(admitted.customer, now_s=now_s),
    )
    if decision is RetryDecision.RETRY:
        refused = isinstance(error, UpstreamRefused)
        reason = RetryReason.UPSTREAM_REFUSED if refused else RetryReason.UPSTREAM_BROKE
        node.counters.add_retry(reason)
        return
    error_type = Failed if started[0] else NotRun
    raise error_type(
        Reason.UPSTREAM_BROKE, str(error), retry_after_s=RETRY_AFTER_S, status=502
    ) from error
