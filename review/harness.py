"""Start the project's own nodes as separate processes, for the cases of the review.

A node is started with the command of its role in the deploy file. Its settings are the
role's template, filled in with the fields that the pages describe. The store, the
replicas and the clients run in the process of the case.
"""

import contextlib
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import h11

ROOT = Path(__file__).resolve().parent.parent
DEFAULT_PATH = "/etc/lycheetide/local.json"
START_TIMEOUT_S = 20.0
HOST = "works.example"
API_KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
ZONES = ("cork-a", "cork-b", "cork-c")
HEARTBEAT_MS = 1200
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
    "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
    "rollbackSlackMs": 250, "maxStretchMs": 5000, "strictRevoke": False,
    "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetExtra": 106,
    "coldExcess": 1.5, "coldSlack": 5, "evacuateMs": 5000, "recoveryS": 12,
    "passMs": 120, "retryAfterS": 0, "stall_ms": 1500, "maxHoldMs": 20000,
    "freeMs": 4000, "maxIdleMs": 9000,
}  # fmt: skip
CONTRACTS = (
    "base drain config cost retry recover engine stream tenants places platform spans"
)

_PLACEHOLDER = re.compile(r"\{\{([^{}]+)\}\}")
_SECTION = re.compile(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}")


def has_trouble():
    """Tell whether the run includes the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def fill_template(text, fields):
    """Return a settings template with the fields filled in, as the platform does it."""

    def fill_section(match):
        rows = list(fields[match[1]].items())
        parts = []
        for place, (key, value) in enumerate(rows):
            part = match[2].replace("{{@}}", str(key)).replace("{{.}}", str(value))
            comma = "," if place < len(rows) - 1 else ""
            parts.append(part.replace("{{,}}", comma))
        return "".join(parts)

    def fill(match):
        value = fields
        for name in match[1].split("."):
            value = value[int(name)] if isinstance(value, list) else value[name]
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    return _PLACEHOLDER.sub(fill, _SECTION.sub(fill_section, text))


def find_free_port(hosts):
    """Return a port that is free at all of some loopback addresses."""
    while True:
        port = random.randrange(12_000, 30_000)
        with contextlib.ExitStack() as stack:
            try:
                for host in hosts:
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        one = stack.enter_context(socket.socket(socket.AF_INET, kind))
                        one.bind((host, port))
            except OSError:
                continue
            return port


@dataclass
class Node:
    """A machine of the system and its process."""

    name: str
    fields: dict
    folder: Path
    process: subprocess.Popen | None = None

    @property
    def front(self):
        """Address for clients."""
        return self.fields["listen"]["front"]

    @property
    def readiness(self):
        """Address that the platform asks for the readiness."""
        return self.fields["listen"]["readiness"]

    def start(self):
        """Start the process with the command and the template of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["relay"]
        template = (ROOT / role["template"]).read_text()
        path = self.folder / f"{self.name}.json"
        path.write_text(fill_template(template, self.fields))
        words = [
            str(path) if word == DEFAULT_PATH else word for word in role["run"].split()
        ]
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                if name in os.environ}  # fmt: skip
        environment = kept | {
            "LYCHEETIDE_CONFIG": str(path),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    def kill(self):
        """Kill the process, if it runs, and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait(10)

    def read_log(self):
        """Return the lines that the process has logged."""
        path = self.folder / f"{self.name}.log"
        return path.read_text(errors="replace").splitlines() if path.exists() else []


@dataclass
class Record:
    """What was sent, answered and run, in the order of time."""

    path: Path
    begun_s: float = field(default_factory=time.monotonic)
    lines: list = field(default_factory=list)

    def add(self, text, *, at_s=None):
        """Add a line, with the time since the start of the case."""
        at_s = time.monotonic() if at_s is None else at_s
        self.lines.append((at_s, text))

    def write(self):
        """Write the record to its file."""
        rows = sorted(self.lines, key=lambda line: line[0])
        text = "".join(f"{at_s - self.begun_s:9.3f} {line}\n" for at_s, line in rows)
        self.path.write_text(text)


def make_nodes(count, store_address, folder, **changes):
    """Return the nodes of a small deployment, each at a loopback address of its own."""
    base = f"127.{random.randrange(1, 250)}.{random.randrange(1, 250)}"
    hosts = [f"{base}.{10 + index}" for index in range(count)]
    ports = {one: find_free_port(hosts) for one in ("front", "readiness", "control")}
    internal = [find_free_port(hosts), find_free_port(hosts)]
    nodes = []
    for index, host in enumerate(hosts):
        fields = {
            "node": f"front-{ZONES[index % 3]}-{index // 3 + 1}",
            "ip": host,
            "zone": ZONES[index % 3],
            "region": "munster",
            "zones": dict.fromkeys(ZONES, "munster"),
            "listen": {name: f"{host}:{port}" for name, port in ports.items()},
            "internalPorts": internal,
            "seeds": [f"{one}:{ports['control']}" for one in hosts[:3]],
            "bootstrap": True,
            "limits": {"memoryMb": 300, "maxFds": 4100, "linkMbps": 1000.0},
            "contracts": CONTRACTS.split(),
            "bounds": BOUNDS,
            "platform": {"address": store_address},
        } | changes
        nodes.append(Node(fields["node"], fields, folder))
    return nodes


def make_route(path, kind, service, **fields):
    """Return a route of a configuration."""
    return {
        "name": f"r-{path.strip('/')}", "host": HOST, "pathPrefix": path, "kind": kind,
        "timeoutMs": 4000, "goalLatencyMs": 400, "priority": 1, "service": service,
        "attempts": 2, "public": False,
    } | fields  # fmt: skip


def make_config(version, routes, services):
    """Return a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": TENANT, "apiKeys": [API_KEY], "priority": 1}],
    }  # fmt: skip


@dataclass
class Answer:
    """How one request of a client ended.

    Parameters
    ----------
    status : int
        HTTP status; 0 if no head arrived.
    headers : dict
        Headers of the answer, with names in lower case.
    body : bytes
        The part of the body that arrived.
    is_whole : bool
        Whether the answer is complete in the protocol.
    error : str
        How the channel ended, if the answer isn't complete.
    """

    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    error: str = ""


class Client:
    """A client that keeps its channel to one node for its requests."""

    def __init__(self, address):
        self.address = address
        self.stream = None
        self.uses = 0

    async def request(
        self, method, path, *, attempt, deadline_ms=4000, body=b"", **headers
    ):
        """Send a request and return how it ended."""
        answer = Answer()
        fields = {
            "Host": HOST,
            "Lycheetide-Attempt-Id": attempt,
            "Lycheetide-Deadline-Ms": str(deadline_ms),
            "Lycheetide-Credential": API_KEY,
            "Content-Length": str(len(body)),
        } | {name.replace("_", "-"): value for name, value in headers.items()}
        head = h11.Request(method=method, target=path, headers=list(fields.items()))
        try:
            with anyio.fail_after(deadline_ms / 1e3 + 2.0):
                await self._exchange(head, body, answer)
        except TimeoutError:
            answer.error = "no end within the time limit and 2 s"
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError,
                h11.RemoteProtocolError) as error:  # fmt: skip
            answer.error = type(error).__name__ + f" {error}"
        if not answer.is_whole or answer.headers.get("connection") == "close":
            await self.aclose()
        return answer

    async def _exchange(self, head, body, answer):
        """Send a request and fill in its answer as it arrives."""
        if self.stream is None:
            host, _, port = self.address.rpartition(":")
            self.stream = await anyio.connect_tcp(host, int(port))
            self.uses = 0
        self.uses += 1
        parser = h11.Connection(h11.CLIENT)
        data = parser.send(head)
        if body:
            data += parser.send(h11.Data(data=body))
        data += parser.send(h11.EndOfMessage())
        await self.stream.send(data)
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                try:
                    parser.receive_data(await self.stream.receive())
                except anyio.EndOfStream:
                    parser.receive_data(b"")
            elif isinstance(event, h11.Response):
                answer.status = event.status_code
                answer.headers = {
                    name.decode(): value.decode("latin-1")
                    for name, value in event.headers
                }
            elif isinstance(event, h11.Data):
                answer.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                answer.is_whole = True
                return
            else:
                raise anyio.EndOfStream("closed without an answer")

    async def aclose(self):
        """Close the channel."""
        if self.stream is not None:
            stream, self.stream = self.stream, None
            with anyio.CancelScope(shield=True):
                await stream.aclose()


async def is_ready(node):
    """Ask a node once for its readiness, as the platform does."""
    host, _, port = node.readiness.rpartition(":")
    try:
        with anyio.fail_after(1.0):
            async with await anyio.connect_tcp(host, int(port)) as stream:
                request = f"GET /-/ready HTTP/1.1\r\nHost: {node.readiness}\r\n\r\n"
                await stream.send(request.encode())
                head = await stream.receive()
    except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
        return False
    return head.startswith(b"HTTP/1.1 200")


async def wait_until_ready(nodes, *, timeout_s=START_TIMEOUT_S):
    """Wait until all nodes are ready; return whether they are."""
    until_s = time.monotonic() + timeout_s
    for node in nodes:
        while not await is_ready(node):
            if time.monotonic() > until_s:
                return False
            await anyio.sleep(0.1)
    return True


async def beat(store, entries):
    """Write the entries of the replicas that are registered, at each heartbeat.

    Parameters
    ----------
    store : Store
        The store.
    entries : dict of str to dict
        Entries by id; the caller changes and removes them.
    """
    while True:
        for name in list(entries):
            entries[name]["seq"] += 1
            store.put("keyed.servers", name, entries[name])
        await anyio.sleep(HEARTBEAT_MS / 1e3)


def run_case(main, folder):
    """Run a case and exit with its result.

    Parameters
    ----------
    main : callable
        Coroutine function that takes the record and a temporary folder; returns a list
        of breaches of the rule, or None if the case couldn't run.
    folder : Path
        Folder of the case.
    """
    # Ends the nodes as well, if the case itself is ended.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(folder / "record.txt")
    breaches = None
    try:
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            breaches = anyio.run(main, record, Path(temporary))
    except Exception as error:
        record.add(f"the case failed: {error!r}")
        record.write()
        raise SystemExit(2) from error
    if breaches is None:
        record.add("the case couldn't run")
        code = 2
    else:
        for line in breaches:
            record.add(f"BREACH {line}")
        result = "broken" if breaches else "kept"
        record.add(f"trouble {has_trouble()}: the rule is {result}")
        code = 1 if breaches else 0
    record.write()
    sys.stdout.write(record.lines[-1][1] + f" ({len(breaches or ())} breaches)\n")
    raise SystemExit(code)


def encode(value):
    """Return a value as JSON."""
    return json.dumps(value).encode()
