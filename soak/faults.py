"""Inject the faults of a schedule and record what they disturb."""

import signal
import time
from dataclasses import dataclass
from functools import partial

import anyio

from soak.demands import Demand
from standins.replica import ENDLESS

DRAIN_LIMIT_S = 2.0
"""How long a replica that has announced its draining may still receive work."""
MIN_DRAINING_S = 3.0
COLD_DURATION_S = 2.0
ENTRY_RETURN_DELAY_S = 1.0
EARLY_ENDS = ("reset", "close", "half")
ODD_ID = "odd"
ODD_ENTRIES = (
    {"address": "127.0.0.1:99999"}, {"address": ""}, {"slots": -1}, {"seq": 10**25},
    {"slots": 10**25}, {"coldRemainingMs": 1e308}, {"born": 10**25}, {"zone": None},
    b'{"a":' * 20_000, b"[" * 20_000, b"\xff", b"null",
)  # fmt: skip
"""Values that another writer leaves: changes of a replica's entry, or bytes."""
TRUNCATED_SETTINGS = "[node]\nname = \nthis is no"

CRASH_DOWN_S = 1.2
"""Time until the next process of a replica starts that a prompt has crashed."""
BURST_S = 3.0
BURST_STEP_S = 0.8
"""Interval at which callers leave their connections in a burst."""
LINK_KINDS = ("silent", "reset", "refused")
NAMED_LIMITS = ("1.5", "0.4", "1", "0", "4")
RESTS = ("3", "4.5", "6")

SETTINGS_READ_TIMEOUT_S = 8.0
"""Maximum wait until a process has read its settings; a frozen one takes longer."""


async def wait_for_settings_read(node, *, within_s=SETTINGS_READ_TIMEOUT_S):
    """Wait until a node's process has read its settings; return whether it has.

    A process that starts with a truncated settings file exits, as it should.
    """
    with anyio.move_on_after(within_s):
        while not node.has_read_settings:
            await anyio.sleep(0.05)
        return True
    return False


@dataclass(frozen=True)
class Disturbance:
    """A period in which a component was disturbed.

    Parameters
    ----------
    what : str
        Component: "node NAME", "replica NAME" or "store".
    kind : str
        Kind of the fault.
    from_s, to_s : float
        Start and end, on the monotonic clock of this process.
    """

    what: str
    kind: str
    from_s: float
    to_s: float


@dataclass(frozen=True)
class LinkCut:
    """A period in which a node was cut from replicas.

    Parameters
    ----------
    node : str
        Name of the node.
    from_s, to_s : float
        Start and end.
    is_from_all : bool
        Whether it was cut from all replicas.
    """

    node: str
    from_s: float
    to_s: float
    is_from_all: bool


@dataclass(frozen=True)
class Burst:
    """A period in which nearly all new connections went to one node.

    Parameters
    ----------
    node : str
        Name of the node.
    from_s, to_s : float
        Start and end.
    """

    node: str
    from_s: float
    to_s: float


class FaultInjector:
    """Injects the faults of one run.

    Parameters
    ----------
    deployment : Deployment
        Deployment that receives the faults.

    Attributes
    ----------
    disturbances : list of Disturbance
        Disturbed components and periods.
    drained : list of (str, float, float)
        Replica, start and end of each draining.
    revoked : list of float
        Times when the second key was revoked.
    closed : list of [str, float, float]
        Failure domain, start and end of each evacuation.
    limits, left : list of Demand
        Periods in which a replica named a limit, and in which it said that it leaves.
    cuts : list of LinkCut
        Periods in which a node was cut from replicas.
    bursts : list of Burst
        Periods in which nearly all new connections went to one node.
    """

    def __init__(self, deployment):
        self.deployment = deployment
        self.disturbances = []
        self.drained = []
        self.revoked = []
        self.closed = []
        self.limits = []
        self.left = []
        self.cuts = []
        self.bursts = []
        for index, replica in enumerate(deployment.replicas):
            replica.on_crash = partial(self.crash_for_part, index)
        self._cut_nodes = set()

    @property
    def starts(self):
        """Name and time of each start of a node."""
        return self.deployment.starts

    async def inject(self, fault):
        """Inject one fault and wait until it has ended."""
        started_s = time.monotonic()
        what = await getattr(self, f"_{fault.kind}", self._proxy_fault)(fault)
        for component in what:
            self.disturbances.append(
                Disturbance(component, fault.kind, started_s, time.monotonic())
            )

    def _target_node(self, fault):
        """Return the node that a fault targets."""
        nodes = self.deployment.nodes
        return nodes[fault.target % len(nodes)]

    def _target_replica(self, fault):
        """Return the replica that a fault targets, and its proxy."""
        index = fault.target % len(self.deployment.replicas)
        return self.deployment.replicas[index], self.deployment.replica_proxies[index]

    async def _kill(self, fault):
        """Kill a process; the platform restarts it."""
        node = self._target_node(fault)
        self.deployment.signal(node, signal.SIGKILL)
        await self._wait_for_rotation(node)
        return [f"node {node.name}"]

    async def _kill_all(self, _):
        """Kill all node processes at once."""
        for node in self.deployment.nodes:
            self.deployment.signal(node, signal.SIGKILL)
        for node in self.deployment.nodes:
            await self._wait_for_rotation(node)
        return [f"node {node.name}" for node in self.deployment.nodes]

    async def _wait_for_rotation(self, node):
        """Wait until the next process of a node is in rotation."""
        node.missed_polls = 2
        with anyio.move_on_after(8.0):
            while not node.in_rotation:
                await anyio.sleep(0.05)

    async def _pause(self, fault):
        """Suspend a process and resume it."""
        return await self._pause_nodes([self._target_node(fault)], fault.duration_s)

    async def _pause_most(self, fault):
        """Suspend all nodes but one."""
        spared = self._target_node(fault)
        nodes = [node for node in self.deployment.nodes if node is not spared]
        return await self._pause_nodes(nodes, fault.duration_s)

    async def _pause_nodes(self, nodes, seconds):
        """Suspend processes for a while."""
        for node in nodes:
            self.deployment.signal(node, signal.SIGSTOP)
        await anyio.sleep(seconds)
        for node in nodes:
            self.deployment.signal(node, signal.SIGCONT)
        return [f"node {node.name}" for node in nodes]

    async def _stop(self, fault):
        """Stop a node gracefully; apart from its absence this must disturb nothing."""
        node = self._target_node(fault)
        process = node.process
        self.deployment.signal(node, signal.SIGTERM)
        with anyio.move_on_after(10.0):
            while process is not None and process.poll() is None:
                await anyio.sleep(0.05)
        await self._wait_for_rotation(node)
        return []

    async def _reload(self, fault):
        """Make a node reload its settings."""
        self.deployment.signal(self._target_node(fault), signal.SIGHUP)
        return []

    async def _torn_settings(self, fault):
        """Truncate the settings file of a node for a while."""
        node = self._target_node(fault)
        if not await wait_for_settings_read(node):
            return []
        node.settings_path.write_text(TRUNCATED_SETTINGS)
        self.deployment.signal(node, signal.SIGHUP)
        await anyio.sleep(fault.duration_s)
        self.deployment.write_settings(node)
        self.deployment.signal(node, signal.SIGHUP)
        return []

    async def _front_reset(self, fault):
        """Reset the caller connections of a node."""
        node = self._target_node(fault)
        node.front.reset_all()
        await anyio.sleep(0.2)
        return [f"node {node.name}"]

    async def _front_delay(self, fault):
        """Delay the data between callers and a node."""
        node = self._target_node(fault)
        node.front.delay_s = 0.15
        await anyio.sleep(fault.duration_s)
        node.front.clear_faults()
        return [f"node {node.name}"]

    async def _proxy_fault(self, fault):
        """Inject a connection fault between the nodes and one replica."""
        replica, proxy = self._target_replica(fault)
        if fault.kind == "reset":
            proxy.reset_all()
            fault_s = 0.2
        else:
            fault_s = fault.duration_s
            proxy.delay_s = 0.2 if fault.kind == "delay" else 0.0
            proxy.cut = {"cut_up": "up", "cut_down": "down", "silent": "both"}.get(
                fault.kind, ""
            )
            proxy.refuses = fault.kind == "refuse"
        await anyio.sleep(fault_s)
        proxy.clear_faults()
        return [f"replica {replica.name}"]

    async def _sick(self, fault):
        """Make a replica fail its next six requests in one of several ways."""
        replica, _ = self._target_replica(fault)
        kinds = ("reset", "break", "garbled", "crossed", "extra", "fail", "refuse",
                 "stall", "unframed-reset")  # fmt: skip
        replica.next_steps = [kinds[(fault.target // 64) % len(kinds)]] * 6
        await anyio.sleep(fault.duration_s)
        replica.next_steps = []
        return [f"replica {replica.name}"]

    async def _crash(self, fault):
        """Crash a replica; it returns later, cold, as a new incarnation."""
        replica, proxy = self._target_replica(fault)
        proxy.refuses = True
        proxy.reset_all()
        replica.clear_reservations()
        await anyio.sleep(fault.duration_s)
        self.deployment.born_ms[replica.name] += 10_000
        proxy.clear_faults()
        self._turn_cold(replica)
        return [f"replica {replica.name}"]

    def crash_for_part(self, index):
        """Take a replica down whose process a prompt has ended, for some seconds."""
        self.deployment.group.start_soon(self._take_down, index)

    async def _take_down(self, index):
        """Take a replica down; its next process has another start and address."""
        replica = self.deployment.replicas[index]
        proxy = self.deployment.replica_proxies[index]
        started_s = time.monotonic()
        proxy.close()
        replica.clear_reservations()
        await anyio.sleep(CRASH_DOWN_S)
        self.deployment.born_ms[replica.name] += 10_000
        proxy.reopen()
        self._turn_cold(replica)
        self.disturbances.append(
            Disturbance(f"replica {replica.name}", "crash", started_s, time.monotonic())
        )

    async def _burst(self, fault):
        """Hand nearly all new connections to one node, and let callers open more."""
        deployment = self.deployment
        if deployment.hot_node is not None:
            return []
        node = deployment.hot_node = self._target_node(fault)
        started_s = time.monotonic()
        until_s = started_s + BURST_S + fault.duration_s
        while time.monotonic() < until_s:
            deployment.bursts += 1
            await anyio.sleep(BURST_STEP_S)
        deployment.hot_node = None
        self.bursts.append(Burst(node.name, started_s, time.monotonic()))
        return []

    async def _cold(self, fault):
        """Make a replica cold; nodes learn of it only from its next registry entry."""
        replica, _ = self._target_replica(fault)
        self._turn_cold(replica)
        await anyio.sleep(COLD_DURATION_S)
        return []

    def _turn_cold(self, replica):
        """Record that a replica is cold from now on."""
        now_s = time.monotonic()
        replica.cold.append((now_s, now_s + COLD_DURATION_S))

    async def _quiet_one(self, fault):
        """Make one replica send nothing for a while."""
        return await self._silence_replicas([self._target_replica(fault)[0]], fault)

    async def _quiet_some(self, fault):
        """Make some replicas send nothing at the same time."""
        replicas = self.deployment.replicas
        some = [one for at, one in enumerate(replicas) if (fault.target >> at) & 1]
        return await self._silence_replicas(some, fault)

    async def _quiet_all(self, fault):
        """Make all replicas send nothing at the same time."""
        return await self._silence_replicas(self.deployment.replicas, fault)

    async def _silence_replicas(self, replicas, fault):
        """Make replicas send nothing; they are healthy and don't count as disturbed."""
        for replica in replicas:
            replica.go_silent(fault.duration_s)
        await anyio.sleep(fault.duration_s)
        return []

    async def _drain(self, fault):
        """Drain a replica; it returns as a new incarnation."""
        deployment = self.deployment
        replica, _ = self._target_replica(fault)
        leaving = [state for state in deployment.states.values() if state != "ready"]
        if self._is_busy(replica) or len(leaving) > 1:
            return []
        deployment.states[replica.name] = "draining"
        deployment.write_registry_entries()
        started_s = time.monotonic()
        await anyio.sleep(MIN_DRAINING_S + fault.duration_s)
        self.drained.append((replica.name, started_s, time.monotonic()))
        deployment.born_ms[replica.name] += 10_000
        deployment.states[replica.name] = "ready"
        return []

    def _is_busy(self, replica):
        """Tell whether a replica is draining, or makes a demand already."""
        is_ready = self.deployment.states[replica.name] == "ready"
        is_quiet = replica.limit is None and replica.rest is None
        return not is_ready or not is_quiet or replica.is_leaving

    async def _links_one(self, fault):
        """Cut one node from replicas."""
        return await self._cut_links([self._target_node(fault)], fault)

    async def _links_most(self, fault):
        """Cut all nodes but one from replicas."""
        spared = self._target_node(fault)
        nodes = [node for node in self.deployment.nodes if node is not spared]
        return await self._cut_links(nodes, fault)

    async def _links_domain(self, fault):
        """Cut the nodes of one failure domain from replicas."""
        domain = self._target_node(fault).domain
        nodes = [node for node in self.deployment.nodes if node.domain == domain]
        return await self._cut_links(nodes, fault)

    async def _cut_links(self, nodes, fault):
        """Cut nodes from all replicas or from half of them.

        The nodes and the replicas don't count as disturbed. At least one node keeps its
        links.
        """
        deployment = self.deployment
        nodes = [node for node in nodes if node.name not in self._cut_nodes]
        if len(self._cut_nodes) + len(nodes) >= len(deployment.nodes):
            return []
        count = len(deployment.replicas)
        is_from_all = (fault.target // 64) % 3 > 0
        indices = range(count) if is_from_all else range(fault.target % 2, count, 2)
        kind = LINK_KINDS[(fault.target // 256) % len(LINK_KINDS)]
        names = {node.name for node in nodes}
        self._cut_nodes |= names
        started_s = time.monotonic()
        deployment.cut_links(nodes, indices, kind=kind)
        await anyio.sleep(fault.duration_s)
        deployment.heal_links(nodes)
        self._cut_nodes -= names
        self.cuts += [
            LinkCut(name, started_s, time.monotonic(), is_from_all) for name in names
        ]
        return []

    async def _limit(self, fault):
        """Make a replica name a limit in its answers for a while."""
        replica, _ = self._target_replica(fault)
        if self._is_busy(replica):
            return []
        replica.limit = NAMED_LIMITS[(fault.target // 64) % len(NAMED_LIMITS)]
        started_s = time.monotonic()
        await anyio.sleep(fault.duration_s)
        row = Demand(
            replica.name, started_s, time.monotonic(), limit_per_s=float(replica.limit)
        )
        self.limits.append(row)
        replica.limit = None
        return []

    async def _rest(self, fault):
        """Make a replica turn all requests away and ask for rest."""
        replica, _ = self._target_replica(fault)
        if self._is_busy(replica):
            return []
        replica.rest = RESTS[(fault.target // 64) % len(RESTS)]
        replica.default_step = "refuse"
        await anyio.sleep(fault.duration_s)
        replica.default_step = ""
        replica.rest = None
        return []

    async def _leave(self, fault):
        """Make a replica say that it leaves, with or without the registry saying so.

        It returns as a new incarnation.
        """
        deployment = self.deployment
        replica, _ = self._target_replica(fault)
        leaving = [one for one in deployment.replicas if one.is_leaving]
        if self._is_busy(replica) or leaving:
            return []
        replica.is_leaving = True
        started_s = time.monotonic()
        if (fault.target // 64) % 2:
            deployment.states[replica.name] = "draining"
            deployment.write_registry_entries()
        await anyio.sleep(MIN_DRAINING_S + fault.duration_s)
        self.left.append(Demand(replica.name, started_s, time.monotonic()))
        deployment.born_ms[replica.name] += 10_000
        replica.is_leaving = False
        deployment.states[replica.name] = "ready"
        return []

    async def _domain_out(self, fault):
        """Evacuate a failure domain for a while."""
        domain = ("cork-a", "cork-b", "cork-c")[fault.target % 3]
        if any(to_s == float("inf") for _, _, to_s in self.closed):
            return []
        store = self.deployment.store
        store.put("keyed.op", f"evacuate/{domain}", {})
        row = [domain, time.monotonic(), float("inf")]
        self.closed.append(row)
        await anyio.sleep(3.0 + fault.duration_s)
        row[2] = time.monotonic()
        store.remove("keyed.op", f"evacuate/{domain}")
        return []

    async def _configure(self, _):
        """Publish four versions of the configuration in quick succession."""
        for _ in range(4):
            self.deployment.publish(without_second_key=bool(self.revoked))
            await anyio.sleep(0.15)
        return []

    async def _revoke(self, _):
        """Revoke the second key for the rest of the run."""
        self.deployment.publish(without_second_key=True)
        self.revoked.append(time.monotonic())
        return []

    async def _endless(self, fault):
        """Make a replica send bytes without end for some requests."""
        replica, _ = self._target_replica(fault)
        kinds = ("endless", "endless-head", *ENDLESS)
        replica.next_steps = [kinds[(fault.target // 64) % len(kinds)]] * 4
        await anyio.sleep(fault.duration_s)
        replica.next_steps = []
        return [f"replica {replica.name}"]

    async def _early(self, fault):
        """Make a replica answer long requests before it has read them."""
        replica, _ = self._target_replica(fault)
        replica.early_end = EARLY_ENDS[(fault.target // 64) % len(EARLY_ENDS)]
        await anyio.sleep(fault.duration_s)
        replica.early_end = ""
        return [f"replica {replica.name}"]

    async def _odd_entry(self, fault):
        """Write an entry that no replica writes, and remove it after a while."""
        replica, _ = self._target_replica(fault)
        changes = ODD_ENTRIES[(fault.target // 64) % len(ODD_ENTRIES)]
        value = changes
        if isinstance(changes, dict):
            value = replica.entry(**changes)
        store = self.deployment.store
        store.put("keyed.servers", ODD_ID, value)
        await anyio.sleep(fault.duration_s)
        store.remove("keyed.servers", ODD_ID)
        return []

    async def _lost_waits(self, fault):
        """Make the store lose its answers to reads that wait for a record."""
        return await self._lose_answers(fault, lambda target: "waitMs=0" not in target)

    async def _lost_answers(self, fault):
        """Make the store carry out calls, and lose its answers."""
        return await self._lose_answers(fault, lambda target: True)

    async def _lose_answers(self, fault, is_lost):
        """Make the store lose some answers; their connections stay silent for good."""
        store = self.deployment.store
        store.loses = is_lost
        await anyio.sleep(fault.duration_s)
        store.loses = lambda target: False
        return ["store"]

    async def _store_busy(self, fault):
        """Make the store refuse all calls while some registry entries expire."""
        return await self._make_store_unavailable("busy", fault)

    async def _store_silent(self, fault):
        """Make the store accept calls without answering them."""
        return await self._make_store_unavailable("silent", fault)

    async def _make_store_unavailable(self, down, fault):
        """Make the store unavailable and expire the entries of some replicas."""
        deployment = self.deployment
        deployment.store.down = down
        deployment.store.notify_readers()
        expired_entries = {
            replica.name
            for index, replica in enumerate(deployment.replicas)
            if (fault.target >> index) & 1
        }
        await anyio.sleep(fault.duration_s / 2)
        deployment.expired_entries |= expired_entries
        for name in expired_entries:
            deployment.store.remove("keyed.servers", name)
        await anyio.sleep(fault.duration_s / 2)
        deployment.store.down = ""
        await anyio.sleep(ENTRY_RETURN_DELAY_S)
        deployment.expired_entries -= expired_entries
        deployment.write_registry_entries()
        return ["store"]

    async def _store_slow(self, fault):
        """Delay the data of all connections to the store."""
        proxy = self.deployment.store_proxy
        proxy.delay_s = 0.25
        await anyio.sleep(fault.duration_s)
        proxy.clear_faults()
        return ["store"]

    async def _store_reset(self, _):
        """Reset the connections to the store."""
        self.deployment.store_proxy.reset_all()
        return ["store"]

    async def _store_some(self, fault):
        """Withhold the data of half of the connections to the store."""
        proxy = self.deployment.store_proxy
        proxy.share = 0.5
        proxy.cut = "both"
        await anyio.sleep(fault.duration_s)
        proxy.clear_faults()
        return ["store"]

    async def _store_compact(self, _):
        """Compact the history of the store."""
        for topic in ("keyed.op", "keyed.servers"):
            self.deployment.store.compact(topic)
        return ["store"]
