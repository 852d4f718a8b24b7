"""Find a replica to which a request moves when its current replica is silent."""

from dataclasses import replace

import anyio

from lycheetide.fleet import takes_new_work
from lycheetide.node._permits import acquire_permit, is_permit_usable, release_permit
from lycheetide.node._state import read_clock
from lycheetide.outcomes import NotRunError, RetryReason
from lycheetide.routing import RetryDecision, decide_retry
from lycheetide.upstreams import UpstreamRefusedError, UpstreamTimeoutError

SEEK_AGAIN_S = 0.5


async def acquire_successor(node, spec, silent, silence, *, attempts):
    """Wait until a request can move to another replica, and spend a retry on it.

    The retry is taken from the customer's budget last, so that none is lost if no
    permit is granted or the silent replica resumes.

    Parameters
    ----------
    node : NodeState
        This node.
    spec : PermitSpec
        The permit that the request needs.
    silent : tuple of str
        Replicas of the current attempt.
    silence : SilenceTimer
        Their silence timer.
    attempts : int
        Number of attempts, including the current one.

    Returns
    -------
    permit : HeldPermit
        The permit, as ``acquire_permit`` returns it.
    asked_s : float
        When the call that brought it was sent.
    """
    node.counters.add("attempts.silent")
    node.note(
        spec.admitted.request_id, "An attempt is silent; seeking another replica.",
        replicas=list(silent), attempts=attempts,
    )  # fmt: skip
    while True:
        others = list_other_replicas(node, spec.serves, silent)
        if others and _can_retry(node, spec, attempts, node.budgets.has_retry):
            fresh = set(others) - set(spec.avoid)
            avoid = (*spec.avoid, *silent) if fresh else silent
            try:
                # ``is_begun=False`` makes a refusal end the call, so that the other
                # replicas and the budget are checked again.
                next_spec = replace(spec, avoid=avoid, is_begun=False)
                held, asked_s = await acquire_permit(node, next_spec)
            except NotRunError:
                pass
            else:
                if (
                    silence.has_expired(now_s=read_clock())
                    and not set(held.permit.replicas) & set(silent)
                    and _can_send(node, held, asked_s)
                    and _can_retry(node, spec, attempts, node.budgets.spend_retry)
                ):
                    return held, asked_s
                release_permit(node, held)
        await anyio.sleep(SEEK_AGAIN_S)


def list_other_replicas(node, serves, silent):
    """Return the replicas that accept new work, other than the silent ones."""
    index = node.get_cell_index()
    return [
        upstream.name
        for cell in index.cells_by_served.get(serves, ())
        for upstream in index.cells[cell]
        if upstream.name not in silent
        and takes_new_work(upstream, node.fleet.failure_domains)
    ]


def _can_send(node, held, asked_s):
    """Return whether the permit may be used; False also while the node is cut off."""
    try:
        return is_permit_usable(node, held, asked_s)
    except NotRunError:
        return False


def _can_retry(node, spec, attempts, spend):
    """Return whether another attempt is allowed.

    ``spend`` takes a retry from the customer's budget, or only checks for one.
    """
    admitted = spec.admitted
    now_s = read_clock()
    decision = decide_retry(
        attempts=attempts,
        may_have_started=True,
        repeatable=True,
        left_s=admitted.deadline_s - now_s,
        spend=lambda: spend(admitted.customer, now_s=now_s),
    )
    return decision is RetryDecision.RETRY


def pop_successor(run):
    """Remove and return the permit for a run's next attempt, or return None."""
    successor, run.successor = run.successor, None
    return successor


def release_successor(node, run):
    """End the permit for a next attempt that will not be made."""
    successor = pop_successor(run)
    if successor is not None:
        release_permit(node, successor[0])


def decide_next_attempt(node, run, error):
    """Decide on another attempt; if a successor has its permit, its retry is spent."""
    if run.successor is not None:
        return RetryDecision.RETRY
    now_s = read_clock()
    return decide_retry(
        attempts=run.attempts,
        may_have_started=error.may_have_started,
        repeatable=True,
        left_s=run.admitted.deadline_s - now_s,
        spend=lambda: node.budgets.spend_retry(run.admitted.customer, now_s=now_s),
    )


def find_retry_reason(error):
    """Return the reason under which a retry after ``error`` is counted."""
    if isinstance(error, UpstreamRefusedError):
        return RetryReason.UPSTREAM_REFUSED
    if isinstance(error, UpstreamTimeoutError):
        return RetryReason.UPSTREAM_SILENT
    return RetryReason.UPSTREAM_BROKE
