"""The owner's monitoring of its replicas: load reports, probes, orphaned memory."""

from dataclasses import replace

import anyio

from lycheetide.metrics import get_logger
from lycheetide.node._cell_owner import run_schedule
from lycheetide.node._state import read_clock
from lycheetide.scheduling import find_orphans
from lycheetide.upstreams import (
    UpstreamError,
    fetch_boot_id_and_holdings,
    fetch_holdings,
    fetch_report,
    release_holding,
)

PROBE_CHECK_INTERVAL_S = 0.01
MIN_PROBE_INTERVAL_S = 0.02
"""Shortest time between two probes of one replica."""

ENGINE_MIN_PROBE_INTERVAL_S = 0.1
"""The same for an engine; entry nodes report which requests it has accepted."""

LOST_CALL_GRACE_S = 60.0
"""How long after its deadline a lost call to a service still counts."""

owner_log = get_logger("owner")
reclaim_log = get_logger("reclaim")


async def poll_reports(node):
    """Poll the load of each owned replica, once per report interval."""
    async with anyio.create_task_group() as group:
        while True:
            for owned in list(node.cells.values()):
                for name in list(owned.cell.replicas):
                    group.start_soon(poll_replica, node, owned, name)
            await anyio.sleep(node.settings.report_interval_s)


async def poll_replica(node, owned, name):
    """Poll the load of one replica."""
    replica = owned.cell.replicas.get(name)
    if replica is None:
        return
    asked_s = read_clock()
    try:
        report = await fetch_report(node.http, replica.upstream)
    except UpstreamError as error:
        node.counters.add("upstreams.silent")
        if owned.cell.replicas.get(name) == replica or _is_report_stale(
            node, owned, name
        ):
            owned.cell.mark_silent(name)
        owner_log.debug(
            "A replica did not answer the load poll.",
            extra={"upstream": name, "cause": str(error)},
        )
        return
    if replica.upstream.kind == "engine":
        # A permit that was granted before the report may not have been sent yet, so the
        # report doesn't tell which were accepted; `probe_replica` asks for that.
        report = replace(report, met=frozenset())
    before = owned.cell.replicas.get(name)
    owned.cell.apply_report(name, report, asked_s=asked_s, now_s=read_clock())
    after = owned.cell.replicas.get(name)
    if (
        before
        and after
        and (before.phase, before.boot_id)
        != (
            after.phase,
            after.boot_id,
        )
    ):
        owner_log.info(
            "A replica changed.",
            extra={"upstream": name, "phase": after.phase, "boot_id": after.boot_id},
        )
    run_schedule(node, owned)


def find_probe_interval_s(owned, name):
    """Return the shortest time between two probes of one replica, in seconds.

    It is longer for an engine: entry nodes report which requests it has accepted,
    sooner than it could be asked.
    """
    replica = owned.cell.replicas[name]
    if replica.upstream.kind == "engine" and replica.boot_id:
        return ENGINE_MIN_PROBE_INTERVAL_S
    return MIN_PROBE_INTERVAL_S


async def probe_replica(node, owned, name):
    """Ask one replica which requests its current process has accepted."""
    replica = owned.cell.replicas.get(name)
    if replica is None or replica.upstream.kind != "engine" or not replica.boot_id:
        await poll_replica(node, owned, name)
        return
    asked_s = read_clock()
    try:
        boot_id, holdings = await fetch_boot_id_and_holdings(
            node.http, replica.upstream
        )
    except UpstreamError:
        # A silent replica is detected by its load poll, not here.
        return
    request_ids = {holding.request_id for holding in holdings}
    if not owned.cell.record_accepted_requests(
        name, boot_id, request_ids, asked_s=asked_s
    ):
        await poll_replica(node, owned, name)
        return
    run_schedule(node, owned)


def _is_report_stale(node, owned, name):
    """Return whether a replica's last report is too old to rely on."""
    replica = owned.cell.replicas.get(name)
    if replica is None:
        return False
    return read_clock() - replica.report_asked_s > node.settings.report_stale_s


async def prove_replicas(node):
    """Probe replicas whose next grant only waits for a fresh confirmation."""
    async with anyio.create_task_group() as group:
        while True:
            await anyio.sleep(PROBE_CHECK_INTERVAL_S)
            now_s = read_clock()
            for owned in list(node.cells.values()):
                for name in owned.cell.find_unconfirmed():
                    last_s = owned.probe_sent_s.get(name, 0.0)
                    if now_s - last_s >= find_probe_interval_s(owned, name):
                        owned.probe_sent_s[name] = now_s
                        group.start_soon(probe_replica, node, owned, name)


async def reclaim_memory(node):
    """Periodically release engine memory that no live request owns."""
    while True:
        await anyio.sleep(node.settings.reclaim_interval_s)
        async with anyio.create_task_group() as group:
            for owned in list(node.cells.values()):
                for name, replica in list(owned.cell.replicas.items()):
                    if replica.upstream.kind == "engine":
                        group.start_soon(_reclaim_one, node, owned, name)
                    else:
                        _end_lost_calls(owned, name)


async def _reclaim_one(node, owned, name):
    """Release those of one engine's memory holdings that no live request owns."""
    upstream = owned.cell.replicas[name].upstream
    alive = {p.ticket.request_id for p in owned.cell.permits.values()}
    lost = {p.ticket.request_id for p in owned.cell.lost_permits.values()} - alive
    try:
        holdings = await fetch_holdings(node.http, upstream)
    except UpstreamError:
        return
    if owned.is_relinquished:
        return
    alive.update(p.ticket.request_id for p in owned.cell.permits.values())
    now_s = read_clock()
    grace_s = node.settings.reclaim_grace_s
    orphans, seen = find_orphans(
        [h for h in holdings if h.request_id not in lost - alive],
        alive,
        owned.orphans_first_seen.get(name, {}),
        now_s=now_s,
        grace_s=grace_s,
    )
    owned.orphans_first_seen[name] = seen
    # No grace period for lost permits: theirs was the time without renewals.
    orphans.extend(h for h in holdings if h.request_id in lost - alive)
    for orphan in orphans:
        await _release(node, upstream, orphan)
    owned.cell.release_lost_permits(name, {holding.request_id for holding in holdings})
    run_schedule(node, owned)


async def _release(node, upstream, orphan):
    """Release one memory holding; if the call is lost, the next round repeats it."""
    try:
        await release_holding(node.http, upstream, orphan.holding_id)
    except UpstreamError:
        return
    node.counters.add("reclaim.released")
    reclaim_log.warning(
        "Memory that no request owned was released.",
        extra={
            "upstream": upstream.name,
            "request_id": orphan.request_id,
            "tokens": orphan.tokens,
        },
    )


def _end_lost_calls(owned, name):
    """End lost permits of services, some time after their deadline."""
    now_s = read_clock()
    for permit in list(owned.cell.lost_permits.values()):
        late_s = now_s - permit.ticket.deadline_s
        if name in permit.replicas and late_s > LOST_CALL_GRACE_S:
            owned.cell.finish(permit.permit_id)
