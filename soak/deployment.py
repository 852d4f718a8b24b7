"""Node processes behind proxies, with the store and replicas in this process."""

import os
import signal
import subprocess
import sys
import tempfile
import time
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import httpx

from soak.node import write_cut
from soak.proxy import Proxy
from soak.replicas import COLD_PER_S, RecordingReplica
from standins.http import LOOPBACK
from standins.local import find_port, handles_hangup, survives_hangup
from standins.relay_deployment import API_KEY, CUSTOMER, HOST, make_config
from standins.store import Store

FAILURE_DOMAINS = ("cork-a", "cork-b", "cork-c")
HEARTBEAT_S = 0.6
RESTART_DELAY_S = 0.3
READINESS_POLL_S = 0.4
"""Interval of the balancer's readiness polls; two failures remove a node."""
HOT_SHARE = 0.9
"""Share of the new connections that go to one node in a burst."""
STOP_S = 5.0
STOP_NOTICE_S = 1.5
START_TIMEOUT_S = 20.0
PATIENT_TIMEOUT_MS = 6_000
"""Timeout of a route whose streams last longer than two silences."""
MAX_BODY_BYTES = 8_000_000
SECOND_KEY = "key-that-is-taken-away"

ENGINE_PROFILE = {"read_per_s": 2e6, "pairs_per_m": 0.01}
"""These replicas answer at once. With the figures of a real engine, nodes would rightly
refuse most huge prompts as more than the replicas can serve."""

SETTINGS = """\
[node]
name = {name}
region = munster
failure_domain = {domain}
[relay]
caller_address = {caller}
readiness_address = {readiness}
peer_address = {peer}
tunnel_address = {tunnel}
store_address = {store}
[stop]
stop_s = {stop_s}
stop_notice_s = {notice_s}
[logs]
log_lines_per_s = 400
"""


@dataclass
class Node:
    """One node; its addresses stay the same when its process is replaced."""

    name: str
    domain: str
    caller: str
    readiness: str
    peer: str
    tunnel: str
    folder: Path
    front: Proxy = field(default_factory=Proxy)
    process: subprocess.Popen | None = None
    exit_expected: bool = False
    missed_polls: int = 2
    starts: int = 0

    @property
    def settings_path(self):
        """Path of its settings file."""
        return self.folder / f"{self.name}.ini"

    @property
    def cut_path(self):
        """Path of the file that names the cut of its links to replicas."""
        return self.folder / f"{self.name}.cut"

    @property
    def has_read_settings(self):
        """Whether its process runs and has read its settings.

        A node installs its SIGHUP handler once it has read them.
        """
        is_running = self.process is not None and self.process.poll() is None
        return is_running and handles_hangup(self.process.pid)

    @property
    def in_rotation(self):
        """Whether the balancer sends callers to it."""
        return self.missed_polls < 2


class Deployment:
    """All components of one run; an asynchronous context manager.

    Parameters
    ----------
    nodes, replicas : int
        Number of nodes and of replicas.
    stop_s : float
        Maximum duration of a graceful stop.
    """

    def __init__(self, *, nodes=4, replicas=6, stop_s=STOP_S):
        self.stop_s = stop_s
        self.folder = Path(tempfile.mkdtemp(prefix="lycheetide-soak-"))
        self.store = Store()
        self.store_proxy = Proxy()
        self.replicas = [RecordingReplica(f"r-{index}") for index in range(replicas)]
        self.replica_proxies = [Proxy() for _ in self.replicas]
        self.states = {replica.name: "ready" for replica in self.replicas}
        self.born_ms = {replica.name: 1_700_000_000_000 for replica in self.replicas}
        self.sequence = 0
        self.expired_entries: set[str] = set()
        self.nodes = [self._make_node(index) for index in range(nodes)]
        self.own_exits: list[str] = []
        self.starts: list[tuple[str, float]] = []
        self.version = 1
        self.is_closing = False
        self.hot_node: Node | None = None
        self.bursts = 0
        self._stack = AsyncExitStack()

    def _make_node(self, index):
        """Return a node whose process has not been started."""
        ports = [f"{LOOPBACK}:{find_port()}" for _ in range(4)]
        domain = FAILURE_DOMAINS[index % len(FAILURE_DOMAINS)]
        return Node(f"entry-{index}", domain, *ports, self.folder)

    async def __aenter__(self):
        """Start all components and wait until each node is ready."""
        try:
            await self._start_all()
        except BaseException:
            self._kill_processes()
            raise
        return self

    async def _start_all(self):
        """Start the stand-ins, the proxies and the nodes."""
        enter = self._stack.enter_async_context
        await enter(self.store.server.run())
        self.store_proxy.target = self.store.address
        await enter(self.store_proxy.run())
        for replica, proxy in zip(self.replicas, self.replica_proxies, strict=True):
            await enter(replica.server.run())
            proxy.target = replica.address
            await enter(proxy.run())
        for node in self.nodes:
            node.front.target = node.caller
            await enter(node.front.run())
        self.publish()
        self.write_registry_entries()
        self.group = await enter(anyio.create_task_group())
        for node in self.nodes:
            self.start(node)
        self.group.start_soon(self._write_entries_periodically)
        self.group.start_soon(self._watch_processes)
        self.group.start_soon(self._poll_all_nodes)
        with anyio.fail_after(START_TIMEOUT_S):
            while not all(node.in_rotation for node in self.nodes):
                await anyio.sleep(0.05)

    def _kill_processes(self):
        """Kill the node processes that this deployment started, by their ids."""
        self.is_closing = True
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()

    async def __aexit__(self, *error):
        """Stop all components."""
        self._kill_processes()
        self.group.cancel_scope.cancel()
        return await self._stack.__aexit__(*error)

    def publish(self, *, without_second_key=False):
        """Write the next version of the configuration to the store."""
        keys = [API_KEY] if without_second_key else [API_KEY, SECOND_KEY]
        config = make_config(
            version=self.version, tenants=[{"name": CUSTOMER, "apiKeys": keys}]
        )
        service = config["services"][0]
        service["coldPerS"] = COLD_PER_S
        service["engine"] = service["engine"] | ENGINE_PROFILE
        (stream_route,) = (
            route for route in config["routes"] if route["name"] == "stream"
        )
        config["limits"] |= {"maxBodyBytes": MAX_BODY_BYTES}
        config["routes"] += [
            stream_route
            | {"name": "huge", "pathPrefix": "/huge/", "goalLatencyMs": 2_500},
            stream_route
            | {
                "name": "patient",
                "pathPrefix": "/patient/",
                "timeoutMs": PATIENT_TIMEOUT_MS,
            },
        ]
        self.version += 3
        self.store.put("keyed.op", "config", config)

    def write_registry_entries(self, *, cold_ms=None):
        """Write the registry entry of each replica to the store."""
        self.sequence += 1
        for index, replica in enumerate(self.replicas):
            if (
                replica.name in self.expired_entries
                or self.states[replica.name] == "gone"
            ):
                continue
            entry = replica.entry(
                address=self.replica_proxies[index].address,
                zone=FAILURE_DOMAINS[index % len(FAILURE_DOMAINS)],
                state=self.states[replica.name],
                seq=self.sequence,
                born=self.born_ms[replica.name],
                coldRemainingMs=(cold_ms or {}).get(replica.name, 0),
            )
            self.store.put("keyed.servers", replica.name, entry)

    async def _write_entries_periodically(self):
        """Renew the registry entries at each heartbeat interval."""
        while True:
            await anyio.sleep(HEARTBEAT_S)
            self.write_registry_entries(cold_ms=self._remaining_cold_ms())

    def _remaining_cold_ms(self):
        """Return for how many more milliseconds each replica is cold."""
        now_s = time.monotonic()
        return {
            replica.name: int(max(0.0, replica.cold[-1][1] - now_s) * 1000)
            for replica in self.replicas
            if replica.cold
        }

    def write_settings(self, node):
        """Write the settings file of a node."""
        node.settings_path.write_text(
            SETTINGS.format(
                name=node.name, domain=node.domain, caller=node.caller,
                readiness=node.readiness, peer=node.peer, tunnel=node.tunnel,
                store=self.store_proxy.address, stop_s=self.stop_s,
                notice_s=STOP_NOTICE_S,
            )
        )  # fmt: skip

    def cut_links(self, nodes, replicas, *, kind):
        """Cut some nodes from some replicas, as in ``links.Cut``."""
        for node in nodes:
            addresses = [self.replica_proxies[index].address for index in replicas]
            write_cut(node.cut_path, kind, addresses)

    def heal_links(self, nodes):
        """End the cuts of some nodes."""
        for node in nodes:
            node.cut_path.unlink(missing_ok=True)

    def start(self, node):
        """Start the process of a node, with its log in a file."""
        self.write_settings(node)
        node.starts += 1
        self.starts.append((node.name, time.monotonic()))
        node.exit_expected = False
        command = [sys.executable, "-m", "soak.node", str(node.cut_path)]
        command += ["node", "--settings"]
        with open(self.folder / f"{node.name}.log", "ab") as log:
            node.process = subprocess.Popen(
                [*command, str(node.settings_path)],
                stdout=log, stderr=subprocess.STDOUT,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )  # fmt: skip

    def signal(self, node, number):
        """Send a signal to the process of a node, if it runs.

        SIGHUP is withheld from a process that it would end.
        """
        if node.process is None or node.process.poll() is not None:
            return
        if number == signal.SIGHUP and not survives_hangup(node.process.pid):
            return
        if number in (signal.SIGKILL, signal.SIGTERM):
            node.exit_expected = True
        node.process.send_signal(number)

    async def _watch_processes(self):
        """Restart each process that has ended, as the platform does."""
        while True:
            await anyio.sleep(0.05)
            for node in self.nodes:
                if (
                    node.process is None
                    or node.process.poll() is None
                    or self.is_closing
                ):
                    continue
                if not node.exit_expected:
                    code = node.process.returncode
                    self.own_exits.append(f"{node.name} ended with {code}")
                node.process = None
                self.group.start_soon(self._restart, node)

    async def _restart(self, node):
        """Start a process after a short delay."""
        await anyio.sleep(RESTART_DELAY_S)
        self.start(node)

    async def _poll_all_nodes(self):
        """Poll the readiness of all nodes, as a load balancer does."""
        async with (
            httpx.AsyncClient(
                timeout=READINESS_POLL_S, trust_env=False, verify=False
            ) as client,
            anyio.create_task_group() as group,
        ):
            for node in self.nodes:
                group.start_soon(self._poll_node, client, node)

    async def _poll_node(self, client, node):
        """Poll the readiness of one node until cancelled."""
        while True:
            try:
                answer = await client.get(f"http://{node.readiness}/-/ready")
                is_ready = answer.status_code == 200
            except httpx.HTTPError:
                is_ready = False
            node.missed_polls = 0 if is_ready else node.missed_polls + 1
            await anyio.sleep(READINESS_POLL_S)

    def choose_node(self, rng):
        """Return the node that a caller's new connection goes to."""
        hot_node = self.hot_node
        if hot_node is not None and hot_node.in_rotation and rng.random() < HOT_SHARE:
            return hot_node
        return rng.choice(self.list_rotation())

    def list_rotation(self):
        """Return the nodes that receive callers; all of them if none is ready."""
        return [node for node in self.nodes if node.in_rotation] or self.nodes


__all__ = ["API_KEY", "HOST", "SECOND_KEY", "Deployment", "Node"]
