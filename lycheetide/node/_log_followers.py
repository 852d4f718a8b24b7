"""Tasks that follow the log, for configuration and views, and the list of hosts."""

import anyio

from lycheetide.fleet import fold, make_snapshot_record, restore_snapshot
from lycheetide.fleet._fold import find_start_state
from lycheetide.membership import make_view_snapshot_record
from lycheetide.metrics import get_logger
from lycheetide.node._state import (
    BOOKING_STREAM,
    CONFIG_STREAM,
    MAX_VERDICTS,
    read_clock,
)
from lycheetide.peers import ConfigReply, ConfigRequest, PeerUnreachable
from lycheetide.platformlog import LogUnavailable, read_hosts

RETRY_DELAY_S = 0.2
HOSTS_INTERVAL_S = 1.0
LOG_HEAD_INTERVAL_S = 2.0
PEER_CONFIG_TIMEOUT_S = 1.0

config_log = get_logger("config")
member_log = get_logger("member")


async def follow_config(node, on_change):
    """Apply configuration records from the log as they are appended.

    Parameters
    ----------
    node : NodeState
        The node.
    on_change : callable
        Called after each successful read of the log, even if nothing changed.
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
            config_log.debug(
                "Reading the log failed; the read is repeated.",
                extra={"cause": str(error)},
            )
            node.counters.add("log.unavailable")
            await anyio.sleep(RETRY_DELAY_S)
            continue
        state = find_start_state(batch.records, batch.first_retained, node.config)
        if state is None:
            config_log.error(
                "The log has a gap that no snapshot covers.",
                extra={"first_retained": batch.first_retained, "offset": offset},
            )
            node.counters.add("config.gap")
            await anyio.sleep(RETRY_DELAY_S)
            continue
        _fold_batch(node, state, batch, on_change)
        node.log_read_started_s = max(node.log_read_started_s, asked_s)
        on_change()


def _fold_batch(node, state, batch, on_change):
    """Fold a batch of records into the configuration state."""
    changed = state.version > node.config.version
    for offset, record in batch.records:
        before = state.version
        state, verdict = fold(state, offset, record)
        changed = changed or state.version != before
        if verdict is not None:
            _store_verdict(node, verdict)
    node.config = state
    if changed:
        _record_new_version(node)


def _store_verdict(node, verdict):
    """Store the verdict on a change, so that its publisher can fetch it.

    A publisher that got no reply to its append repeats it with the same id. The second
    record is refused because of the first one. This must not make an accepted change
    look refused, so a stored acceptance is kept.
    """
    known = node.verdicts.get(verdict.record_id)
    if known is not None and known.accepted:
        return
    node.verdicts[verdict.record_id] = verdict
    while len(node.verdicts) > MAX_VERDICTS:
        node.verdicts.popitem(last=False)
    if not verdict.accepted:
        node.counters.add("config.refused")
        config_log.warning(
            "A configuration change was refused.",
            extra={"record_id": verdict.record_id, "findings": verdict.findings},
        )


def _record_new_version(node):
    """Log and count a new configuration version, and set ``config_changed``."""
    node.config_changed_s = read_clock()
    node.counters.add("config.changed")
    config_log.info(
        "A configuration is in force.", extra={"version": node.config.version}
    )
    node.config_changed.set()
    node.config_changed = type(node.config_changed)()


async def follow_peers_config(node, on_change):
    """Fetch the configuration from a peer whenever one has a newer version.

    A new host that starts during an outage of the log gets the configuration this way,
    and so does a node that alone is cut off from the log when there is a change.
    """
    while True:
        await anyio.sleep(node.settings.heartbeat_interval_s)
        version, member = node.membership.find_newest_config()
        if version <= node.config.version or member is None:
            continue
        try:
            reply = await node.peers.call(
                member.peer_address,
                "fetch_config",
                ConfigRequest(node.config.version),
                timeout_s=PEER_CONFIG_TIMEOUT_S,
            )
        except PeerUnreachable:
            continue
        if reply.snapshot is None:
            continue
        state = restore_snapshot(reply.snapshot)
        if state.version > node.config.version:
            node.config = state
            node.counters.add("config.from_peer")
            _record_new_version(node)
            on_change()


def make_config_handler(node):
    """Return the handler that sends this node's configuration to a peer."""

    async def fetch_config(request):
        if node.config.version <= request.version:
            return ConfigReply()
        return ConfigReply(make_snapshot_record(node.config))

    return fetch_config


async def follow_views(node, on_change):
    """Apply membership views from the log as they are appended."""
    offset = 0
    while True:
        try:
            batch = await node.log.read(
                node.view_stream, offset, wait_s=node.settings.log_wait_s
            )
        except LogUnavailable:
            await anyio.sleep(RETRY_DELAY_S)
            continue
        now_s = read_clock()
        changed = False
        for position, record in batch.records:
            offset = position + 1
            if node.membership.apply_record(position, record, now_s=now_s):
                changed = True
        if changed:
            hosts = [member.host for member in node.membership.view.members]
            member_log.info(
                "A membership view is in force.",
                extra={"view": node.membership.view.number, "hosts": hosts},
            )
            on_change()


async def follow_hosts(node):
    """Read the platform's list of hosts periodically."""
    while True:
        try:
            node.hosts = await read_hosts(node.http, node.settings.hosts_url)
        except LogUnavailable:
            node.counters.add("hosts.unavailable")
        await anyio.sleep(HOSTS_INTERVAL_S)


async def follow_booking_head(node):
    """Track the end of the bookings' stream, which new idempotency keys refer to."""
    while True:
        try:
            batch = await node.log.read(
                BOOKING_STREAM, node.booking_writer.next_offset, limit=1
            )
            node.booking_writer.next_offset = max(
                node.booking_writer.next_offset, batch.next_offset
            )
        except LogUnavailable:
            await anyio.sleep(RETRY_DELAY_S)
            continue
        await anyio.sleep(LOG_HEAD_INTERVAL_S)


async def write_snapshots(node):
    """Append a snapshot whenever ``snapshot_records`` records followed the last one.

    Only the first member of the view does so. A snapshot by a second one would do no
    harm.
    """
    last_snapshot_offset = node.config.folded_offset
    while True:
        await anyio.sleep(LOG_HEAD_INTERVAL_S)
        members = node.membership.view.members
        if not members or members[0].member_id != node.own_id:
            last_snapshot_offset = node.config.folded_offset
            continue
        if (
            node.config.folded_offset - last_snapshot_offset
            < node.settings.snapshot_records
        ):
            continue
        try:
            record = make_snapshot_record(node.config)
            await node.log.append(CONFIG_STREAM, [record])
            view_record = make_view_snapshot_record(node.membership.view)
            await node.log.append(node.view_stream, [view_record])
            last_snapshot_offset = node.config.folded_offset
            node.counters.add("config.snapshot")
        except LogUnavailable:
            continue
