"""What the parts of one node share."""

import secrets
import time
from collections import OrderedDict, defaultdict
from dataclasses import dataclass
from typing import Any

import anyio

from lycheetide.charts import load_chart
from lycheetide.fleet import ConfigState
from lycheetide.limits import CustomerBudgets
from lycheetide.membership import Member, Membership
from lycheetide.metrics import Counters, Explanations, make_statsd
from lycheetide.peers import PeerClient
from lycheetide.platformlog import GroupWriter, LogClient
from lycheetide.routing import is_fresh
from lycheetide.tasks import Standstill
from lycheetide.upstreams import make_http_client

CONFIG_STREAM = "config"
VIEW_STREAM = "views-{region}"
BOOKING_STREAM = "bookings"
VERDICTS_KEPT = 1_000
LONG_AGO_S = -1e9
REGAIN_S = 2.0
"""A node that stood still hears the others again within this time: some heartbeats."""

CHART = load_chart("node")


def read_clock():
    """Return the present time in seconds; only plumbing calls this."""
    return time.monotonic()


def draw_id():
    """Return an id that is never used twice."""
    return secrets.token_hex(8)


@dataclass(frozen=True)
class HeldPermit:
    """A permit that this node uses, and where it came from.

    Parameters
    ----------
    permit : Permit
        The permit.
    cell : str
        Whose owner gave it.
    wants_met : bool
        Whether the owner waits to be told that the upstream has taken the request.
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
    by_served : mapping of str to list of str
        For each model or service, the cells that serve it, sorted.
    """

    fleet: Any
    cells: Any
    by_served: Any


def make_index(fleet, region):
    """Index the cells whose failure domains lie in ``region``.

    Cells of other regions belong to those regions' members, whom this node's views
    do not hold.
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
    by_served: dict[str, list[str]] = defaultdict(list)
    for name in sorted(cells):
        by_served[cells[name][0].serves].append(name)
    return CellIndex(fleet, cells, by_served)


class NodeState:
    """The state of one node.

    Parameters
    ----------
    settings : Settings
        What it was told at its start.
    """

    def __init__(self, settings):
        self.settings = settings
        self.own = Member(
            settings.name, draw_id(), settings.peer_address, settings.failure_domain
        )
        self.life = CHART.initial
        self.config = ConfigState()
        self.config_since_s = 0.0
        self.config_changed = anyio.Event()
        self.verdicts = OrderedDict()
        self.membership = Membership(
            self.own, lease_s=settings.lease_s, suspect_s=settings.suspect_s
        )
        self.hosts = None
        self.log_asked_s = LONG_AGO_S
        self.http = make_http_client(connect_s=settings.connect_s)
        self.peers = PeerClient()
        self.log = LogClient(self.http, settings.log_url)
        self.booking_writer = GroupWriter(self.log, BOOKING_STREAM)
        self.cells = {}
        self.relinquished = {}
        self.permits = {}
        self.bookings = {}
        self.issued_home_keys = 0
        self.counters = Counters(
            make_statsd(settings.statsd_address, settings.statsd_prefix)
        )
        self.explanations = Explanations()
        self.budgets = CustomerBudgets()
        self.active = {}
        self.standstill = Standstill()
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
        """The log's stream of this region's views."""
        return VIEW_STREAM.format(region=self.settings.region)

    def find_index(self):
        """Return the region's cells, indexed once for each configuration."""
        if self._index is None or self._index.fleet is not self.fleet:
            self._index = make_index(self.fleet, self.settings.region)
        return self._index

    def step(self, event):
        """Step the node's life; return whether its state changed."""
        before = self.life
        self.life = CHART.step(before, event)
        return self.life != before

    def is_life(self, flag):
        """Tell whether the node's state carries a flag of the chart."""
        return CHART.has(self.life, flag)

    def is_fresh(self, *, now_s):
        """Tell whether this node can know the configuration in force."""
        return is_fresh(
            log_asked_s=self.log_asked_s,
            majority_heard=self.membership.is_majority_heard(now_s=now_s),
            now_s=now_s,
            within_s=self.settings.lease_s,
        )

    def is_waking(self, *, now_s):
        """Tell whether what this node knows is old only since it stood still itself.

        It hears the log or its peers again within a moment, and what waits for that can
        still be served.
        """
        if self.is_fresh(now_s=now_s):
            return False
        return self.standstill.is_just_over(now_s=now_s, within_s=REGAIN_S)

    def note(self, request_id, what, **fields):
        """Keep a step of a request for ``lycheetide explain``."""
        self.explanations.note(request_id, what, now_s=read_clock(), **fields)
