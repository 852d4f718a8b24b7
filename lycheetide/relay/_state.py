"""State of one relay node."""

import random
import time
from collections import Counter, defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass
from itertools import takewhile

import anyio

from lycheetide.admission import find_activation
from lycheetide.buffering import MemoryStage
from lycheetide.demand import DemandTable
from lycheetide.gossip import (
    REPLICA_RETENTION_S,
    DelayEstimator,
    FailureDetector,
    JobTable,
    Life,
    LimitTable,
    MemoryQueue,
    PaceTable,
    PeerTable,
    RestTable,
    order_node,
)
from lycheetide.httpclient import ChannelPool
from lycheetide.metrics import Counters, get_logger, make_statsd_client
from lycheetide.metrics._exporter import MetricsExporter
from lycheetide.paths import PathTable, TunnelService
from lycheetide.placement import (
    PROPAGATION_DELAY_S,
    Candidate,
    DecodingGroup,
    PendingPrefill,
    RetryWindow,
    ServiceTimes,
    find_longest_delay_s,
    find_round_trips,
    rank_replicas,
)
from lycheetide.quarantine import QuarantineState
from lycheetide.relay._admission import AdmissionState
from lycheetide.relay._memory import NodeMemory, update_memory
from lycheetide.relay._usage import UsageCounter
from lycheetide.replicas import ReplicaTable, exclude_failed_domains
from lycheetide.routes import DomainDelay, RouteTable
from lycheetide.tasks import StallDetector

OWN_START_RETENTION_S = 15.0
"""How long this node's own requests are remembered: longer than any window in which
they are counted."""


def read_clock():
    """Return the current time of the monotonic clock that this node uses."""
    return time.monotonic()


def read_unix_ms():
    """Return the current Unix time in milliseconds, which all hosts roughly share."""
    return time.time_ns() // 1_000_000


def make_life(entry):
    """Return the identity of the start of a replica that an entry registers."""
    return Life(entry.id, entry.born_ms)


def _do_nothing(**_):
    """Do nothing; the default of callbacks until the node runs."""


@dataclass(frozen=True)
class StopTimes:
    """The times of a planned stop.

    Parameters
    ----------
    notice_until_s : float
        When callers are taken to know of it; nothing more is accepted then.
    deadline_s : float
        When requests that still run are cut off.
    """

    notice_until_s: float = float("inf")
    deadline_s: float = float("inf")


@dataclass
class TopicState:
    """Records and read status of one topic of the store.

    Parameters
    ----------
    records : dict
        Newest record by key.
    offset : int
        Offset of the next record to read; -1 before the first listing.
    complete_until_s : float
        Time up to which the records are known to be complete.
    outage_ended_s : float or None
        When reads last succeeded again after an outage.
    is_reachable : bool
        Whether the last read succeeded.
    failures : int
        Number of consecutive failed reads.
    """

    records: dict
    offset: int = -1
    complete_until_s: float = float("-inf")
    outage_ended_s: float | None = None
    is_reachable: bool = False
    failures: int = 0


class RelayState:
    """State of one relay node.

    Parameters
    ----------
    settings : RelaySettings
        Settings of the node.
    adapter : module
        Implements the platform's protocols.
    node : str
        Name of the node and of this start of it, never reused.
    settings_path : str
        File that the settings were read from; empty for none.
    """

    def __init__(self, settings, adapter, node, *, settings_path=""):
        self.settings = settings
        self.settings_path = settings_path
        self.adapter = adapter
        self.node = node
        self.order = order_node(node)
        self.log = get_logger("relay")
        self.counters = Counters(
            make_statsd_client(settings.statsd_address, settings.statsd_prefix)
        )
        self.metrics_exporter = MetricsExporter(self.counters)
        self.random = random.Random(node)
        self.route_table: RouteTable | None = None
        self.job_table, self.demand = JobTable(), DemandTable(self._find_service)
        self._update_activation()
        self.service_times = ServiceTimes()
        self.closed: frozenset[str] = frozenset()
        self.operator = TopicState({})
        self.registry = TopicState({})
        self.replicas = ReplicaTable()
        self.failure_detector = FailureDetector()
        self.message_delays = DelayEstimator()
        self.memory_queue, self.admission = MemoryQueue(), AdmissionState()
        self.paces = PaceTable()
        self.limits = LimitTable()
        self.rests = RestTable()
        self.leaving: dict[Life, float] = {}
        self.reported_paces: tuple[tuple[str, float], ...] = ()
        self.peers = PeerTable(settings.peer_address, fleet=settings.store_address)
        self.paths, self.quarantine = PathTable(), QuarantineState()
        self.path_checks: dict[str, float] = {}
        self.tunnels = TunnelService()
        self.pool, self.peer_pool = ChannelPool(), ChannelPool()
        self.stall_detector = StallDetector()
        self.started_s = read_clock()
        self.used = UsageCounter(now_s=self.started_s)
        self.active, self.memory = 0, NodeMemory(settings.memory_mb)
        self.is_leaving, self.stop_times = False, StopTimes()
        self.stop_requested = anyio.Event()
        self.tasks = None
        self.broadcast_work = None
        self.broadcast_change = None
        self.broadcast_to_domain = None
        self.trigger_heartbeat: Callable[..., None] = _do_nothing
        self.receive_datagrams: Callable[..., None] = _do_nothing
        self.operator_read_scope = None
        self.operator_update = anyio.Event()
        self.digest_differs_since_s = None
        self._retry_windows: dict[str, RetryWindow] = {}
        self._ranks: tuple[frozenset, dict] = (frozenset(), {})
        self._attempt_count = 0
        self._own_starts: dict[str, deque] = defaultdict(deque)
        self._own_placed: Counter[str] = Counter()

    def apply_settings(self, settings):
        """Replace the settings and update what was derived from them."""
        self.settings = settings
        self._update_activation()
        for window in self._retry_windows.values():
            window.ratio = settings.retry_ratio
            window.extra = settings.retry_extra
            window.window_s = settings.retry_window_s

    def apply_routing(self, routing):
        """Replace the routing configuration and update what was derived from it."""
        self.route_table = RouteTable(routing)
        self._update_activation()

    def _update_activation(self):
        """Update what the settings and the configuration in force switch on.

        The declared delays between failure domains count only if requests compete for
        capacity.
        """
        routing = self.route_table.routing if self.route_table is not None else None
        self.activation = find_activation(
            self.settings,
            routing,
            has_contended_capacity=self.adapter.has_contended_capacity,
        )
        self.job_table.demand = self.demand if self.activation.is_contended else None
        self._idle_candidates: dict[str, tuple] = {}
        delays: tuple[DomainDelay, ...] = ()
        if routing is not None and self.activation.is_contended:
            delays = routing.domain_delays
        self.round_trips = find_round_trips(delays, self.settings.failure_domain)
        self.longest_delay_s = find_longest_delay_s(delays)

    def make_store_client(self, purpose):
        """Return a store client that counts its calls under a purpose."""
        return self.adapter.StoreClient(
            self.settings.store_address,
            note_call=lambda verb: self.used.add(f"store.{purpose}.{verb}"),
        )

    @property
    def place(self):
        """This node's rank among its peers, as ``Peer.place``."""
        return -round(self.settings.link_mbps), self.order

    @property
    def is_store_reachable(self):
        """Whether this node's last reads of the store succeeded."""
        return not (self.registry.failures or self.operator.failures)

    def is_loading_first_state(self):
        """Tell whether this node has just started and its first state may arrive soon.

        After a failed read it may not arrive soon.
        """
        sources = (self.operator, self.registry)
        is_known = all(source.offset >= 0 for source in sources)
        is_known = is_known and self.quarantine.is_settled()
        return not is_known and not any(source.failures for source in sources)

    def is_behind_peers(self, *, now_s):
        """Tell whether a peer has newer operator records than this node."""
        return any(
            peer.operator_offset > self.operator.offset
            for peer in self.peers.alive(now_s=now_s)
        )

    def retries(self, service) -> RetryWindow:
        """Return the retry budget of a service."""
        window = self._retry_windows.get(service)
        if window is None:
            settings = self.settings
            window = self._retry_windows[service] = RetryWindow(
                ratio=settings.retry_ratio,
                extra=settings.retry_extra,
                window_s=settings.retry_window_s,
            )
        return window

    def make_attempt_name(self):
        """Return a new name for an attempt, unique within this start of the node."""
        self._attempt_count += 1
        return f"{self._attempt_count:x}"

    def record_placed(self, replica):
        """Count a request that this node is about to send to a replica."""
        self._own_placed[replica] += 1

    def record_sent(self, replica, *, now_s):
        """Count a request that this node sends to a replica."""
        self._own_starts[replica].append(now_s)

    def record_placement_ended(self, replica):
        """Uncount a request that was about to be sent, after it was sent or dropped."""
        self._own_placed[replica] -= 1
        if self._own_placed[replica] <= 0:
            del self._own_placed[replica]

    def own_starts(self, replica, window_s, *, now_s):
        """Return the number of requests recently sent to a replica or about to be.

        A stalled node may place requests for one second and send them all in the next.
        If they were counted only when sent, each request placed during the stall would
        pass the limit as if it were the first.
        """
        recent = self.list_own_starts(replica, window_s, now_s=now_s)
        return len(recent) + self.count_placed(replica)

    def list_own_starts(self, replica, window_s, *, now_s):
        """Return the times of this node's recent requests to a replica, in order."""
        starts = self._own_starts.get(replica)
        if not starts:
            return []
        while starts and now_s - starts[0] > OWN_START_RETENTION_S:
            starts.popleft()
        begins_s = now_s - window_s
        return list(takewhile(begins_s.__le__, reversed(starts)))[::-1]

    def count_placed(self, replica):
        """Return the number of requests that are about to be sent to a replica."""
        return self._own_placed.get(replica, 0)

    def own_recent(self, replica, *, now_s):
        """Return the number of this node's requests that others may not know of yet."""
        return self.own_starts(replica, PROPAGATION_DELAY_S, now_s=now_s)

    def drop_gone_replicas(self, *, now_s):
        """Drop the state of replicas that are gone."""
        present = self.replicas.replicas
        for replica in set(self._idle_candidates) - set(present):
            del self._idle_candidates[replica]
        self.job_table.drop_absent(present, now_s=now_s)
        self.failure_detector.drop_absent(present, now_s=now_s)
        addresses = {replica.entry.address for replica in present.values()}
        self.paths.drop_absent(addresses, now_s=now_s)
        for replica in [name for name in self._own_starts if name not in present]:
            if not self.own_starts(replica, OWN_START_RETENTION_S, now_s=now_s):
                del self._own_starts[replica]
        self.limits.drop_outdated(self._is_registered, now_s=now_s)
        self.rests.drop_outdated(now_s=now_s)
        # An entry that is lost in an outage of the registry may return.
        self.leaving = {
            life: told_s
            for life, told_s in self.leaving.items()
            if self._is_registered(life) or now_s - told_s < REPLICA_RETENTION_S
        }

    def _find_service(self, replica):
        """Return the service of a replica, None if it isn't registered."""
        known = self.replicas.replicas.get(replica)
        return known.entry.service if known is not None else None

    def _is_registered(self, life):
        """Tell whether this start of a replica is registered."""
        known = self.replicas.replicas.get(life.replica)
        return known is not None and make_life(known.entry) == life

    def find_named_limit(self, replica):
        """Return the limit that a replica names; None if it names none or is gone."""
        known = self.replicas.replicas.get(replica)
        if known is None:
            return None
        return self.limits.find(make_life(known.entry))

    def list_withheld(self, *, now_s):
        """Return the ids of the replicas that this node may send nothing at present."""
        resting_ids = self._find_registered(self.rests.list_resting(now_s=now_s))
        return resting_ids | self.list_leaving()

    def list_leaving(self):
        """Return the ids of the replicas that have told this node that they leave."""
        return self._find_registered(self.leaving)

    def _find_registered(self, lives):
        """Return the ids of those starts of replicas that are registered at present."""
        return {life.replica for life in lives if self._is_registered(life)}

    def list_alive_nodes(self, *, now_s):
        """Return the names of all live nodes, including this one."""
        return {self.node, *(peer.node for peer in self.peers.alive(now_s=now_s))}

    def is_ready(self, *, now_s):
        """Tell whether this node should receive clients' requests.

        It must have a configuration and replicas, and must recently have heard from the
        store or a peer. A node that hears from neither can't know which keys, replicas
        or failure domains were removed since. Nor may it be near the limit of its
        memory.
        """
        if self.is_leaving or self.route_table is None or not self.replicas.replicas:
            return False
        if update_memory(self, now_s=now_s) is not MemoryStage.NORMAL:
            return False
        if not self.quarantine.is_settled():
            return False
        last_heard_s = max(
            [
                self.operator.complete_until_s,
                *(peer.last_heard_s for peer in self.peers.peers.values()),
            ]
        )
        return now_s - last_heard_s < self.settings.out_of_touch_s

    def candidates(self, service, *, now_s, without=frozenset(), homes=()):
        """Return the replicas of a service that accept work, with their load.

        Parameters
        ----------
        service : Service
            Service of the replicas.
        now_s : float
            Current time.
        without : set of str
            Replicas that this request was already sent to.
        homes : sequence of sequences of str
            Lists of regions; a replica must be in a region of each list that isn't
            empty.
        """
        usable = list(
            self.replicas.usable(service.name, now_s=now_s, closed=self.closed)
        )
        ranks = self._rank(frozenset(replica.entry.id for replica in usable))
        usable = exclude_failed_domains(
            usable,
            last_failure_s=self.failure_detector.last_failure_s,
            last_answer_s=self.failure_detector.last_answer_s,
            now_s=now_s,
        )
        usable = [replica for replica in usable if replica.entry.id not in without]
        for regions in filter(None, homes):
            usable = [
                replica
                for replica in usable
                if self.find_region(replica.entry.failure_domain) in regions
            ]
        trusted = [
            replica
            for replica in usable
            if not self.failure_detector.is_suspect(replica.entry.id, now_s=now_s)
        ]
        limited_ids = self._find_registered(self.limits.list_limited())
        spared_ids = self._find_registered(self.rests.list_spared(now_s=now_s))
        return [
            self._make_candidate(
                replica,
                ranks[replica.entry.id],
                is_limited=replica.entry.id in limited_ids,
                is_spared=replica.entry.id in spared_ids,
                now_s=now_s,
            )
            for replica in trusted or usable
        ]

    def find_region(self, failure_domain):
        """Return the region of a failure domain, an empty string if it isn't known."""
        return dict(self.settings.domain_regions).get(failure_domain, "")

    def _rank(self, ids):
        """Return each replica's rank in an order on which all nodes agree."""
        if self._ranks[0] != ids:
            self._ranks = ids, rank_replicas(ids)
        return self._ranks[1]

    def _make_candidate(self, replica, rank, *, is_limited, is_spared, now_s):
        """Return a replica with its load; in a large fleet most replicas have none."""
        entry = replica.entry
        workload = self.job_table.workload(entry.id)
        is_recovering = is_spared or self.failure_detector.is_recovering(
            entry.id, now_s=now_s
        )
        is_cold = replica.is_cold(now_s=now_s)
        pace = self.paces.pace(entry.id, now_s=now_s)
        is_ordinary = pace == 1.0 and not (is_recovering or is_cold or is_limited)
        if is_ordinary and workload.is_idle(now_s=now_s):
            return self._make_idle_candidate(entry, rank)
        return Candidate(
            id=entry.id,
            address=entry.address,
            rank=rank,
            slots=entry.slots,
            writers=workload.writers,
            decoding_groups=tuple(
                DecodingGroup(*row) for row in workload.weights.items()
            ),
            helping=workload.helping,
            backlog_s=self.job_table.backlog_s(entry.id, now_s=now_s),
            pending_prefills=tuple(
                PendingPrefill(one.due_s - one.read_by_s, one.weight)
                for one in self.job_table.unread(entry.id, now_s=now_s)
            ),
            kv_tokens=workload.kv_tokens,
            is_near=entry.failure_domain == self.settings.failure_domain,
            is_recovering=is_recovering,
            is_cold=is_cold,
            is_limited=is_limited,
            pace=pace,
            distance_s=self.round_trips.get(entry.failure_domain),
            failure_domain=entry.failure_domain,
        )

    def _make_idle_candidate(self, entry, rank):
        """Return an idle replica, cached until its entry or rank changes."""
        known = self._idle_candidates.get(entry.id)
        if known is not None and known[0] is entry and known[1].rank == rank:
            return known[1]
        candidate = Candidate(
            id=entry.id,
            address=entry.address,
            rank=rank,
            slots=entry.slots,
            is_near=entry.failure_domain == self.settings.failure_domain,
            distance_s=self.round_trips.get(entry.failure_domain),
            failure_domain=entry.failure_domain,
        )
        self._idle_candidates[entry.id] = entry, candidate
        return candidate
