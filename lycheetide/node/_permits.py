"""The entry node's side of permits: acquire, renew and release them."""

import itertools
import random
from collections import defaultdict
from dataclasses import dataclass

import anyio

from lycheetide.node import _cell_owner
from lycheetide.node._state import HeldPermit, generate_id, read_clock
from lycheetide.outcomes import NotRunError, Reason
from lycheetide.peers import (
    AcquireRequest,
    AcquireStatus,
    AdoptRequest,
    FinishRequest,
    MetRequest,
    PeerUnreachable,
    RenewRequest,
)
from lycheetide.routing import check_dispatch, rank_cells
from lycheetide.scheduling import Permit, Ticket

ROUND_TRIP_MARGIN_S = 0.5
CALL_TIMEOUT_S = 1.0
ACQUIRE_TIMEOUT_S = _cell_owner.LONG_POLL_S + ROUND_TRIP_MARGIN_S
"""An owner may hold the call for ``LONG_POLL_S``; the margin is for the round trip."""
RETRY_DELAY_S = 0.05
REFUSED_RETRY_DELAY_S = 0.5
OVERLOADED_RETRY_AFTER_S = 2.0

_rng = random.Random()


@dataclass(frozen=True)
class PermitSpec:
    """Description of the permit that a request needs.

    Parameters
    ----------
    admitted : AdmittedRequest
        The admitted request.
    serves : str
        The model or service that a replica must serve.
    prompt_tokens, answer_tokens : int
        Size of the request.
    prefix_key : str
        Key of the prompt's prefix; empty for services, which have no prefix cache.
    avoid : tuple of str
        Replicas on which an earlier attempt broke.
    is_begun : bool
        Whether a part of the answer has been received.
    """

    admitted: object
    serves: str
    prompt_tokens: int
    answer_tokens: int
    prefix_key: str = ""
    avoid: tuple[str, ...] = ()
    is_begun: bool = False


def gather_summaries(node, now_s):
    """Return the newest summary of each cell, as the cells' owners report them."""
    summaries = {}
    evidence_by_age = sorted(node.membership.evidence.values(), key=lambda k: k.at_s)
    for evidence in evidence_by_age:
        for summary in evidence.row.cells:
            summaries[summary.cell] = summary
    for name, owned in node.cells.items():
        summaries[name] = owned.cell.summarize(now_s=now_s)
    return summaries


async def acquire_permit(node, spec):
    """Acquire a permit; keep asking until one is granted or all owners refuse.

    A refusal would cut off an answer that has begun, and its caller could not resume
    it at another node. For such a request, refusals are retried until its deadline.

    Parameters
    ----------
    node : NodeState
        This node.
    spec : PermitSpec
        The permit that is needed.

    Returns
    -------
    permit : HeldPermit
        The permit, registered for renewal; end it with ``release_permit``.
    asked_s : float
        When the call that brought it was sent. The permit expires a short time after
        that unless it is used.

    Raises
    ------
    NotRunError
        If the owners of all cells refuse, or the class's longest wait is over.
    """
    while True:
        try:
            return await _acquire_from_any_cell(node, spec)
        except NotRunError as refusal:
            if not spec.is_begun:
                raise
            node.counters.add(f"permits.refused_begun.{refusal.reason}")
        await anyio.sleep(REFUSED_RETRY_DELAY_S)


async def _acquire_from_any_cell(node, spec):
    """Ask the cells' owners, best rank first, until one grants or all refuse."""
    admitted = spec.admitted
    cells = node.get_cell_index().cells_by_served.get(spec.serves, ())
    if not cells:
        raise NotRunError(
            Reason.NO_CAPACITY, f"no replica serves {spec.serves}", retry_after_s=5.0
        )
    ticket_ids = {cell: f"{generate_id()}@{cell}" for cell in cells}
    refusals: dict[str, NotRunError] = {}
    started_s = read_clock()
    cell = ""
    for turn in itertools.count():
        now_s = read_clock()
        ranked = rank_cells(
            [cell for cell in cells if cell not in refusals],
            gather_summaries(node, now_s),
            prefix_key=spec.prefix_key,
            prompt_tokens=spec.prompt_tokens,
            draw=_rng.random,
        )
        if not ranked:
            raise min(refusals.values(), key=lambda r: r.retry_after_s or 0.0)
        others = [one for one in ranked if one != cell]
        cell = ranked[0] if not others else others[turn % len(others)]
        result = await _acquire_from_cell(node, spec, cell, ticket_ids[cell], started_s)
        if isinstance(result, NotRunError):
            refusals[cell] = result
        elif result is not None:
            return result
        waited_s = read_clock() - admitted.arrived_s
        if waited_s > admitted.request_class.max_wait_s:
            raise NotRunError(
                Reason.OVERLOADED,
                f"no replica became free within {waited_s:.1f} s",
                retry_after_s=OVERLOADED_RETRY_AFTER_S,
            )
    raise AssertionError("unreachable")


async def _acquire_from_cell(node, spec, cell, ticket_id, started_s):
    """Ask one cell's owner until it grants, refuses or no longer owns the cell.

    Returns
    -------
    (HeldPermit, float), NotRunError or None
        The permit and the time of the call that brought it, the refusal, or None if
        another cell should be asked.
    """
    admitted = spec.admitted
    while True:
        owner = node.membership.find_owner(cell)
        if owner is None:
            await anyio.sleep(RETRY_DELAY_S)
            return None
        asked_s = read_clock()
        request = _make_acquire_request(node, spec, cell, ticket_id, owner, asked_s)
        try:
            reply = await _call_owner(
                node,
                owner,
                "acquire",
                request,
                timeout_s=ACQUIRE_TIMEOUT_S,
            )
        except PeerUnreachable:
            node.counters.add("permits.owner_unreached")
            node.tasks.start_soon(withdraw, node, cell, ticket_id)
            await anyio.sleep(RETRY_DELAY_S)
            return None
        except BaseException:
            # The call was cancelled, but the owner may be granting the permit already.
            node.tasks.start_soon(withdraw, node, cell, ticket_id)
            raise
        if reply.status is AcquireStatus.GRANTED:
            held = _register_permit(node, spec, cell, ticket_id, reply, asked_s)
            node.note(
                admitted.request_id, "A permit was granted.",
                cell=cell, owner=owner.host, replicas=list(reply.replicas),
                waited_s=round(read_clock() - started_s, 4),
            )  # fmt: skip
            return held, asked_s
        if reply.status is AcquireStatus.REFUSED:
            node.note(
                admitted.request_id, "A cell refused the request.",
                cell=cell, owner=owner.host, reason=reply.reason,
            )  # fmt: skip
            return NotRunError(
                Reason(reply.reason),
                reply.message,
                retry_after_s=reply.retry_after_ms / 1000,
            )
        if reply.status is AcquireStatus.NOT_OWNER:
            node.counters.add("permits.not_owner")
            await anyio.sleep(RETRY_DELAY_S)
            return None
        now_s = read_clock()
        is_over = now_s - admitted.arrived_s > admitted.request_class.max_wait_s
        if is_over or has_better_cell(node, spec, cell, now_s=now_s):
            node.tasks.start_soon(withdraw, node, cell, ticket_id)
            return None


def has_better_cell(node, spec, cell, *, now_s):
    """Tell whether a request waits at a cell that can't serve it, and another can.

    The owner of a cell whose replicas have all ended keeps requests waiting, since a
    replica may return at any time.
    """
    summaries = gather_summaries(node, now_s)
    own = summaries.get(cell)
    if own is None or own.free_requests > 0 or own.tokens_per_s > 0:
        return False
    cells = node.get_cell_index().cells_by_served.get(spec.serves, ())
    return any(
        one != cell and one in summaries and summaries[one].free_requests > 0
        for one in cells
    )


def _make_acquire_request(node, spec, cell, ticket_id, owner, now_s):
    """Return the message that asks an owner for a permit."""
    admitted = spec.admitted
    return AcquireRequest(
        owner_id=owner.member_id,
        cell=cell,
        ticket_id=ticket_id,
        entry_id=node.own_id,
        request_id=admitted.request_id,
        customer=admitted.customer.name,
        request_class=admitted.request_class.name,
        prompt_tokens=spec.prompt_tokens,
        answer_tokens=spec.answer_tokens,
        prefix_key=spec.prefix_key,
        left_ms=max(1, int((admitted.deadline_s - now_s) * 1000)),
        waited_ms=max(0, int((now_s - admitted.arrived_s) * 1000)),
        avoid=spec.avoid,
    )


LOCAL_HANDLERS = {
    "acquire": _cell_owner.acquire,
    "met": _cell_owner.record_acceptance,
    "adopt": _cell_owner.adopt,
    "finish": _cell_owner.finish,
    "renew": _cell_owner.renew,
}
"""Handlers of the owner's calls, used directly if this node is the owner."""


async def _call_owner(node, owner, name, request, *, timeout_s=CALL_TIMEOUT_S):
    """Call the owner; skip the network if the owner is this node.

    Raises
    ------
    PeerUnreachable
        If another node does not answer in time.
    """
    if owner == node.own:
        return await LOCAL_HANDLERS[name](node, request)
    return await node.peers.call(owner.peer_address, name, request, timeout_s=timeout_s)


def _register_permit(node, spec, cell, ticket_id, reply, now_s):
    """Store a granted permit, so that it is renewed."""
    admitted = spec.admitted
    ticket = Ticket(
        ticket_id=ticket_id,
        entry_id=node.own_id,
        request_id=admitted.request_id,
        customer=admitted.customer.name,
        request_class=admitted.request_class.name,
        priority=admitted.request_class.priority,
        aging_s=admitted.request_class.aging_s,
        weight=admitted.customer.weight,
        prompt_tokens=spec.prompt_tokens,
        answer_tokens=spec.answer_tokens,
        prefix_key=spec.prefix_key,
        arrived_s=admitted.arrived_s,
        asked_s=now_s,
        deadline_s=admitted.deadline_s,
    )
    parts = len(reply.replicas)
    permit = Permit(
        permit_id=reply.permit_id,
        ticket=ticket,
        replicas=reply.replicas,
        tokens=(-(-ticket.total_tokens // parts),) * parts,
        granted_s=now_s,
        renewed_s=now_s,
    )
    held = HeldPermit(permit, cell, wants_met=reply.wants_met)
    node.permits[reply.permit_id] = held
    return held


def is_permit_usable(node, held, asked_s):
    """Check, right before dispatch, whether a permit may still be used.

    False if it may not be used now but another one may be acquired; ``NotRunError`` is
    raised if this node can't know the configuration in force.
    """
    now_s = read_clock()
    fresh = node.is_fresh(now_s=now_s)
    if not fresh and node.is_recovering_from_stall(now_s=now_s):
        return False
    return check_dispatch(
        node.fleet,
        held.permit.replicas,
        fresh=fresh,
        permit_asked_s=asked_s,
        now_s=now_s,
        permit_use_s=node.settings.permit_use_s,
    )


def report_acceptance(node, held, replica, boot_id):
    """Report to a permit's owner that an upstream has accepted its request.

    Nothing is sent unless the owner asked for it (``wants_met``). The call runs in the
    background; if it is lost, the owner asks the upstream.
    """
    if held.wants_met:
        request = MetRequest(held.cell, held.permit.permit_id, replica, boot_id)
        node.tasks.start_soon(_tell_owner, node, "met", request)


def release_permit(node, held, *, broken=()):
    """End a permit.

    The call to the owner runs in the background. If it is lost, the owner ends the
    permit when its renewals stop.

    Parameters
    ----------
    node : NodeState
        This node.
    held : HeldPermit
        The permit.
    broken : iterable of str
        Replicas whose connection broke or that fell silent.
    """
    if node.permits.pop(held.permit.permit_id, None) is None:
        return
    request = FinishRequest(
        held.cell,
        permit_id=held.permit.permit_id,
        ticket_id=held.permit.ticket.ticket_id,
        broken=tuple(broken),
    )
    node.tasks.start_soon(_tell_owner, node, "finish", request)


async def withdraw(node, cell, ticket_id):
    """Tell an owner that a request no longer waits for a permit."""
    await _tell_owner(node, "finish", FinishRequest(cell, ticket_id=ticket_id))


async def _tell_owner(node, name, request):
    """Make a call to a cell's owner; count it if it is lost.

    It is not repeated, as owners recover from the loss of these calls by themselves.
    """
    owner = node.membership.find_owner(request.cell)
    if owner is None:
        return
    try:
        await _call_owner(node, owner, name, request)
    except PeerUnreachable:
        node.counters.add(f"permits.{name}_lost")


async def renew_permits(node):
    """Renew all permits periodically, with one call per cell."""
    async with anyio.create_task_group() as group:
        while True:
            await anyio.sleep(node.settings.permit_renewal_s)
            by_cell = defaultdict(list)
            for permit_id, held in node.permits.items():
                by_cell[held.cell].append(permit_id)
            for cell, permit_ids in by_cell.items():
                group.start_soon(_renew_cell, node, cell, tuple(permit_ids))


async def _renew_cell(node, cell, permit_ids):
    """Renew one cell's permits; send those that a new owner does not know in full."""
    owner = node.membership.find_owner(cell)
    if owner is None:
        return
    request = RenewRequest(cell, permit_ids)
    try:
        reply = await _call_owner(node, owner, "renew", request)
    except PeerUnreachable:
        return
    permits = tuple(
        node.permits[permit_id].permit
        for permit_id in reply.unknown
        if permit_id in node.permits
    )
    if not permits:
        return
    node.counters.add("permits.reported_again", len(permits))
    try:
        await _call_owner(node, owner, "adopt", AdoptRequest(cell, permits))
    except PeerUnreachable:
        return
