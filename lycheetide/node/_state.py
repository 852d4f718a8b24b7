"""The state that the parts of one node share."""

import secrets
import time
from collections import OrderedDict, defaultdict
from dataclasses import dataclass
from typing import Any

import anyio

from lycheetide.charts import load_chart
from lycheetide.fleet import ConfigState
from lycheetide.limits import CustomerRetryBudgets
from lycheetide.membership import Member, Membership
from lycheetide.metrics import Counters, RequestTraces, make_statsd_client
from lycheetide.peers import PeerClient
from lycheetide.platformlog import GroupWriter, LogClient
from lycheetide.quarantine import QuarantineState
from lycheetide.routing import is_fresh
from lycheetide.tasks import StallDetector
from lycheetide.upstreams import make_http_client

CONFIG_STREAM = "config"
VIEW_STREAM = "views-{region}"
BOOKING_STREAM = "bookings"
MAX_VERDICTS = 1_000
NEVER_S = -1e9
STALL_RECOVERY_S = 2.0
"""A node hears the others again within this time after a stall: some heartbeats."""

CHART = load_chart("node")


def read_clock():
    """Return the monotonic time in seconds.

    Decisions take the time as an argument; only the code around them calls this.
    """
    return time.monotonic()


def generate_id():
    """Return a new random id."""
    return secrets.token_hex(8)


@dataclass(frozen=True)
class HeldPermit:
    """A permit that this node uses, and the cell that it came from.

    Parameters
    ----------
    permit : Permit
        The permit.
    cell : str
        Cell whose owner granted it.
    wants_met : bool
        Whether the owner wants a report when the upstream has accepted the request.
    """

    permit: Any
    cell: str
    wants_met: bool = False


@dataclass(frozen=True)
class CellIndex:
    """The cells of one region.

    Parameters
    ----------
    fleet : Fleet
        The configuration that was indexed.
    cells : mapping of str to list of Upstream
        The replicas of each cell.
    cells_by_served : mapping of str to list of str
        For each model or service, the cells that serve it, sorted.
    """

    fleet: Any
    cells: Any
    cells_by_served: Any


def make_cell_index(fleet, region):
    """Index the cells whose failure domains lie in ``region``.

    Cells of other regions are owned by members of those regions, and these are not in
    this node's membership views.
    """
    near = {
        name
        for name, domain in fleet.failure_domains.items()
        if domain.region == region
    }
    cells: dict[str, list[Any]] = defaultdict(list)
    for upstream in fleet.upstreams.values():
        if upstream.failure_domain in near:
            cells[upstream.cell].append(upstream)
    cells_by_served: dict[str, list[str]] = defaultdict(list)
    for name in sorted(cells):
        cells_by_served[cells[name][0].serves].append(name)
    return CellIndex(fleet, cells, cells_by_served)


class NodeState:
    """The state of one node.

    Parameters
    ----------
    settings : NodeSettings
        Settings that the node was started with.
    """

    def __init__(self, settings):
        self.settings = settings
        self.own = Member(
            settings.name, generate_id(), settings.peer_address, settings.failure_domain
        )
        self.lifecycle_state = CHART.initial
        self.config = ConfigState()
        self.config_changed_s = 0.0
        self.config_changed = anyio.Event()
        self.verdicts = OrderedDict()
        self.membership = Membership(
            self.own, lease_s=settings.lease_s, suspect_s=settings.suspect_s
        )
        self.hosts = None
        self.log_read_started_s = NEVER_S
        self.http = make_http_client(connect_s=settings.connect_s)
        self.peers = PeerClient()
        self.log = LogClient(self.http, settings.log_url)
        self.booking_writer = GroupWriter(self.log, BOOKING_STREAM)
        self.cells = {}
        self.relinquished_cells = {}
        self.permits = {}
        self.bookings = {}
        self.issued_home_keys = 0
        self.counters = Counters(
            make_statsd_client(settings.statsd_address, settings.statsd_prefix)
        )
        self.request_traces = RequestTraces()
        self.budgets = CustomerRetryBudgets()
        self.active = {}
        self.stall_detector = StallDetector()
        self.quarantine = QuarantineState()
        self.tasks = None
        self._index = None

    @property
    def own_id(self):
        """This node's member id."""
        return self.own.member_id

    @property
    def fleet(self):
        """The configuration in force."""
        return self.config.fleet

    @property
    def view_stream(self):
        """Name of the log stream that holds this region's membership views."""
        return VIEW_STREAM.format(region=self.settings.region)

    def get_cell_index(self):
        """Return the index of the region's cells, made once for each configuration."""
        if self._index is None or self._index.fleet is not self.fleet:
            self._index = make_cell_index(self.fleet, self.settings.region)
        return self._index

    def step(self, event):
        """Apply an event to the node's lifecycle state; return whether it changed."""
        before = self.lifecycle_state
        self.lifecycle_state = CHART.next_state(before, event)
        return self.lifecycle_state != before

    def has_state_flag(self, flag):
        """Return whether the node's lifecycle state has a flag in the chart."""
        return CHART.has_flag(self.lifecycle_state, flag)

    def is_fresh(self, *, now_s):
        """Return whether this node can know the configuration in force."""
        return is_fresh(
            log_read_started_s=self.log_read_started_s,
            majority_heard=self.membership.is_majority_heard(now_s=now_s),
            now_s=now_s,
            within_s=self.settings.lease_s,
        )

    def is_recovering_from_stall(self, *, now_s):
        """Return whether this node's state is stale only because its process stalled.

        It hears from the log or its peers again within a moment, and requests that wait
        for that can still be served.
        """
        if self.is_fresh(now_s=now_s):
            return False
        return self.stall_detector.has_stalled(now_s=now_s, within_s=STALL_RECOVERY_S)

    def note(self, request_id, what, **fields):
        """Record a step of a request for ``lycheetide explain``."""
        self.request_traces.note(request_id, what, now_s=read_clock(), **fields)
