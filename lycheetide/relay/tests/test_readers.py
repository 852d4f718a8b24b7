"""One node reads the registry for the fleet, and is replaced when it fails.

It fails by freezing, by being cut off or by ending. The fleets here have no network:
tests deliver the heartbeats between nodes.
"""

import time

import pytest

from lycheetide.relay._roles import (
    HUB_MAX_AGE_S,
    HUB_TIMEOUT_S,
    MAX_AGE_S,
    OPERATOR_READERS,
    is_hub,
    is_registry_reader,
    must_read_registry,
    must_wait_for_operator_records,
)
from lycheetide.relay.tests.test_spreading import DOMAINS, make_fleet, make_heartbeat

DRAIN_S = 2.0
"""How long a leaving replica may still get work after it announced that it leaves."""
POLL_S = 0.25
"""Interval at which a node checks whether it has to read the registry."""


def find_readers(nodes, *, now_s):
    """Return the nodes that read the registry for the fleet."""
    return [node for node in nodes if is_registry_reader(node, now_s=now_s)]


def deliver_hellos(receivers, senders, *, now_s):
    """Deliver the heartbeats of the senders to the receivers."""
    for node in receivers:
        for other in senders:
            if other is not node:
                node.peers.hear(make_heartbeat(other), now_s=now_s)


@pytest.mark.parametrize("size", [2, 9, 22, 60])
def test_one_node_of_the_fleet_reads_the_registry(size):
    """Guards against one reader in each of five failure domains.

    Each read of the registry is paid for.
    """
    now_s = time.monotonic()
    nodes = list(make_fleet(size, now_s=now_s).values())
    assert len(find_readers(nodes, now_s=now_s)) == 1


def test_a_frozen_reader_is_replaced_in_time():
    """The reader freezes, and a replica that leaves meanwhile isn't noticed."""
    now_s = time.monotonic()
    nodes = list(make_fleet(22, now_s=now_s).values())
    (reader,) = find_readers(nodes, now_s=now_s)
    others = [node for node in nodes if node is not reader]
    for node in others:
        node.registry.complete_until_s = now_s
    later_s = now_s + HUB_MAX_AGE_S + 0.01
    deliver_hellos(others, others, now_s=later_s - 0.1)
    reading = [node for node in others if must_read_registry(node, now_s=later_s)]
    assert 0 < len(reading) < len(DOMAINS)
    assert all(is_hub(node, now_s=later_s) for node in reading)
    assert HUB_MAX_AGE_S + POLL_S < MAX_AGE_S + POLL_S < DRAIN_S


def test_a_reader_whose_reads_fail_is_replaced():
    """The store serves only some nodes, and not the reader.

    The reader continues to send hellos. Guards against keeping it as the reader, by
    which the other nodes' knowledge would always be a second old.
    """
    now_s = time.monotonic()
    nodes = list(make_fleet(22, now_s=now_s).values())
    (reader,) = find_readers(nodes, now_s=now_s)
    reader.is_store_reachable, reader.registry.failures = False, 1
    deliver_hellos(nodes, [reader], now_s=now_s)
    (successor,) = find_readers(nodes, now_s=now_s)
    assert successor is not reader


def test_both_sides_of_a_network_partition_have_a_reader():
    """Two failure domains receive nothing from the other two."""
    now_s = time.monotonic()
    nodes = list(make_fleet(22, now_s=now_s).values())
    now_s = now_s + HUB_TIMEOUT_S + 0.1
    for side in (DOMAINS[:2], DOMAINS[2:]):
        connected = [node for node in nodes if node.settings.failure_domain in side]
        deliver_hellos(connected, connected, now_s=now_s)
        assert len(find_readers(connected, now_s=now_s)) == 1


def test_nodes_that_hear_the_reader_one_way_rely_on_it():
    """One failure domain receives packets from the others but can't send to them.

    Its knowledge is as fresh as everyone's, so reads of its own would bring nothing.
    """
    now_s = time.monotonic()
    nodes = list(make_fleet(22, now_s=now_s).values())
    now_s = now_s + HUB_TIMEOUT_S + 0.1
    not_hearing_d = [node for node in nodes if node.settings.failure_domain != "d"]
    deliver_hellos(not_hearing_d, not_hearing_d, now_s=now_s)
    deliver_hellos(
        [node for node in nodes if node not in not_hearing_d], nodes, now_s=now_s
    )
    for node in nodes:
        node.registry.complete_until_s = now_s - 0.6
    (reader,) = find_readers(not_hearing_d, now_s=now_s)
    reading = [node for node in nodes if must_read_registry(node, now_s=now_s)]
    assert reader in reading
    assert len(reading) <= 2


def test_an_isolated_node_reads_the_registry_itself():
    """Guards against an isolated node sending work to replicas that have left."""
    (node, *_) = make_fleet(22).values()
    later_s = time.monotonic() + HUB_TIMEOUT_S + 0.1
    assert must_read_registry(node, now_s=later_s)


@pytest.mark.parametrize("size", [2, 9, 22, 195])
def test_few_nodes_wait_for_operator_records(size):
    """Guards against all 195 nodes waiting at the store.

    Each of them read each configuration there.
    """
    now_s = time.monotonic()
    nodes = list(make_fleet(size, now_s=now_s).values())
    waiting = [
        node for node in nodes if must_wait_for_operator_records(node, now_s=now_s)
    ]
    assert min(size, 3) <= len(waiting) <= len(DOMAINS) + OPERATOR_READERS - 1


def test_several_nodes_wait_in_a_fleet_of_one_failure_domain():
    """Guards against a key staying valid after it was revoked.

    That happened if only one node waited for operator records, and it froze.
    """
    now_s = time.monotonic()
    nodes = list(make_fleet(9, domains=("a",), now_s=now_s).values())
    waiting = [
        node for node in nodes if must_wait_for_operator_records(node, now_s=now_s)
    ]
    assert len(waiting) == 3


def test_an_isolated_node_waits_for_operator_records():
    """Guards against an isolated node never receiving a new configuration."""
    (node, *_) = make_fleet(60).values()
    assert must_wait_for_operator_records(
        node, now_s=time.monotonic() + HUB_TIMEOUT_S + 0.1
    )
