"""Run nodes and simulators as separate processes on this machine, for tests.

Only processes that were started by this module are stopped, each by its own process id.
"""

import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import deque
from dataclasses import dataclass
from pathlib import Path

import httpx

from lycheetide.fleet import FleetBuilder, decode_entry, make_change_record
from lycheetide.fleet._validation import entry_name

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
LOOPBACK = "127.0.0.1"
ROOT = Path(__file__).resolve().parent.parent


PORTS = itertools.cycle(range(12_000, 32_000))
"""Below the range from which the system assigns ports to outgoing connections."""

for _ in range(os.getpid() * 97 % 20_000):
    next(PORTS)

MAX_PORTS_TRIED = 20_000
MAX_CLAIMS_HELD = 300
"""Claims held at a time; more than the processes of any one test need."""
held_claims: deque[socket.socket] = deque()


def find_port():
    """Return a free port of the loopback address that was not returned recently.

    A port assigned by the system is in the range of outgoing connections, one of which
    may take it before the process that is to listen on it has started. Another test
    process that searches at the same moment may take it too, since on a busy machine it
    takes seconds until the new process binds the port. Therefore each port is claimed
    with a socket that is named after it, and the claim is held until
    ``MAX_CLAIMS_HELD`` further ports have been returned.
    """
    for port in itertools.islice(PORTS, MAX_PORTS_TRIED):
        claim = claim_port(port)
        if claim is None:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                claim.close()
                continue
        held_claims.append(claim)
        if len(held_claims) > MAX_CLAIMS_HELD:
            held_claims.popleft().close()
        return port
    raise OSError(f"found no free port in {MAX_PORTS_TRIED} tries")


def claim_port(port):
    """Return a socket that claims a port, or None if another process has claimed it."""
    claim = socket.socket(socket.AF_UNIX)
    try:
        # A name that begins with a zero byte is in the abstract namespace: it needs no
        # file, and the system removes it when the socket is closed.
        claim.bind(f"\0lycheetide-port-{port}")
    except OSError:
        claim.close()
        return None
    return claim


def survives_hangup(pid):
    """Return whether a process ignores or handles SIGHUP, according to ``/proc``.

    While the interpreter starts, before it runs any code of this project, SIGHUP ends
    the process.
    """
    return _is_sighup_in_mask(pid, "SigIgn") or handles_hangup(pid)


def handles_hangup(pid):
    """Return whether a process has a handler for SIGHUP.

    A node ignores SIGHUP while it imports its libraries, and so does a process whose
    parent ignores it. A node installs its handler once it has read its settings.
    """
    return _is_sighup_in_mask(pid, "SigCgt")


def _is_sighup_in_mask(pid, mask):
    """Return whether SIGHUP is set in one of the signal masks of a process."""
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        rows = dict(line.split(":", 1) for line in file)
    return bool(int(rows[mask], 16) & 1 << (signal.SIGHUP - 1))


@dataclass
class Process:
    """A process that was started by this module."""

    name: str
    popen: subprocess.Popen
    url: str
    operator_url: str = ""
    peer_address: str = ""
    failure_domain: str = ""

    def signal(self, number):
        """Send a signal to the process."""
        self.popen.send_signal(number)

    def kill(self):
        """Kill the process with SIGKILL and wait for its end."""
        self.signal(signal.SIGKILL)
        self.popen.wait(STOP_TIMEOUT_S)

    def suspend(self):
        """Suspend the process with SIGSTOP; its connections stay open."""
        self.signal(signal.SIGSTOP)

    def resume(self):
        """Resume the process after ``suspend``."""
        self.signal(signal.SIGCONT)

    def is_running(self):
        """Return whether the process has not exited."""
        return self.popen.poll() is None


class LocalFleet:
    """Nodes and simulators on the loopback address; use as a context manager.

    Parameters
    ----------
    region : str
        The region of all nodes.
    settings : dict of str to dict
        INI sections that are merged into the settings of each node.
    """

    def __init__(self, *, region="munster", settings=None):
        self.region = region
        self.settings = settings or {}
        self.folder = Path(tempfile.mkdtemp(prefix="lycheetide-trial-"))
        self.processes = {}
        self.nodes = {}
        self.engines = {}
        self.services = {}
        self.http = httpx.Client(timeout=30, trust_env=False)
        self.listed = []
        self.version = 0
        self.document = {}

    def __enter__(self):
        """Return this fleet."""
        return self

    def __exit__(self, *_):
        """Kill all processes of this fleet that still run."""
        for process in self.processes.values():
            if process.is_running():
                process.resume()
                process.kill()
        self.http.close()

    def _start(self, name, arguments, **fields):
        log = (self.folder / f"{name}.log").open("ab")
        environment = dict(os.environ, PYTHONPATH=str(ROOT))
        popen = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdout=log, stderr=log, cwd=ROOT, env=environment,
        )  # fmt: skip
        log.close()
        process = Process(name, popen, **fields)
        self.processes[name] = process
        return process

    def _start_standin(self, kind, name, options):
        address = f"{LOOPBACK}:{find_port()}"
        arguments = ["standins", kind, "--address", address]
        arguments += ["--options", json.dumps(options)]
        return self._start(name, arguments, url=f"http://{address}")

    def start_platform(self, **options):
        """Start the platform simulator, which serves the log and the host list."""
        self.platform = self._start_standin("platform", "platform", options)
        self.wait_url(f"{self.platform.url}/record")
        return self.platform

    def start_engine(self, name, **options):
        """Start a simulated engine."""
        engine = self._start_standin("engine", name, {"name": name} | options)
        self.engines[name] = engine
        return engine

    def start_service(self, name, **options):
        """Start a simulated replica of a service that is not a model."""
        service = self._start_standin("service", name, {"name": name} | options)
        self.services[name] = service
        return service

    def start_node(self, name, failure_domain):
        """Start a node; it replaces a node of the same name."""
        addresses = {
            key: f"{LOOPBACK}:{find_port()}"
            for key in ("caller_address", "peer_address", "operator_address")
        }
        sections = {
            "node": {
                "name": name,
                "region": self.region,
                "failure_domain": failure_domain,
            },
            "listen": addresses,
            "platform": {"log_url": self.platform.url, "hosts_url": self.platform.url},
        }
        for section, values in self.settings.items():
            sections.setdefault(section, {}).update(values)
        path = self.folder / f"{name}.ini"
        path.write_text(
            "\n".join(
                f"[{section}]\n" + "\n".join(f"{k} = {v}" for k, v in values.items())
                for section, values in sections.items()
            )
        )
        node = self._start(
            name,
            ["lycheetide", "node", "--settings", str(path)],
            url=f"http://{addresses['caller_address']}",
            operator_url=f"http://{addresses['operator_address']}",
            peer_address=addresses["peer_address"],
            failure_domain=failure_domain,
        )
        self.nodes[name] = node
        self.publish_hosts()
        return node

    def publish_hosts(self, *, leaving=()):
        """Write all nodes to the host list of the platform.

        Nodes named in ``leaving`` are listed in the state "leaving".
        """
        rows = [
            {
                "name": name,
                "peer_address": node.peer_address,
                "state": "leaving" if name in leaving else "live",
            }
            for name, node in self.nodes.items()
        ]
        self.http.post(f"{self.platform.url}/hosts", json={"hosts": rows})

    def wait_url(self, url, *, timeout_s=START_TIMEOUT_S):
        """Wait until a GET of the URL succeeds."""
        self.wait_for(lambda: self.try_get(url) is not None, timeout_s=timeout_s)

    def try_get(self, url, timeout_s=2.0):
        """Return the decoded JSON body of a GET, or None if the request fails."""
        try:
            response = self.http.get(url, timeout=timeout_s)
            return response.json() if response.is_success else None
        except (httpx.HTTPError, ValueError):
            return None

    def wait_for(self, condition, *, timeout_s=START_TIMEOUT_S, what="the condition"):
        """Wait until a condition holds; return the seconds that it took."""
        start_s = time.monotonic()
        while time.monotonic() - start_s < timeout_s:
            if condition():
                return time.monotonic() - start_s
            time.sleep(0.02)
        raise TimeoutError(f"waiting for {what} timed out after {timeout_s} s")

    def status(self, name):
        """Return the operator status of a node, or None if it can't be read."""
        return self.try_get(f"{self.nodes[name].operator_url}/status")

    def read_state_changes(self, *, max_lines=12):
        """Yield the last log lines of each node on state changes and stalls."""
        for name in self.nodes:
            lines = (self.folder / f"{name}.log").read_text().splitlines()
            state_lines = [
                line for line in lines if "state changed" in line or "stood" in line
            ]
            yield from state_lines[-max_lines:]

    def wait_ready(self, *, timeout_s=START_TIMEOUT_S, may_have_ended=False):
        """Wait until all running nodes serve, know each other and see all replicas."""

        def is_ready():
            ended = [n for n, p in self.processes.items() if not p.is_running()]
            if ended and not may_have_ended:
                raise RuntimeError(f"ended by themselves: {ended}")
            running = [n for n, p in self.nodes.items() if p.is_running()]
            rows = [self.status(name) for name in running]
            if any(row is None or row["state"] != "serving" for row in rows):
                return False
            if any(len(row["members"]) != len(running) for row in rows):
                return False
            seen = [
                replica["phase"]
                for row in rows
                for cell in row["cells"]
                for replica in cell["replicas"]
                if cell["settled"]
            ]
            wanted = len(self.engines) + len(self.services)
            return len(seen) == wanted and "unseen" not in seen

        return self.wait_for(is_ready, timeout_s=timeout_s, what="readiness")

    def record(self, name):
        """Return what a simulator has recorded."""
        return self.http.get(f"{self.processes[name].url}/record").json()

    def set_faults(self, name, **faults):
        """Inject faults into a simulator."""
        self.http.post(f"{self.processes[name].url}/faults", json=faults)

    def publish(self, changes, *, author="operator", base_version=None, record_id=None):
        """Append a configuration change to the log; return the id of its record."""
        record_id = record_id or os.urandom(6).hex()
        base = self.version if base_version is None else base_version
        record = make_change_record(
            record_id, author=author, base_version=base, changes=changes
        )
        response = self.http.post(
            f"{self.platform.url}/streams/config/records", json={"records": [record]}
        )
        self.version = response.json()["next_offset"]
        return record_id

    def publish_document(self, document):
        """Publish all entries of a configuration document as one change."""
        self.document = document
        return self.publish(list(list_entries(document)))


def list_entries(document):
    """Yield a change for each entry of a configuration document."""
    for section, rows in document.items():
        for row in rows:
            yield section, entry_name(section, row), decode_entry(section, row)


DOMAINS = ("cork-a", "cork-b", "cork-c")
TOKENS = {"kestrel": "kestrel-token", "parish": "parish-token"}


def start_example_fleet(fleet, *, engines=6, nodes=3, bookings=3, **engine_options):
    """Start the small fleet of the example "Forge Works"; publish its configuration."""
    fleet.start_platform()
    builder = FleetBuilder(replicas_per_cell=engine_options.pop("per_cell", 8))
    builder.add_model("assistant")
    for domain in DOMAINS:
        builder.add_failure_domain(domain, region="munster")
    add_classes_and_customers(builder)
    options = {"cold_s": 0.0} | engine_options
    for index in range(engines):
        name = f"assistant-{index + 1}"
        engine = fleet.start_engine(name, **options)
        builder.add_upstream(
            name, kind="engine", serves="assistant",
            failure_domain=DOMAINS[index % 3], url=engine.url,
            kv_capacity_tokens=options.get("kv_capacity_tokens", 400_000),
            cold_limit_requests=options.get("cold_limit", 2),
            prefill_tokens_per_s=options.get("prefill_tokens_per_s", 400_000.0),
        )  # fmt: skip
    for index in range(bookings):
        name = f"booking-{index + 1}"
        service = fleet.start_service(name, checks_fencing=index == 0)
        builder.add_upstream(
            name, kind="service", serves="booking", checks_fencing=index == 0,
            failure_domain=DOMAINS[index % 3], url=service.url,
        )  # fmt: skip
    for index in range(nodes):
        fleet.start_node(f"entry-{index + 1}", DOMAINS[index % 3])
    fleet.publish_document(builder.make_document())
    for process in (*fleet.engines.values(), *fleet.services.values()):
        fleet.wait_url(f"{process.url}/record")


def add_classes_and_customers(builder):
    """Add the classes, customers and operations of the example fleet."""
    builder.add_class("quote", priority=0, deadline_s=20.0, aging_s=10.0)
    builder.add_class("review", priority=1, deadline_s=60.0, aging_s=20.0)
    builder.add_class("archive", priority=2, deadline_s=120.0, aging_s=30.0)
    for name, token in TOKENS.items():
        builder.add_customer(name, token=token)
    builder.add_operation("booking", "deposit", idempotent=False)
    builder.add_operation("booking", "status", idempotent=True)
