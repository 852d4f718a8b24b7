"""A node's view of the cluster when messages are lost and nodes or replicas die."""

import dataclasses

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lycheetide.gossip import (
    Ended,
    FailureDetector,
    Heartbeat,
    Job,
    JobPart,
    JobTable,
    PeerTable,
    Started,
    Suspected,
    decode_message,
    encode_message,
)


def make_job_table(*jobs):
    job_table = JobTable()
    for job in jobs:
        job_table.start(job, now_s=job.started_s)
    return job_table


def make_job(name="j", node="n", *, read_s=0.02, expires_s=10.0, writes=True):
    return Job(name, node, (JobPart("r", read_s, 100, writes),), 0.0, expires_s)


def test_reading_queues_up_and_is_worked_off():
    job_table = make_job_table(make_job("a", read_s=0.3), make_job("b", read_s=0.2))
    assert job_table.backlog_s("r", now_s=0.0) == pytest.approx(0.5)
    assert job_table.backlog_s("r", now_s=0.4) == pytest.approx(0.1)
    assert job_table.backlog_s("r", now_s=9.0) == 0.0


def test_a_message_that_comes_twice_counts_once():
    job_table = make_job_table(make_job(), make_job())
    assert job_table.workload("r").writers == 1
    job_table.end("n", "j", now_s=1.0)
    job_table.end("n", "j", now_s=1.0)
    assert job_table.workload("r").writers == 0
    assert job_table.workload("r").kv_tokens == 0


def test_a_start_that_arrives_after_its_end_counts_nothing():
    """Two hubs forward messages for a moment, one of them late.

    If the late start were counted, the replica would look busy until the request's
    deadline.
    """
    job_table = make_job_table(make_job())
    job_table.end("n", "j", now_s=0.1)
    job_table.start(make_job(), now_s=0.2)
    assert job_table.workload("r").writers == 0
    job_table.end("n", "early", now_s=0.3)
    job_table.start(make_job("early"), now_s=0.4)
    assert job_table.jobs == {}
    job_table.expire(now_s=9.0)
    job_table.start(make_job("later", expires_s=20.0), now_s=9.0)
    assert set(job_table.jobs) == {("n", "later")}


def test_work_whose_end_was_never_told_is_forgotten():
    """The ``Ended`` datagram of a job is lost, or the node of the job has died.

    If such jobs never expired, their replica would look busy for ever and get no work.
    """
    job_table = make_job_table(make_job("a", expires_s=5.0), make_job("b", "dead"))
    job_table.expire(now_s=1.0, dead={"dead"})
    assert set(job_table.jobs) == {("n", "a")}
    job_table.expire(now_s=5.0, dead={"dead"})
    assert job_table.workload("r").writers == 0


def test_work_of_a_node_that_is_not_known_yet_counts():
    """A large fleet has started, and a node knows of some others only through a hub.

    Their first heartbeats were lost. The node took them for dead and dropped each of
    their jobs within half a second, so replicas with seven prompts seemed to have two.
    """
    peers = PeerTable("10.0.0.1:7")
    peers.hear(make_greeting("silent", "10.0.0.2:7"), now_s=0.0)
    peers.hear(make_greeting("restarted", "10.0.0.3:7"), now_s=4.0)
    peers.hear(make_greeting("anew", "10.0.0.3:7"), now_s=4.5)
    job_table = make_job_table(
        *(make_job("a", node) for node in ("stranger", "silent", "restarted", "anew"))
    )
    job_table.expire(now_s=5.0, dead=peers.list_dead(now_s=5.0))
    assert {node for node, _ in job_table.jobs} == {"stranger", "anew"}
    assert peers.list_dead(now_s=60.0) == {"silent", "anew"}


def make_greeting(node, address):
    return Heartbeat("", node, address, "a", 1, 1, 0.0)


def test_what_was_not_read_of_a_request_that_ended_is_no_backlog():
    """A failure domain is lost, and prompts are tried at one replica after another.

    Each attempt announced parts at living replicas. While these parts still counted
    after the attempt, an idle fleet looked busy for seconds, and short prompts were
    refused for lack of capacity.
    """
    job_table = make_job_table(make_job("short", read_s=0.02))
    for number in range(5):
        job_table.start(make_job(f"tried{number}", read_s=0.8, writes=False), now_s=0.0)
        job_table.end("n", f"tried{number}", now_s=0.0)
    assert job_table.backlog_s("r", now_s=0.0) == pytest.approx(0.02)
    assert job_table.workload("r").writers == 1


def test_what_was_read_of_a_request_that_ended_stays_read():
    job_table = make_job_table(make_job("a", read_s=0.3), make_job("b", read_s=0.2))
    job_table.end("n", "a", now_s=0.1)
    assert job_table.backlog_s("r", now_s=0.1) == pytest.approx(0.2)
    job_table.note_read("n", "b", now_s=0.2)
    assert job_table.backlog_s("r", now_s=0.2) == 0.0


def test_a_helper_part_is_read_before_waiting_prompts():
    """A replica reads the newest helper part first.

    A prompt that waits there is delayed by it, and has less slack to its target.
    """
    job_table = make_job_table(make_job("own", read_s=0.5))
    part = make_job("part", read_s=0.3, writes=False)
    job_table.start(part, now_s=0.1)
    own, part = job_table.unread("r", now_s=0.1)
    assert own.read_by_s == pytest.approx(0.8)
    assert part.read_by_s == pytest.approx(0.4)
    assert [one.read_by_s for one in job_table.unread("r", now_s=0.5)] == pytest.approx(
        [0.8]
    )


def test_writers_are_weighted_by_their_gap_limits():
    job = make_job("a")
    job_table = make_job_table(
        dataclasses.replace(job, gap_s=0.2, weight=1.5),
        dataclasses.replace(job, id="b", gap_s=0.8, weight=15.0),
        dataclasses.replace(job, id="c", gap_s=0.2, weight=1.5),
    )
    assert job_table.workload("r").weights == {0.2: 3.0, 0.8: 15.0}
    job_table.end("n", "a", now_s=1.0)
    assert job_table.workload("r").weights == {0.2: 1.5, 0.8: 15.0}


def test_a_suspect_is_left_alone_for_longer_each_time_and_forgiven_when_heard():
    failure_detector = FailureDetector()
    failure_detector.suspect("r", now_s=0.0)
    assert failure_detector.is_suspect("r", now_s=2.0)
    assert not failure_detector.is_suspect("r", now_s=3.5)
    failure_detector.suspect("r", now_s=4.0)
    assert failure_detector.is_suspect("r", now_s=9.0)
    assert failure_detector.is_recovering("r", now_s=12.0)
    failure_detector.hear("r", now_s=13.0)
    assert not failure_detector.is_recovering("r", now_s=13.0)


def test_streams_that_time_out_together_count_once():
    """Four streams time out together, and their replica was avoided for 12 s.

    It was busy reading a long prompt and went on after a second; nothing else was
    wrong. Timeouts within one period of suspicion must not lengthen it.
    """
    failure_detector = FailureDetector()
    are_new = [failure_detector.suspect("r", now_s=0.1 * place) for place in range(4)]
    assert are_new == [True, False, False, False]
    assert failure_detector.is_suspect("r", now_s=2.9)
    assert not failure_detector.is_suspect("r", now_s=3.1)
    assert failure_detector.suspect("r", now_s=3.2)
    assert failure_detector.is_suspect("r", now_s=9.0)
    assert not failure_detector.is_suspect("r", now_s=9.3)


def test_a_report_older_than_the_last_failure_does_not_end_a_suspicion():
    """A replica times out and dies a moment later.

    A peer's report of an answer between the two must not end the suspicion.
    """
    failure_detector = FailureDetector()
    failure_detector.suspect("r", now_s=0.0)
    failure_detector.suspect("r", now_s=2.2)
    failure_detector.note_peer_report("r", now_s=2.9)
    assert failure_detector.is_suspect("r", now_s=2.95)


def test_a_replica_that_broke_off_is_the_second_choice_until_it_answers():
    """Nine replicas die together, and streams moved from one dead replica to the next.

    So a replica that broke off an answer ranks after the others. One that only lost a
    connection answers another request and is then as good as before.
    """
    failure_detector = FailureDetector()
    failure_detector.hear("r", now_s=0.9)
    assert failure_detector.doubt("r", now_s=1.0)
    assert not failure_detector.doubt("r", now_s=1.1)
    assert failure_detector.is_recovering("r", now_s=1.2)
    assert not failure_detector.is_suspect("r", now_s=1.2)
    assert not failure_detector.is_recovering("r", now_s=1.7)
    failure_detector.doubt("r", now_s=2.0)
    failure_detector.note_peer_report("r", now_s=2.05)
    assert failure_detector.is_recovering("r", now_s=2.1)
    failure_detector.hear("r", now_s=2.2)
    assert not failure_detector.is_recovering("r", now_s=2.21)


def test_a_peers_older_report_does_not_end_a_suspicion():
    """A replica refuses connections, and a peer heard from it a second ago at most.

    Each heartbeat of that peer ended the suspicion, so every request tried the dead
    replica: 29 times in two seconds, and prompts ran out of attempts.
    """
    failure_detector = FailureDetector()
    failure_detector.note_peer_report("r", now_s=0.9)
    failure_detector.suspect("r", now_s=1.0)
    failure_detector.note_peer_report("r", now_s=1.1)
    assert failure_detector.is_suspect("r", now_s=1.2)
    failure_detector.note_peer_report("r", now_s=2.5)
    assert not failure_detector.is_suspect("r", now_s=2.5)


def test_nodes_report_only_what_they_heard_themselves():
    """A replica is dead, and each node reports to the others that it answered recently.

    When nodes also reported what others had reported to them, the report never became
    old, and streams at the dead replica were waited for as if it were only busy.
    """
    nodes = [FailureDetector(), FailureDetector()]
    nodes[0].hear("r", now_s=0.0)
    for step in range(1, 20):
        for sender, listener in (nodes, nodes[::-1]):
            now_s = 0.3 * step
            for replica in sender.list_answered(since_s=now_s - 1.0):
                listener.note_peer_report(replica, now_s=now_s)
    assert max(node.last_heard_s("r") for node in nodes) < 1.0


def test_only_starts_of_the_last_second_count():
    job_table = make_job_table(make_job("a"), make_job("b"))
    assert job_table.starts_within("r", 1.0, now_s=0.5) == 2
    assert job_table.starts_within("r", 1.0, now_s=1.5) == 0
    assert job_table.starts_within("unknown", 1.0, now_s=0.5) == 0


def test_replicas_that_are_gone_are_forgotten_after_a_while():
    """Replicas come and go for months, and each left some state behind in all nodes."""
    job_table = make_job_table(Job("j", "n", (JobPart("busy", 0.1),), 0.0, 500.0))
    for name in ("gone", "here", "late"):
        job_table.start(Job(name, "n", (JobPart(name, 0.1),), 0.0, 5.0), now_s=0.0)
        job_table.end("n", name, now_s=1.0)
    job_table.start(Job("j2", "n", (JobPart("late", 0.1),), 90.0, 91.0), now_s=90.0)
    job_table.end("n", "j2", now_s=91.0)
    job_table.drop_absent({"here"}, now_s=30.0)
    assert "gone" in job_table.workloads
    job_table.drop_absent({"here"}, now_s=100.0)
    assert set(job_table.workloads) == {"here", "late", "busy"}


def test_evidence_of_replicas_that_are_gone_is_forgotten_after_a_while():
    failure_detector = FailureDetector()
    for name in ("gone", "here", "late"):
        failure_detector.suspect(name, now_s=1.0)
    failure_detector.note_peer_report("late", now_s=1.1)
    failure_detector.hear("late", now_s=90.0)
    failure_detector.drop_absent({"here"}, now_s=30.0)
    assert failure_detector.is_recovering("gone", now_s=2.0)
    failure_detector.drop_absent({"here"}, now_s=100.0)
    assert not failure_detector.is_recovering("gone", now_s=2.0)
    assert failure_detector.is_recovering("here", now_s=2.0)
    assert failure_detector.last_heard_s("late") == 90.0


def test_helping_to_read_a_prompt_is_no_request():
    """A huge prompt is read at seventeen replicas, and one of them gets the request.

    While it counted as a request at all of them, a few huge prompts a second used up
    the start limits of warm replicas, and short prompts were refused.
    """
    parts = tuple(
        JobPart(name, 0.1, writes=name == "first") for name in ("first", "help")
    )
    job_table = make_job_table(Job("j", "n", parts, 0.0, 5.0))
    assert job_table.starts_within("first", 1.0, now_s=0.5) == 1
    assert job_table.starts_within("help", 1.0, now_s=0.5) == 0


def make_heartbeat(node="n.1", address="10.0.0.2:7", **fields):
    return Heartbeat("10.200.1.7:8223", node, address, "z", 5, 6, 0.1, **fields)


def test_peers_that_fall_silent_are_left_out_and_later_forgotten():
    peers = PeerTable("10.0.0.1:7")
    peers.add_address("10.0.0.1:7", now_s=0.0)
    peers.add_address("10.0.0.2:7", now_s=0.0)
    assert peers.alive(now_s=0.1) == []
    assert peers.hear(make_heartbeat(), now_s=1.0)
    assert not peers.hear(make_heartbeat(), now_s=1.5)
    assert peers.hear(make_heartbeat("n.2"), now_s=2.0)
    assert len(peers.alive(now_s=4.0)) == 1
    assert peers.alive(now_s=6.0) == []
    assert peers.targets(now_s=6.0) == ["10.0.0.2:7"]
    assert peers.targets(now_s=40.0) == []


@pytest.mark.parametrize(
    "message",
    [
        Started("n", "j", (JobPart("r", 0.1, 5, False),), 2_000),
        Ended("n", "j"),
        Suspected("n", "r"),
        make_heartbeat(heard=("a", "b"), peers=("10.0.0.3:7",)),
    ],
)
def test_messages_come_back_as_they_were(message):
    assert decode_message(encode_message(message)) == message


def test_the_largest_messages_fit_one_datagram():
    """A fragmented datagram is lost more often: losing any fragment loses all of it."""
    parts = tuple(
        JobPart(f"i-{number:010x}", 0.123456, 100_000) for number in range(17)
    )
    node = "front-plouis-a-12.201a8352.f82"
    assert len(encode_message(Started(node, "ffff", parts, 15_000))) < 1_400
    heard = tuple(f"i-{number:010x}" for number in range(24))
    peers = tuple(f"10.64.12.{number}:17480" for number in range(40))
    heartbeat = make_heartbeat(node, heard=heard, peers=peers)
    assert len(encode_message(heartbeat)) < 1_400


@settings(max_examples=200, derandomize=True)
@given(st.binary(max_size=200))
def test_bytes_that_are_no_message_are_refused(data):
    """Anybody can send a datagram, so none may raise an unexpected error in a node."""
    try:
        decode_message(data)
    except msgspec.MsgspecError:
        return
