"""Exchange heartbeats with peers and propose membership views."""

import random

import anyio

from lycheetide.membership import make_view_record
from lycheetide.metrics import get_logger
from lycheetide.node._broken_requests import apply_breaks, make_break_rows
from lycheetide.node._presence import make_present_rows
from lycheetide.node._quarantine import apply_reply, make_crash_rows
from lycheetide.node._state import generate_id, read_clock
from lycheetide.peers import PeerUnreachable, PullReply, PullRequest
from lycheetide.platformlog import LogUnavailable

PULL_TIMEOUT_S = 1.0
PROPOSE_INTERVAL_S = 0.3
DEPOSE_LOG_AGE_S = 1.5
"""After this time without an answer, the log may not accept a new view in time."""
DEPOSE_EXTRA_SILENCE_S = 1.5
"""Silence beyond ``suspect_s`` after which a member is deposed. The extra time lets a
new view come first if the log can accept one, and keeps a busy host from being taken
for a dead one. A member stays deposed until the log is back."""

log = get_logger("member")


def make_own_rows(node, now_s):
    """Return the status rows that this node sends to its peers."""
    cells = [owned.cell.summarize(now_s=now_s) for owned in node.cells.values()]
    return tuple(
        node.membership.make_rows(
            state=node.lifecycle_state,
            config_version=node.config.version,
            cells=cells,
            now_s=now_s,
        )
    )


def make_pull_handler(node):
    """Return the handler that answers heartbeats of peers."""

    async def pull(request):
        view = node.membership.view
        newer = view if view.number > request.row.view_number else None
        now_s = read_clock()
        present, parts = make_present_rows(node, now_s=now_s)
        return PullReply(
            make_own_rows(node, now_s),
            newer,
            make_crash_rows(node, now_s=now_s),
            tuple(node.quarantine.table.list_entries()),
            make_break_rows(node, now_s=now_s),
            present,
            parts,
        )

    return pull


def list_peer_addresses(node):
    """Return the peer addresses of all members and listed hosts except this node."""
    addresses = {member.peer_address for member in node.membership.view.members}
    addresses.update(host.peer_address for host in node.hosts or ())
    addresses.discard(node.settings.peer_address)
    return sorted(addresses)


async def pull_peers(node, on_change, *, random_state=None):
    """Send heartbeats to a few random peers at each interval, for ever.

    Parameters
    ----------
    node : NodeState
        This node.
    on_change : callable
        Called when a peer reports a newer view, or when the set of members that others
        stand in for changes.
    random_state : random.Random or None, default=None
        Source of randomness for the choice of peers. If None, a new generator with a
        random seed is used.
    """
    generator = random_state or random.Random()
    async with anyio.create_task_group() as group:
        while True:
            node.membership.failover.record_poll(now_s=read_clock())
            addresses = list_peer_addresses(node)
            fanout = min(node.settings.heartbeat_fanout, len(addresses))
            for address in generator.sample(addresses, fanout):
                group.start_soon(_pull_peer, node, address, on_change)
            await anyio.sleep(node.settings.heartbeat_interval_s)


async def _pull_peer(node, address, on_change):
    """Send a heartbeat to one peer and apply its reply.

    Its rows are dated by when the request was sent, since they can't be older.
    """
    asked_s = read_clock()
    own_row = make_own_rows(node, asked_s)[0]
    timeout_s = min(PULL_TIMEOUT_S, node.settings.lease_s)
    try:
        reply = await node.peers.call(
            address, "pull", PullRequest(own_row), timeout_s=timeout_s
        )
    except PeerUnreachable:
        node.counters.add("heartbeats.unanswered")
        return
    now_s = read_clock()
    if reply.view is not None and node.membership.apply_view(reply.view, now_s=now_s):
        on_change()
    apply_reply(node, reply, asked_s=asked_s, now_s=now_s)
    apply_breaks(node, reply.breaks, now_s=asked_s)
    rows = [row for row in reply.rows if row.member.member_id != node.own_id]
    out = node.membership.failover.out
    node.membership.apply_rows(rows, asked_s=asked_s, now_s=now_s)
    if node.membership.failover.out != out:
        on_change()


async def propose_views(node, on_change):
    """Propose a new view when the reachable members differ from the view, for ever.

    Parameters
    ----------
    node : NodeState
        This node.
    on_change : callable
        Called when the set of members that others stand in for changes.
    """
    while True:
        await anyio.sleep(PROPOSE_INTERVAL_S)
        now_s = read_clock()
        if now_s - node.log_read_started_s > DEPOSE_LOG_AGE_S:
            node.membership.depose_silent(
                now_s=now_s, silent_s=node.settings.suspect_s + DEPOSE_EXTRA_SILENCE_S
            )
        out = node.membership.failover.out
        node.membership.update_settled_view(now_s=now_s)
        if node.membership.failover.out != out:
            on_change()
        view = node.membership.view
        members = node.membership.propose(
            node.hosts, own_state=node.lifecycle_state, now_s=now_s
        )
        if members is None:
            continue
        record = make_view_record(
            generate_id(), base_number=view.number, members=members
        )
        try:
            await node.log.append(node.view_stream, [record])
            node.counters.add("views.proposed")
        except LogUnavailable as error:
            log.debug(
                "A view could not be proposed: the log is unavailable.",
                extra={"cause": str(error)},
            )
        await _wait_for_view(node, view.number)


async def _wait_for_view(node, number):
    """Wait until a later view has been read, at most one second."""
    with anyio.move_on_after(1.0):
        while node.membership.view.number == number:
            await anyio.sleep(0.05)
