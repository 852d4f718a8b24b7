"""Follow the log: the configuration, the views and the list of hosts."""

import anyio

from lycheetide.fleet import fold, make_snapshot_record, restore
from lycheetide.fleet._fold import begin
from lycheetide.membership import make_view_snapshot_record
from lycheetide.metrics import get_log
from lycheetide.node._state import (
    BOOKING_STREAM,
    CONFIG_STREAM,
    VERDICTS_KEPT,
    read_clock,
)
from lycheetide.peers import ConfigReply, ConfigRequest, PeerUnreached
from lycheetide.platformlog import LogUnavailable, read_hosts

RETRY_S = 0.2
HOSTS_INTERVAL_S = 1.0
HEAD_INTERVAL_S = 2.0
PEER_CONFIG_S = 1.0

config_log = get_log("config")
member_log = get_log("member")


async def follow_config(node, on_change):
    """Take configuration records into force, for ever.

    Parameters
    ----------
    node : NodeState
        The node.
    on_change : callable
        Called after each change that is accepted.
    """
    while True:
        asked_s = read_clock()
        offset = node.config.folded_offset + 1
        try:
            batch = await node.log.read(
                CONFIG_STREAM, offset, wait_s=node.settings.log_wait_s
            )
            if batch.first_retained > offset:
                batch = await node.log.read_all(CONFIG_STREAM, batch.first_retained)
        except LogUnavailable as error:
            config_log.debug("The log can't be read.", extra={"cause": str(error)})
            node.counters.add("log.unavailable")
            await anyio.sleep(RETRY_S)
            continue
        state = begin(batch.records, batch.first_retained, node.config)
        if state is None:
            config_log.error(
                "The log has a gap that no snapshot closes.",
                extra={"first_retained": batch.first_retained, "offset": offset},
            )
            node.counters.add("config.gap")
            await anyio.sleep(RETRY_S)
            continue
        _fold_batch(node, state, batch, on_change)
        node.log_asked_s = max(node.log_asked_s, asked_s)
        on_change()


def _fold_batch(node, state, batch, on_change):
    """Fold a batch of records into the state."""
    changed = state.version > node.config.version
    for offset, record in batch.records:
        before = state.version
        state, verdict = fold(state, offset, record)
        changed = changed or state.version != before
        if verdict is not None:
            _keep_verdict(node, verdict)
    node.config = state
    if changed:
        _announce(node)


def _keep_verdict(node, verdict):
    """Remember what became of a change, for whoever published it.

    A publisher whose append had no answer appends again with the same id; the second
    record loses against the first one, which must not look like a refusal.
    """
    known = node.verdicts.get(verdict.record_id)
    if known is not None and known.accepted:
        return
    node.verdicts[verdict.record_id] = verdict
    while len(node.verdicts) > VERDICTS_KEPT:
        node.verdicts.popitem(last=False)
    if not verdict.accepted:
        node.counters.add("config.refused")
        config_log.warning(
            "A change was refused.",
            extra={"record_id": verdict.record_id, "findings": verdict.findings},
        )


def _announce(node):
    """Note that another version is in force."""
    node.config_since_s = read_clock()
    node.counters.add("config.changed")
    config_log.info(
        "A configuration is in force.", extra={"version": node.config.version}
    )
    node.config_changed.set()
    node.config_changed = type(node.config_changed)()


async def follow_peers_config(node, on_change):
    """Fetch the configuration from a peer that has a newer one, for ever.

    During an outage of the log this is how a new host learns it; a node that is cut
    off from the log alone learns of a change so.
    """
    while True:
        await anyio.sleep(node.settings.heartbeat_interval_s)
        version, member = node.membership.newest_config()
        if version <= node.config.version or member is None:
            continue
        try:
            reply = await node.peers.call(
                member.peer_address,
                "fetch_config",
                ConfigRequest(node.config.version),
                timeout_s=PEER_CONFIG_S,
            )
        except PeerUnreached:
            continue
        if reply.snapshot is None:
            continue
        state = restore(reply.snapshot)
        if state.version > node.config.version:
            node.config = state
            node.counters.add("config.from_peer")
            _announce(node)
            on_change()


def give_config(node):
    """Return the handler that gives the configuration to a peer."""

    async def fetch_config(request):
        if node.config.version <= request.version:
            return ConfigReply()
        return ConfigReply(make_snapshot_record(node.config))

    return fetch_config


async def follow_views(node, on_change):
    """Take views into force, for ever."""
    offset = 0
    while True:
        try:
            batch = await node.log.read(
                node.view_stream, offset, wait_s=node.settings.log_wait_s
            )
        except LogUnavailable:
            await anyio.sleep(RETRY_S)
            continue
        now_s = read_clock()
        changed = False
        for position, record in batch.records:
            offset = position + 1
            if node.membership.take_record(position, record, now_s=now_s):
                changed = True
        if changed:
            hosts = [member.host for member in node.membership.view.members]
            member_log.info(
                "A view is in force.",
                extra={"view": node.membership.view.number, "hosts": hosts},
            )
            on_change()


async def follow_hosts(node):
    """Read the platform's list of hosts, for ever."""
    while True:
        try:
            node.hosts = await read_hosts(node.http, node.settings.hosts_url)
        except LogUnavailable:
            node.counters.add("hosts.unavailable")
        await anyio.sleep(HOSTS_INTERVAL_S)


async def follow_booking_head(node):
    """Keep the end of the bookings' stream known, for the birth of new keys."""
    while True:
        try:
            batch = await node.log.read(
                BOOKING_STREAM, node.booking_writer.next_offset, limit=1
            )
            node.booking_writer.next_offset = max(
                node.booking_writer.next_offset, batch.next_offset
            )
        except LogUnavailable:
            await anyio.sleep(RETRY_S)
            continue
        await anyio.sleep(HEAD_INTERVAL_S)


async def write_snapshots(node):
    """Append a snapshot when many records have come since the last, for ever.

    Only the first member of the view does so; a second one would do no harm.
    """
    last = node.config.folded_offset
    while True:
        await anyio.sleep(HEAD_INTERVAL_S)
        members = node.membership.view.members
        if not members or members[0].member_id != node.own_id:
            last = node.config.folded_offset
            continue
        if node.config.folded_offset - last < node.settings.snapshot_records:
            continue
        try:
            record = make_snapshot_record(node.config)
            await node.log.append(CONFIG_STREAM, [record])
            view_record = make_view_snapshot_record(node.membership.view)
            await node.log.append(node.view_stream, [view_record])
            last = node.config.folded_offset
            node.counters.add("config.snapshot")
        except LogUnavailable:
            continue
