"""Start a relay, keep its parts running, and stop it without cutting a request."""

import os
import signal
import time

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config

from lycheetide.metrics import read_process_age_s
from lycheetide.relay._datagrams import make_listener
from lycheetide.relay._follow import follow_operator, follow_registry
from lycheetide.relay._gossip import Gossip, discover
from lycheetide.relay._ingress import make_ingress, make_readiness
from lycheetide.relay._peer_state import make_peer_app
from lycheetide.relay._reload import reload_settings, watch_settings
from lycheetide.relay._state import RelayState, read_clock
from lycheetide.tasks import GuardedTasks, keep_running, watch_standstill

EXIT_MARGIN_S = 0.7
"""Kept back of the time that a planned stop may take, for the exit itself."""
BACKLOG = 512
START_LOOK_S = 0.02
OWN_IDLE_S = 60.0
"""How long connections of the platform and of peers may stay idle."""


def make_server_config(settings, address, *, idle_s, header_bytes=65_536):
    """Return the settings of one HTTP server."""
    graceful_s = settings.stop_s - settings.stop_notice_s - EXIT_MARGIN_S
    config = Config()
    config.bind = [address]
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    config.include_date_header = False
    config.keep_alive_timeout = idle_s
    config.keep_alive_max_requests = 1 << 30
    config.h11_max_incomplete_size = header_bytes
    config.h11_pass_raw_headers = False
    config.graceful_timeout = max(0.1, graceful_s)
    config.backlog = BACKLOG
    return config


async def follow_signals(relay, *, task_status):
    """Take signals for ever: SIGHUP tells of a settings file that changed.

    They are taken to the very end of the process. With nobody to take them their
    default is to end it, and a hangup would cut the requests of a node that leaves.
    """
    with anyio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as signals:
        task_status.started()
        async for number in signals:
            if number == signal.SIGHUP:
                reload_settings(relay, relay.settings_path)
            else:
                relay.told_to_stop.set()


async def run_relay(
    settings, adapter, *, settings_path="", follow_stop=follow_signals, on_start=None
):
    """Run a relay until it is told to stop.

    Parameters
    ----------
    settings : RelaySettings
        What it is told.
    adapter : module
        Speaks with the platform that it runs on.
    settings_path : str
        The file that is read again when it changes; empty for none.
    follow_stop : callable
        A task that sets the relay's ``told_to_stop``; by default by the signals of the
        process.
    on_start : callable or None
        Gets the relay's state.
    """
    process_age_s = read_process_age_s()
    node = f"{settings.name}.{time.time_ns() % 10**9:x}.{os.getpid():x}"
    relay = RelayState(settings, adapter, node, settings_path=settings_path)
    listener = make_listener(settings.peer_address)
    gossip = Gossip(relay, listener)
    relay.tell_work = gossip.spreader.tell
    relay.tell_change = gossip.spreader.tell_all
    relay.tell_near = gossip.spreader.tell_near
    relay.tell_news = gossip.tell_news
    relay.take_news = gossip.take_waiting
    stopped = anyio.Event()
    async with anyio.create_task_group() as group:
        relay.tasks = GuardedTasks(group, relay.counters)
        for part in (
            follow_operator,
            follow_registry,
            gossip.listen,
            gossip.greet,
            gossip.spreader.pass_on,
            gossip.expire,
            watch_settings,
            watch_standstill,
        ):
            group.start_soon(keep_running, relay, part)
        relay.tasks.start_soon(discover, relay)
        relay.tasks.start_soon(report_start, relay, process_age_s)
        await group.start(follow_stop, relay)
        async with anyio.create_task_group() as servers:
            for app, address, idle_s in list_apps(relay):
                config = make_server_config(settings, address, idle_s=idle_s)
                servers.start_soon(_serve, app, config, stopped)
            relay.log.info("The node has started.", extra={"member": node})
            if on_start is not None:
                on_start(relay)
            await relay.told_to_stop.wait()
            await _leave(relay)
            # The servers end by themselves, and requests that run still need the other
            # parts; cancelled, they would be cut.
            stopped.set()
        group.cancel_scope.cancel()
    relay.used.log(relay, now_s=read_clock(), is_last=True)
    await relay.pool.aclose()
    listener.close()
    gossip.close()
    relay.log.info("The node has stopped.", extra={"member": node})


async def report_start(relay, process_age_s):
    """Log once how long each step of the start took.

    Parameters
    ----------
    relay : RelayState
        This node.
    process_age_s : float or None
        How long the process had run when it began to serve: the interpreter, the
        libraries and the settings.
    """
    steps = {
        "configuration_ms": lambda: relay.table is not None,
        "replicas_ms": lambda: relay.replicas.replicas,
        "ready_ms": lambda: relay.is_ready(now_s=read_clock()),
    }
    took_ms = {} if process_age_s is None else {"process_ms": process_age_s * 1e3}
    while steps.keys() - took_ms.keys():
        for name, is_done in steps.items():
            if name not in took_ms and is_done():
                took_ms[name] = (read_clock() - relay.started_s) * 1e3
        await anyio.sleep(START_LOOK_S)
    extra = {name: round(value) for name, value in took_ms.items()}
    relay.log.info("The node takes callers.", extra=extra)


def list_apps(relay):
    """Return each application of a relay with its address and idle time."""
    settings = relay.settings
    apps = (
        (make_ingress(relay), settings.caller_address, settings.idle_s),
        (make_readiness(relay), settings.readiness_address, OWN_IDLE_S),
        (make_peer_app(relay), settings.peer_address, OWN_IDLE_S),
        (relay.exposition.make_app(), settings.metrics_address, OWN_IDLE_S),
    )
    return [row for row in apps if row[1]]


async def _serve(app, config, stopped):
    """Serve one application until the node has stopped."""
    await serve(app, config, shutdown_trigger=stopped.wait)


async def _leave(relay):
    """Leave without cutting a request.

    The balancer lags, and callers go on using open connections; so the node says that
    it isn't ready, serves whatever comes, and asks each caller to open another
    connection. After that it takes nothing more: its servers close idle connections
    and let the running requests end. Were it to take requests until its last second,
    it would cut those that take longer.
    """
    relay.is_leaving = True
    relay.tell_news()
    relay.log.info("The node is leaving.", extra={"active": relay.active})
    await anyio.sleep(relay.settings.stop_notice_s)
