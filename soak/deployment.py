"""Nodes as processes between proxies, with a store and replicas in this process."""

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

from soak.proxy import Proxy
from soak.replicas import COLD_PER_S, SoakReplica
from standins.http import LOOPBACK
from standins.local import catches_hangups, find_port, takes_hangups
from standins.relayed import CUSTOMER, HOST, KEY, make_config
from standins.store import Store

DOMAINS = ("cork-a", "cork-b", "cork-c")
BEAT_S = 0.6
RESTART_S = 0.3
POLL_S = 0.4
"""The balancer's pause between questions; two misses take a node out."""
STOP_S = 5.0
STOP_NOTICE_S = 1.5
START_S = 20.0
PATIENT_MS = 6_000
"""Time limit of a route whose streams outlast two silences."""
SECOND_KEY = "key-that-is-taken-away"

ENGINE_SPEED = {"read_per_s": 2e6, "pairs_per_m": 0.01}
"""The replicas here answer at once; with a real engine's figures nodes would rightly
refuse most huge prompts, as more than the replicas bear."""

SETTINGS = """\
[node]
name = {name}
region = munster
failure_domain = {domain}
[relay]
caller_address = {caller}
readiness_address = {readiness}
peer_address = {peer}
store_address = {store}
[stop]
stop_s = {stop_s}
stop_notice_s = {notice_s}
[logs]
log_lines_per_s = 400
"""


@dataclass
class Node:
    """One node: its process may be replaced, its addresses stay."""

    name: str
    domain: str
    caller: str
    readiness: str
    peer: str
    folder: Path
    front: Proxy = field(default_factory=Proxy)
    popen: subprocess.Popen | None = None
    may_end: bool = False
    misses: int = 2
    starts: int = 0

    @property
    def settings_path(self):
        """The file that it reads."""
        return self.folder / f"{self.name}.ini"

    @property
    def has_read_settings(self):
        """Whether its process runs and has read them; it listens for signals then."""
        is_running = self.popen is not None and self.popen.poll() is None
        return is_running and catches_hangups(self.popen.pid)

    @property
    def in_rotation(self):
        """Whether the balancer gives it callers."""
        return self.misses < 2


class Deployment:
    """All that a run plays with; use as an asynchronous context.

    Parameters
    ----------
    nodes, replicas : int
        How many.
    stop_s : float
        How long a planned stop may take.
    """

    def __init__(self, *, nodes=4, replicas=6, stop_s=STOP_S):
        self.stop_s = stop_s
        self.folder = Path(tempfile.mkdtemp(prefix="lycheetide-soak-"))
        self.store = Store()
        self.store_proxy = Proxy()
        self.replicas = [SoakReplica(f"r-{index}") for index in range(replicas)]
        self.replica_proxies = [Proxy() for _ in self.replicas]
        self.states = {replica.name: "ready" for replica in self.replicas}
        self.born_ms = {replica.name: 1_700_000_000_000 for replica in self.replicas}
        self.sequence = 0
        self.lapsed: set[str] = set()
        self.nodes = [self._make_node(index) for index in range(nodes)]
        self.own_exits: list[str] = []
        self.version = 1
        self.is_closing = False
        self._stack = AsyncExitStack()

    def _make_node(self, index):
        """Return a node that hasn't started."""
        ports = [f"{LOOPBACK}:{find_port()}" for _ in range(3)]
        domain = DOMAINS[index % len(DOMAINS)]
        return Node(f"entry-{index}", domain, *ports, self.folder)

    async def __aenter__(self):
        """Start all and wait until each node is ready."""
        try:
            await self._start_all()
        except BaseException:
            self._end_processes()
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
        self.beat()
        self.group = await enter(anyio.create_task_group())
        for node in self.nodes:
            self.start(node)
        self.group.start_soon(self._keep_beating)
        self.group.start_soon(self._watch_processes)
        self.group.start_soon(self._balance)
        with anyio.fail_after(START_S):
            while not all(node.in_rotation for node in self.nodes):
                await anyio.sleep(0.05)

    def _end_processes(self):
        """End the processes that were started here, by their ids."""
        self.is_closing = True
        for node in self.nodes:
            if node.popen is not None and node.popen.poll() is None:
                node.popen.kill()
                node.popen.wait()

    async def __aexit__(self, *error):
        """End all that was started."""
        self._end_processes()
        self.group.cancel_scope.cancel()
        return await self._stack.__aexit__(*error)

    def publish(self, *, without_second_key=False):
        """Write a configuration."""
        keys = [KEY] if without_second_key else [KEY, SECOND_KEY]
        config = make_config(
            version=self.version, tenants=[{"name": CUSTOMER, "apiKeys": keys}]
        )
        service = config["services"][0]
        service["coldPerS"] = COLD_PER_S
        service["engine"] = service["engine"] | ENGINE_SPEED
        (streams,) = (one for one in config["routes"] if one["name"] == "stream")
        config["routes"] += [
            streams | {"name": "huge", "pathPrefix": "/huge/", "goalLatencyMs": 2_500},
            streams
            | {"name": "patient", "pathPrefix": "/patient/", "timeoutMs": PATIENT_MS},
        ]
        self.version += 3
        self.store.put("keyed.op", "config", config)

    def beat(self, *, cold_ms=None):
        """Let each replica write its entry."""
        self.sequence += 1
        for index, replica in enumerate(self.replicas):
            if replica.name in self.lapsed or self.states[replica.name] == "gone":
                continue
            entry = replica.entry(
                address=self.replica_proxies[index].address,
                zone=DOMAINS[index % len(DOMAINS)],
                state=self.states[replica.name],
                seq=self.sequence,
                born=self.born_ms[replica.name],
                coldRemainingMs=(cold_ms or {}).get(replica.name, 0),
            )
            self.store.put("keyed.servers", replica.name, entry)

    async def _keep_beating(self):
        """Let replicas write again and again."""
        while True:
            await anyio.sleep(BEAT_S)
            self.beat(cold_ms=self._cold_ms())

    def _cold_ms(self):
        """Return how much longer each replica is cold."""
        now_s = time.monotonic()
        return {
            replica.name: int(max(0.0, replica.cold[-1][1] - now_s) * 1000)
            for replica in self.replicas
            if replica.cold
        }

    def write_settings(self, node):
        """Write a node's settings file."""
        node.settings_path.write_text(
            SETTINGS.format(
                name=node.name, domain=node.domain, caller=node.caller,
                readiness=node.readiness, peer=node.peer,
                store=self.store_proxy.address, stop_s=self.stop_s,
                notice_s=STOP_NOTICE_S,
            )
        )  # fmt: skip

    def start(self, node):
        """Start a node's process; its log goes to a file."""
        self.write_settings(node)
        node.starts += 1
        node.may_end = False
        command = [sys.executable, "-m", "lycheetide", "node", "--settings"]
        with open(self.folder / f"{node.name}.log", "ab") as log:
            node.popen = subprocess.Popen(
                [*command, str(node.settings_path)],
                stdout=log, stderr=subprocess.STDOUT,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )  # fmt: skip

    def signal(self, node, number):
        """Send a signal to a node's process, if there is one."""
        if node.popen is None or node.popen.poll() is not None:
            return
        if number == signal.SIGHUP and not takes_hangups(node.popen.pid):
            return
        if number in (signal.SIGKILL, signal.SIGTERM):
            node.may_end = True
        node.popen.send_signal(number)

    async def _watch_processes(self):
        """Start each process that has ended again, as the platform does."""
        while True:
            await anyio.sleep(0.05)
            for node in self.nodes:
                if node.popen is None or node.popen.poll() is None or self.is_closing:
                    continue
                if not node.may_end:
                    code = node.popen.returncode
                    self.own_exits.append(f"{node.name} ended with {code}")
                node.popen = None
                self.group.start_soon(self._restart, node)

    async def _restart(self, node):
        """Start a process after a short pause."""
        await anyio.sleep(RESTART_S)
        self.start(node)

    async def _balance(self):
        """Ask each node whether it is ready, as a balancer does."""
        async with (
            httpx.AsyncClient(timeout=POLL_S, trust_env=False, verify=False) as client,
            anyio.create_task_group() as group,
        ):
            for node in self.nodes:
                group.start_soon(self._poll, client, node)

    async def _poll(self, client, node):
        """Ask one node again and again."""
        while True:
            try:
                answer = await client.get(f"http://{node.readiness}/-/ready")
                is_ready = answer.status_code == 200
            except httpx.HTTPError:
                is_ready = False
            node.misses = 0 if is_ready else node.misses + 1
            await anyio.sleep(POLL_S)

    def rotation(self):
        """Return the nodes that get callers; all of them where none is ready."""
        return [node for node in self.nodes if node.in_rotation] or self.nodes


__all__ = ["HOST", "KEY", "SECOND_KEY", "Deployment", "Node"]
