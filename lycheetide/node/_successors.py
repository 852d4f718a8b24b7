"""Seek the replica that takes a request over from a silent one."""

from dataclasses import replace

import anyio

from lycheetide.fleet import takes_new_work
from lycheetide.node._permits import get_permit, give_back, may_send
from lycheetide.node._state import read_clock
from lycheetide.outcomes import NotRun, RetryReason
from lycheetide.routing import RetryDecision, decide_retry
from lycheetide.upstreams import UpstreamRefused, UpstreamSilent

SEEK_AGAIN_S = 0.5


async def seek_successor(node, wish, silent, silence, *, attempts):
    """Wait until another replica may take a request over, and pay for the retry.

    The retry is paid for last, so that none is lost where no permit is to be had or
    the silent replica goes on.

    Parameters
    ----------
    node : NodeState
        This node.
    wish : Wish
        What the request needs.
    silent : tuple of str
        The replicas of the present attempt.
    silence : Silence
        Their silence.
    attempts : int
        How many there were, with the present one.

    Returns
    -------
    permit : HeldPermit
        As ``get_permit`` returns it.
    asked_s : float
        When the call that brought it was sent.
    """
    node.counters.add("attempts.silent")
    node.note(
        wish.admitted.request_id, "An attempt is silent.",
        replicas=list(silent), attempts=attempts,
    )  # fmt: skip
    while True:
        others = list_others(node, wish.serves, silent)
        if others and _may_follow(node, wish, attempts, node.budgets.has_retry):
            fresh = set(others) - set(wish.avoid)
            avoid = (*wish.avoid, *silent) if fresh else silent
            try:
                # A refusal brings back the look at the other replicas and the budget.
                anew = replace(wish, avoid=avoid, is_begun=False)
                held, asked_s = await get_permit(node, anew)
            except NotRun:
                pass
            else:
                if (
                    silence.is_over(now_s=read_clock())
                    and not set(held.permit.replicas) & set(silent)
                    and _may_send(node, held, asked_s)
                    and _may_follow(node, wish, attempts, node.budgets.spend_retry)
                ):
                    return held, asked_s
                give_back(node, held)
        await anyio.sleep(SEEK_AGAIN_S)


def list_others(node, serves, silent):
    """Return the replicas that may get new work, other than the silent ones."""
    index = node.find_index()
    return [
        upstream.name
        for cell in index.by_served.get(serves, ())
        for upstream in index.cells[cell]
        if upstream.name not in silent
        and takes_new_work(upstream, node.fleet.failure_domains)
    ]


def _may_send(node, held, asked_s):
    """Tell whether a successor may be sent; a node that is cut off waits for that."""
    try:
        return may_send(node, held, asked_s)
    except NotRun:
        return False


def _may_follow(node, wish, attempts, spend):
    """Tell whether another attempt may follow; ``spend`` takes or finds a retry."""
    admitted = wish.admitted
    now_s = read_clock()
    decision = decide_retry(
        attempts=attempts,
        started_maybe=True,
        repeatable=True,
        left_s=admitted.deadline_s - now_s,
        spend=lambda: spend(admitted.customer, now_s=now_s),
    )
    return decision is RetryDecision.RETRY


def take_successor(run):
    """Return the permit for a run's next attempt, if there is one, and forget it."""
    successor, run.successor = run.successor, None
    return successor


def give_back_successor(node, run):
    """End the permit of an attempt that is not to be made."""
    successor = take_successor(run)
    if successor is not None:
        give_back(node, successor[0])


def decide_next(node, run, error):
    """Decide on another attempt; one that has its permit is paid for already."""
    if run.successor is not None:
        return RetryDecision.RETRY
    now_s = read_clock()
    return decide_retry(
        attempts=run.attempts,
        started_maybe=error.started_maybe,
        repeatable=True,
        left_s=run.admitted.deadline_s - now_s,
        spend=lambda: node.budgets.spend_retry(run.admitted.customer, now_s=now_s),
    )


def find_retry_reason(error):
    """Return the counter of a retry after ``error``."""
    if isinstance(error, UpstreamRefused):
        return RetryReason.UPSTREAM_REFUSED
    if isinstance(error, UpstreamSilent):
        return RetryReason.UPSTREAM_SILENT
    return RetryReason.UPSTREAM_BROKE
