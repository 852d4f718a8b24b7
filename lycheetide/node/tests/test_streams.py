"""Answers are complete, belong to their request, and end by the deadline."""

import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from standins.callers import post, send_prompt, sum_kv_used_tokens
from standins.invariants import find_violations, wait_until_memory_free


def set_faults_on_all(fleet, **faults):
    for name, engine in fleet.engines.items():
        if engine.is_running():
            fleet.set_faults(name, **faults)


def sum_counter(fleet, name):
    rows = [fleet.status(node) for node in fleet.nodes]
    return sum(row["counters"].get(name, 0) for row in rows if row)


def ask_concurrently(fleet, count, **fields):
    nodes = list(fleet.nodes.values())
    with ThreadPoolExecutor(count) as pool:
        jobs = [
            pool.submit(send_prompt, nodes[i % len(nodes)], 1_000, seed=i, **fields)
            for i in range(count)
        ]
        return [job.result() for job in jobs]


@pytest.mark.parametrize(
    ("fault", "counter"),
    [
        ("cross_at", "chunks.drop_crossed"),
        ("duplicate_at", "chunks.drop_duplicate"),
        ("cut_at", "retries.upstream_broke"),
    ],
)
def test_crossed_duplicated_and_cut_chunks(fleet, fault, counter):
    """Engines send another request's token, send a token twice, or end too early.

    Unchecked, a caller would read another customer's text, or an answer with a gap,
    without noticing.
    """
    before = sum_counter(fleet, counter)
    set_faults_on_all(fleet, **{fault: 3})
    answers = ask_concurrently(fleet, 12, max_tokens=8, deadline_s=20.0)
    set_faults_on_all(fleet, cross_at=None, duplicate_at=None, cut_at=None)
    assert find_violations(fleet, answers, deadline_s=20.0) == []
    assert [len(answer.texts) for answer in answers] == [8] * 12
    assert sum_counter(fleet, counter) > before


def test_a_stream_that_is_cut_goes_on_at_the_exact_token(fleet):
    """Three engines each cut one answer after five tokens."""
    before = sum_counter(fleet, "retries.upstream_broke")
    for name in list(fleet.engines)[:3]:
        fleet.set_faults(name, cut_at=5)
    answers = ask_concurrently(fleet, 12, max_tokens=10)
    set_faults_on_all(fleet, cut_at=None)
    for answer in answers:
        prefix = answer.request_id[:6]
        assert answer.whole
        assert answer.texts == tuple(f"{prefix}.{seq} " for seq in range(10))
    assert sum_counter(fleet, "retries.upstream_broke") > before


def test_callers_that_go_away_leave_no_memory_held(fleet):
    """Callers disconnect in the middle of long answers."""
    nodes = list(fleet.nodes.values())
    with ThreadPoolExecutor(6) as pool:
        for i in range(6):
            pool.submit(
                send_prompt, nodes[i % 3], 2_000, max_tokens=2_000, timeout_s=0.5
            )
    assert sum_kv_used_tokens(fleet) >= 0
    wait_until_memory_free(fleet)


def test_memory_of_lost_releases_is_reclaimed(fleet):
    """Calls that release memory are lost on their way to the engines."""
    set_faults_on_all(fleet, lose_releases=3)
    nodes = list(fleet.nodes.values())
    with ThreadPoolExecutor(6) as pool:
        for i in range(6):
            pool.submit(
                send_prompt, nodes[i % 3], 2_000, max_tokens=2_000, deadline_s=0.6
            )
    wait_until_memory_free(fleet)
    set_faults_on_all(fleet, lose_releases=0)


def test_requests_to_silent_engines_fail_by_their_deadline(own_fleet):
    """All engines accept requests and then send nothing."""
    fleet = own_fleet
    set_faults_on_all(fleet, silent=True)
    answers = ask_concurrently(fleet, 6, deadline_s=2.0)
    set_faults_on_all(fleet, silent=False)
    assert {answer.outcome for answer in answers} == {"failed"}
    assert find_violations(fleet, answers, deadline_s=2.0) == []
    wait_until_memory_free(fleet)


def test_a_frozen_engine_is_left_alone_and_its_requests_end(own_fleet):
    """An engine's process is suspended with its connections open, and resumed later."""
    fleet = own_fleet
    engine = next(iter(fleet.engines.values()))
    engine.suspend()
    try:
        answers = ask_concurrently(fleet, 12, deadline_s=25.0)
        time.sleep(2.5)
        later = ask_concurrently(fleet, 12, deadline_s=10.0)
    finally:
        engine.resume()
    assert {answer.outcome for answer in later} == {"answered"}
    assert {answer.outcome for answer in answers} == {"answered"}
    assert find_violations(fleet, answers + later, deadline_s=25.0) == []
    wait_until_memory_free(fleet)


def test_memory_of_a_killed_nodes_streams_is_freed(own_fleet):
    """A node is killed while it serves streams; engines still hold their memory."""
    fleet = own_fleet
    first = next(iter(fleet.nodes.values()))
    with ThreadPoolExecutor(8) as pool:
        jobs = [
            pool.submit(send_prompt, first, 5_000, seed=i, max_tokens=3_000)
            for i in range(8)
        ]
        time.sleep(1.0)
        assert sum_kv_used_tokens(fleet) > 0
        first.kill()
        freed_s = wait_until_memory_free(fleet)
        answers = [job.result() for job in jobs]
    assert {answer.outcome for answer in answers} == {"unknown"}
    print(f"freed after {freed_s:.2f} s")


def test_a_prompt_that_spans_engines_loses_nothing_when_one_is_killed(own_fleet):
    """One of four engines dies during the prefill; the others hold segments."""
    fleet = own_fleet
    nodes = list(fleet.nodes.values())
    with ThreadPoolExecutor(2) as pool:
        jobs = [
            pool.submit(
                send_prompt, nodes[i], 900_000, seed=i, request_class="archive",
                deadline_s=30.0,
            )
            for i in range(2)
        ]  # fmt: skip
        fleet.wait_for(
            lambda: sum_kv_used_tokens(fleet) > 200_000, what="a reservation"
        )
        next(iter(fleet.engines.values())).kill()
        answers = [job.result() for job in jobs]
    assert find_violations(fleet, answers, deadline_s=30.0) == []
    assert {answer.outcome for answer in answers} == {"answered"}
    wait_until_memory_free(fleet)


def test_each_customers_retries_are_its_own(own_fleet):
    """One customer's requests fail under load, while another's succeed.

    If retry budgets were shared, the failing customer's retries would use up the
    other's budget, and the other would be billed for them.
    """
    fleet = own_fleet
    node = next(iter(fleet.nodes.values()))
    set_faults_on_all(fleet, cut_at=0)
    for index in range(3):
        send_prompt(node, 1_000, seed=index, customer="kestrel", deadline_s=10.0)
    for _ in range(40):
        set_faults_on_all(fleet, cut_at=0)
        send_prompt(node, 1_000, customer="kestrel", deadline_s=10.0)
    set_faults_on_all(fleet, cut_at=None)
    clean = send_prompt(node, 1_000, customer="parish")
    status = fleet.status(next(iter(fleet.nodes)))
    assert clean.whole
    assert status["retries_by_customer"].get("parish", 0) == 0
    assert status["retries_denied_by_customer"].get("parish", 0) == 0
    assert status["retries_by_customer"]["kestrel"] >= 20
    assert status["retries_denied_by_customer"]["kestrel"] > 0


@pytest.mark.parametrize(
    ("content", "fields", "status", "reason"),
    [
        (b"{", {}, 400, "bad_body"),
        (b'{"model": "nope", "prompt": "x"}', {}, 404, "unknown_model"),
        (b'{"model": "assistant"}', {}, 400, "bad_body"),
        (b'{"model":"assistant","prompt":"x","max_tokens":0}', {}, 400, "bad_body"),
        (b"{}", {"customer": "stranger"}, 401, "unauthenticated"),
        (b"{}", {"request_class": "vip"}, 400, "unknown_class"),
        (b"{}", {"deadline_s": 0}, 504, "deadline_past"),
        (b"x" * 17_000_000, {}, 413, "body_too_large"),
    ],
)
def test_bad_input_is_refused_with_what_was_expected(
    fleet, content, fields, status, reason
):
    node = next(iter(fleet.nodes.values()))
    answer = post(node, "/v1/completions", None, content=content, **fields)
    assert (answer.status, answer.reason) == (status, reason)
    assert answer.outcome == "not_run"
    assert answer.body["error"]["message"]


def test_a_call_without_a_key_is_refused(fleet):
    node = next(iter(fleet.nodes.values()))
    path = "/v1/services/booking/deposit"
    assert post(node, path, {}).reason == "key_missing"
    assert post(node, path, {}, key="mine").reason == "key_malformed"
    assert post(node, "/v1/services/booking/nothing", {}).reason == "unknown_service"


def test_deadlines_that_fall_into_a_call_to_a_frozen_owner(own_fleet):
    """The owner of the engines is frozen while other nodes ask it for permits.

    The deadline passes during a call between nodes. Callers must get a typed error at
    once, and the nodes must keep running.
    """
    fleet = own_fleet
    owner = next(
        name
        for name in fleet.nodes
        if any(c["cell"].startswith("assistant") for c in fleet.status(name)["cells"])
    )
    fleet.nodes[owner].suspend()
    others = [node for name, node in fleet.nodes.items() if name != owner]
    with ThreadPoolExecutor(40) as pool:
        jobs = [
            pool.submit(send_prompt, others[i % 2], 1_000, seed=i, deadline_s=1.5)
            for i in range(40)
        ]
        answers = [job.result() for job in jobs]
    fleet.nodes[owner].resume()
    assert {(a.outcome, a.reason) for a in answers} == {("not_run", "deadline")}
    assert find_violations(fleet, answers, deadline_s=1.5) == []
    assert all(node.is_running() for node in fleet.nodes.values())
    later = ask_concurrently(fleet, 6, deadline_s=15.0)
    print([(answer.outcome, answer.body) for answer in later])
    print("frozen was", owner, *fleet.read_state_changes(), sep="\n")
    assert {answer.outcome for answer in later} == {"answered"}
