"""The owner's side of permits: own cells, grant permits, and hand cells over."""

from dataclasses import dataclass, field, replace
from typing import Any

import anyio

from lycheetide.metrics import get_logger
from lycheetide.node._state import read_clock
from lycheetide.outcomes import NotRunError
from lycheetide.peers import (
    AcquireReply,
    AcquireStatus,
    AdoptReply,
    FinishReply,
    HandOverReply,
    HandOverRequest,
    HandOverStatus,
    MetReply,
    PeerUnreachable,
    RenewReply,
)
from lycheetide.scheduling import Cell, SchedulingPolicy, Ticket

LONG_POLL_S = 1.0
"""Longest time that an owner holds an ``acquire`` call open until a grant."""

SCHEDULE_INTERVAL_S = 0.05
HAND_OVER_TIMEOUT_S = 1.0
HAND_OVER_RETRY_DELAY_S = 0.1
HAND_OVER_EXPIRY_S = 60.0

log = get_logger("owner")


@dataclass
class OwnedCell:
    """A cell that this node owns, and the state that depends on owning it.

    Parameters
    ----------
    cell : Cell
        The scheduler's state.
    view_number : int
        Number of the membership view that assigned the cell to this node.
    waiters : dict of str to anyio.Event
        By ticket id; set when the ticket's permit is granted, or the cell is
        relinquished.
    granted : dict of str to Permit
        By ticket id, so that an entry node that lost the reply to ``acquire`` gets the
        same permit when it asks again.
    earlier_owners : dict of str to Member
        Earlier owners that may still grant permits, by member id.
    settled_since_s : float or None
        Time from which on no permit of theirs can be unused and still valid.
    orphans_first_seen : dict of str to dict
        By replica, when each memory holding without a live request was first seen.
    probe_sent_s : dict of str to float
        By replica, when it was last asked which requests it has accepted.
    is_relinquished : bool
        Whether this node no longer owns the cell.
    """

    cell: Cell
    view_number: int
    waiters: dict = field(default_factory=dict)
    granted: dict = field(default_factory=dict)
    earlier_owners: dict = field(default_factory=dict)
    settled_since_s: float | None = None
    orphans_first_seen: dict[str, Any] = field(default_factory=dict)
    probe_sent_s: dict[str, float] = field(default_factory=dict)
    is_relinquished: bool = False


def sync_cells(node):
    """Own the cells that the membership view assigns to this node, and no others."""
    now_s = read_clock()
    assigned = {}
    if node.membership.view.find(node.own_id) is not None:
        for name, upstreams in node.get_cell_index().cells.items():
            if node.membership.find_owner(name) == node.own:
                assigned[name] = upstreams
    for name in set(node.cells) - set(assigned):
        _relinquish(node, name, now_s)
    for name, upstreams in assigned.items():
        if name not in node.cells:
            _start_owning(node, name)
        owned = node.cells[name]
        domains = node.fleet.failure_domains
        owned.cell.apply_upstreams(upstreams, domains, now_s=now_s)
        run_schedule(node, owned)


def _start_owning(node, name):
    """Start to own a cell; a task asks earlier owners for its state."""
    view = node.membership.view
    policy = SchedulingPolicy(permit_use_s=node.settings.permit_use_s)
    cell = Cell(name, owner_id=f"{node.own_id}@{view.number}", policy=policy)
    owned = OwnedCell(cell, view.number)
    owned.earlier_owners = dict(node.membership.find_earlier_owners(name))
    node.cells[name] = owned
    node.relinquished_cells.pop(name, None)
    if not owned.earlier_owners:
        owned.settled_since_s = read_clock()
    node.counters.add("cells.taken")
    log.info("This node now owns a cell.", extra={"cell": name, "view": view.number})
    node.tasks.start_soon(_take_over, node, owned)


def _relinquish(node, name, now_s):
    """Stop granting permits for a cell, and keep its state for the next owner."""
    owned = node.cells.pop(name)
    owned.is_relinquished = True
    node.relinquished_cells[name] = (now_s, owned)
    for waiter in owned.waiters.values():
        waiter.set()
    node.counters.add("cells.given_up")
    log.info("This node has relinquished a cell.", extra={"cell": name})


async def _take_over(node, owned):
    """Ask earlier owners for the cell's state until none of them can grant permits."""
    while owned.earlier_owners and not owned.is_relinquished:
        for member_id, member in list(owned.earlier_owners.items()):
            await _request_hand_over(node, owned, member_id, member)
        if owned.earlier_owners and node.membership.is_settled():
            # No earlier owner grants permits any more. Wait until the last permit that
            # one may have granted has been used or has expired.
            await anyio.sleep(node.settings.permit_use_s)
            owned.earlier_owners.clear()
        if owned.earlier_owners:
            await anyio.sleep(HAND_OVER_RETRY_DELAY_S)
    if owned.settled_since_s is None:
        owned.settled_since_s = read_clock()
    run_schedule(node, owned)


async def _request_hand_over(node, owned, member_id, member):
    """Ask one earlier owner to hand over the cell's permits."""
    if member == node.own:
        del owned.earlier_owners[member_id]
        return
    request = HandOverRequest(member_id, owned.cell.name, owned.view_number)
    try:
        reply = await node.peers.call(
            member.peer_address, "hand_over", request, timeout_s=HAND_OVER_TIMEOUT_S
        )
    except PeerUnreachable:
        return
    if reply.status is HandOverStatus.NOT_YET:
        return
    if reply.status is HandOverStatus.OTHER_INCARNATION:
        # The earlier process is gone and grants nothing more. The last permits that it
        # granted may still be used for this long.
        await anyio.sleep(node.settings.permit_use_s)
    else:
        clock_offset_s = read_clock() - reply.now_s
        permits = [_to_local_clock(permit, clock_offset_s) for permit in reply.permits]
        owned.cell.adopt(permits, now_s=read_clock())
        node.counters.add("cells.handed_over")
    owned.earlier_owners.pop(member_id, None)


def _to_local_clock(permit, clock_offset_s):
    """Return a permit with its times converted to this node's clock."""
    ticket = replace(
        permit.ticket,
        arrived_s=permit.ticket.arrived_s + clock_offset_s,
        asked_s=permit.ticket.asked_s + clock_offset_s,
        deadline_s=permit.ticket.deadline_s + clock_offset_s,
    )
    return replace(
        permit,
        ticket=ticket,
        granted_s=permit.granted_s + clock_offset_s,
        renewed_s=permit.renewed_s + clock_offset_s,
    )


def holds_lease(node, now_s):
    """Return whether this node may grant permits now."""
    return node.membership.holds_lease(now_s=now_s)


def run_schedule(node, owned):
    """Grant the permits that can be granted, and wake the calls that wait for them."""
    now_s = read_clock()
    if owned.is_relinquished or not holds_lease(node, now_s):
        return
    owned.cell.is_settled = not owned.earlier_owners
    for permit in owned.cell.schedule(now_s=now_s):
        ticket_id = permit.ticket.ticket_id
        owned.granted[ticket_id] = permit
        waiter = owned.waiters.get(ticket_id)
        if waiter is not None:
            waiter.set()


async def acquire(node, request):
    """Handle the call of an entry node that asks for a permit.

    Parameters
    ----------
    node : NodeState
        This node, which may or may not own the cell.
    request : AcquireRequest
        The request for a permit.

    Returns
    -------
    AcquireReply
        The outcome so far, after at most ``LONG_POLL_S``.
    """
    now_s = read_clock()
    owned = node.cells.get(request.cell)
    if request.owner_id != node.own_id or owned is None or not holds_lease(node, now_s):
        return AcquireReply(AcquireStatus.NOT_OWNER)
    if request.ticket_id not in owned.granted:
        try:
            owned.cell.enqueue(_make_ticket(node, request, now_s), now_s=now_s)
        except NotRunError as refusal:
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
        waiting = not owned.is_relinquished
        return AcquireReply(
            AcquireStatus.WAITING if waiting else AcquireStatus.NOT_OWNER
        )
    return AcquireReply(
        AcquireStatus.GRANTED,
        permit_id=permit.permit_id,
        replicas=permit.replicas,
        wants_met=owned.cell.is_awaiting_confirmation(permit.replicas),
    )


async def record_acceptance(node, request):
    """Handle an entry node's report that an upstream has accepted a request.

    Only a few requests may be granted to a replica ahead of such a confirmation, so
    each one lets another request follow.
    """
    owned = node.cells.get(request.cell)
    if owned is None:
        return MetReply()
    name = request.replica
    if owned.cell.record_accepted_permit(request.permit_id, name, request.boot_id):
        run_schedule(node, owned)
    else:
        owned.probe_sent_s[name] = 0.0
    return MetReply()


async def _wait_for_grant(owned, request):
    """Wait for a ticket's permit, for at most ``LONG_POLL_S``."""
    if request.ticket_id in owned.granted:
        return
    event = owned.waiters.setdefault(request.ticket_id, anyio.Event())
    try:
        with anyio.move_on_after(min(LONG_POLL_S, request.left_ms / 1000)):
            await event.wait()
    finally:
        owned.waiters.pop(request.ticket_id, None)


def _make_ticket(node, request, now_s):
    """Return the ticket for an ``acquire`` request, with times on this node's clock."""
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
    """Renew permits; return the ids of those that this owner does not know."""
    owned = node.cells.get(request.cell)
    if owned is None:
        return RenewReply(())
    unknown = owned.cell.renew(request.permit_ids, now_s=read_clock())
    return RenewReply(tuple(unknown))


async def adopt(node, request):
    """Take over permits that an earlier owner granted, as entry nodes report them."""
    owned = node.cells.get(request.cell)
    if owned is not None:
        now_s = read_clock()
        permits = [replace(permit, granted_s=now_s) for permit in request.permits]
        owned.cell.adopt(permits, now_s=now_s)
    return AdoptReply()


async def finish(node, request):
    """End a permit or withdraw a ticket; probe replicas that are reported broken."""
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
        owned.cell.mark_broken(name)
        owned.probe_sent_s[name] = 0.0
    run_schedule(node, owned)
    return FinishReply()


async def hand_over(node, request):
    """Hand a cell over to its next owner, once this node knows the later view."""
    if request.owner_id != node.own_id:
        return HandOverReply(HandOverStatus.OTHER_INCARNATION)
    if node.membership.view.number < request.view_number:
        return HandOverReply(HandOverStatus.NOT_YET)
    if request.cell in node.cells:
        return HandOverReply(HandOverStatus.NOT_YET)
    entry = node.relinquished_cells.pop(request.cell, None)
    now_s = read_clock()
    if entry is None:
        return HandOverReply(HandOverStatus.GIVEN, now_s=now_s)
    node.relinquished_cells[request.cell] = (now_s - HAND_OVER_EXPIRY_S, entry[1])
    permits = tuple(entry[1].cell.permits.values())
    return HandOverReply(HandOverStatus.GIVEN, permits, now_s)


async def keep_cells(node):
    """Periodically drop lost tickets and permits, and grant what time has freed."""
    settings = node.settings
    while True:
        await anyio.sleep(SCHEDULE_INTERVAL_S)
        now_s = read_clock()
        for owned in list(node.cells.values()):
            owned.cell.drop_expired(
                now_s=now_s,
                ticket_s=LONG_POLL_S + settings.permit_use_s,
                permit_s=settings.permit_lost_s,
            )
            _drop_ended_permits(owned)
            if owned.cell.tickets:
                run_schedule(node, owned)


def _drop_ended_permits(owned):
    """Remove permits that have ended from ``owned.granted``."""
    for ticket_id, permit in list(owned.granted.items()):
        if permit.permit_id not in owned.cell.permits:
            del owned.granted[ticket_id]
