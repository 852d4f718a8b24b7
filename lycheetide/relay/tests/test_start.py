"""A node that starts: what it tells and logs doesn't grow with the fleet."""

import logging
import time

import msgspec

from lycheetide.exchange import Batch, Record
from lycheetide.relay._follow import take
from lycheetide.replicas import ReplicaTable
from standins.large import make_large_relay
from standins.replica import Replica


def make_listing(count, *, first=0, state="ready"):
    """Return what the store lists of so many replicas."""
    replicas = (Replica(f"r-{number}") for number in range(first, first + count))
    records = tuple(
        Record(100 + place, replica.name, encode_entry(replica, state))
        for place, replica in enumerate(replicas)
    )
    return Batch(records, 100 + count, is_listing=True)


def encode_entry(replica, state):
    """Return a replica's entry as it stands in the store."""
    entry = replica.entry(service="models", state=state, address="10.0.0.1:1")
    return msgspec.json.encode(entry)


def list_first(caplog, batch):
    """Let a new node take a listing in; return it, what it tells and what it logs."""
    relay = make_large_relay(1, 0)
    relay.table = None
    relay.replicas = ReplicaTable()
    told: list = []
    relay.tell_change = told.append
    with caplog.at_level(logging.INFO, logger="lycheetide.relay"):
        take(relay, "registry", batch, now_s=time.monotonic())
    return relay, told, list(caplog.records)


def test_the_first_listing_is_told_to_nobody(caplog):
    """195 nodes start and each tells all others of 195 replicas, which all list too.

    Twenty datagrams to each of 194 peers from each of them fill every link.
    """
    relay, told, _ = list_first(caplog, make_listing(195))
    assert len(relay.replicas.replicas) == 195
    assert told == []


def test_what_changes_later_is_told(caplog):
    """A replica leaves, and the node that reads of it is the only one that knows."""
    relay, told, _ = list_first(caplog, make_listing(3))
    leaves = make_listing(1, state="draining")
    (record,) = leaves.records
    later = Record(500, record.key, record.value)
    take(relay, "registry", Batch((later,), 501), now_s=time.monotonic())
    (message,) = told
    assert [row[1] for row in message.records] == ["r-0"]


def test_a_node_that_starts_logs_no_line_for_each_replica(caplog):
    """A fleet of 195 nodes wrote 39,000 lines in its first second."""
    _, _, records = list_first(caplog, make_listing(195))
    assert len(records) <= 2
