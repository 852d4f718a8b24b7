"""Carry out the faults of a plan, and note what they disturb."""

import signal
import time
from dataclasses import dataclass

import anyio

DRAIN_S = 2.0
"""How long a replica that has said it is leaving still gets work."""
LEFT_AFTER_S = 3.0
COLD_S = 2.0
LAPSED_BACK_S = 1.0
TORN = "[node]\nname = \nthis is no"

READ_MOST_S = 8.0
"""How long a process may take to read its settings; one that is frozen takes longer."""


async def wait_until_read(node, *, within_s=READ_MOST_S):
    """Wait until a node's process has read its settings; tell whether it has.

    A process that starts on half a settings file ends, as it should.
    """
    with anyio.move_on_after(within_s):
        while not node.has_read_settings:
            await anyio.sleep(0.05)
        return True
    return False


@dataclass(frozen=True)
class Disturbance:
    """Something that was disturbed for a while.

    Parameters
    ----------
    what : str
        "node NAME", "replica NAME" or "store".
    kind : str
        By which fault.
    from_s, to_s : float
        When, on this process's clock.
    """

    what: str
    kind: str
    from_s: float
    to_s: float


class Faults:
    """The faults of one run.

    Parameters
    ----------
    deployment : Deployment
        What they hit.

    Attributes
    ----------
    disturbances : list of Disturbance
        What was hit when.
    drained, revoked, closed : list
        What the judge has to check: (replica, when), when, (domain, from, to).
    """

    def __init__(self, deployment):
        self.deployment = deployment
        self.disturbances = []
        self.drained = []
        self.revoked = []
        self.closed = []

    async def carry_out(self, fault):
        """Carry one fault out, to its end."""
        begun_s = time.monotonic()
        what = await getattr(self, f"_{fault.kind}", self._proxy_fault)(fault)
        for one in what:
            self.disturbances.append(
                Disturbance(one, fault.kind, begun_s, time.monotonic())
            )

    def _node(self, fault):
        """Return the node that a fault hits."""
        nodes = self.deployment.nodes
        return nodes[fault.target % len(nodes)]

    def _replica(self, fault):
        """Return the replica that a fault hits, and its proxy."""
        index = fault.target % len(self.deployment.replicas)
        return self.deployment.replicas[index], self.deployment.replica_proxies[index]

    async def _kill(self, fault):
        """Kill a process; the platform starts it again."""
        node = self._node(fault)
        self.deployment.signal(node, signal.SIGKILL)
        await self._wait_until_back(node)
        return [f"node {node.name}"]

    async def _kill_all(self, _):
        """Kill all processes at one moment."""
        for node in self.deployment.nodes:
            self.deployment.signal(node, signal.SIGKILL)
        for node in self.deployment.nodes:
            await self._wait_until_back(node)
        return [f"node {node.name}" for node in self.deployment.nodes]

    async def _wait_until_back(self, node):
        """Wait until a node's next process is in rotation."""
        node.misses = 2
        with anyio.move_on_after(8.0):
            while not node.in_rotation:
                await anyio.sleep(0.05)

    async def _pause(self, fault):
        """Freeze a process and let it go on."""
        return await self._pause_nodes([self._node(fault)], fault.lasts_s)

    async def _pause_most(self, fault):
        """Freeze all nodes but one."""
        spared = self._node(fault)
        nodes = [node for node in self.deployment.nodes if node is not spared]
        return await self._pause_nodes(nodes, fault.lasts_s)

    async def _pause_nodes(self, nodes, seconds):
        """Freeze some processes for a while."""
        for node in nodes:
            self.deployment.signal(node, signal.SIGSTOP)
        await anyio.sleep(seconds)
        for node in nodes:
            self.deployment.signal(node, signal.SIGCONT)
        return [f"node {node.name}" for node in nodes]

    async def _stop(self, fault):
        """Stop a node as planned; that disturbs nothing, but for its own absence."""
        node = self._node(fault)
        popen = node.popen
        self.deployment.signal(node, signal.SIGTERM)
        with anyio.move_on_after(10.0):
            while popen is not None and popen.poll() is None:
                await anyio.sleep(0.05)
        await self._wait_until_back(node)
        return []

    async def _reload(self, fault):
        """Let a node read its settings again."""
        self.deployment.signal(self._node(fault), signal.SIGHUP)
        return []

    async def _torn_settings(self, fault):
        """Leave half a settings file for a while."""
        node = self._node(fault)
        if not await wait_until_read(node):
            return []
        node.settings_path.write_text(TORN)
        self.deployment.signal(node, signal.SIGHUP)
        await anyio.sleep(fault.lasts_s)
        self.deployment.write_settings(node)
        self.deployment.signal(node, signal.SIGHUP)
        return []

    async def _front_reset(self, fault):
        """Reset the connections of a node's callers."""
        node = self._node(fault)
        node.front.reset_all()
        await anyio.sleep(0.2)
        return [f"node {node.name}"]

    async def _front_delay(self, fault):
        """Delay what passes between callers and a node."""
        node = self._node(fault)
        node.front.delay_s = 0.15
        await anyio.sleep(fault.lasts_s)
        node.front.heal()
        return [f"node {node.name}"]

    async def _proxy_fault(self, fault):
        """Let the connections to one replica misbehave."""
        replica, proxy = self._replica(fault)
        if fault.kind == "reset":
            proxy.reset_all()
            fault_s = 0.2
        else:
            fault_s = fault.lasts_s
            proxy.delay_s = 0.2 if fault.kind == "delay" else 0.0
            proxy.cut = {"cut_up": "up", "cut_down": "down", "silent": "both"}.get(
                fault.kind, ""
            )
            proxy.refuses = fault.kind == "refuse"
        await anyio.sleep(fault_s)
        proxy.heal()
        return [f"replica {replica.name}"]

    async def _sick(self, fault):
        """Let a replica fail some requests in one way or another."""
        replica, _ = self._replica(fault)
        kinds = ("reset", "break", "garbled", "crossed", "extra", "fail", "refuse",
                 "stall", "unframed-reset")  # fmt: skip
        replica.script = [kinds[(fault.target // 64) % len(kinds)]] * 6
        await anyio.sleep(fault.lasts_s)
        replica.script = []
        return [f"replica {replica.name}"]

    async def _crash(self, fault):
        """End a replica at once; it comes back later, cold, as another start."""
        replica, proxy = self._replica(fault)
        proxy.refuses = True
        proxy.reset_all()
        replica.forget_all()
        await anyio.sleep(fault.lasts_s)
        self.deployment.born_ms[replica.name] += 10_000
        proxy.heal()
        self._turn_cold(replica)
        return [f"replica {replica.name}"]

    async def _cold(self, fault):
        """Let a replica turn cold without a word before its next entry."""
        replica, _ = self._replica(fault)
        self._turn_cold(replica)
        await anyio.sleep(COLD_S)
        return []

    def _turn_cold(self, replica):
        """Note that a replica is cold from now on."""
        now_s = time.monotonic()
        replica.cold.append((now_s, now_s + COLD_S))

    async def _quiet_one(self, fault):
        """Let a replica say nothing for a while and go on."""
        return await self._quiet([self._replica(fault)[0]], fault)

    async def _quiet_some(self, fault):
        """Let some replicas say nothing at one time."""
        replicas = self.deployment.replicas
        some = [one for at, one in enumerate(replicas) if (fault.target >> at) & 1]
        return await self._quiet(some, fault)

    async def _quiet_all(self, fault):
        """Let all replicas say nothing at one time."""
        return await self._quiet(self.deployment.replicas, fault)

    async def _quiet(self, replicas, fault):
        """Let replicas say nothing; they are sound, so nothing is disturbed."""
        for replica in replicas:
            replica.be_quiet(fault.lasts_s)
        await anyio.sleep(fault.lasts_s)
        return []

    async def _drain(self, fault):
        """Let a replica leave, and come back as another start."""
        deployment = self.deployment
        replica, _ = self._replica(fault)
        leaving = [state for state in deployment.states.values() if state != "ready"]
        if deployment.states[replica.name] != "ready" or len(leaving) > 1:
            return []
        deployment.states[replica.name] = "draining"
        deployment.beat()
        begun_s = time.monotonic()
        await anyio.sleep(LEFT_AFTER_S + fault.lasts_s)
        self.drained.append((replica.name, begun_s, time.monotonic()))
        deployment.born_ms[replica.name] += 10_000
        deployment.states[replica.name] = "ready"
        return []

    async def _domain_out(self, fault):
        """Take a failure domain out for a while."""
        domain = ("cork-a", "cork-b", "cork-c")[fault.target % 3]
        if any(to_s == float("inf") for _, _, to_s in self.closed):
            return []
        store = self.deployment.store
        store.put("keyed.op", f"evacuate/{domain}", {})
        row = [domain, time.monotonic(), float("inf")]
        self.closed.append(row)
        await anyio.sleep(3.0 + fault.lasts_s)
        row[2] = time.monotonic()
        store.remove("keyed.op", f"evacuate/{domain}")
        return []

    async def _configure(self, _):
        """Write some versions in quick succession."""
        for _ in range(4):
            self.deployment.publish(without_second_key=bool(self.revoked))
            await anyio.sleep(0.15)
        return []

    async def _revoke(self, _):
        """Take the second key away for good."""
        self.deployment.publish(without_second_key=True)
        self.revoked.append(time.monotonic())
        return []

    async def _store_busy(self, fault):
        """Let the store refuse all calls; some entries lapse meanwhile."""
        return await self._store_down("busy", fault)

    async def _store_silent(self, fault):
        """Let the store accept calls and say nothing."""
        return await self._store_down("silent", fault)

    async def _store_down(self, down, fault):
        """Take the store away, with some replicas' entries."""
        deployment = self.deployment
        deployment.store.down = down
        deployment.store.wake()
        lapsed = {
            replica.name
            for index, replica in enumerate(deployment.replicas)
            if (fault.target >> index) & 1
        }
        await anyio.sleep(fault.lasts_s / 2)
        deployment.lapsed |= lapsed
        for name in lapsed:
            deployment.store.remove("keyed.servers", name)
        await anyio.sleep(fault.lasts_s / 2)
        deployment.store.down = ""
        await anyio.sleep(LAPSED_BACK_S)
        deployment.lapsed -= lapsed
        deployment.beat()
        return ["store"]

    async def _store_slow(self, fault):
        """Delay all calls to the store."""
        proxy = self.deployment.store_proxy
        proxy.delay_s = 0.25
        await anyio.sleep(fault.lasts_s)
        proxy.heal()
        return ["store"]

    async def _store_reset(self, _):
        """Reset the connections to the store."""
        self.deployment.store_proxy.reset_all()
        return ["store"]

    async def _store_some(self, fault):
        """Let connections of some nodes to the store fall silent."""
        proxy = self.deployment.store_proxy
        proxy.share = 0.5
        proxy.cut = "both"
        await anyio.sleep(fault.lasts_s)
        proxy.heal()
        return ["store"]

    async def _store_compact(self, _):
        """Let the store forget its history."""
        for topic in ("keyed.op", "keyed.servers"):
            self.deployment.store.compact(topic)
        return ["store"]
