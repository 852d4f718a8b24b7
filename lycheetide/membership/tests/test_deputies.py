"""Failover of members that fail while no view can be written."""

import pytest

from lycheetide.membership import Member, Membership, View
from lycheetide.membership._evidence import MemberRow

LEASE_S = 2.0
SILENT_S = 2.5
NAMES = ("a", "b", "c", "d", "e")


def make_members(names):
    return tuple(Member(name, "1", f"10.0.0.{ord(name)}:1", "z") for name in names)


def make_node(own, members):
    node = Membership(own, lease_s=LEASE_S, suspect_s=2.0)
    node.apply_view(View(1, members), now_s=0.0)
    return node


class Fleet:
    """The members of one view, which exchange rows without a network."""

    def __init__(self, count):
        self.members = make_members(NAMES[:count])
        self.nodes = {m.member_id: make_node(m, self.members) for m in self.members}
        self.unresponsive = set()

    def exchange_rows(self, now_s):
        """Let each responsive member poll all others, then depose silent members."""
        for asker in self.living():
            asker.failover.record_poll(now_s=now_s)
            for answerer in self.living():
                if answerer is asker:
                    continue
                rows = list(
                    answerer.make_rows(
                        state="serving", config_version=1, cells=(), now_s=now_s
                    )
                )
                asker.apply_rows(rows, asked_s=now_s, now_s=now_s)
            asker.depose_silent(now_s=now_s, silent_s=SILENT_S)
            asker.update_settled_view(now_s=now_s)

    def living(self):
        return [n for name, n in self.nodes.items() if name not in self.unresponsive]

    def run(self, start_s, end_s):
        """Let members exchange rows ten times a second.

        Returns pairs of a time and the id of a member that may act for the cell then.
        """
        acting = []
        for step in range(round((end_s - start_s) * 10)):
            now_s = start_s + step / 10
            self.exchange_rows(now_s)
            for node in self.nodes.values():
                if node.find_owner("cell") == node.own and node.holds_lease(
                    now_s=now_s
                ):
                    acting.append((now_s, node.own.member_id))
        return acting


@pytest.mark.parametrize("count", [3, 4, 5])
def test_the_next_member_stands_in_for_a_dead_owner(count):
    """The owner fails during an outage of the log, so no view can replace it.

    Without a failover, prompts for its cells would wait until their deadlines.
    """
    fleet = Fleet(count)
    before = fleet.run(0.0, 3.0)
    (owner,) = {name for _, name in before}
    fleet.unresponsive.add(owner)
    after = fleet.run(3.0, 12.0)
    late = {name for at_s, name in after if at_s > 10.0}
    assert len(late) == 1
    assert late != {owner}
    living = [node.find_owner("cell").member_id for node in fleet.living()]
    assert set(living) == late


@pytest.mark.parametrize("count", [3, 4, 5])
def test_an_owner_that_was_only_frozen_never_acts_beside_its_deputy(count):
    """The owner is frozen for long, then continues with its earlier state.

    If both it and the member that took over granted permits, a cold replica would get
    twice the requests it can handle.
    """
    fleet = Fleet(count)
    (owner,) = {name for _, name in fleet.run(0.0, 3.0)}
    fleet.unresponsive.add(owner)
    during = fleet.run(3.0, 12.0)
    fleet.unresponsive.clear()
    acting = during + fleet.run(12.0, 16.0)
    by_time: dict[float, set] = {}
    for at_s, name in acting:
        by_time.setdefault(at_s, set()).add(name)
    assert max(len(names) for names in by_time.values()) == 1
    assert owner not in {name for at_s, name in acting if at_s > 12.0}


@pytest.mark.parametrize("frozen", [1, 2, 3])
def test_members_that_were_frozen_depose_nobody_for_their_own_silence(frozen):
    """Members are frozen for long; afterwards all their evidence of others is old.

    If each deposed the others as silent, no member could act as an owner until the log
    is back, and every prompt would wait until its deadline.
    """
    fleet = Fleet(3)
    fleet.run(0.0, 3.0)
    names = [node.own.member_id for node in fleet.living()]
    fleet.unresponsive.update(names[:frozen])
    fleet.run(3.0, 9.0)
    fleet.unresponsive.clear()
    for node in fleet.nodes.values():
        node.failover.record_poll(now_s=9.0)
        node.depose_silent(now_s=9.0, silent_s=SILENT_S)
    acting = fleet.run(9.0, 16.0)
    late = {name for at_s, name in acting if at_s > 14.0}
    assert len(late) == 1


def test_a_minority_never_stands_in():
    """A member that is cut off from all others deposes them as silent.

    It must not take over their cells, since they continue to serve.
    """
    fleet = Fleet(3)
    fleet.run(0.0, 3.0)
    alone = next(
        node for node in fleet.nodes.values() if node.find_owner("cell") != node.own
    )
    for step in range(200):
        now_s = 3.0 + step / 10
        alone.failover.record_poll(now_s=now_s)
        alone.depose_silent(now_s=now_s, silent_s=SILENT_S)
        alone.update_settled_view(now_s=now_s)
        assert not alone.holds_lease(now_s=now_s) or step < LEASE_S * 10
        assert alone.find_owner("cell") != alone.own


def test_a_new_view_gives_a_deposed_member_its_cells_back():
    """After an outage of the log, a new view includes the deposed member again."""
    fleet = Fleet(3)
    (owner,) = {name for _, name in fleet.run(0.0, 3.0)}
    fleet.unresponsive.add(owner)
    fleet.run(3.0, 12.0)
    fleet.unresponsive.clear()
    for node in fleet.nodes.values():
        node.apply_view(View(2, fleet.members), now_s=12.0)
    acting = fleet.run(12.0, 20.0)
    assert {name for at_s, name in acting if at_s > 16.0} == {owner}
    assert MemberRow(fleet.members[0], 0, "serving", 1, 1, 1).deposed == ()
