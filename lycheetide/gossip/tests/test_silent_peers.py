"""Memory of replicas that the requests of silent or ended nodes still use."""

from lycheetide.gossip import Heartbeat, Job, JobPart, JobTable, PeerTable


def make_table():
    """Return a table with a prompt of a peer that two replicas hold a part of."""
    table = JobTable()
    parts = (JobPart("r", 0.5, 100), JobPart("s", 0.5, 300, writes=False))
    table.start(Job("j", "peer", parts, 0.0, 9.0, gap_s=0.2), now_s=0.0)
    return table


def list_load(table, *, now_s):
    return [
        (load.kv_tokens, load.writers + load.helping, load.busy_until_s > now_s)
        for load in map(table.workload, ("r", "s"))
    ]


def test_silent_peer_keeps_only_its_memory_until_its_requests_have_ended():
    """A peer is cut off from this node, but not from the replicas.

    Guards against a replica that is sent more than its memory holds, and against slots
    that stay reserved for a node that may have died.
    """
    table = make_table()
    for now_s in (0.1, 0.2):
        table.expire(now_s=now_s, silent={"peer"})
        assert list_load(table, now_s=now_s) == [(100, 0, False), (300, 0, False)]
    table.expire(now_s=8.9)
    assert table.workload("s").kv_tokens == 300
    table.expire(now_s=9.0, silent={"peer"})
    assert list_load(table, now_s=9.0) == [(0, 0, False), (0, 0, False)]


def test_peer_that_returns_frees_its_memory_once():
    """Guards against memory that is uncounted twice, by the silence and by the end."""
    table = make_table()
    table.expire(now_s=0.1, silent={"peer"})
    table.note_read("peer", "j", now_s=0.2)
    assert table.reconcile("peer", frozenset(), now_s=4.0) == 1
    table.end("peer", "j", now_s=4.1)
    assert list_load(table, now_s=4.1) == [(0, 0, False), (0, 0, False)]


def test_removed_replica_is_forgotten_after_the_work_of_a_silent_peer():
    """Guards against state of removed replicas that is kept for ever."""
    table = make_table()
    table.expire(now_s=0.1, silent={"peer"})
    table.drop_absent({"r"}, now_s=70.0)
    assert table.workload("s").kv_tokens == 300
    table.expire(now_s=70.0)
    table.drop_absent({"r"}, now_s=70.0)
    assert set(table.workloads) == {"r"}


def test_only_a_peer_that_was_replaced_has_certainly_ended():
    """Guards against memory kept for a process that has restarted at its address.

    A silent node may run on, also after it is no longer greeted.
    """
    peers = PeerTable("10.0.0.1:7")
    for node, port, at_s in (("silent", 2, 0.0), ("old", 3, 0.0), ("new", 3, 4.5)):
        address = f"10.0.0.{port}:7"
        peers.hear(Heartbeat("", node, address, "", 1, 1, 0.0), now_s=at_s)
    assert peers.list_dead(now_s=5.0) == {"silent", "old"}
    assert peers.list_silent(now_s=5.0) == {"silent"}
    peers.targets(now_s=32.0)
    assert peers.list_silent(now_s=32.0) >= {"silent"}
