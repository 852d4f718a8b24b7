"""Queue of the requests that wait for capacity, on whose order all nodes agree.

Requests are ordered by the latest time at which they can start and still meet their
target. It doesn't change while a request waits, so a request that isn't urgent at first
is overtaken by newer ones only until its own time has come. Customers above their share
come last.

Times are in steps on a scale that the nodes share, and messages state the middle of a
step. So a node derives the same step from a message that is half a step late.
"""

from bisect import bisect_left
from collections import defaultdict
from dataclasses import dataclass, field
from itertools import accumulate

from lycheetide.admission._clock import SharedClock
from lycheetide.admission._kinds import KINDS, count_readers, find_kind
from lycheetide.admission._messages import make_waiting_message
from lycheetide.admission._shares import estimate_capacity_s
from lycheetide.admission._types import Ahead, KindDemand, WaitingRequest

ENTRY_LIFETIME_S = 1.2
"""Lifetime of an entry that isn't renewed; three renewals may be lost."""
RENEWAL_INTERVAL_S = 0.3
"""Interval at which a waiting request is announced again."""
START_STEP_S = 0.1
"""Requests whose latest starts differ by less are ordered by their numbers."""
USUAL_DELAY_S = 0.012
"""Time by which messages of other nodes are usually late, since hubs bundle them."""
CLOCK_TOLERANCE_S = 0.005
"""The shared time may be set forward by so much without new steps for all entries."""
SHARE_INTERVAL_S = 0.1
"""Interval at which the customers above their share are determined."""
MAX_ENTRIES = 10_000
"""Entries that are kept; further ones are ignored, so that memory is bounded."""


@dataclass
class _Entry:
    """A waiting request with its last renewal and its position."""

    request: WaitingRequest
    renewed_s: float
    start_s: float
    order: tuple
    line: "_Line"


@dataclass
class _Line:
    """Sorted requests of one kind, with sums over those ahead of each position.

    Parameters
    ----------
    orders : list of tuple
        Sort keys.
    engine_s, tokens : list
        Demand of the request at each position.
    engine_sums, token_sums : list
        Sums over the requests before each position, as far as they are up to date.
    """

    orders: list[tuple] = field(default_factory=list)
    engine_s: list[float] = field(default_factory=list)
    tokens: list[int] = field(default_factory=list)
    engine_sums: list[float] = field(default_factory=lambda: [0.0])
    token_sums: list[int] = field(default_factory=lambda: [0])

    def add(self, order, request):
        """Insert a request."""
        place = bisect_left(self.orders, order)
        self.orders.insert(place, order)
        self.engine_s.insert(place, request.engine_s)
        self.tokens.insert(place, request.tokens)
        self._truncate_sums(place)

    def remove(self, order):
        """Remove a request."""
        place = bisect_left(self.orders, order)
        del self.orders[place], self.engine_s[place], self.tokens[place]
        self._truncate_sums(place)

    def sum_ahead(self, order):
        """Return the demand of the requests before a sort key; None for all."""
        count = len(self.orders) if order is None else bisect_left(self.orders, order)
        known = len(self.engine_sums) - 1
        if count > known:
            _extend_sums(self.engine_sums, self.engine_s[known:count])
            _extend_sums(self.token_sums, self.tokens[known:count])
        return KindDemand(count, self.engine_sums[count], self.token_sums[count])

    def _truncate_sums(self, place):
        """Discard the sums that include a changed position."""
        del self.engine_sums[place + 1 :]
        del self.token_sums[place + 1 :]


def _extend_sums(sums, values):
    """Append the cumulative sums of further values."""
    last = sums.pop()
    sums.extend(accumulate(values, initial=last))


class AdmissionQueue:
    """All requests that wait for capacity, as far as this node knows.

    Parameters
    ----------
    usage : CustomerUsage or None, default=None
        Usage of the customers. If it is None, no customer is above its share.
    """

    def __init__(self, usage=None):
        self._usage = usage
        self._clock = SharedClock()
        self._sorted_shift_s = 0.0
        self._entries: dict[tuple[str, str], _Entry] = {}
        self._lines: dict[tuple[int, bool, int], _Line] = {}
        self._replicas: dict[int, int] = {}
        self._dropped_s: dict[tuple[str, str], float] = {}
        self._wanted_s: dict[int, float] = defaultdict(float)
        self._above: frozenset[int] = frozenset()
        self._above_since_s = float("-inf")
        self._now_s = 0.0

    def __len__(self):
        return len(self._entries)

    def next_number(self, *, now_s=None):
        """Return the number for a request that starts to wait.

        Parameters
        ----------
        now_s : float or None, default=None
            Current time; by default, that of the last call.
        """
        return self._clock.next_number(now_s=self._now_s if now_s is None else now_s)

    def note_replicas(self, service, replicas):
        """Record the number of a service's replicas, where they prefill prompts.

        The order depends on it, so it should be the number in the registry, which is
        the same at all nodes, and not that of the candidates for a call.
        """
        known = self._replicas.get(service, 0)
        self._replicas[service] = replicas
        if count_readers(known) != count_readers(replicas):
            for entry in self._entries.values():
                if entry.request.service == service:
                    entry.start_s = self._find_start_s(entry.request)
            self._sort_again(lambda one: one.service == service)

    def note(self, waiting, *, now_s):
        """Add a waiting request, or renew its entry.

        A renewal doesn't change the position. A request that has left the queue isn't
        added again: its last renewal may arrive after the message of its end.

        Returns
        -------
        bool
            Whether the request is in the queue.
        """
        self._advance(now_s)
        key = (waiting.node, waiting.job)
        if key in self._dropped_s:
            return False
        entry = self._entries.pop(key, None)
        if entry is not None:
            # Entries stay in the order of their renewals, the oldest first.
            entry.renewed_s = now_s
            self._entries[key] = entry
            return True
        if len(self._entries) >= MAX_ENTRIES:
            return False
        self._clock.observe(waiting.number, now_s=now_s)
        if self._clock.shift_s - self._sorted_shift_s > CLOCK_TOLERANCE_S:
            self._sorted_shift_s = self._clock.shift_s
            self._sort_again(lambda one: True)
        start_s = self._find_start_s(waiting)
        order = self._find_order(waiting, start_s)
        line = self._find_line(waiting)
        line.add(order, waiting)
        self._entries[key] = _Entry(waiting, now_s, start_s, order, line)
        self._wanted_s[waiting.customer] += waiting.engine_s
        return True

    def drop(self, node, job):
        """Remove a request that no longer waits; its id can't be used again."""
        self._dropped_s.pop((node, job), None)
        self._dropped_s[node, job] = self._now_s
        self._remove((node, job))

    def drop_nodes(self, nodes):
        """Remove the requests of nodes that are dead or leaving."""
        for key in [key for key in self._entries if key[0] in nodes]:
            self._remove(key)

    def list_ahead(self, waiting, *, service, now_s):
        """Return the requests ahead of one, which needn't be in the queue.

        Parameters
        ----------
        waiting : WaitingRequest or None
            The request; None for all requests of the service.
        service : int
            Hash of the service's name.
        now_s : float
            Current time.

        Returns
        -------
        Ahead
        """
        self._advance(now_s)
        self._update_above(now_s)
        if waiting is None:
            is_last, order = True, None
        else:
            is_last = waiting.customer in self._above
            order = self._find_own_order(waiting)
        demands = []
        for kind in range(KINDS):
            demand = self._sum_line((service, False, kind), None if is_last else order)
            if is_last:
                demand += self._sum_line((service, True, kind), order)
            demands.append(demand)
        return Ahead(tuple(demands))

    def is_above_share(self, customer, *, now_s):
        """Return whether the requests of a customer come last at present."""
        self._advance(now_s)
        self._update_above(now_s)
        return customer in self._above

    def make_message(self, waiting, *, now_s):
        """Return the message that announces a request of this node.

        Its due time gives the middle of a step as the latest start, when it arrives
        with the usual delay.
        """
        entry = self._entries.get((waiting.node, waiting.job))
        start_s = entry.start_s if entry is not None else self._find_start_s(waiting)
        due_s = start_s + waiting.engine_s / self._count_readers(waiting.service)
        return make_waiting_message(waiting, due_s=due_s - USUAL_DELAY_S, now_s=now_s)

    def _advance(self, now_s):
        """Set the current time and remove entries that were not renewed."""
        self._now_s = max(self._now_s, now_s)
        while self._entries:
            key, entry = next(iter(self._entries.items()))
            if now_s - entry.renewed_s <= ENTRY_LIFETIME_S:
                break
            self._remove(key)
        while self._dropped_s:
            key, at_s = next(iter(self._dropped_s.items()))
            if now_s - at_s <= ENTRY_LIFETIME_S:
                break
            del self._dropped_s[key]

    def _remove(self, key):
        """Remove an entry, if there is one."""
        entry = self._entries.pop(key, None)
        if entry is None:
            return
        entry.line.remove(entry.order)
        customer = entry.request.customer
        self._wanted_s[customer] -= entry.request.engine_s
        if self._wanted_s[customer] < 1e-9:
            del self._wanted_s[customer]

    def _sum_line(self, name, order):
        """Return the demand in a line before a sort key; None for all of it."""
        line = self._lines.get(name)
        return line.sum_ahead(order) if line is not None else KindDemand()

    def _count_readers(self, service):
        """Return the usual number of readers of a service's huge prompts."""
        return count_readers(self._replicas.get(service, 0))

    def _find_start_s(self, waiting):
        """Return the middle of the step of a request's latest start."""
        start_s = waiting.due_s - waiting.engine_s / self._count_readers(
            waiting.service
        )
        step = (start_s + self._clock.shift_s) // START_STEP_S
        return (step + 0.5) * START_STEP_S - self._clock.shift_s

    def _find_order(self, waiting, start_s):
        """Return the sort key for a latest start on this node's clock."""
        step = int((start_s + self._clock.shift_s) // START_STEP_S)
        return step, waiting.number, waiting.node, waiting.job

    def _find_own_order(self, waiting):
        """Return the sort key of a request, whether or not it is in the queue."""
        entry = self._entries.get((waiting.node, waiting.job))
        if entry is not None:
            return entry.order
        return self._find_order(waiting, self._find_start_s(waiting))

    def _find_line(self, waiting):
        """Return the line of a request."""
        is_last = waiting.customer in self._above
        name = (waiting.service, is_last, find_kind(waiting.engine_s))
        return self._lines.setdefault(name, _Line())

    def _update_above(self, now_s):
        """Determine which customers are above their share."""
        if self._usage is None or now_s - self._above_since_s < SHARE_INTERVAL_S:
            return
        self._above_since_s = now_s
        above: frozenset[int] = frozenset()
        if self._wanted_s and self._replicas:
            capacity_s = estimate_capacity_s(
                sum(self._replicas.values()), self._usage.total_s(now_s=now_s)
            )
            above = self._usage.list_above_share(
                capacity_s=capacity_s,
                now_s=now_s,
                waiting=self._wanted_s,
            )
        changed = above ^ self._above
        self._above = above
        if changed:
            self._sort_again(lambda one: one.customer in changed)

    def _sort_again(self, is_affected):
        """Find the positions of some requests again."""
        affected = [one for one in self._entries.values() if is_affected(one.request)]
        for entry in affected:
            entry.line.remove(entry.order)
        for entry in affected:
            # Keeps the latest start that was announced, the middle of a step: another
            # node that sets its time forward as well finds the same step.
            entry.order = self._find_order(entry.request, entry.start_s)
            entry.line = self._find_line(entry.request)
            entry.line.add(entry.order, entry.request)
