"""A node's view of the cluster when messages are lost and nodes or replicas die."""

import dataclasses

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lycheetide.gossip import (
    Board,
    Ended,
    Hello,
    Job,
    Part,
    Peers,
    Started,
    Suspected,
    Trust,
    decode_message,
    encode_message,
)


def make_board(*jobs):
    board = Board()
    for job in jobs:
        board.start(job, now_s=job.started_s)
    return board


def make_job(name="j", node="n", *, read_s=0.02, expires_s=10.0, writes=True):
    return Job(name, node, (Part("r", read_s, 100, writes),), 0.0, expires_s)


def test_reading_queues_up_and_is_worked_off():
    board = make_board(make_job("a", read_s=0.3), make_job("b", read_s=0.2))
    assert board.backlog_s("r", now_s=0.0) == pytest.approx(0.5)
    assert board.backlog_s("r", now_s=0.4) == pytest.approx(0.1)
    assert board.backlog_s("r", now_s=9.0) == 0.0


def test_a_message_that_comes_twice_counts_once():
    board = make_board(make_job(), make_job())
    assert board.column("r").writers == 1
    board.end("n", "j", now_s=1.0)
    board.end("n", "j", now_s=1.0)
    assert board.column("r").writers == 0
    assert board.column("r").kv_tokens == 0


def test_a_start_that_arrives_after_its_end_counts_nothing():
    """Two hubs forward messages for a moment, one of them late.

    If the late start were counted, the replica would look busy until the request's
    deadline.
    """
    board = make_board(make_job())
    board.end("n", "j", now_s=0.1)
    board.start(make_job(), now_s=0.2)
    assert board.column("r").writers == 0
    board.end("n", "early", now_s=0.3)
    board.start(make_job("early"), now_s=0.4)
    assert board.jobs == {}
    board.expire(now_s=9.0)
    board.start(make_job("later", expires_s=20.0), now_s=9.0)
    assert set(board.jobs) == {("n", "later")}


def test_work_whose_end_was_never_told_is_forgotten():
    """The ``Ended`` datagram of a job is lost, or the node of the job has died.

    If such jobs never expired, their replica would look busy for ever and get no work.
    """
    board = make_board(make_job("a", expires_s=5.0), make_job("b", "dead"))
    board.expire(now_s=1.0, dead={"dead"})
    assert set(board.jobs) == {("n", "a")}
    board.expire(now_s=5.0, dead={"dead"})
    assert board.column("r").writers == 0


def test_work_of_a_node_that_is_not_known_yet_counts():
    """A large fleet has started, and a node knows of some others only through a hub.

    Their first greetings were lost. The node took them for dead and dropped each of
    their jobs within half a second, so replicas with seven prompts seemed to have two.
    """
    peers = Peers("10.0.0.1:7")
    peers.hear(make_greeting("silent", "10.0.0.2:7"), now_s=0.0)
    peers.hear(make_greeting("restarted", "10.0.0.3:7"), now_s=4.0)
    peers.hear(make_greeting("anew", "10.0.0.3:7"), now_s=4.5)
    board = make_board(
        *(make_job("a", node) for node in ("stranger", "silent", "restarted", "anew"))
    )
    board.expire(now_s=5.0, dead=peers.list_dead(now_s=5.0))
    assert {node for node, _ in board.jobs} == {"stranger", "anew"}
    assert peers.list_dead(now_s=60.0) == {"silent", "anew"}


def make_greeting(node, address):
    return Hello("", node, address, "a", 1, 1, 0.0)


def test_what_was_not_read_of_a_request_that_ended_is_no_backlog():
    """A failure domain is lost, and prompts are tried at one replica after another.

    Each attempt announced parts at living replicas. While these parts still counted
    after the attempt, an idle fleet looked busy for seconds, and short prompts were
    refused for lack of capacity.
    """
    board = make_board(make_job("short", read_s=0.02))
    for number in range(5):
        board.start(make_job(f"tried{number}", read_s=0.8, writes=False), now_s=0.0)
        board.end("n", f"tried{number}", now_s=0.0)
    assert board.backlog_s("r", now_s=0.0) == pytest.approx(0.02)
    assert board.column("r").writers == 1


def test_what_was_read_of_a_request_that_ended_stays_read():
    board = make_board(make_job("a", read_s=0.3), make_job("b", read_s=0.2))
    board.end("n", "a", now_s=0.1)
    assert board.backlog_s("r", now_s=0.1) == pytest.approx(0.2)
    board.note_read("n", "b", now_s=0.2)
    assert board.backlog_s("r", now_s=0.2) == 0.0


def test_a_helper_part_is_read_before_waiting_prompts():
    """A replica reads the newest helper part first.

    A prompt that waits there is delayed by it, and has less slack to its target.
    """
    board = make_board(make_job("own", read_s=0.5))
    part = make_job("part", read_s=0.3, writes=False)
    board.start(part, now_s=0.1)
    own, part = board.unread("r", now_s=0.1)
    assert own.by_s == pytest.approx(0.8)
    assert part.by_s == pytest.approx(0.4)
    assert [one.by_s for one in board.unread("r", now_s=0.5)] == pytest.approx([0.8])


def test_writers_are_weighted_by_their_gap_limits():
    job = make_job("a")
    board = make_board(
        dataclasses.replace(job, gap_s=0.2, weight=1.5),
        dataclasses.replace(job, id="b", gap_s=0.8, weight=15.0),
        dataclasses.replace(job, id="c", gap_s=0.2, weight=1.5),
    )
    assert board.column("r").weights == {0.2: 3.0, 0.8: 15.0}
    board.end("n", "a", now_s=1.0)
    assert board.column("r").weights == {0.2: 1.5, 0.8: 15.0}


def test_a_suspect_is_left_alone_for_longer_each_time_and_forgiven_when_heard():
    trust = Trust()
    trust.suspect("r", now_s=0.0)
    assert trust.is_suspect("r", now_s=2.0)
    assert not trust.is_suspect("r", now_s=3.5)
    trust.suspect("r", now_s=4.0)
    assert trust.is_suspect("r", now_s=9.0)
    assert trust.is_recovering("r", now_s=12.0)
    trust.hear("r", now_s=13.0)
    assert not trust.is_recovering("r", now_s=13.0)


def test_streams_that_time_out_together_count_once():
    """Four streams time out together, and their replica was avoided for 12 s.

    It was busy reading a long prompt and went on after a second; nothing else was
    wrong. Timeouts within one period of suspicion must not lengthen it.
    """
    trust = Trust()
    are_new = [trust.suspect("r", now_s=0.1 * place) for place in range(4)]
    assert are_new == [True, False, False, False]
    assert trust.is_suspect("r", now_s=2.9)
    assert not trust.is_suspect("r", now_s=3.1)
    assert trust.suspect("r", now_s=3.2)
    assert trust.is_suspect("r", now_s=9.0)
    assert not trust.is_suspect("r", now_s=9.3)


def test_a_report_older_than_the_last_failure_does_not_end_a_suspicion():
    """A replica times out and dies a moment later.

    A peer's report of an answer between the two must not end the suspicion.
    """
    trust = Trust()
    trust.suspect("r", now_s=0.0)
    trust.suspect("r", now_s=2.2)
    trust.hear_of("r", now_s=2.9)
    assert trust.is_suspect("r", now_s=2.95)


def test_a_replica_that_broke_off_is_the_second_choice_until_it_answers():
    """Nine replicas die together, and streams moved from one dead replica to the next.

    So a replica that broke off an answer ranks after the others. One that only lost a
    connection answers another request and is then as good as before.
    """
    trust = Trust()
    trust.hear("r", now_s=0.9)
    assert trust.doubt("r", now_s=1.0)
    assert not trust.doubt("r", now_s=1.1)
    assert trust.is_recovering("r", now_s=1.2)
    assert not trust.is_suspect("r", now_s=1.2)
    assert not trust.is_recovering("r", now_s=1.7)
    trust.doubt("r", now_s=2.0)
    trust.hear_of("r", now_s=2.05)
    assert trust.is_recovering("r", now_s=2.1)
    trust.hear("r", now_s=2.2)
    assert not trust.is_recovering("r", now_s=2.21)


def test_a_peers_older_report_does_not_end_a_suspicion():
    """A replica refuses connections, and a peer heard from it a second ago at most.

    Each greeting of that peer ended the suspicion, so every request tried the dead
    replica: 29 times in two seconds, and prompts ran out of attempts.
    """
    trust = Trust()
    trust.hear_of("r", now_s=0.9)
    trust.suspect("r", now_s=1.0)
    trust.hear_of("r", now_s=1.1)
    assert trust.is_suspect("r", now_s=1.2)
    trust.hear_of("r", now_s=2.5)
    assert not trust.is_suspect("r", now_s=2.5)


def test_nodes_report_only_what_they_heard_themselves():
    """A replica is dead, and each node reports to the others that it answered recently.

    When nodes also reported what others had reported to them, the report never became
    old, and streams at the dead replica were waited for as if it were only busy.
    """
    nodes = [Trust(), Trust()]
    nodes[0].hear("r", now_s=0.0)
    for step in range(1, 20):
        for sender, listener in (nodes, nodes[::-1]):
            now_s = 0.3 * step
            for replica in sender.list_answered(since_s=now_s - 1.0):
                listener.hear_of(replica, now_s=now_s)
    assert max(node.heard_s("r") for node in nodes) < 1.0


def test_only_starts_of_the_last_second_count():
    board = make_board(make_job("a"), make_job("b"))
    assert board.starts_within("r", 1.0, now_s=0.5) == 2
    assert board.starts_within("r", 1.0, now_s=1.5) == 0
    assert board.starts_within("unknown", 1.0, now_s=0.5) == 0


def test_replicas_that_are_gone_are_forgotten_after_a_while():
    """Replicas come and go for months, and each left some state behind in all nodes."""
    board = make_board(Job("j", "n", (Part("busy", 0.1),), 0.0, 500.0))
    for name in ("gone", "here", "late"):
        board.start(Job(name, "n", (Part(name, 0.1),), 0.0, 5.0), now_s=0.0)
        board.end("n", name, now_s=1.0)
    board.start(Job("j2", "n", (Part("late", 0.1),), 90.0, 91.0), now_s=90.0)
    board.end("n", "j2", now_s=91.0)
    board.forget({"here"}, now_s=30.0)
    assert "gone" in board.workloads
    board.forget({"here"}, now_s=100.0)
    assert set(board.workloads) == {"here", "late", "busy"}


def test_evidence_of_replicas_that_are_gone_is_forgotten_after_a_while():
    trust = Trust()
    for name in ("gone", "here", "late"):
        trust.suspect(name, now_s=1.0)
    trust.hear_of("late", now_s=1.1)
    trust.hear("late", now_s=90.0)
    trust.forget({"here"}, now_s=30.0)
    assert trust.is_recovering("gone", now_s=2.0)
    trust.forget({"here"}, now_s=100.0)
    assert not trust.is_recovering("gone", now_s=2.0)
    assert trust.is_recovering("here", now_s=2.0)
    assert trust.heard_s("late") == 90.0


def test_helping_to_read_a_prompt_is_no_request():
    """A huge prompt is read at seventeen replicas, and one of them gets the request.

    While it counted as a request at all of them, a few huge prompts a second used up
    the start limits of warm replicas, and short prompts were refused.
    """
    parts = tuple(Part(name, 0.1, writes=name == "first") for name in ("first", "help"))
    board = make_board(Job("j", "n", parts, 0.0, 5.0))
    assert board.starts_within("first", 1.0, now_s=0.5) == 1
    assert board.starts_within("help", 1.0, now_s=0.5) == 0


def make_hello(node="n.1", address="10.0.0.2:7", **fields):
    return Hello("10.200.1.7:8223", node, address, "z", 5, 6, 0.1, **fields)


def test_peers_that_fall_silent_are_left_out_and_later_forgotten():
    peers = Peers("10.0.0.1:7")
    peers.learn("10.0.0.1:7", now_s=0.0)
    peers.learn("10.0.0.2:7", now_s=0.0)
    assert peers.alive(now_s=0.1) == []
    assert peers.hear(make_hello(), now_s=1.0)
    assert not peers.hear(make_hello(), now_s=1.5)
    assert peers.hear(make_hello("n.2"), now_s=2.0)
    assert len(peers.alive(now_s=4.0)) == 1
    assert peers.alive(now_s=6.0) == []
    assert peers.targets(now_s=6.0) == ["10.0.0.2:7"]
    assert peers.targets(now_s=40.0) == []


@pytest.mark.parametrize(
    "message",
    [
        Started("n", "j", (Part("r", 0.1, 5, False),), 2_000),
        Ended("n", "j"),
        Suspected("n", "r"),
        make_hello(heard=("a", "b"), peers=("10.0.0.3:7",)),
    ],
)
def test_messages_come_back_as_they_were(message):
    assert decode_message(encode_message(message)) == message


def test_the_largest_messages_fit_one_datagram():
    """A fragmented datagram is lost more often: losing any fragment loses all of it."""
    parts = tuple(Part(f"i-{number:010x}", 0.123456, 100_000) for number in range(17))
    node = "front-plouis-a-12.201a8352.f82"
    assert len(encode_message(Started(node, "ffff", parts, 15_000))) < 1_400
    heard = tuple(f"i-{number:010x}" for number in range(24))
    peers = tuple(f"10.64.12.{number}:17480" for number in range(40))
    hello = make_hello(node, heard=heard, peers=peers)
    assert len(encode_message(hello)) < 1_400


@settings(max_examples=200, derandomize=True)
@given(st.binary(max_size=200))
def test_bytes_that_are_no_message_are_refused(data):
    """Anybody can send a datagram, so none may raise an unexpected error in a node."""
    try:
        decode_message(data)
    except msgspec.MsgspecError:
        return
