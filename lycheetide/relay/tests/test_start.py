"""What a starting node broadcasts and logs doesn't grow with the fleet."""

import logging
import time
from dataclasses import replace

import msgspec
import pytest

from lycheetide.exchange import Record, RecordBatch
from lycheetide.relay._apply_records import (
    PEERS_SETTLED_S,
    STARTUP_S,
    apply_batch,
    broadcast_changes,
    is_starting,
)
from lycheetide.replicas import RegistryChange, ReplicaTable
from standins.large import make_large_relay
from standins.replica import Replica


def make_listing(count, *, first=0, state="ready"):
    """Return the store's listing of a number of replicas."""
    replicas = (Replica(f"r-{number}") for number in range(first, first + count))
    records = tuple(
        Record(100 + place, replica.name, encode_entry(replica, state))
        for place, replica in enumerate(replicas)
    )
    return RecordBatch(records, 100 + count, is_listing=True)


def encode_entry(replica, state):
    """Return a replica's entry as it is stored."""
    entry = replica.entry(service="models", state=state, address="10.0.0.1:1")
    return msgspec.json.encode(entry)


def apply_first_listing(caplog, batch):
    """Apply a first listing at a new node; return it, its messages and its logs."""
    relay = make_large_relay(1, 0)
    relay.route_table = None
    relay.replicas = ReplicaTable()
    messages: list = []
    relay.broadcast_change = messages.append
    with caplog.at_level(logging.INFO, logger="lycheetide.relay"):
        apply_batch(relay, "registry", batch, now_s=time.monotonic())
    return relay, messages, list(caplog.records)


def test_the_first_listing_is_not_broadcast(caplog):
    """Guards against nodes that broadcast the first listing.

    195 nodes start, and each sent 195 replicas to all others, which list them as well.
    Twenty datagrams from each node to each of 194 peers saturated every link.
    """
    relay, messages, _ = apply_first_listing(caplog, make_listing(195))
    assert len(relay.replicas.replicas) == 195
    assert messages == []


def test_later_changes_are_broadcast(caplog):
    """A replica leaves, and only the node that read of it knows."""
    relay, messages, _ = apply_first_listing(caplog, make_listing(3))
    leaves = make_listing(1, state="draining")
    (record,) = leaves.records
    later = Record(500, record.key, record.value)
    apply_batch(relay, "registry", RecordBatch((later,), 501), now_s=time.monotonic())
    (message,) = messages
    assert [row[1] for row in message.records] == ["r-0"]


def test_changes_while_a_fleet_starts_are_not_broadcast(caplog):
    """195 replicas register within seconds, and each of 195 nodes reads all of them.

    No node knew the others yet, and each sent all of it to all.
    """
    relay, messages, _ = apply_first_listing(caplog, make_listing(3))
    (record,) = make_listing(1, first=7).records
    later = Record(500, record.key, record.value)
    relay.peers.last_new_peer_s = time.monotonic()
    apply_batch(relay, "registry", RecordBatch((later,), 501), now_s=time.monotonic())
    assert messages == []


@pytest.mark.parametrize(
    ("wider", "expected"), [((), "all"), (("zone-1",), "near"), (("zone-0",), "")]
)
def test_only_the_reader_broadcasts_to_all_nodes(wider, expected):
    """Guards against every node that reads broadcasting to all.

    State became stale as links were saturated, and each node that read the registry
    sent the changes to all others. ``wider`` lists the failure domains in which another
    node has more bandwidth than this one, which is in zone-0: then the reader is
    elsewhere, or the node's own hub is another node.
    """
    relay = make_large_relay(10, 3)
    relay.started_s -= 2 * STARTUP_S
    now_s = time.monotonic()
    for address, peer in list(relay.peers.peers.items()):
        link_mbps = 100 if peer.failure_domain in wider else 0
        order = relay.order + 1
        relay.peers.peers[address] = replace(peer, link_mbps=link_mbps, order=order)
    messages = []
    relay.broadcast_change = lambda message: messages.append("all")
    relay.broadcast_to_domain = lambda message: messages.append("near")
    change = RegistryChange("i-0000000000", 99, None)
    broadcast_changes(relay, [change], now_s=now_s)
    assert messages == ([expected] if expected else [])


@pytest.mark.parametrize("is_new", [True, False])
def test_a_reader_broadcasts_changes_while_others_start(is_new):
    """A release replaces a node every half second, and the reader sent no changes."""
    relay = make_large_relay(3, 1)
    now_s = time.monotonic()
    relay.peers.last_new_peer_s = now_s - (2 * PEERS_SETTLED_S if is_new else 0.0)
    relay.started_s = now_s - (0.1 if is_new else 2 * STARTUP_S)
    assert not is_starting(relay, now_s=now_s)


def test_a_node_that_starts_logs_no_line_for_each_replica(caplog):
    """A fleet of 195 nodes wrote 39,000 lines in its first second."""
    _, _, records = apply_first_listing(caplog, make_listing(195))
    assert len(records) <= 2
