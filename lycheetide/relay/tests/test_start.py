"""A node that starts: what it tells and logs doesn't grow with the fleet."""

import logging
import time
from dataclasses import replace

import msgspec
import pytest

from lycheetide.exchange import Batch, Record
from lycheetide.relay._take import (
    SETTLED_S,
    STARTING_S,
    is_starting,
    take,
    tell_changes,
)
from lycheetide.replicas import Change, ReplicaTable
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


def test_what_changes_while_a_fleet_starts_is_told_by_nobody(caplog):
    """195 replicas register within seconds, and each of 195 nodes reads of each.

    None of them knows the others yet, and each told all of it to all.
    """
    relay, told, _ = list_first(caplog, make_listing(3))
    (record,) = make_listing(1, first=7).records
    later = Record(500, record.key, record.value)
    relay.peers.grown_s = time.monotonic()
    take(relay, "registry", Batch((later,), 501), now_s=time.monotonic())
    assert told == []


@pytest.mark.parametrize(
    ("wider", "expected"), [((), "all"), (("zone-1",), "near"), (("zone-0",), "")]
)
def test_only_the_reader_tells_all_of_what_it_read(wider, expected):
    """Knowledge grew old as links were full, and each node that read told all others.

    ``wider`` are the failure domains where another node has a wider link than this
    one, in zone-0: the reader is elsewhere then, or this node's own hub is.
    """
    relay = make_large_relay(10, 3)
    relay.started_s -= 2 * STARTING_S
    now_s = time.monotonic()
    for address, peer in list(relay.peers.peers.items()):
        link_mbps = 100 if peer.failure_domain in wider else 0
        order = relay.order + 1
        relay.peers.peers[address] = replace(peer, link_mbps=link_mbps, order=order)
    told = []
    relay.tell_change = lambda message: told.append("all")
    relay.tell_near = lambda message: told.append("near")
    change = Change("i-0000000000", 99, None)
    tell_changes(relay, [change], now_s=now_s)
    assert told == ([expected] if expected else [])


@pytest.mark.parametrize("is_new", [True, False])
def test_a_reader_tells_of_changes_while_others_start(is_new):
    """A release replaces a node each half second, and the reader tells nothing."""
    relay = make_large_relay(3, 1)
    now_s = time.monotonic()
    relay.peers.grown_s = now_s - (2 * SETTLED_S if is_new else 0.0)
    relay.started_s = now_s - (0.1 if is_new else 2 * STARTING_S)
    assert not is_starting(relay, now_s=now_s)


def test_a_node_that_starts_logs_no_line_for_each_replica(caplog):
    """A fleet of 195 nodes wrote 39,000 lines in its first second."""
    _, _, records = list_first(caplog, make_listing(195))
    assert len(records) <= 2
