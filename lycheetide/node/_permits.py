"""The entry's side of permits: get one, keep it alive, give it back."""

import itertools
import random
from collections import defaultdict
from dataclasses import dataclass

import anyio

from lycheetide.node import _owner
from lycheetide.node._state import HeldPermit, draw_id, read_clock
from lycheetide.outcomes import NotRun, Reason
from lycheetide.peers import (
    AcquireRequest,
    AcquireStatus,
    AdoptRequest,
    FinishRequest,
    MetRequest,
    PeerUnreached,
    RenewRequest,
)
from lycheetide.routing import check_dispatch, rank_cells
from lycheetide.scheduling import Permit, Ticket

CALL_MARGIN_S = 0.5
FINISH_S = 1.0
ACQUIRE_S = _owner.SLICE_S + CALL_MARGIN_S
"""An owner holds a call for a slice; the margin is for the way there and back."""
RETRY_S = 0.05
REFUSED_RETRY_S = 0.5
UNREACHED_RETRY_AFTER_S = 2.0

_draw = random.Random()


@dataclass(frozen=True)
class Wish:
    """What a permit is wanted for.

    Parameters
    ----------
    admitted : Admitted
        The request.
    serves : str
        The model or the service.
    prompt_tokens, answer_tokens : int
        Its size.
    prefix_key : str
        Empty for plain services.
    avoid : tuple of str
        Replicas on which an earlier attempt broke.
    is_begun : bool
        Whether a part of its answer has come.
    """

    admitted: object
    serves: str
    prompt_tokens: int
    answer_tokens: int
    prefix_key: str = ""
    avoid: tuple[str, ...] = ()
    is_begun: bool = False


def gather_summaries(node, now_s):
    """Return what owners said of their cells; the newest for each."""
    summaries = {}
    known = sorted(node.membership.evidence.values(), key=lambda k: k.at_s)
    for evidence in known:
        for summary in evidence.row.cells:
            summaries[summary.cell] = summary
    for name, owned in node.cells.items():
        summaries[name] = owned.cell.summarize(now_s=now_s)
    return summaries


async def get_permit(node, wish):
    """Ask for a permit until there is one, or until all refuse.

    An answer that has begun would be cut by a refusal, and its caller can't take it up
    elsewhere; so it is asked for again until the deadline.

    Parameters
    ----------
    node : NodeState
        This node.
    wish : Wish
        What the permit is for.

    Returns
    -------
    permit : HeldPermit
        Registered for renewal; to be given back by ``give_back``.
    asked_s : float
        When the call that brought it was sent; it has to be used soon after.

    Raises
    ------
    NotRun
        If all refuse.
    """
    while True:
        try:
            return await _ask_cells(node, wish)
        except NotRun as refusal:
            if not wish.is_begun:
                raise
            node.counters.add(f"permits.refused_begun.{refusal.reason}")
        await anyio.sleep(REFUSED_RETRY_S)


async def _ask_cells(node, wish):
    """Ask the owners of the cells, the best first, until one grants or all refuse."""
    admitted = wish.admitted
    cells = node.find_index().by_served.get(wish.serves, ())
    if not cells:
        raise NotRun(
            Reason.NO_CAPACITY, f"no replica serves {wish.serves}", retry_after_s=5.0
        )
    ticket_ids = {cell: f"{draw_id()}@{cell}" for cell in cells}
    refusals: dict[str, NotRun] = {}
    started_s = read_clock()
    for turn in itertools.count():
        now_s = read_clock()
        ranked = rank_cells(
            [cell for cell in cells if cell not in refusals],
            gather_summaries(node, now_s),
            prefix_key=wish.prefix_key,
            prompt_tokens=wish.prompt_tokens,
            draw=_draw.random,
        )
        if not ranked:
            raise min(refusals.values(), key=lambda r: r.retry_after_s or 0.0)
        cell = ranked[turn % len(ranked)]
        result = await _ask_cell(node, wish, cell, ticket_ids[cell], started_s)
        if isinstance(result, NotRun):
            refusals[cell] = result
        elif result is not None:
            return result
        waited_s = read_clock() - admitted.arrived_s
        if waited_s > admitted.request_class.max_wait_s:
            raise NotRun(
                Reason.OVERLOADED,
                f"no replica became free within {waited_s:.1f} s",
                retry_after_s=UNREACHED_RETRY_AFTER_S,
            )
    raise AssertionError("unreachable")


async def _ask_cell(node, wish, cell, ticket_id, started_s):
    """Ask one owner until it grants, refuses or is not the owner any more.

    Returns
    -------
    (HeldPermit, float), NotRun or None
        None if another cell should be asked.
    """
    admitted = wish.admitted
    while True:
        owner = node.membership.find_owner(cell)
        if owner is None:
            await anyio.sleep(RETRY_S)
            return None
        asked_s = read_clock()
        request = _make_request(node, wish, cell, ticket_id, owner, asked_s)
        try:
            reply = await _call_owner(
                node,
                owner,
                "acquire",
                request,
                timeout_s=ACQUIRE_S,
            )
        except PeerUnreached:
            node.counters.add("permits.owner_unreached")
            node.tasks.start_soon(withdraw, node, cell, ticket_id)
            await anyio.sleep(RETRY_S)
            return None
        except BaseException:
            # The request was given up on; a permit may be on its way all the same.
            node.tasks.start_soon(withdraw, node, cell, ticket_id)
            raise
        if reply.status is AcquireStatus.GRANTED:
            held = _register(node, wish, cell, ticket_id, reply, asked_s)
            node.note(
                admitted.request_id, "A permit was granted.",
                cell=cell, owner=owner.host, replicas=list(reply.replicas),
                waited_s=round(read_clock() - started_s, 4),
            )  # fmt: skip
            return held, asked_s
        if reply.status is AcquireStatus.REFUSED:
            node.note(
                admitted.request_id, "A cell refused.",
                cell=cell, owner=owner.host, reason=reply.reason,
            )  # fmt: skip
            return NotRun(
                Reason(reply.reason),
                reply.message,
                retry_after_s=reply.retry_after_ms / 1000,
            )
        if reply.status is AcquireStatus.NOT_OWNER:
            node.counters.add("permits.not_owner")
            await anyio.sleep(RETRY_S)
            return None
        if read_clock() - admitted.arrived_s > admitted.request_class.max_wait_s:
            node.tasks.start_soon(withdraw, node, cell, ticket_id)
            return None


def _make_request(node, wish, cell, ticket_id, owner, now_s):
    """Return the message to the owner."""
    admitted = wish.admitted
    return AcquireRequest(
        owner_id=owner.member_id,
        cell=cell,
        ticket_id=ticket_id,
        entry_id=node.own_id,
        request_id=admitted.request_id,
        customer=admitted.customer.name,
        request_class=admitted.request_class.name,
        prompt_tokens=wish.prompt_tokens,
        answer_tokens=wish.answer_tokens,
        prefix_key=wish.prefix_key,
        left_ms=max(1, int((admitted.deadline_s - now_s) * 1000)),
        waited_ms=max(0, int((now_s - admitted.arrived_s) * 1000)),
        avoid=wish.avoid,
    )


LOCAL_CALLS = {
    "acquire": _owner.acquire,
    "met": _owner.note_met,
    "adopt": _owner.adopt,
    "finish": _owner.finish,
    "renew": _owner.renew,
}
"""What an owner answers, for calls within this node."""


async def _call_owner(node, owner, name, request, *, timeout_s=FINISH_S):
    """Call the owner; this node itself is called without a network.

    Raises
    ------
    PeerUnreached
        If another node gives no answer.
    """
    if owner == node.own:
        return await LOCAL_CALLS[name](node, request)
    return await node.peers.call(owner.peer_address, name, request, timeout_s=timeout_s)


def _register(node, wish, cell, ticket_id, reply, now_s):
    """Keep a permit for renewal."""
    admitted = wish.admitted
    ticket = Ticket(
        ticket_id=ticket_id,
        entry_id=node.own_id,
        request_id=admitted.request_id,
        customer=admitted.customer.name,
        request_class=admitted.request_class.name,
        priority=admitted.request_class.priority,
        aging_s=admitted.request_class.aging_s,
        weight=admitted.customer.weight,
        prompt_tokens=wish.prompt_tokens,
        answer_tokens=wish.answer_tokens,
        prefix_key=wish.prefix_key,
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


def may_send(node, held, asked_s):
    """Look a last time whether a permit may be used."""
    now_s = read_clock()
    fresh = node.is_fresh(now_s=now_s)
    if not fresh and node.is_waking(now_s=now_s):
        return False
    return check_dispatch(
        node.fleet,
        held.permit.replicas,
        fresh=fresh,
        permit_asked_s=asked_s,
        now_s=now_s,
        permit_use_s=node.settings.permit_use_s,
    )


def tell_met(node, held, replica, boot_id):
    """Tell a permit's owner that an upstream has taken its request, if it waits for it.

    The call goes on by itself; if it is lost, the owner asks the upstream.
    """
    if held.wants_met:
        request = MetRequest(held.cell, held.permit.permit_id, replica, boot_id)
        node.tasks.start_soon(_tell_owner, node, "met", request)


def give_back(node, held, *, broken=()):
    """End a permit; the call to the owner goes on by itself.

    If it is lost, the owner misses the renewals.

    Parameters
    ----------
    node : NodeState
        This node.
    held : HeldPermit
        The permit.
    broken : iterable of str
        Replicas whose connection broke or fell silent.
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
    """Tell an owner that a request waits no more."""
    await _tell_owner(node, "finish", FinishRequest(cell, ticket_id=ticket_id))


async def _tell_owner(node, name, request):
    """Make a call whose loss its owner makes up for by itself; count a lost one."""
    owner = node.membership.find_owner(request.cell)
    if owner is None:
        return
    try:
        await _call_owner(node, owner, name, request)
    except PeerUnreached:
        node.counters.add(f"permits.{name}_lost")


async def renew_permits(node):
    """Renew all permits, one call a cell, at each interval, for ever."""
    async with anyio.create_task_group() as group:
        while True:
            await anyio.sleep(node.settings.permit_renewal_s)
            by_cell = defaultdict(list)
            for permit_id, held in node.permits.items():
                by_cell[held.cell].append(permit_id)
            for cell, permit_ids in by_cell.items():
                group.start_soon(_renew_cell, node, cell, tuple(permit_ids))


async def _renew_cell(node, cell, permit_ids):
    """Renew one cell's permits; a new owner is told what they are."""
    owner = node.membership.find_owner(cell)
    if owner is None:
        return
    request = RenewRequest(cell, permit_ids)
    try:
        reply = await _call_owner(node, owner, "renew", request)
    except PeerUnreached:
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
    except PeerUnreached:
        return
