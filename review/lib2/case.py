"""What all cases share: the deployment, the callers and the exit code."""

import asyncio
import os
import sys
import tempfile
import time
from pathlib import Path

from review.lib2.deployment import (
    HOST,
    ZONES,
    Proxy,
    Record,
    Relay,
    find_port,
    read_rows,
    run_replica,
)
from review.lib2.store import Store
from review.lib2.wire import call

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUN_TIMEOUT_S = 110.0
SETTLE_S = 1.5
LIMITS = {"maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304,
          "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000}  # fmt: skip


def make_route(path, kind, service, **fields):
    """Return a route of the configuration."""
    return {
        "name": path.strip("/"), "host": HOST, "pathPrefix": path, "kind": kind,
        "timeoutMs": 2_000, "goalLatencyMs": 300, "priority": 2, "service": service,
        "attempts": 1, "public": False,
    } | fields  # fmt: skip


def make_service(name):
    """Return a service of the configuration."""
    return {"name": name, "healthPath": "/health", "maxConns": 110}


class Case:
    """A small deployment of relays and replicas, as processes of their own.

    Parameters
    ----------
    folder : Path
        Folder of the case, for its record.
    scratch : str
        A temporary folder.
    """

    relay_count = 3
    replica_options = ({"service": "ledger"},) * 3

    def __init__(self, folder, scratch):
        self.scratch = Path(scratch)
        self.record = Record(folder)
        self.store = Store()
        self.log = self.scratch / "replicas.log"
        self.relays = []
        self.replicas = []
        self.proxies = []
        self.starts = 0
        self.begun_s = 0.0

    def make_config(self):
        """Return the first configuration."""
        raise NotImplementedError

    async def play(self):
        """Send requests and bring the disruption about; return the exit code."""
        raise NotImplementedError

    @property
    def now_s(self):
        """Seconds since the play began."""
        return time.monotonic() - self.begun_s

    def make_proxy(self, place):
        """Return the proxy before one replica."""
        return Proxy(find_port())

    async def start_replica(self, place):
        """Start a replica, each time under a new id, at the address that it had."""
        self.starts += 1
        proxy = self.proxies[place]
        options = {
            "id": f"i-{self.starts:04x}", "zone": ZONES[place % len(ZONES)],
            "store": self.store.address, "address": proxy.address, "log": self.log,
            "port": proxy.target_port,
        }  # fmt: skip
        options |= self.replica_options[place]
        process = run_replica(options, log=self.scratch / f"replica-{self.starts}.out")
        await process.start()
        self.replicas[place] = process
        self.record.note(f"replica {options['id']} starts at place {place}")

    async def start(self):
        """Start all parts and wait until the relays are ready."""
        await self.store.start()
        self.store.put("keyed.op", "config", self.make_config())
        for place in range(len(self.replica_options)):
            self.proxies.append(self.make_proxy(place))
            await self.proxies[place].start()
            self.replicas.append(None)
            await self.start_replica(place)
        for number in range(self.relay_count):
            relay = Relay(self.scratch, number, self.store.address)
            self.relays.append(relay)
            await relay.start()
        for relay in self.relays:
            await relay.wait_until_ready()
        await asyncio.sleep(SETTLE_S)
        self.begun_s = time.monotonic()

    async def send(
        self, relay, method, path, attempt, *, key="key-1", timeout_s=4.0, more=None
    ):
        """Send a request to a relay; return the answer, or None."""
        headers = {
            "Host": HOST, "Lycheetide-Attempt-Id": attempt,
            "Lycheetide-Deadline-Ms": str(round(timeout_s * 1e3)),
            "Lycheetide-Credential": key,
        } | (more or {})  # fmt: skip
        self.record.note(f"{attempt} is sent to {relay.name}: {method} {path}, {key}")
        answer = await call(
            relay.address, method, path, headers=headers,
            body=b"a deposit" if method == "POST" else b"", timeout_s=timeout_s,
        )  # fmt: skip
        text = "no answer"
        if answer is not None:
            seal = answer.headers.get("lycheetide-response-seal", "none")
            text = (
                f"{answer.status}, {len(answer.body)} bytes, "
                f"framing complete: {answer.is_whole}, seal {seal}"
            )
        self.record.note(f"{attempt} is answered: {text}")
        return answer

    def read_runs(self):
        """Write what the replicas did to the record, and return its rows."""
        rows = read_rows(self.log)
        for row in rows:
            self.record.note(f"replica log: {row}")
        return rows

    def conclude(self, text):
        """Write a line to the record and to standard output."""
        self.record.note(text)
        print(text)

    async def end(self):
        """End all processes."""
        for process in [*self.relays, *self.replicas]:
            if process is not None:
                await process.end()


async def run_case(kind, folder):
    """Run a case; return the exit code."""
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    with tempfile.TemporaryDirectory() as scratch:
        case = kind(folder, scratch)
        try:
            async with asyncio.timeout(RUN_TIMEOUT_S):
                await case.start()
                return await case.play()
        except (OSError, TimeoutError, ExceptionGroup) as error:
            case.conclude(f"the case couldn't run: {error!r}")
            return 2
        finally:
            await case.end()


def run(kind, file):
    """Run a case as a program."""
    sys.exit(asyncio.run(run_case(kind, Path(file).resolve().parent)))
