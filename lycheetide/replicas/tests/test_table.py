"""Registry records that arrive late, twice, or not at all."""

import pytest

from lycheetide.replicas import RegistryChange, RegistryEntry, ReplicaTable


def make_entry(name="a", **fields):
    return RegistryEntry(
        id=name,
        service="models",
        address="10.0.0.1:80",
        failure_domain="z",
        slots=8,
        **({"born_ms": 1_000, "sequence": 1} | fields),
    )


def put(table, offset, entry, now_s=0.0, **more):
    return table.apply([RegistryChange(entry.id, offset, entry)], now_s=now_s, **more)


def remove(table, offset, name="a", now_s=0.0, **more):
    return table.apply([RegistryChange(name, offset, None)], now_s=now_s, **more)


def names(table, now_s=0.0, closed=frozenset()):
    return {
        replica.entry.id
        for replica in table.usable("models", now_s=now_s, closed=closed)
    }


def test_an_old_record_that_arrives_late_changes_nothing():
    """A replica drains, and an earlier record of it is written after that.

    If that record were applied, new requests would go to a replica that is about to
    stop.
    """
    table = ReplicaTable()
    put(table, 0, make_entry(sequence=5))
    put(table, 1, make_entry(sequence=6, is_draining=True))
    put(table, 2, make_entry(sequence=4))
    assert names(table) == set()


def test_a_removed_replica_does_not_come_back_by_an_old_record():
    table = ReplicaTable()
    put(table, 0, make_entry(sequence=5))
    remove(table, 1)
    put(table, 2, make_entry(sequence=3))
    assert names(table, now_s=1.0) == set()


def test_a_replica_that_starts_again_under_its_id_is_new_and_cold():
    """Its sequence starts again, so only the start time distinguishes its records."""
    table = ReplicaTable()
    put(table, 0, make_entry(sequence=90))
    put(table, 1, make_entry(born_ms=2_000, sequence=0, cold_s=3.0), now_s=5.0)
    assert names(table, now_s=5.0) == {"a"}
    assert table.replicas["a"].is_cold(now_s=6.0)
    assert not table.replicas["a"].is_cold(now_s=8.5)


def test_removals_just_after_an_outage_wait_for_what_comes_back():
    table = ReplicaTable()
    put(table, 0, make_entry())
    remove(table, 1, now_s=10.0, outage_ended_s=9.5)
    assert names(table, now_s=11.0) == {"a"}
    assert names(table, now_s=11.6) == set()
    put(table, 2, make_entry(sequence=2), now_s=11.7)
    assert names(table, now_s=12.0) == {"a"}


def test_a_listing_older_than_what_is_known_removes_nothing():
    """A listing is seconds old, as during a compaction of the store."""
    table = ReplicaTable()
    table.end = 10
    put(table, 9, make_entry())
    table.apply_listing([], 8, now_s=1.0)
    assert names(table, now_s=1.0) == {"a"}
    table.apply_listing([], 11, now_s=2.0)
    assert names(table, now_s=2.0) == set()


@pytest.mark.parametrize("closed", [frozenset(), frozenset({"z"})])
def test_replicas_of_a_domain_taken_out_are_not_usable(closed):
    table = ReplicaTable()
    put(table, 0, make_entry())
    assert names(table, closed=closed) == (set() if closed else {"a"})


def test_what_is_long_gone_is_forgotten():
    table = ReplicaTable()
    put(table, 0, make_entry())
    remove(table, 1, now_s=1.0)
    put(table, 2, make_entry("b"), now_s=100.0)
    assert set(table.replicas) == {"b"}


def test_tables_that_know_the_same_have_the_same_digest():
    """Nodes compare digests to detect that a message was lost."""
    one, other = ReplicaTable(), ReplicaTable()
    put(one, 0, make_entry())
    put(one, 3, make_entry("b"))
    put(other, 3, make_entry("b"))
    assert one.digest() != other.digest()
    put(other, 0, make_entry())
    assert one.digest() == other.digest()
    put(one, 5, make_entry(sequence=2))
    assert one.digest() == other.digest()
    put(one, 6, make_entry(sequence=3, is_draining=True))
    assert one.digest() != other.digest()
    remove(one, 7, "b")
    remove(other, 7, "b")
    put(other, 6, make_entry(sequence=3, is_draining=True))
    assert one.digest() == other.digest()


def test_a_replica_that_turns_cold_again_is_a_change_to_tell():
    table = ReplicaTable()
    put(table, 0, make_entry())
    assert put(table, 1, make_entry(sequence=2)) == []
    assert put(table, 2, make_entry(sequence=3, cold_s=3.0), now_s=1.0)
    assert put(table, 3, make_entry(sequence=4, cold_s=2.0), now_s=2.0) == []
