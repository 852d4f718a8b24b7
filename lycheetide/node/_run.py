"""Start a node, supervise its background tasks, and stop it gracefully."""

import signal
import socket
from typing import Any

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config

from lycheetide.metrics import get_logger
from lycheetide.node import _booking_handlers, _cell_owner
from lycheetide.node._bookings import has_pending_bookings
from lycheetide.node._broken_requests import receive_breaks
from lycheetide.node._caller_api import CallerApi
from lycheetide.node._cell_owner import keep_cells, sync_cells
from lycheetide.node._heartbeats import make_pull_handler, propose_views, pull_peers
from lycheetide.node._lifecycle import keep_life
from lycheetide.node._log_followers import (
    follow_booking_head,
    follow_config,
    follow_hosts,
    follow_peers_config,
    follow_views,
    make_config_handler,
    write_snapshots,
)
from lycheetide.node._operator_api import make_operator_app
from lycheetide.node._permits import renew_permits
from lycheetide.node._replica_monitor import (
    poll_reports,
    prove_replicas,
    reclaim_memory,
)
from lycheetide.node._state import NodeState, read_clock
from lycheetide.peers import make_server
from lycheetide.tasks import GuardedTasks, keep_running, watch_standstill

STOP_POLL_INTERVAL_S = 0.1
HAND_OVER_TIMEOUT_S = 10.0
KEEP_ALIVE_TIMEOUT_S = 75.0
HTTP_GRACE_S = 2.0

NOTIFYING_TASKS: tuple[Any, ...] = (
    follow_config,
    follow_peers_config,
    follow_views,
    pull_peers,
    propose_views,
)
"""Tasks that call ``on_change`` after a change of the configuration or the view."""

log = get_logger("node")


class ListenError(Exception):
    """An address from the settings cannot be listened on."""


def check_addresses(settings):
    """Check before anything starts that all listening addresses are free.

    Raises
    ------
    ExceptionGroup
        With one ``ListenError`` for each address that is not free.
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
                errors.append(ListenError(f"[listen] {key} = {address}: {error}"))
    if errors:
        raise ExceptionGroup("cannot listen on all configured addresses", errors)


async def run_node(settings):
    """Run a node until it gets SIGTERM or SIGINT.

    Parameters
    ----------
    settings : NodeSettings
        The settings of the node.
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
        for part in NOTIFYING_TASKS:
            group.start_soon(keep_running, node, part, on_change)
        for part in INDEPENDENT_TASKS:
            group.start_soon(keep_running, node, part)
        group.start_soon(node.booking_writer.run)
        group.start_soon(_serve_http, settings, CallerApi(node).make_app(),
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
    """Return the handlers of calls from other nodes, by method name."""

    def bind(function):
        async def handle(request):
            return await function(node, request)

        return handle

    return {
        "pull": make_pull_handler(node),
        "acquire": bind(_cell_owner.acquire),
        "met": bind(_cell_owner.record_acceptance),
        "adopt": bind(_cell_owner.adopt),
        "renew": bind(_cell_owner.renew),
        "finish": bind(_cell_owner.finish),
        "hand_over": bind(_cell_owner.hand_over),
        "fetch_config": make_config_handler(node),
        "query_booking": bind(_booking_handlers.query_booking),
        "run_booking": bind(_booking_handlers.run_booking),
        "report_breaks": bind(receive_breaks),
    }


async def _serve_http(settings, app, address, stopped, use_tls):
    """Serve an ASGI application until ``stopped`` is set."""
    config = Config()
    config.bind = [address]
    config.accesslog = None
    config.errorlog = None
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    config.graceful_timeout = HTTP_GRACE_S
    if use_tls and settings.tls_certificate_path:
        config.certfile = settings.tls_certificate_path
        config.keyfile = settings.tls_key_path
    await serve(app, config, shutdown_trigger=stopped.wait)


INDEPENDENT_TASKS: tuple[Any, ...] = (
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
"""Tasks that do not report changes."""


async def _wait_for_stop():
    """Wait for SIGTERM or SIGINT."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            return


async def _stop(node):
    """Drain the node without interrupting a request.

    The load balancer and the host list lag, so requests still arrive after the node has
    announced that it is leaving. The node keeps serving for ``stop_notice_s`` at least,
    hands its cells over, and stops when the last request has ended and all bookings are
    recorded, or after ``stop_longest_s``.
    """
    node.step("stop")
    log.info("The node is leaving.", extra={"active": len(node.active)})
    started_s = read_clock()
    settings = node.settings
    while read_clock() - started_s < settings.stop_longest_s:
        now_s = read_clock()
        is_notice_over = now_s - started_s >= settings.stop_notice_s
        is_idle = not node.active and not has_pending_bookings(node)
        if is_notice_over and is_idle and _has_handed_over(node, now_s - started_s):
            break
        await anyio.sleep(STOP_POLL_INTERVAL_S)
    node.step("drained")


def _has_handed_over(node, waited_s):
    """Return whether no other node needs this one as an owner of cells any more.

    After ``HAND_OVER_TIMEOUT_S`` the node no longer waits for that.
    """
    view = node.membership.view
    is_sole_member = len(view.members) <= 1
    if is_sole_member or waited_s > HAND_OVER_TIMEOUT_S:
        return True
    if view.find(node.own_id) is not None or node.cells:
        return False
    waiting = [owned for at_s, owned in node.relinquished_cells.values() if at_s > 0]
    return all(_is_fetched(node, owned) for owned in waiting)


def _is_fetched(node, owned):
    """Return whether a relinquished cell was fetched or has been kept long enough."""
    at_s, _ = node.relinquished_cells[owned.cell.name]
    return read_clock() - at_s >= _cell_owner.HAND_OVER_EXPIRY_S
