"""Start a relay, keep its tasks running, and stop it without cutting off requests."""

import os
import signal
import time
from functools import partial

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config

from lycheetide.metrics import read_process_age_s
from lycheetide.relay._datagrams import make_listener
from lycheetide.relay._dial import connect_replica, may_reuse
from lycheetide.relay._follow import (
    check_operator,
    follow_operator,
    follow_registry,
)
from lycheetide.relay._ingress import make_caller_app, make_readiness_app
from lycheetide.relay._listener import GuardedConfig
from lycheetide.relay._messaging import PeerMessenger, discover
from lycheetide.relay._paces import follow_paces
from lycheetide.relay._peer_state import make_peer_app
from lycheetide.relay._quarantine_sync import follow_quarantines
from lycheetide.relay._refusals import watch_refusals
from lycheetide.relay._reload import reload_settings, watch_settings
from lycheetide.relay._state import RelayState, StopTimes, read_clock
from lycheetide.relay._tunnels import serve_tunnels
from lycheetide.tasks import GuardedTasks, keep_running, watch_standstill

EXIT_MARGIN_S = 0.7
"""Part of the time allowed for a planned stop that is reserved for the exit itself."""
LISTEN_BACKLOG = 512
START_POLL_S = 0.02
INTERNAL_IDLE_S = 60.0
"""How long connections of the platform and of peers may stay idle."""


def make_server_config(
    settings, address, *, idle_s, header_bytes=65_536, must_refuse=None
):
    """Return the configuration of one HTTP server.

    Parameters
    ----------
    settings : RelaySettings
        Settings of the node.
    address : str
        Address that it listens at.
    idle_s : float
        How long connections may stay idle.
    header_bytes : int
        Largest head of a request.
    must_refuse : callable or None
        Tells whether new connections are closed unread; None to accept all.
    """
    config = Config() if must_refuse is None else GuardedConfig(must_refuse)
    config.bind = [address]
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    config.include_date_header = False
    config.keep_alive_timeout = idle_s
    config.keep_alive_max_requests = 1 << 30
    config.h11_max_incomplete_size = header_bytes
    config.h11_pass_raw_headers = False
    config.graceful_timeout = compute_graceful_s(settings)
    config.backlog = LISTEN_BACKLOG
    return config


def compute_graceful_s(settings):
    """Return how long running requests get once nothing more is accepted."""
    return max(0.1, settings.stop_s - settings.stop_notice_s - EXIT_MARGIN_S)


async def handle_signals(relay, *, task_status):
    """Handle signals forever; SIGHUP reports a changed settings file.

    They are handled until the very end of the process. Without a handler their default
    action is to terminate it, and a hangup would cut off the requests of a node that is
    draining.
    """
    with anyio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as signals:
        task_status.started()
        async for number in signals:
            if number == signal.SIGHUP:
                reload_settings(relay, relay.settings_path)
            else:
                relay.stop_requested.set()


async def run_relay(
    settings, adapter, *, settings_path="", stop_task=handle_signals, on_start=None
):
    """Run a relay until it is told to stop.

    Parameters
    ----------
    settings : RelaySettings
        Settings of the node.
    adapter : module
        Implements the protocols of the platform that the relay runs on.
    settings_path : str
        File that is read again when it changes; empty for none.
    stop_task : callable
        Task that sets the relay's ``stop_requested``; by default it handles the signals
        of the process.
    on_start : callable or None
        Called with the relay's state.
    """
    process_age_s = read_process_age_s()
    node = f"{settings.name}.{time.time_ns() % 10**9:x}.{os.getpid():x}"
    relay = RelayState(settings, adapter, node, settings_path=settings_path)
    relay.quarantine.is_loaded = False
    relay.pool.connect = partial(connect_replica, relay)
    relay.pool.may_reuse = partial(may_reuse, relay)
    listener = make_listener(settings.peer_address)
    messenger = PeerMessenger(relay, listener)
    relay.broadcast_work = messenger.broadcaster.broadcast_via_hubs
    relay.broadcast_change = messenger.broadcaster.broadcast
    relay.broadcast_to_domain = messenger.broadcaster.broadcast_to_domain
    relay.trigger_heartbeat = messenger.trigger_heartbeat
    relay.receive_datagrams = messenger.receive_pending
    stopped = anyio.Event()
    async with anyio.create_task_group() as group:
        relay.tasks = GuardedTasks(group, relay.counters)
        for part in (
            follow_operator,
            check_operator,
            follow_registry,
            follow_paces,
            follow_quarantines,
            messenger.listen,
            messenger.greet,
            messenger.broadcaster.pass_on,
            messenger.expire,
            watch_refusals,
            watch_settings,
            watch_standstill,
        ):
            group.start_soon(keep_running, relay, part)
        relay.tasks.start_soon(discover, relay)
        relay.tasks.start_soon(report_start, relay, process_age_s)
        await group.start(stop_task, relay)
        async with anyio.create_task_group() as servers:
            for app, address, idle_s in list_apps(relay):
                must_refuse = None
                if address == settings.caller_address:
                    must_refuse = partial(must_refuse_connection, relay)
                config = make_server_config(
                    settings, address, idle_s=idle_s, must_refuse=must_refuse
                )
                servers.start_soon(_serve, app, config, stopped)
            if settings.tunnel_address:
                graceful_s = compute_graceful_s(settings)
                servers.start_soon(
                    partial(serve_tunnels, relay, stopped, graceful_s=graceful_s)
                )
            relay.log.info("The node has started.", extra={"member": node})
            if on_start is not None:
                on_start(relay)
            await relay.stop_requested.wait()
            await _drain(relay)
            # The servers end by themselves, and running requests still need the other
            # tasks; if those were cancelled, the requests would be cut off.
            stopped.set()
        group.cancel_scope.cancel()
    relay.used.log(relay, now_s=read_clock(), is_last=True)
    for pool in (relay.pool, relay.peer_pool):
        await pool.aclose()
    listener.close()
    messenger.close()
    relay.log.info("The node has stopped.", extra={"member": node})


async def report_start(relay, process_age_s):
    """Log once how long each step of the start took.

    Parameters
    ----------
    relay : RelayState
        State of this node.
    process_age_s : float or None
        Age of the process when it began to serve: the time to load the interpreter, the
        libraries and the settings.
    """
    steps = {
        "configuration_ms": lambda: relay.route_table is not None,
        "replicas_ms": lambda: relay.replicas.replicas,
        "ready_ms": lambda: relay.is_ready(now_s=read_clock()),
    }
    took_ms = {} if process_age_s is None else {"process_ms": process_age_s * 1e3}
    while steps.keys() - took_ms.keys():
        for name, is_done in steps.items():
            if name not in took_ms and is_done():
                took_ms[name] = (read_clock() - relay.started_s) * 1e3
        await anyio.sleep(START_POLL_S)
    extra = {name: round(value) for name, value in took_ms.items()}
    relay.log.info("The node is ready for requests.", extra=extra)


def list_apps(relay):
    """Return each application of a relay with its address and idle timeout."""
    settings = relay.settings
    apps = (
        (make_caller_app(relay), settings.caller_address, settings.idle_s),
        (make_readiness_app(relay), settings.readiness_address, INTERNAL_IDLE_S),
        (make_peer_app(relay), settings.peer_address, INTERNAL_IDLE_S),
        (relay.metrics_exporter.make_app(), settings.metrics_address, INTERNAL_IDLE_S),
    )
    return [row for row in apps if row[1]]


def must_refuse_connection(relay):
    """Tell whether a new connection of a caller is closed unread, and count it.

    It is if this node has more work than it can do, and another one has room. What
    peers said before the overload doesn't count, since a pause of a machine that they
    share delays them all.
    """
    now_s = read_clock()
    since_s = relay.stall_detector.overloaded_since_s(now_s=now_s)
    if since_s is None:
        return False
    relay.receive_datagrams()
    peers = relay.peers.list_heard_directly(now_s=now_s, within_s=now_s - since_s)
    if not any(not (peer.is_overloaded or peer.is_leaving) for peer in peers):
        # Where all nodes are overloaded, late answers are the best they can give.
        return False
    relay.counters.add("connections.refused")
    return True


async def _serve(app, config, stopped):
    """Serve one application until the node stops."""
    await serve(app, config, shutdown_trigger=stopped.wait)


async def _drain(relay):
    """Drain the node without cutting off a request.

    The load balancer reacts late, and clients go on using open connections. So the node
    first reports that it isn't ready, still serves every request, and asks each client
    to open another connection. After that it accepts nothing more: its servers close
    idle connections and let running requests finish. If it accepted requests until its
    last second, it would cut off those that take longer.
    """
    now_s, settings = read_clock(), relay.settings
    notice_until_s = now_s + settings.stop_notice_s
    relay.stop_times = StopTimes(
        notice_until_s, notice_until_s + compute_graceful_s(settings)
    )
    relay.is_leaving = True
    relay.trigger_heartbeat()
    relay.log.info("The node is leaving.", extra={"active": relay.active})
    await anyio.sleep(settings.stop_notice_s)
