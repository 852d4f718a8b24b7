"""Relays and replicas as processes of their own, and proxies between them."""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import time
import tomllib
from pathlib import Path

from review.lib2.wire import call

ROOT = Path(__file__).resolve().parents[2]
HOST = "works.example"
ZONES = ("cork-a", "cork-b", "cork-c")
START_TIMEOUT_S = 15.0
PACKET_BYTES = 1_460
"""Largest part of a channel in one packet of Ethernet."""
RESEND_S = 0.2
"""Shortest time after which Linux sends a lost packet again."""


def find_port():
    """Return a port that is free at present."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def make_environment():
    """Return the environment of a program, as the pages describe it."""
    kept = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
    return kept | {"LANG": "C.UTF-8", "PYTHONPATH": f"{ROOT / 'target/deps'}:{ROOT}"}


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", buffering=1)  # noqa: SIM115
        self.begun_s = time.monotonic()

    def note(self, text):
        """Write a line with the seconds since the start."""
        self.file.write(f"{time.monotonic() - self.begun_s:8.3f}  {text}\n")


class Process:
    """A process that is ended with the case."""

    def __init__(self, command, *, log):
        self.command = command
        self.log = log
        self.process = None

    async def start(self):
        """Start the process in the root of the repository."""
        with open(self.log, "ab") as file:
            self.process = await asyncio.create_subprocess_exec(
                *self.command, cwd=ROOT, env=make_environment(), stdout=file,
                stderr=file, stdin=asyncio.subprocess.DEVNULL,
            )  # fmt: skip

    def signal(self, number):
        """Send a signal, unless the process has ended."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        """Kill the process and wait for its end."""
        if self.process is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.process.wait()


class Relay(Process):
    """A relay, started with the command and the template of the deploy file.

    Parameters
    ----------
    folder : Path
        A temporary folder.
    number : int
        Place of the relay.
    store : str
        Address of the store.
    """

    def __init__(self, folder, number, store):
        ports = [find_port() for _ in range(5)]
        self.address, self.readiness, self.metrics = (
            f"127.0.0.1:{port}" for port in ports[:3]
        )
        self.name = f"front-{number}"
        zone = ZONES[number % len(ZONES)]
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["relay"]
        values = {
            "node": self.name, "region": "munster", "zone": zone,
            "listen.front": self.address, "listen.readiness": self.readiness,
            "ip": "127.0.0.1", "internalPorts.0": ports[3], "internalPorts.1": ports[4],
            "platform.address": store, "seeds": "", "limits.linkMbps": 1000.0,
            "contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants,"
                         "places,platform,spans",
            "limits.memoryMb": 300, "bounds.retryBudgetRatio": 0.2,
            "bounds.budgetExtra": 106, "bounds.budgetWindowS": 10, "bounds.graceS": 8,
        }  # fmt: skip
        text = (ROOT / role["template"]).read_text()
        domains = ",".join(f"{zone}:munster" for zone in ZONES)
        text = text.replace("{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}", domains)
        # All relays share one address here, so each needs a port of its own.
        text = text.replace("{{ip}}:9464", self.metrics)
        for name, value in values.items():
            text = text.replace("{{" + name + "}}", str(value))
        settings = Path(folder) / f"{self.name}.ini"
        settings.write_text(text)
        words = role["run"].split()
        words[words.index("--settings") + 1] = str(settings)
        super().__init__(words, log=Path(folder) / f"{self.name}.log")

    async def wait_until_ready(self):
        """Wait until the relay says that it is ready.

        Raises
        ------
        TimeoutError
            If it isn't in time.
        """
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                answer = await call(self.readiness, "GET", "/-/ready", timeout_s=1.0)
                if answer is not None and answer.status == 200:
                    return
                await asyncio.sleep(0.05)


class Proxy:
    """Carries the channels to one server, and can cut them silently.

    While it is cut, bytes in both directions are held. Those that are held when the cut
    ends are delivered, as by a network that sends lost packets again. A channel that is
    opened during a cut is never carried.
    """

    def __init__(self, target_port):
        self.target_port = target_port
        self.is_open = asyncio.Event()
        self.is_open.set()
        self.address = ""
        self.port = 0
        self.server = None
        self.refused = 0
        self.carried = 0

    async def start(self):
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"

    async def _serve(self, reader, writer):
        """Carry one channel."""
        if not self.is_open.is_set():
            await self.is_open.wait()
            writer.transport.abort()
            return
        try:
            far = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            self.refused += 1
            writer.transport.abort()
            return
        self.carried += 1
        await asyncio.gather(self._carry(reader, far[1]), self._carry(far[0], writer))

    async def _carry(self, reader, writer):
        """Carry one direction; an end is carried as an end, a reset as a reset."""
        try:
            while data := await reader.read(65_536):
                await self.is_open.wait()
                writer.write(data)
                await writer.drain()
            await self.is_open.wait()
            writer.write_eof()
        except (ConnectionError, OSError):
            await self.is_open.wait()
            writer.transport.abort()


class LossyProxy(Proxy):
    """Carries the answers of one server over a link that loses packets.

    The sender sends a lost packet again after a while. What it sent before is delivered
    at once, and what it sends after that waits, since the bytes of a channel stay in
    order.
    """

    def __init__(self, target_port):
        super().__init__(target_port)
        self.loss = 0.0
        self.random = random.Random(63)
        self.packets = 0
        self.lost = 0

    async def _carry(self, reader, writer):
        """Carry one direction; only packets of answers are ever lost."""
        is_answer = writer.get_extra_info("sockname")[1] == self.port
        try:
            while data := await reader.read(65_536):
                if is_answer and self.loss > 0.0:
                    await self._send_packets(data, writer)
                else:
                    writer.write(data)
                await writer.drain()
            writer.write_eof()
        except (ConnectionError, OSError):
            writer.transport.abort()

    async def _send_packets(self, data, writer):
        """Send what precedes a lost packet at once, and the rest later."""
        sent = 0
        for begin in range(0, len(data), PACKET_BYTES):
            self.packets += 1
            if self.random.random() < self.loss:
                self.lost += 1
                writer.write(data[sent:begin])
                sent = begin
                await asyncio.sleep(RESEND_S)
        writer.write(data[sent:])


def read_rows(path):
    """Return the rows of the log that the replicas write."""
    with contextlib.suppress(FileNotFoundError):
        return [json.loads(line) for line in Path(path).read_text().splitlines()]
    return []


def run_replica(options, *, log):
    """Return the process of a replica with some command-line options."""
    words = [sys.executable, "-m", "review.lib2.replica"]
    for name, value in options.items():
        words += [f"--{name}", str(value)]
    return Process(words, log=log)
