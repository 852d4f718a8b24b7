"""The owner's watch over its replicas: load reports and memory nobody owns."""

from dataclasses import replace

import anyio

from lycheetide.metrics import get_log
from lycheetide.node._owner import run_schedule
from lycheetide.node._state import read_clock
from lycheetide.scheduling import find_orphans
from lycheetide.upstreams import (
    UpstreamError,
    fetch_holdings,
    fetch_life,
    fetch_report,
    release_holding,
)

PROOF_TICK_S = 0.01
PROOF_SPACING_S = 0.02
UNTOLD_SPACING_S = 0.1
"""The same for an engine, whose entry nodes tell by themselves."""
SERVICE_LOST_S = 60.0

owner_log = get_log("owner")
reclaim_log = get_log("reclaim")


async def poll_reports(node):
    """Ask each owned replica for its load, at each interval, for ever."""
    async with anyio.create_task_group() as group:
        while True:
            for owned in list(node.cells.values()):
                for name in list(owned.cell.replicas):
                    group.start_soon(poll_one, node, owned, name)
            await anyio.sleep(node.settings.report_interval_s)


async def poll_one(node, owned, name):
    """Ask one replica for its load."""
    replica = owned.cell.replicas.get(name)
    if replica is None:
        return
    asked_s = read_clock()
    try:
        report = await fetch_report(node.http, replica.upstream)
    except UpstreamError as error:
        node.counters.add("upstreams.silent")
        if owned.cell.replicas.get(name) == replica or _is_stale(node, owned, name):
            owned.cell.take_silence(name)
        owner_log.debug(
            "A replica gave no report.", extra={"upstream": name, "cause": str(error)}
        )
        return
    if replica.upstream.kind == "engine":
        # What was granted before it may be unsent still; `prove_one` asks what was met.
        report = replace(report, met=frozenset())
    before = owned.cell.replicas.get(name)
    owned.cell.take_report(name, report, asked_s=asked_s, now_s=read_clock())
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


def find_proof_spacing_s(owned, name):
    """Return the pause between two proofs that one replica is asked for, in seconds.

    Entry nodes tell what an engine has taken, sooner than it could be asked for that.
    """
    replica = owned.cell.replicas[name]
    if replica.upstream.kind == "engine" and replica.boot_id:
        return UNTOLD_SPACING_S
    return PROOF_SPACING_S


async def prove_one(node, owned, name):
    """Ask one replica which requests its present life has taken."""
    replica = owned.cell.replicas.get(name)
    if replica is None or replica.upstream.kind != "engine" or not replica.boot_id:
        await poll_one(node, owned, name)
        return
    asked_s = read_clock()
    try:
        boot_id, holdings = await fetch_life(node.http, replica.upstream)
    except UpstreamError:
        # Whether it is silent is for its load report to tell.
        return
    request_ids = {holding.request_id for holding in holdings}
    if not owned.cell.take_met(name, boot_id, request_ids, asked_s=asked_s):
        await poll_one(node, owned, name)
        return
    run_schedule(node, owned)


def _is_stale(node, owned, name):
    """Tell whether a replica's last report is too old to rest on."""
    replica = owned.cell.replicas.get(name)
    if replica is None:
        return False
    return read_clock() - replica.proved_s > node.settings.report_stale_s


async def prove_replicas(node):
    """Ask replicas at once whose next grant only waits for a fresh report."""
    async with anyio.create_task_group() as group:
        while True:
            await anyio.sleep(PROOF_TICK_S)
            now_s = read_clock()
            for owned in list(node.cells.values()):
                for name in owned.cell.find_unproved():
                    last_s = owned.proof_asked_s.get(name, 0.0)
                    if now_s - last_s >= find_proof_spacing_s(owned, name):
                        owned.proof_asked_s[name] = now_s
                        group.start_soon(prove_one, node, owned, name)


async def reclaim_memory(node):
    """Release what engines hold for nobody, at each interval, for ever."""
    while True:
        await anyio.sleep(node.settings.reclaim_interval_s)
        async with anyio.create_task_group() as group:
            for owned in list(node.cells.values()):
                for name, replica in list(owned.cell.replicas.items()):
                    if replica.upstream.kind == "engine":
                        group.start_soon(_reclaim_one, node, owned, name)
                    else:
                        _drop_lost_calls(owned, name)


async def _reclaim_one(node, owned, name):
    """Compare one engine's list with the requests that are alive."""
    upstream = owned.cell.replicas[name].upstream
    alive = {p.ticket.request_id for p in owned.cell.permits.values()}
    lost = {p.ticket.request_id for p in owned.cell.lost_permits.values()} - alive
    try:
        holdings = await fetch_holdings(node.http, upstream)
    except UpstreamError:
        return
    if owned.given_up:
        return
    alive.update(p.ticket.request_id for p in owned.cell.permits.values())
    now_s = read_clock()
    grace_s = node.settings.reclaim_grace_s
    orphans, seen = find_orphans(
        [h for h in holdings if h.request_id not in lost - alive],
        alive,
        owned.first_seen.get(name, {}),
        now_s=now_s,
        grace_s=grace_s,
    )
    owned.first_seen[name] = seen
    # A lost permit has had its grace already, while it was not renewed.
    orphans.extend(h for h in holdings if h.request_id in lost - alive)
    for orphan in orphans:
        await _release(node, upstream, orphan)
    owned.cell.end_lost(name, {holding.request_id for holding in holdings})
    run_schedule(node, owned)


async def _release(node, upstream, orphan):
    """Release one holding; if the call is lost, the next round finds it again."""
    try:
        await release_holding(node.http, upstream, orphan.holding_id)
    except UpstreamError:
        return
    node.counters.add("reclaim.released")
    reclaim_log.warning(
        "Memory that nobody owned was released.",
        extra={
            "upstream": upstream.name,
            "request_id": orphan.request_id,
            "tokens": orphan.tokens,
        },
    )


def _drop_lost_calls(owned, name):
    """End lost permits of plain services after their deadline."""
    now_s = read_clock()
    for permit in list(owned.cell.lost_permits.values()):
        late_s = now_s - permit.ticket.deadline_s
        if name in permit.replicas and late_s > SERVICE_LOST_S:
            owned.cell.finish(permit.permit_id)
