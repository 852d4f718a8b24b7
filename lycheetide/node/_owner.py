"""The owner's side: keep cells, grant permits, and hand cells over."""

from dataclasses import dataclass, field, replace
from typing import Any

import anyio

from lycheetide.metrics import get_log
from lycheetide.node._state import read_clock
from lycheetide.outcomes import NotRun
from lycheetide.peers import (
    AcquireReply,
    AcquireStatus,
    AdoptReply,
    FinishReply,
    HandOverReply,
    HandOverRequest,
    HandOverStatus,
    MetReply,
    PeerUnreached,
    RenewReply,
)
from lycheetide.scheduling import Cell, Policy, Ticket

SLICE_S = 1.0
"""How long an owner holds one call of an entry node that waits."""

TICK_S = 0.05
HAND_OVER_S = 1.0
HAND_OVER_RETRY_S = 0.1
KEEP_RELINQUISHED_S = 60.0

log = get_log("owner")


@dataclass
class OwnedCell:
    """A cell that this node owns, and what hangs on it.

    Parameters
    ----------
    cell : Cell
        The scheduler's state.
    view_number : int
        The view by which it became this node's.
    waiters : dict of str to anyio.Event
        Set when a ticket's permit is there, or the cell is given up.
    granted : dict of str to Permit
        By ticket, so that a permit whose answer was lost is found by asking again.
    earlier : dict of str to Member
        Earlier owners that may still act.
    settled_from_s : float or None
        When the last of them can no longer have a permit in use.
    first_seen : dict of str to dict
        For each replica, holdings without an owner.
    """

    cell: Cell
    view_number: int
    waiters: dict = field(default_factory=dict)
    granted: dict = field(default_factory=dict)
    earlier: dict = field(default_factory=dict)
    settled_from_s: float | None = None
    first_seen: dict[str, Any] = field(default_factory=dict)
    proof_asked_s: dict[str, float] = field(default_factory=dict)
    given_up: bool = False


def sync_cells(node):
    """Take the cells that the view gives to this node and give up the others."""
    now_s = read_clock()
    wanted = {}
    if node.membership.view.find(node.own_id) is not None:
        for name, upstreams in node.find_index().cells.items():
            if node.membership.find_owner(name) == node.own:
                wanted[name] = upstreams
    for name in set(node.cells) - set(wanted):
        _give_up(node, name, now_s)
    for name, upstreams in wanted.items():
        if name not in node.cells:
            _take(node, name)
        owned = node.cells[name]
        domains = node.fleet.failure_domains
        owned.cell.apply_upstreams(upstreams, domains, now_s=now_s)
        run_schedule(node, owned)


def _take(node, name):
    """Begin to own a cell; earlier owners are asked for it first."""
    view = node.membership.view
    policy = Policy(permit_use_s=node.settings.permit_use_s)
    cell = Cell(name, owner_id=f"{node.own_id}@{view.number}", policy=policy)
    owned = OwnedCell(cell, view.number)
    owned.earlier = dict(node.membership.find_earlier_owners(name))
    node.cells[name] = owned
    node.relinquished.pop(name, None)
    if not owned.earlier:
        owned.settled_from_s = read_clock()
    node.counters.add("cells.taken")
    log.info("A cell is owned.", extra={"cell": name, "view": view.number})
    node.tasks.start_soon(_take_over, node, owned)


def _give_up(node, name, now_s):
    """Stop granting for a cell and keep its state for the next owner."""
    owned = node.cells.pop(name)
    owned.given_up = True
    node.relinquished[name] = (now_s, owned)
    for waiter in owned.waiters.values():
        waiter.set()
    node.counters.add("cells.given_up")
    log.info("A cell is given up.", extra={"cell": name})


async def _take_over(node, owned):
    """Ask earlier owners for the cell until none of them can act any more."""
    while owned.earlier and not owned.given_up:
        for member_id, member in list(owned.earlier.items()):
            await _ask_earlier(node, owned, member_id, member)
        if owned.earlier and node.membership.is_settled():
            # No earlier owner acts; but a permit that it gave at the last moment may
            # not have been used yet.
            await anyio.sleep(node.settings.permit_use_s)
            owned.earlier.clear()
        if owned.earlier:
            await anyio.sleep(HAND_OVER_RETRY_S)
    if owned.settled_from_s is None:
        owned.settled_from_s = read_clock()
    run_schedule(node, owned)


async def _ask_earlier(node, owned, member_id, member):
    """Ask one earlier owner for the cell's permits."""
    if member == node.own:
        del owned.earlier[member_id]
        return
    request = HandOverRequest(member_id, owned.cell.name, owned.view_number)
    try:
        reply = await node.peers.call(
            member.peer_address, "hand_over", request, timeout_s=HAND_OVER_S
        )
    except PeerUnreached:
        return
    if reply.status is HandOverStatus.NOT_YET:
        return
    if reply.status is HandOverStatus.OTHER_INCARNATION:
        # It is gone and grants no more; what it granted last may still be used.
        await anyio.sleep(node.settings.permit_use_s)
    else:
        shift_s = read_clock() - reply.now_s
        permits = [_shift(permit, shift_s) for permit in reply.permits]
        owned.cell.adopt(permits, now_s=read_clock())
        node.counters.add("cells.handed_over")
    owned.earlier.pop(member_id, None)


def _shift(permit, shift_s):
    """Return a permit with its times on this node's clock."""
    ticket = replace(
        permit.ticket,
        arrived_s=permit.ticket.arrived_s + shift_s,
        asked_s=permit.ticket.asked_s + shift_s,
        deadline_s=permit.ticket.deadline_s + shift_s,
    )
    return replace(
        permit,
        ticket=ticket,
        granted_s=permit.granted_s + shift_s,
        renewed_s=permit.renewed_s + shift_s,
    )


def is_acting(node, now_s):
    """Tell whether this node may grant now."""
    return node.membership.is_acting(now_s=now_s)


def run_schedule(node, owned):
    """Grant what can be granted and wake those who wait for it."""
    now_s = read_clock()
    if owned.given_up or not is_acting(node, now_s):
        return
    owned.cell.is_settled = not owned.earlier
    for permit in owned.cell.schedule(now_s=now_s):
        ticket_id = permit.ticket.ticket_id
        owned.granted[ticket_id] = permit
        waiter = owned.waiters.get(ticket_id)
        if waiter is not None:
            waiter.set()


async def acquire(node, request):
    """Answer an entry node that wants a permit.

    Parameters
    ----------
    node : NodeState
        This node, perhaps the owner.
    request : AcquireRequest
        The wish.

    Returns
    -------
    AcquireReply
        After ``SLICE_S`` at the latest.
    """
    now_s = read_clock()
    owned = node.cells.get(request.cell)
    if request.owner_id != node.own_id or owned is None or not is_acting(node, now_s):
        return AcquireReply(AcquireStatus.NOT_OWNER)
    if request.ticket_id not in owned.granted:
        try:
            owned.cell.ask(_make_ticket(node, request, now_s), now_s=now_s)
        except NotRun as refusal:
            return AcquireReply(
                AcquireStatus.REFUSED,
                reason=refusal.reason,
                message=refusal.message,
                retry_after_ms=int((refusal.retry_after_s or 0) * 1000),
            )
        run_schedule(node, owned)
        await _wait_for_grant(owned, request)
    permit = owned.granted.get(request.ticket_id)
    if permit is None:
        waiting = not owned.given_up
        return AcquireReply(
            AcquireStatus.WAITING if waiting else AcquireStatus.NOT_OWNER
        )
    return AcquireReply(
        AcquireStatus.GRANTED,
        permit_id=permit.permit_id,
        replicas=permit.replicas,
        wants_met=owned.cell.is_short_of_proof(permit.replicas),
    )


async def note_met(node, request):
    """Learn that an upstream has taken a request, so that the next one may follow."""
    owned = node.cells.get(request.cell)
    if owned is None:
        return MetReply()
    name = request.replica
    if owned.cell.note_met(request.permit_id, name, request.boot_id):
        run_schedule(node, owned)
    else:
        owned.proof_asked_s[name] = 0.0
    return MetReply()


async def _wait_for_grant(owned, request):
    """Wait for a ticket's permit, for one slice at most."""
    if request.ticket_id in owned.granted:
        return
    event = owned.waiters.setdefault(request.ticket_id, anyio.Event())
    try:
        with anyio.move_on_after(min(SLICE_S, request.left_ms / 1000)):
            await event.wait()
    finally:
        owned.waiters.pop(request.ticket_id, None)


def _make_ticket(node, request, now_s):
    """Return the ticket for a wish, on this node's clock."""
    request_class = node.fleet.classes.get(request.request_class)
    customer = node.fleet.customers.get(request.customer)
    return Ticket(
        ticket_id=request.ticket_id,
        entry_id=request.entry_id,
        request_id=request.request_id,
        customer=request.customer,
        request_class=request.request_class,
        priority=request_class.priority if request_class else 0,
        aging_s=request_class.aging_s if request_class else 60.0,
        weight=customer.weight if customer else 1.0,
        prompt_tokens=request.prompt_tokens,
        answer_tokens=request.answer_tokens,
        prefix_key=request.prefix_key,
        arrived_s=now_s - request.waited_ms / 1000,
        asked_s=now_s,
        deadline_s=now_s + request.left_ms / 1000,
        avoid=request.avoid,
        waiting_limit_tokens=customer.max_waiting_tokens if customer else 0,
    )


async def renew(node, request):
    """Keep permits alive."""
    owned = node.cells.get(request.cell)
    if owned is None:
        return RenewReply(())
    unknown = owned.cell.renew(request.permit_ids, now_s=read_clock())
    return RenewReply(tuple(unknown))


async def adopt(node, request):
    """Learn of permits that an earlier owner gave."""
    owned = node.cells.get(request.cell)
    if owned is not None:
        now_s = read_clock()
        permits = [replace(permit, granted_s=now_s) for permit in request.permits]
        owned.cell.adopt(permits, now_s=now_s)
    return AdoptReply()


async def finish(node, request):
    """End a permit or withdraw a ticket."""
    owned = node.cells.get(request.cell)
    if owned is None:
        return FinishReply()
    owned.cell.withdraw(request.ticket_id)
    permit_id = request.permit_id
    granted = owned.granted.pop(request.ticket_id, None)
    if granted is not None and not permit_id:
        permit_id = granted.permit_id
    owned.cell.finish(permit_id)
    for name in request.broken:
        owned.cell.take_break(name)
        owned.proof_asked_s[name] = 0.0
    run_schedule(node, owned)
    return FinishReply()


async def hand_over(node, request):
    """Give a cell to its next owner, once this node knows the later view."""
    if request.owner_id != node.own_id:
        return HandOverReply(HandOverStatus.OTHER_INCARNATION)
    if node.membership.view.number < request.view_number:
        return HandOverReply(HandOverStatus.NOT_YET)
    if request.cell in node.cells:
        return HandOverReply(HandOverStatus.NOT_YET)
    entry = node.relinquished.pop(request.cell, None)
    now_s = read_clock()
    if entry is None:
        return HandOverReply(HandOverStatus.GIVEN, now_s=now_s)
    node.relinquished[request.cell] = (now_s - KEEP_RELINQUISHED_S, entry[1])
    permits = tuple(entry[1].cell.permits.values())
    return HandOverReply(HandOverStatus.GIVEN, permits, now_s)


async def keep_cells(node):
    """Drop what is lost and grant what became free with time, for ever."""
    settings = node.settings
    while True:
        await anyio.sleep(TICK_S)
        now_s = read_clock()
        for owned in list(node.cells.values()):
            owned.cell.drop_lost(
                now_s=now_s,
                ticket_s=SLICE_S + settings.permit_use_s,
                permit_s=settings.permit_lost_s,
            )
            _forget_granted(owned)
            if owned.cell.tickets:
                run_schedule(node, owned)


def _forget_granted(owned):
    """Forget by-ticket permits that have ended."""
    for ticket_id, permit in list(owned.granted.items()):
        if permit.permit_id not in owned.cell.permits:
            del owned.granted[ticket_id]
