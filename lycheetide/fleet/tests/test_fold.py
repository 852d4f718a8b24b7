"""The log decides on changes, the same for every reader, and never goes back."""

from dataclasses import replace

import hypothesis.strategies as st
from hypothesis import given, settings

from lycheetide.fleet import (
    ConfigState,
    FailureDomain,
    FleetBuilder,
    check_document,
    fold,
    make_change_record,
    make_snapshot_record,
    restore,
)
from lycheetide.fleet._fold import begin

NAMES = ("cork-a", "cork-b", "cork-c")


def make_change(record_id, base_version, name, state):
    domain = None if state is None else FailureDomain(name, "munster", state)
    return make_change_record(
        record_id,
        author="maeve",
        base_version=base_version,
        changes=[("failure_domains", name, domain)],
    )


def fold_all(records, state=None, start=0):
    state = state or ConfigState()
    verdicts = []
    for offset, record in enumerate(records):
        if offset >= start:
            state, verdict = fold(state, offset, record)
            verdicts.append(verdict)
    return state, verdicts


changes = st.builds(
    make_change,
    st.text("abcdef", min_size=4, max_size=4),
    st.integers(0, 12),
    st.sampled_from(NAMES),
    st.sampled_from(["in", "out", "returning", "sideways", None]),
)
broken = st.sampled_from([None, {}, {"kind": "change"}, {"kind": "change", "id": 3}])


@given(st.lists(changes | broken, max_size=14), st.data())
@settings(derandomize=True, deadline=None, max_examples=200)
def test_every_starting_point_gives_the_same_configuration(records, data):
    """A node starts from a snapshot, another has read the log from its beginning.

    If they took different decisions on one record, one would send work to a domain
    that the other keeps out.
    """
    whole, _ = fold_all(records)
    cut = data.draw(st.integers(0, len(records)))
    part, _ = fold_all(records[:cut])
    restored = restore(make_snapshot_record(part))
    resumed, _ = fold_all(records, restored, start=cut)
    again, _ = fold_all(records, whole)
    assert resumed.fleet == whole.fleet == again.fleet
    assert resumed.version == whole.version == again.version


@given(st.lists(changes, max_size=14))
@settings(derandomize=True, deadline=None, max_examples=200)
def test_versions_only_rise_and_each_is_accepted_once(records):
    """The same records are read again and again, in order.

    A version that fell would be an accepted configuration that reverts.
    """
    state = ConfigState()
    for offset, record in enumerate(records):
        before = state.version
        state, verdict = fold(state, offset, record)
        assert state.version >= before
        assert (state.version > before) == verdict.accepted
        repeated, nothing = fold(state, offset, record)
        assert (repeated, nothing) == (state, None)


def test_of_two_operators_the_first_on_the_log_wins_and_the_other_is_told():
    """Two operators change the same domain, both from version 1.

    If the last one won, the first operator's domain would be back in service without
    anybody having decided so.
    """
    records = [
        make_change("base", 0, "cork-a", "in"),
        make_change("maeve", 1, "cork-a", "out"),
        make_change("sean", 1, "cork-a", "returning"),
    ]
    state, verdicts = fold_all(records)
    assert state.fleet.failure_domains["cork-a"].state == "out"
    assert [verdict.accepted for verdict in verdicts] == [True, True, False]
    assert "changed at version 2" in verdicts[2].findings[0]


def test_operators_who_touch_different_entries_do_not_collide():
    records = [
        make_change("maeve", 0, "cork-a", "out"),
        make_change("sean", 0, "cork-b", "out"),
    ]
    state, verdicts = fold_all(records)
    assert all(verdict.accepted for verdict in verdicts)
    assert set(state.fleet.failure_domains) == {"cork-a", "cork-b"}


def test_a_broken_change_is_refused_with_all_its_findings():
    record = make_change_record(
        "broken",
        author="maeve",
        base_version=0,
        changes=[
            ("failure_domains", "a", FailureDomain("a", "munster", "sideways")),
            ("failure_domains", "b", FailureDomain("b", "munster", "upside down")),
        ],
    )
    state, verdicts = fold_all([record])
    assert state.version == 0
    assert len(verdicts[0].findings) == 2


def test_a_changed_upstream_is_checked_against_its_cell():
    """Only the changed upstream's cell is looked at; a fault there must be found."""
    builder = FleetBuilder()
    builder.add_model("assistant")
    builder.add_model("other")
    builder.add_failure_domain("cork-a", region="munster")
    for name in ("a1", "a2"):
        builder.add_upstream(
            name, kind="engine", serves="assistant", failure_domain="cork-a",
            url="http://10.0.0.1",
        )  # fmt: skip
    fleet = check_document(builder.make_document(), place="test")
    changes = [
        (section, name, entry)
        for section in ("models", "failure_domains", "upstreams")
        for name, entry in getattr(fleet, section).items()
    ]
    first = make_change_record("1", author="x", base_version=0, changes=changes)
    moved = replace(fleet.upstreams["a2"], serves="other")
    second = make_change_record(
        "2", author="x", base_version=1, changes=[("upstreams", "a2", moved)]
    )
    state, verdicts = fold_all([first, second])
    assert [verdict.accepted for verdict in verdicts] == [True, False]
    assert state.version == 1


def test_a_late_snapshot_of_a_thawed_node_is_passed_over():
    """A node is frozen before it appends its snapshot, and thawed days later.

    Meanwhile the log has dropped records that the snapshot has not seen. A node that
    started from it would serve from a domain that was taken out long ago.
    """
    records = [
        make_change("base", 0, "cork-a", "in"),
        make_change("out", 1, "cork-a", "out"),
    ]
    old, _ = fold_all(records[:1])
    new, _ = fold_all(records)
    late = [(5, make_snapshot_record(old))]
    good = [(4, make_snapshot_record(new))]
    assert begin(late, 3, ConfigState()) is None
    started = begin(good + late, 2, ConfigState())
    assert started.fleet.failure_domains["cork-a"].state == "out"


def test_a_node_that_was_away_past_retention_never_goes_below_what_it_knew():
    """Records expire while a node is away, and only an old snapshot is left."""
    records = [
        make_change("base", 0, "cork-a", "in"),
        make_change("out", 1, "cork-a", "out"),
    ]
    known, _ = fold_all(records)
    old, _ = fold_all(records[:1])
    snapshot = make_snapshot_record(old) | {"folded_offset": 9}
    assert begin([(10, snapshot)], 8, known) is None
