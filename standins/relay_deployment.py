"""Relays, replicas and a store in one event loop, for tests in a single process."""

import socket
import time
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Any

import anyio
import httpx

from lycheetide import platform
from lycheetide.relay import run_relay
from lycheetide.settings import RelaySettings
from standins.http import LOOPBACK
from standins.links import Links, node_index
from standins.local import find_port
from standins.replica import HEALTH_PATH, Replica
from standins.store import Store

HOST = "works.example"
API_KEY = "key-of-hule"
CUSTOMER = "hule"
WAIT_TIMEOUT_S = 5.0
CONNECT_RETRIES = 3
"""How often a caller repeats a refused connection. Relays that share an event loop are
late together, and each may turn callers away because another one seems free."""
SLOW_RECEIVE_BYTES = 4_096
SLOW_SEGMENT_BYTES = 1_000

ENGINE = {
    "slots": 8, "kvCapacityTokens": 100_000, "stride": 43, "step_ms": 1.0,
    "per_seq_ms": 0.005, "context_per_k": 0.004, "read_per_s": 206_000.0,
    "pairs_per_m": 0.138, "chunk": 2_048,
}  # fmt: skip


def make_config(version=1, **changes):
    """Return a valid configuration; ``changes`` replace its top-level fields."""

    def route(path, kind, **fields):
        return {
            "name": path.strip("/"), "host": HOST, "pathPrefix": path, "kind": kind,
            "timeoutMs": 3_000, "goalLatencyMs": 300, "priority": 1,
            "service": "models", "attempts": 2, "public": False,
        } | fields  # fmt: skip

    return {
        "version": version,
        "routes": [
            route("/stream/", "streaming", resumable=True, gapTargetMs=250),
            route("/stream-once/", "streaming", gapTargetMs=250),
            route("/look/", "idempotent"),
            route("/book/", "non_idempotent", attempts=1),
        ],
        "services": [
            {"name": "models", "healthPath": HEALTH_PATH, "maxConns": 100, "coldS": 3.0,
             "coldPerS": 20.0, "engine": ENGINE},
        ],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 10_000,
                   "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000},
        "tenants": [{"name": CUSTOMER, "apiKeys": [API_KEY]}],
    } | changes  # fmt: skip


def make_plain_config():
    """Return a configuration whose replicas are no engines: they make no reports."""
    config = make_config()
    del config["services"][0]["engine"]
    return config


def make_long_timeout_config(attempts=2):
    """Return a configuration with timeouts of 10 s, which outlast two long pauses.

    Parameters
    ----------
    attempts : int
        Maximum number of replicas that a request is sent to, on routes whose requests
        may be repeated.
    """
    config = make_config()
    for route in config["routes"]:
        route["timeoutMs"] = 10_000
        if route["kind"] != "non_idempotent":
            route["attempts"] = attempts
    return config


class RelayDeployment:
    """A small deployment; use as an asynchronous context manager.

    Parameters
    ----------
    replicas, relays : int
        Numbers of replicas and relays.
    config : dict, optional
        The configuration; that of `make_config` by default.
    stop_notice_s, contracts, memory_mb
        The settings of these names of each relay.
    crash_part : str
        Shared part of prompts on which replicas crash; each starts again after a while.
    crash_on, crash_moment
        The same for requests that a predicate names, at some moment of their answer, as
        in ``Replica``.
    """

    def __init__(
        self, *, replicas=2, relays=1, config=None, stop_notice_s=0.0, contracts=(),
        memory_mb=0.0, crash_part="", crash_on=None, crash_moment="head",
    ):  # fmt: skip
        self.stop_notice_s = stop_notice_s
        self.contracts = contracts
        self.memory_mb = memory_mb
        self.store = Store()
        self.links = Links()
        self.replicas = [Replica(f"r-{index}") for index in range(replicas)]
        for replica in self.replicas:
            replica.crash_part = crash_part
            replica.crash_on, replica.crash_moment = crash_on, crash_moment
        self.relays = []
        self.stop_events = []
        self.count = relays
        self.config = config or make_config()
        self.http: Any = None
        self.running = 0
        self._attempt_count = 0
        self._stack = AsyncExitStack()

    async def __aenter__(self):
        """Start all parts and wait until the relays have discovered the replicas."""
        self._stack.enter_context(self.links.installed())
        await self._stack.enter_async_context(self.store.server.run())
        self.group = await self._stack.enter_async_context(anyio.create_task_group())
        for replica in self.replicas:
            if replica.crash_part or replica.crash_on is not None:
                self.group.start_soon(replica.live, self.store)
                await self.wait_for(lambda one=replica: one.address)
                continue
            await self._stack.enter_async_context(replica.server.run())
            self.store.put("keyed.servers", replica.name, replica.entry())
        self.store.put("keyed.op", "config", self.config)
        for _ in range(self.count):
            await self.start_relay()
        self.http = await self._stack.enter_async_context(
            httpx.AsyncClient(
                timeout=10,
                trust_env=False,
                transport=httpx.AsyncHTTPTransport(retries=CONNECT_RETRIES),
            )
        )
        return self

    async def __aexit__(self, *error):
        """Stop all relays and servers."""
        for stop in self.stop_events:
            stop.set()
        with anyio.CancelScope(shield=True):
            await self.wait_for(lambda: self.running == 0)
        self.group.cancel_scope.cancel()
        return await self._stack.__aexit__(*error)

    async def start_relay(self, *, wait=True, adapter=platform):
        """Start another relay; return its state.

        With ``wait``, return once it has a configuration and has discovered replicas.
        """
        index = len(self.stop_events)
        stop = anyio.Event()
        self.stop_events.append(stop)
        settings = RelaySettings(
            name=f"entry-{index}", region="munster", failure_domain="cork-a",
            caller_address=f"{LOOPBACK}:{find_port()}",
            readiness_address=f"{LOOPBACK}:{find_port()}",
            peer_address=f"{LOOPBACK}:{find_port()}",
            tunnel_address=f"{LOOPBACK}:{find_port()}",
            store_address=self.store.address,
            registry_interval_s=0.05, stop_notice_s=self.stop_notice_s,
            stop_s=self.stop_notice_s + 2.0, contracts=self.contracts,
            memory_mb=self.memory_mb,
        )  # fmt: skip

        async def stop_task(relay, *, task_status):
            task_status.started()
            await stop.wait()
            relay.stop_requested.set()

        async def run():
            self.running += 1
            node_index.set(index)
            try:
                await run_relay(
                    settings, adapter, stop_task=stop_task,
                    on_start=self.relays.append,
                )  # fmt: skip
            finally:
                self.running -= 1

        self.group.start_soon(run)
        await self.wait_for(lambda: len(self.relays) > index)
        relay = self.relays[index]
        for address in (settings.caller_address, settings.readiness_address):
            await self.wait_for_listener(address)
        if wait:
            await self.wait_for(lambda: relay.route_table and relay.replicas.replicas)
        return relay

    def cut(self, relay, *, kind="silent", replicas=None):
        """Cut a relay from replicas, by default from all, as in ``links.Cut``."""
        cut_off = self.replicas if replicas is None else replicas
        self.links.cut(relay, [one.address for one in cut_off], kind=kind)

    async def wait_for_listener(self, address):
        """Wait until a server accepts connections."""
        host, _, port = address.rpartition(":")
        start_s = time.monotonic()
        while time.monotonic() - start_s < WAIT_TIMEOUT_S:
            try:
                stream = await anyio.connect_tcp(host, int(port))
            except OSError:
                await anyio.sleep(0.01)
                continue
            await stream.aclose()
            return
        raise TimeoutError(f"no server accepts connections at {address}")

    async def wait_for(self, condition, *, timeout_s=WAIT_TIMEOUT_S):
        """Wait until a condition holds; return the seconds that it took."""
        start_s = time.monotonic()
        while not condition():
            if time.monotonic() - start_s > timeout_s:
                raise TimeoutError("the condition did not hold in time")
            await anyio.sleep(0.01)
        return time.monotonic() - start_s

    def make_headers(
        self, *, tokens="1000,200", deadline_ms=3_000, key=API_KEY, **more
    ):
        """Return the request headers of a caller, with a new attempt id."""
        self._attempt_count += 1
        headers = {
            "host": HOST,
            "lycheetide-attempt-id": f"{self._attempt_count:016x}",
            "lycheetide-deadline-ms": str(deadline_ms),
            "lycheetide-credential": key,
        }
        if tokens:
            headers["lycheetide-token-count"] = tokens
        return headers | more

    def url(self, path, relay=0):
        """Return the URL of a path at one relay."""
        return f"http://{self.relays[relay].settings.caller_address}{path}"

    async def look(self, *, relay=0, path="/look/a", **fields):
        """Send a lookup, which is idempotent."""
        headers = self.make_headers(tokens="", **fields)
        return await self.http.get(self.url(path, relay), headers=headers)

    async def send_lookups(self, *, seconds, per_s):
        """Send lookups to all relays in turn; return the statuses of the answers."""
        statuses = []

        async def send(relay):
            response = await self.look(relay=relay)
            statuses.append(response.status_code)

        until_s = time.monotonic() + seconds
        async with anyio.create_task_group() as group:
            number = 0
            while time.monotonic() < until_s:
                group.start_soon(send, number % len(self.relays))
                number += 1
                await anyio.sleep(1 / per_s)
        return statuses

    async def book(self, *, relay=0, **fields):
        """Send a booking, which is not idempotent."""
        headers = self.make_headers(tokens="", **fields)
        url = self.url("/book/b", relay)
        return await self.http.post(url, headers=headers, content=b"a deposit")

    async def stream(self, *, relay=0, path="/stream/s", **fields):
        """Send a prompt and return the complete response."""
        headers = self.make_headers(**fields)
        url = self.url(path, relay)
        return await self.http.post(url, headers=headers, content=b"a prompt")

    @asynccontextmanager
    async def open_stream(self, *, relay=0, path="/stream/s", **fields):
        """Send a prompt and yield the response as soon as its headers have arrived."""
        headers = self.make_headers(**fields)
        url = self.url(path, relay)
        async with self.http.stream(
            "POST", url, headers=headers, content=b"a prompt"
        ) as response:
            yield response

    @asynccontextmanager
    async def open_slow_reader(self, *, relay=0, path="/stream/s", **fields):
        """Send a prompt and yield the connection, from which nothing is read yet.

        Its receive buffer and segments are small, so that a caller that doesn't read
        blocks the relay after some 100 kB: for the large segments of the loopback
        interface, the system holds 2.6 MB.
        """
        raw = socket.socket()
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_RECEIVE_BYTES)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SLOW_SEGMENT_BYTES)
        host, _, port = self.relays[relay].settings.caller_address.rpartition(":")
        raw.connect((host, int(port)))
        fields = self.make_headers(**fields) | {"content-length": "8"}
        lines = [f"POST {path} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items())]
        raw.sendall("\r\n".join([*lines, "", "a prompt"]).encode())
        connection: Any = await anyio.abc.SocketStream.from_socket(raw)
        async with connection:
            # Otherwise the event loop reads before anyone asks for data.
            connection._transport.pause_reading()
            yield connection

    async def count_looks(self, call, relay=0):
        """Return the response of a call, and how often the relay looked for a replica.

        A call that waits for a replica looks again each 40 ms, however busy the machine
        is; one that is refused at once looks once.
        """
        looks = 0
        receive = self.relays[relay].receive_datagrams

        def receive_and_count():
            nonlocal looks
            looks += 1
            receive()

        self.relays[relay].receive_datagrams = receive_and_count
        response = await call()
        self.relays[relay].receive_datagrams = receive
        return response, looks

    def runs(self):
        """Return the ids of all attempts that a replica ran, with repetitions."""
        return [attempt for replica in self.replicas for attempt in replica.runs]

    def received(self):
        """Return all requests that a replica received."""
        return [request for replica in self.replicas for request in replica.received]
