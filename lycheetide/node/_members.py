"""Ask peers for what they know, and propose views."""

import random

import anyio

from lycheetide.membership import make_view_record
from lycheetide.metrics import get_log
from lycheetide.node._state import draw_id, read_clock
from lycheetide.peers import PeerUnreached, PullReply, PullRequest
from lycheetide.platformlog import LogUnavailable

PULL_S = 1.0
PROPOSE_INTERVAL_S = 0.3
DEPOSE_LOG_S = 1.5
"""A log that gave no answer for so long may not take a new view in time."""
DEPOSE_EXTRA_S = 1.5
"""Silence beyond what makes a member suspect: a view comes first if it can, and a busy
host isn't taken for a dead one. Being deposed lasts until the log is back."""

log = get_log("member")


def make_rows(node, now_s):
    """Return what this node tells its peers."""
    cells = [owned.cell.summarize(now_s=now_s) for owned in node.cells.values()]
    return tuple(
        node.membership.make_rows(
            state=node.life,
            config_version=node.config.version,
            cells=cells,
            now_s=now_s,
        )
    )


def give_rows(node):
    """Return the handler that answers a heartbeat."""

    async def pull(request):
        view = node.membership.view
        newer = view if view.number > request.row.view_number else None
        return PullReply(make_rows(node, read_clock()), newer)

    return pull


def list_addresses(node):
    """Return the peer addresses of members and listed hosts, without this node's."""
    addresses = {member.peer_address for member in node.membership.view.members}
    addresses.update(host.peer_address for host in node.hosts or ())
    addresses.discard(node.settings.peer_address)
    return sorted(addresses)


async def pull_peers(node, on_change, *, random_state=None):
    """Ask a few peers for what they know, at each interval, for ever.

    Parameters
    ----------
    node : NodeState
        The node.
    on_change : callable
        Called when a peer told of a newer view.
    random_state : random.Random or None, default=None
        Draws the peers; None seeds itself.
    """
    draw = random_state or random.Random()
    async with anyio.create_task_group() as group:
        while True:
            node.membership.deputies.note_awake(now_s=read_clock())
            addresses = list_addresses(node)
            fanout = min(node.settings.heartbeat_fanout, len(addresses))
            for address in draw.sample(addresses, fanout):
                group.start_soon(_pull_one, node, address, on_change)
            await anyio.sleep(node.settings.heartbeat_interval_s)


async def _pull_one(node, address, on_change):
    """Ask one peer; its answer is dated by when it was asked."""
    asked_s = read_clock()
    own_row = make_rows(node, asked_s)[0]
    timeout_s = min(PULL_S, node.settings.lease_s)
    try:
        reply = await node.peers.call(
            address, "pull", PullRequest(own_row), timeout_s=timeout_s
        )
    except PeerUnreached:
        node.counters.add("heartbeats.unanswered")
        return
    now_s = read_clock()
    if reply.view is not None and node.membership.take_view(reply.view, now_s=now_s):
        on_change()
    rows = [row for row in reply.rows if row.member.member_id != node.own_id]
    out = node.membership.deputies.out
    node.membership.take_rows(rows, asked_s=asked_s, now_s=now_s)
    if node.membership.deputies.out != out:
        on_change()


async def propose_views(node, on_change):
    """Propose a view when the members that are heard differ from it, for ever.

    Parameters
    ----------
    node : NodeState
        The node.
    on_change : callable
        Called when others stand in for members that can't act.
    """
    while True:
        await anyio.sleep(PROPOSE_INTERVAL_S)
        now_s = read_clock()
        if now_s - node.log_asked_s > DEPOSE_LOG_S:
            node.membership.depose_silent(
                now_s=now_s, silent_s=node.settings.suspect_s + DEPOSE_EXTRA_S
            )
        out = node.membership.deputies.out
        node.membership.settle(now_s=now_s)
        if node.membership.deputies.out != out:
            on_change()
        view = node.membership.view
        members = node.membership.propose(node.hosts, own_state=node.life, now_s=now_s)
        if members is None:
            continue
        record = make_view_record(draw_id(), base_number=view.number, members=members)
        try:
            await node.log.append(node.view_stream, [record])
            node.counters.add("views.proposed")
        except LogUnavailable as error:
            log.debug("A view can't be proposed.", extra={"cause": str(error)})
        await _wait_for_view(node, view.number)


async def _wait_for_view(node, number):
    """Wait until a later view is read, or for a while."""
    with anyio.move_on_after(1.0):
        while node.membership.view.number == number:
            await anyio.sleep(0.05)
