"""Entry nodes that use permits late, while the engine restarts unnoticed."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from lycheetide.outcomes import NotRunError
from lycheetide.scheduling import Cell, LoadReport
from lycheetide.scheduling.tests.test_cell import (
    CAPACITY,
    COLD_LIMIT,
    DOMAINS,
    make_cell,
    make_ticket,
    make_upstream,
)

PERMIT_USE_S = 2.0
"""How long an entry node may use a permit: the default of
``SchedulingPolicy.permit_use_s``."""


class StalledEntryNodes(RuleBasedStateMachine):
    """Entry nodes send granted requests late or never, and in any order."""

    def __init__(self):
        super().__init__()
        self.now_s = 1.0
        self.boot = 0
        self.is_cold = False
        self.number = 0
        self.unsent = []
        self.running = {}
        self.answers = []
        self.confirmations = []
        self.cell = Cell("c", owner_id="n1")
        self.cell.is_settled = True
        self.cell.apply_upstreams([make_upstream()], DOMAINS, now_s=0.0)

    @initialize()
    def begin(self):
        for _ in range(6):
            self.now_s += 0.1
            self.report()

    @rule(delay_s=st.floats(0.001, 0.7))
    def pass_time(self, delay_s):
        self.now_s += delay_s

    @rule(count=st.integers(1, 6))
    def ask(self, count):
        for _ in range(count):
            self.number += 1
            ticket = make_ticket(self.number, now_s=self.now_s)
            try:
                self.cell.enqueue(ticket, now_s=self.now_s)
            except NotRunError:
                continue
        self.unsent += self.cell.schedule(now_s=self.now_s)

    @precondition(lambda self: self.unsent)
    @rule(position=st.integers(0, 20))
    def send(self, position):
        permit = self.unsent.pop(position % len(self.unsent))
        if self.now_s - permit.granted_s > PERMIT_USE_S:
            self.cell.finish(permit.permit_id)
        else:
            self.running[permit.permit_id] = permit
            self.confirmations.append((permit.permit_id, "e1", f"b{self.boot}"))

    @precondition(lambda self: self.confirmations)
    @rule(position=st.integers(0, 20))
    def confirm_acceptance(self, position):
        self.cell.record_accepted_permit(
            *self.confirmations.pop(position % len(self.confirmations))
        )

    @precondition(lambda self: self.unsent)
    @rule()
    def send_all(self):
        while self.unsent:
            self.send(0)

    @precondition(lambda self: self.running)
    @rule(position=st.integers(0, 20))
    def end(self, position):
        permit_id = sorted(self.running)[position % len(self.running)]
        del self.running[permit_id]
        self.cell.finish(permit_id)

    @rule()
    def report(self):
        self.now_s += 0.01
        report = LoadReport(
            f"b{self.boot}", not self.is_cold, running=len(self.running),
            kv_capacity_tokens=CAPACITY, met=frozenset(),
        )  # fmt: skip
        self.cell.apply_report("e1", report, asked_s=self.now_s, now_s=self.now_s)

    @rule()
    def list_accepted_requests(self):
        met = {permit.ticket.request_id for permit in self.running.values()}
        self.answers.append((f"b{self.boot}", met, self.now_s))

    @precondition(lambda self: self.answers)
    @rule(position=st.integers(0, 20))
    def read_accepted_requests(self, position):
        boot_id, met, asked_s = self.answers.pop(position % len(self.answers))
        self.cell.record_accepted_requests("e1", boot_id, met, asked_s=asked_s)

    @precondition(lambda self: not self.is_cold)
    @rule()
    def restart_unannounced(self):
        self.boot += 1
        self.is_cold = True
        for permit_id in self.running:
            self.cell.finish(permit_id)
        self.running = {}

    @rule()
    def warm_up(self):
        self.is_cold = False

    @invariant()
    def cold_engine_is_within_its_limit(self):
        if self.is_cold:
            assert len(self.running) <= COLD_LIMIT, len(self.running)


class TestStalledEntries(StalledEntryNodes.TestCase):  # type: ignore[misc, valid-type]
    """Entry nodes stall while holding unused permits, and the engine restarts.

    All these permits were granted on confirmations by the engine's earlier process. If
    their requests all arrived at the new, cold process, it would crash.
    """

    settings = settings(
        max_examples=300, stateful_step_count=40, deadline=None, derandomize=True
    )


def grant(cell, count, *, now_s):
    """Submit ``count`` requests and return the permits that are granted."""
    for number in range(count):
        cell.enqueue(make_ticket(f"{now_s}-{number}", now_s=now_s), now_s=now_s)
    return cell.schedule(now_s=now_s)


def test_a_report_does_not_prove_what_was_not_sent():
    """A report is requested while the first permits are unused at their entry nodes."""
    cell = make_cell()
    assert len(grant(cell, 8, now_s=1.0)) == COLD_LIMIT - 1
    report = LoadReport("b1", True, kv_capacity_tokens=CAPACITY, met=frozenset())
    cell.apply_report("e1", report, asked_s=1.1, now_s=1.1)
    assert cell.schedule(now_s=1.1) == []


def test_a_request_that_an_engine_works_on_makes_room_for_the_next():
    """If owners required more than this confirmation, engines would be left idle."""
    cell = make_cell()
    first, _ = grant(cell, 8, now_s=1.0)
    assert cell.find_unconfirmed() == ["e1"]
    cell.record_accepted_requests("e1", "b1", {first.ticket.request_id}, asked_s=1.1)
    assert len(cell.schedule(now_s=1.1)) == 1


def test_a_confirmation_by_the_entry_node_allows_the_next_grant():
    """Querying the engines instead would cost owners more than the prompts do."""
    cell = make_cell()
    first, _ = grant(cell, 8, now_s=1.0)
    assert cell.is_awaiting_confirmation(["e1"])
    assert cell.record_accepted_permit(first.permit_id, "e1", "b1")
    assert len(cell.schedule(now_s=1.1)) == 1


def test_a_permit_that_can_be_used_no_more_makes_room_for_the_next():
    """An entry node crashes while it holds unused permits.

    Their requests will never be confirmed. If they counted as unconfirmed until the
    permits are lost for lack of renewal, the engine would get no requests until then.
    """
    cell = make_cell()
    grant(cell, 8, now_s=1.0)
    report = LoadReport("b1", True, kv_capacity_tokens=CAPACITY, met=frozenset())
    cell.apply_report("e1", report, asked_s=1.0 + PERMIT_USE_S + 0.1, now_s=3.2)
    assert len(cell.schedule(now_s=3.2)) == COLD_LIMIT - 1


def test_another_life_proves_nothing():
    """An engine has restarted, and answers before a load report showed the restart."""
    cell = make_cell()
    first, _ = grant(cell, 8, now_s=1.0)
    known = cell.record_accepted_requests(
        "e1", "b2", {first.ticket.request_id}, asked_s=1.1
    )
    assert not known
    assert not cell.record_accepted_permit(first.permit_id, "e1", "b2")
    assert cell.schedule(now_s=1.1) == []
