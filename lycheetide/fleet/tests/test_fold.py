"""Every reader of the log applies the same changes, and none is ever reverted."""

from dataclasses import replace

import hypothesis.strategies as st
from hypothesis import given, settings

from lycheetide.fleet import (
    ConfigState,
    FailureDomain,
    FleetBuilder,
    fold,
    make_change_record,
    make_snapshot_record,
    restore_snapshot,
    validate_document,
)
from lycheetide.fleet._fold import find_start_state

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
def test_configuration_does_not_depend_on_the_starting_point(records, data):
    """One node starts from a snapshot, another reads the log from the beginning.

    If they decided differently on a record, one would send work to a failure domain
    that the other one considers out of service.
    """
    whole, _ = fold_all(records)
    cut = data.draw(st.integers(0, len(records)))
    part, _ = fold_all(records[:cut])
    restored = restore_snapshot(make_snapshot_record(part))
    resumed, _ = fold_all(records, restored, start=cut)
    refolded, _ = fold_all(records, whole)
    assert resumed.fleet == whole.fleet == refolded.fleet
    assert resumed.version == whole.version == refolded.version


@given(st.lists(changes, max_size=14))
@settings(derandomize=True, deadline=None, max_examples=200)
def test_versions_increase_and_each_change_is_accepted_once(records):
    """Records are read several times, in order.

    A decreasing version would mean that an accepted configuration was reverted.
    """
    state = ConfigState()
    for offset, record in enumerate(records):
        before = state.version
        state, verdict = fold(state, offset, record)
        assert state.version >= before
        assert (state.version > before) == verdict.accepted
        repeated, no_verdict = fold(state, offset, record)
        assert (repeated, no_verdict) == (state, None)


def test_first_of_two_conflicting_changes_is_accepted_and_second_refused():
    """Two operators change the same failure domain, both based on version 1.

    If the last change won, the domain that the first operator took out would return to
    service although nobody had decided so.
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


def test_changes_of_different_entries_do_not_conflict():
    records = [
        make_change("maeve", 0, "cork-a", "out"),
        make_change("sean", 0, "cork-b", "out"),
    ]
    state, verdicts = fold_all(records)
    assert all(verdict.accepted for verdict in verdicts)
    assert set(state.fleet.failure_domains) == {"cork-a", "cork-b"}


def test_invalid_change_is_refused_with_all_findings():
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


def test_changed_upstream_is_validated_against_its_cell():
    """Only the cell of a changed upstream is validated; errors there must be found."""
    builder = FleetBuilder()
    builder.add_model("assistant")
    builder.add_model("other")
    builder.add_failure_domain("cork-a", region="munster")
    for name in ("a1", "a2"):
        builder.add_upstream(
            name, kind="engine", serves="assistant", failure_domain="cork-a",
            url="http://10.0.0.1",
        )  # fmt: skip
    fleet = validate_document(builder.make_document(), place="test")
    changes = [
        (section, name, entry)
        for section in ("models", "failure_domains", "upstreams")
        for name, entry in getattr(fleet, section).items()
    ]
    first = make_change_record("1", author="x", base_version=0, changes=changes)
    changed = replace(fleet.upstreams["a2"], serves="other")
    second = make_change_record(
        "2", author="x", base_version=1, changes=[("upstreams", "a2", changed)]
    )
    state, verdicts = fold_all([first, second])
    assert [verdict.accepted for verdict in verdicts] == [True, False]
    assert state.version == 1


def test_outdated_snapshot_of_a_resumed_node_is_ignored():
    """A node is suspended before it appends its snapshot and resumed days later.

    Meanwhile the log has dropped records that the snapshot does not include. A node
    that started from it would use a failure domain that was taken out long ago.
    """
    records = [
        make_change("base", 0, "cork-a", "in"),
        make_change("out", 1, "cork-a", "out"),
    ]
    old, _ = fold_all(records[:1])
    new, _ = fold_all(records)
    late = [(5, make_snapshot_record(old))]
    current = [(4, make_snapshot_record(new))]
    assert find_start_state(late, 3, ConfigState()) is None
    started = find_start_state(current + late, 2, ConfigState())
    assert started.fleet.failure_domains["cork-a"].state == "out"


def test_node_absent_beyond_retention_never_reverts_its_configuration():
    """Records expire while a node is down, and only an old snapshot remains."""
    records = [
        make_change("base", 0, "cork-a", "in"),
        make_change("out", 1, "cork-a", "out"),
    ]
    known_state, _ = fold_all(records)
    old, _ = fold_all(records[:1])
    snapshot = make_snapshot_record(old) | {"folded_offset": 9}
    assert find_start_state([(10, snapshot)], 8, known_state) is None
