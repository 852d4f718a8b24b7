"""Start a node, keep its parts running, and stop it without cutting a request."""

import signal
import socket
from typing import Any

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config

from lycheetide.metrics import get_log
from lycheetide.node import _booking_peers, _owner
from lycheetide.node._bookings import has_pending
from lycheetide.node._door import Door
from lycheetide.node._life import keep_life
from lycheetide.node._members import give_rows, propose_views, pull_peers
from lycheetide.node._operator import make_operator_app
from lycheetide.node._owner import keep_cells, sync_cells
from lycheetide.node._permits import renew_permits
from lycheetide.node._state import NodeState, read_clock
from lycheetide.node._tail import (
    follow_booking_head,
    follow_config,
    follow_hosts,
    follow_peers_config,
    follow_views,
    give_config,
    write_snapshots,
)
from lycheetide.node._watch import poll_reports, prove_replicas, reclaim_memory
from lycheetide.peers import make_server
from lycheetide.tasks import GuardedTasks, keep_running, watch_standstill

STOP_TICK_S = 0.1
HAND_OVER_PATIENCE_S = 10.0
KEEP_ALIVE_S = 75.0
HTTP_GRACE_S = 2.0

FOLLOWERS: tuple[Any, ...] = (
    follow_config,
    follow_peers_config,
    follow_views,
    pull_peers,
    propose_views,
)
"""The parts that tell of a change of configuration or view."""

log = get_log("node")


class CannotListen(Exception):
    """An address of the settings can't be listened on."""


def check_addresses(settings):
    """Find out before anything starts whether all addresses are free.

    Raises
    ------
    ExceptionGroup
        With one ``CannotListen`` for each address that is not.
    """
    errors = []
    for key in ("caller_address", "peer_address", "operator_address"):
        address = getattr(settings, key)
        host, _, port = address.rpartition(":")
        family = socket.AF_INET6 if "[" in host else socket.AF_INET
        with socket.socket(family) as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((host.strip("[]"), int(port)))
            except OSError as error:
                errors.append(CannotListen(f"[listen] {key} = {address}: {error}"))
    if errors:
        raise ExceptionGroup("addresses in use", errors)


async def run_node(settings):
    """Run a node until it is told to stop.

    Parameters
    ----------
    settings : Settings
        What it is told.
    """
    check_addresses(settings)
    node = NodeState(settings)
    stopped = anyio.Event()

    def on_change():
        sync_cells(node)

    async with anyio.create_task_group() as group:
        node.tasks = GuardedTasks(group, node.counters)
        server = make_server(make_handlers(node), address=settings.peer_address)
        await server.start()
        for part in FOLLOWERS:
            group.start_soon(keep_running, node, part, on_change)
        for part in LOOPS:
            group.start_soon(keep_running, node, part)
        group.start_soon(node.booking_writer.run)
        group.start_soon(_serve_http, settings, Door(node).make_app(),
                         settings.caller_address, stopped, True)  # fmt: skip
        group.start_soon(_serve_http, settings, make_operator_app(node),
                         settings.operator_address, stopped, False)  # fmt: skip
        log.info(
            "The node has started.",
            extra={"member": node.own_id, "callers": settings.caller_address},
        )
        await _wait_for_stop()
        await _stop(node)
        stopped.set()
        await anyio.sleep(HTTP_GRACE_S if node.active else 0)
        await server.stop(grace=None)
        await node.peers.close()
        await node.http.aclose()
        group.cancel_scope.cancel()
    log.info("The node has stopped.")


def make_handlers(node):
    """Return the functions that answer other nodes' calls."""

    def bind(function):
        async def handle(request):
            return await function(node, request)

        return handle

    return {
        "pull": give_rows(node),
        "acquire": bind(_owner.acquire),
        "met": bind(_owner.note_met),
        "adopt": bind(_owner.adopt),
        "renew": bind(_owner.renew),
        "finish": bind(_owner.finish),
        "hand_over": bind(_owner.hand_over),
        "fetch_config": give_config(node),
        "query_booking": bind(_booking_peers.query_booking),
        "run_booking": bind(_booking_peers.run_booking),
    }


async def _serve_http(settings, app, address, stopped, use_tls):
    """Serve one application until the node has stopped."""
    config = Config()
    config.bind = [address]
    config.accesslog = None
    config.errorlog = None
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.graceful_timeout = HTTP_GRACE_S
    if use_tls and settings.tls_certificate_path:
        config.certfile = settings.tls_certificate_path
        config.keyfile = settings.tls_key_path
    await serve(app, config, shutdown_trigger=stopped.wait)


LOOPS: tuple[Any, ...] = (
    follow_hosts,
    follow_booking_head,
    write_snapshots,
    keep_cells,
    poll_reports,
    prove_replicas,
    reclaim_memory,
    renew_permits,
    keep_life,
    watch_standstill,
)
"""The parts that run by themselves."""


async def _wait_for_stop():
    """Wait for SIGTERM or SIGINT."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            return


async def _stop(node):
    """Leave without cutting a request.

    The balancer and the host list lag: callers still arrive after the node has said
    that it leaves. So it keeps serving, hands over what it owns, and ends when the
    last stream has ended.
    """
    node.step("stop")
    log.info("The node is leaving.", extra={"active": len(node.active)})
    begun_s = read_clock()
    settings = node.settings
    while read_clock() - begun_s < settings.stop_longest_s:
        now_s = read_clock()
        noticed = now_s - begun_s >= settings.stop_notice_s
        is_idle = not node.active and not has_pending(node)
        if noticed and is_idle and _has_handed_over(node, now_s - begun_s):
            break
        await anyio.sleep(STOP_TICK_S)
    node.step("drained")


def _has_handed_over(node, waited_s):
    """Tell whether nobody needs this node as an owner any more."""
    view = node.membership.view
    alone = len(view.members) <= 1
    if alone or waited_s > HAND_OVER_PATIENCE_S:
        return True
    if view.find(node.own_id) is not None or node.cells:
        return False
    waiting = [owned for at_s, owned in node.relinquished.values() if at_s > 0]
    return all(_is_handed(node, owned) for owned in waiting)


def _is_handed(node, owned):
    """Tell whether a cell that was given up has been fetched."""
    at_s, _ = node.relinquished[owned.cell.name]
    return read_clock() - at_s >= _owner.KEEP_RELINQUISHED_S
