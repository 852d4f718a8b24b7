"""Guarantees of the scheduler: cold limits, no starvation, no deadlock."""

import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from lycheetide.fleet import FailureDomain, Upstream
from lycheetide.outcomes import NotRunError, Reason
from lycheetide.scheduling import Cell, LoadReport, Ticket

COLD_LIMIT = 3
WARM_LIMIT = 8
CAPACITY = 400_000
DOMAINS = {"cork-a": FailureDomain("cork-a", "munster")}


def make_upstream(name="e1", **fields):
    return Upstream(
        name=name, kind="engine", serves="assistant", failure_domain="cork-a",
        url=f"http://{name}", cell="c", kv_capacity_tokens=CAPACITY,
        **{"warm_limit_requests": WARM_LIMIT, "cold_limit_requests": COLD_LIMIT}
        | fields,
    )  # fmt: skip


def make_ticket(number, tokens=1_000, *, now_s=0.0, **fields):
    values = {
        "ticket_id": f"t{number}", "entry_id": "n", "request_id": f"r{number}",
        "customer": "kestrel", "request_class": "quote", "priority": 0,
        "aging_s": 10.0, "weight": 1.0, "prompt_tokens": tokens, "answer_tokens": 8,
        "prefix_key": "", "arrived_s": now_s, "asked_s": now_s,
        "deadline_s": now_s + 1000.0,
    }  # fmt: skip
    return Ticket(**(values | fields))


def make_cell(count=1, *, warm=True, now_s=0.0, **fields):
    cell = Cell("c", owner_id="n1")
    cell.is_settled = True
    upstreams = [make_upstream(f"e{i + 1}", **fields) for i in range(count)]
    cell.apply_upstreams(upstreams, DOMAINS, now_s=now_s)
    for _ in range(6):
        now_s += 0.1
        for upstream in upstreams:
            report = LoadReport("b1", warm, kv_capacity_tokens=CAPACITY)
            cell.apply_report(upstream.name, report, asked_s=now_s, now_s=now_s)
    return cell


class ColdEngine(RuleBasedStateMachine):
    """One engine that restarts unnoticed, and two successive owners of its cell.

    The later owner is not settled while the earlier one may still grant permits. It
    learns of earlier grants only from the earlier owner's permits or the engine's load
    report.
    """

    def __init__(self):
        super().__init__()
        self.now_s = 1.0
        self.boot = 0
        self.is_cold = True
        self.in_flight = {}
        self.number = 0
        self.reports = []
        self.owners = [Cell("c", owner_id="n1")]
        self.owners[0].is_settled = True
        self.owners[0].apply_upstreams([make_upstream()], DOMAINS, now_s=0.0)

    @rule(delay_s=st.floats(0.001, 0.7))
    def pass_time(self, delay_s):
        self.now_s += delay_s

    @rule(count=st.integers(1, 6), owner=st.integers(0, 1))
    def ask(self, count, owner):
        cell = self.owners[owner % len(self.owners)]
        for _ in range(count):
            self.number += 1
            try:
                cell.enqueue(
                    make_ticket(self.number, now_s=self.now_s), now_s=self.now_s
                )
            except NotRunError:
                continue
        for permit in cell.schedule(now_s=self.now_s):
            self.in_flight[permit.permit_id] = (cell, self.boot)

    @rule(position=st.integers(0, 20))
    def finish(self, position):
        if self.in_flight:
            permit_id = sorted(self.in_flight)[position % len(self.in_flight)]
            cell, _ = self.in_flight.pop(permit_id)
            cell.finish(permit_id)

    @rule(owner=st.integers(0, 1))
    def send_report(self, owner):
        cell = self.owners[owner % len(self.owners)]
        report = LoadReport(
            f"b{self.boot}", not self.is_cold, running=len(self.in_flight),
            kv_capacity_tokens=CAPACITY,
        )  # fmt: skip
        self.reports.append((cell, self.now_s, report))

    @rule(position=st.integers(0, 20))
    def read_report(self, position):
        if self.reports:
            cell, asked_s, report = self.reports.pop(position % len(self.reports))
            cell.apply_report("e1", report, asked_s=asked_s, now_s=self.now_s)

    @rule(times=st.integers(1, 4))
    def report_at_once(self, times):
        for owner in list(range(len(self.owners))) * times:
            self.send_report(owner)
            self.read_report(len(self.reports) - 1)

    @initialize(is_warm=st.booleans())
    def begin(self, is_warm):
        self.is_cold = not is_warm
        self.report_at_once(4)

    @rule()
    def warm_up(self):
        self.is_cold = False

    @precondition(lambda self: not self.is_cold)
    @rule()
    def restart_unannounced(self):
        self.boot += 1
        self.is_cold = True
        for permit_id, (cell, _) in self.in_flight.items():
            cell.finish(permit_id)
        self.in_flight = {}

    @precondition(lambda self: len(self.owners) == 1)
    @rule()
    def add_next_owner(self):
        later = Cell("c", owner_id="n2")
        later.apply_upstreams([make_upstream()], DOMAINS, now_s=self.now_s)
        self.owners.append(later)

    @precondition(lambda self: len(self.owners) == 2)
    @rule()
    def hand_over(self):
        earlier, later = self.owners
        later.adopt(earlier.permits.values(), now_s=self.now_s)
        self.in_flight = {
            permit_id: (later, boot) for permit_id, (_, boot) in self.in_flight.items()
        }
        later.is_settled = True
        self.owners = [later]
        self.reports = [row for row in self.reports if row[0] is later]

    @invariant()
    def cold_engine_is_within_its_limit(self):
        if self.is_cold:
            assert len(self.in_flight) <= COLD_LIMIT, len(self.in_flight)


class TestColdEngine(ColdEngine.TestCase):  # type: ignore[misc, valid-type]
    """An engine restarts on the same address, idle or under load, while owners change.

    If a restarted engine got more than its cold limit, it would crash, its streams
    would break and be retried, and the retries would crash it again.
    """

    settings = settings(
        max_examples=200, stateful_step_count=40, deadline=None, derandomize=True
    )


def test_a_cell_whose_reports_stop_grants_at_most_the_cold_limit_ahead():
    """An idle engine restarts while its load reports lag.

    The owner still takes it for warm, so all requests that it grants arrive at a cold
    engine.
    """
    cell = make_cell()
    for number in range(20):
        cell.enqueue(make_ticket(number, now_s=1.0), now_s=1.0)
    assert len(cell.schedule(now_s=1.0)) == COLD_LIMIT - 1
    report = LoadReport("b1", True, running=2, kv_capacity_tokens=CAPACITY)
    cell.apply_report("e1", report, asked_s=1.1, now_s=1.1)
    assert len(cell.schedule(now_s=1.1)) == COLD_LIMIT - 1


def test_a_domain_that_returns_begins_at_the_cold_limit():
    """A failure domain is taken out and brought back; its engines' caches are empty.

    Under full load at once, the engines would crash again, and users would see a second
    drop in service as the domain returns.
    """
    cell = make_cell(cold_limit_requests=2)
    upstreams = [make_upstream(cold_limit_requests=2)]
    out = {"cork-a": FailureDomain("cork-a", "munster", "out")}
    cell.apply_upstreams(upstreams, out, now_s=2.0)
    with pytest.raises(NotRunError, match="no replica is open"):
        cell.enqueue(make_ticket(1, now_s=2.0), now_s=2.0)
    cell.apply_upstreams(upstreams, DOMAINS, now_s=3.0)
    assert cell.replicas["e1"].ramp_limit == 2


def test_two_prompts_above_one_engines_memory_never_hold_half_each():
    """Two prompts need three of four engines each, and arrive together.

    If each held two and waited for a third, both would wait until their deadlines while
    the memory they hold is unused.
    """
    cell = make_cell(4)
    for number in (1, 2):
        cell.enqueue(make_ticket(number, 900_000, now_s=1.0), now_s=1.0)
    first = cell.schedule(now_s=1.0)
    assert [len(permit.replicas) for permit in first] == [3]
    assert cell.schedule(now_s=5.0) == []
    cell.finish(first[0].permit_id)
    second = cell.schedule(now_s=6.0)
    assert [len(permit.replicas) for permit in second] == [3]


def test_short_requests_go_on_while_engines_are_kept_for_a_spanning_prompt():
    """A prompt split over several engines waits until enough of them are free.

    Draining engines for it must not delay short requests, and short requests must not
    delay it indefinitely.
    """
    cell = make_cell(4)
    cell.enqueue(make_ticket(1, 900_000, now_s=1.0), now_s=1.0)
    holder = cell.schedule(now_s=1.0)[0]
    cell.enqueue(make_ticket(2, 900_000, now_s=1.1), now_s=1.1)
    cell.enqueue(make_ticket(3, 2_000, now_s=4.0), now_s=4.0)
    cell.enqueue(make_ticket(4, 60_000, now_s=4.0, priority=0), now_s=4.0)
    granted = [p.ticket.ticket_id for p in cell.schedule(now_s=4.0)]
    assert granted == ["t3"]
    cell.finish(holder.permit_id)
    granted = [p.ticket.ticket_id for p in cell.schedule(now_s=30.0)]
    assert "t2" in granted


def test_waiting_requests_age_past_higher_classes():
    """High-priority requests arrive continuously; a low-priority one must still run."""
    cell = make_cell(warm_limit_requests=1, cold_limit_requests=1)
    cell.enqueue(make_ticket(0, now_s=1.0, priority=2), now_s=1.0)
    old = make_ticket("old", now_s=1.0, priority=2, aging_s=10.0)
    cell.enqueue(old, now_s=1.0)
    running = cell.schedule(now_s=1.0)[0].permit_id
    served = []
    for number in range(1, 60):
        now_s = 1.0 + number
        cell.enqueue(make_ticket(number, now_s=now_s), now_s=now_s)
        cell.finish(running)
        report = LoadReport("b1", True, kv_capacity_tokens=CAPACITY)
        cell.apply_report("e1", report, asked_s=now_s, now_s=now_s)
        permit = cell.schedule(now_s=now_s)[0]
        running = permit.permit_id
        served.append(permit.ticket.ticket_id)
    assert "told" in served or "t0" in served
    assert served.index("told") < 40


def test_a_large_customer_can_not_fill_the_queue():
    """One customer sends a hundred requests, then another customer sends one."""
    cell = make_cell(warm_limit_requests=4, cold_limit_requests=4)
    for number in range(100):
        cell.enqueue(make_ticket(number, now_s=1.0, customer="large"), now_s=1.0)
    cell.schedule(now_s=1.0)
    cell.enqueue(make_ticket("small", now_s=1.2, customer="small"), now_s=1.2)
    cell.finish(next(iter(cell.permits)))
    report = LoadReport("b1", True, kv_capacity_tokens=CAPACITY)
    cell.apply_report("e1", report, asked_s=1.2, now_s=1.2)
    assert cell.schedule(now_s=1.3)[0].ticket.customer == "small"


def test_a_customers_waiting_tokens_are_limited():
    cell = make_cell()
    limit = {"waiting_limit_tokens": 100_000, "customer": "large"}
    for number in range(3):
        cell.enqueue(make_ticket(number, 30_000, now_s=1.0, **limit), now_s=1.0)
    with pytest.raises(NotRunError) as caught:
        cell.enqueue(make_ticket(9, 30_000, now_s=1.0, **limit), now_s=1.0)
    assert caught.value.reason is Reason.CUSTOMER_LIMIT
    cell.enqueue(make_ticket(10, 30_000, now_s=1.0, customer="small"), now_s=1.0)


def test_a_request_that_can_not_finish_is_refused_at_once_with_when_to_come_back():
    cell = make_cell(prefill_tokens_per_s=10_000.0)
    late = make_ticket(1, 100_000, now_s=1.0, deadline_s=3.0)
    with pytest.raises(NotRunError) as caught:
        cell.enqueue(late, now_s=1.0)
    assert caught.value.reason is Reason.OVERLOADED
    assert caught.value.retry_after_s > 0


def test_a_permit_whose_entry_node_died_counts_until_the_engine_is_empty():
    """An entry node is frozen and misses its renewals while its stream continues.

    If its slot were granted to another request at once, the engine would get more
    requests than it can handle.
    """
    cell = make_cell(warm_limit_requests=3, cold_limit_requests=3)
    for number in range(2):
        cell.enqueue(make_ticket(number, now_s=1.0), now_s=1.0)
    cell.schedule(now_s=1.0)
    cell.drop_expired(now_s=20.0, ticket_s=3.0, permit_s=5.0)
    assert (len(cell.permits), len(cell.lost_permits)) == (0, 2)
    report = LoadReport("b1", True, kv_capacity_tokens=CAPACITY)
    cell.apply_report("e1", report, asked_s=20.0, now_s=20.0)
    assert cell.compute_loads(now_s=20.0)[0].slots == 1
    cell.release_lost_permits("e1", {"r0"})
    assert cell.compute_loads(now_s=20.0)[0].slots == 2


def test_prefix_affinity_is_given_up_where_it_costs_more_than_it_saves():
    cell = make_cell(2, prefill_tokens_per_s=10_000.0)
    cell.enqueue(make_ticket(1, 2_000, now_s=1.0, prefix_key="k"), now_s=1.0)
    first_replicas = cell.schedule(now_s=1.0)[0].replicas
    cell.enqueue(make_ticket(2, 2_000, now_s=1.05, prefix_key="k"), now_s=1.05)
    assert cell.schedule(now_s=1.05)[0].replicas == first_replicas
    for number in range(3, 5):
        cell.enqueue(make_ticket(number, 4_000, now_s=1.05, prefix_key="k"), now_s=1.05)
    replicas = {p.replicas for p in cell.schedule(now_s=1.05)}
    assert replicas != {first_replicas}
