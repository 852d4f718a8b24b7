"""Refused callers that return: early, in time, twice, elsewhere, and all at once."""

import pytest

from lycheetide.admission import (
    NOBODY_AHEAD,
    AdmissionQueue,
    DeferredRequest,
    ReturnTable,
    WaitingRequest,
    assess_wait,
    make_deferred_message,
    make_return_key,
    make_withdrawal_message,
    read_deferred_message,
)
from lycheetide.placement import Candidate

KEY = make_return_key(3, "/v1/answers", b"shared beginning" + b"x" * 5_000)


def make_deferred(key=KEY, number=5, returns_s=10.5):
    return DeferredRequest(key, number, 10.3, returns_s, returns_s + 2.0)


@pytest.mark.parametrize(
    ("now_s", "is_claimed"),
    [(10.1, False), (10.5, True), (12.4, True), (12.6, False)],
    ids=["early", "in time", "late", "too late"],
)
def test_place_is_kept_for_callers_that_return_as_announced(now_s, is_claimed):
    """Guards against callers that gain by returning early."""
    table = ReturnTable()
    table.note(make_deferred(), now_s=10.0)
    assert table.is_early(KEY, now_s=now_s) == (now_s < 10.4)
    found = table.claim(KEY, now_s=now_s)
    assert (found == make_deferred()) if is_claimed else found is None
    assert table.claim(KEY, now_s=now_s) is None


def test_place_is_given_once_whichever_nodes_the_caller_reaches():
    """Guards against a caller that uses its place at two nodes."""
    tables = [ReturnTable(), ReturnTable()]
    offsets_s = [0.0, 500.0]
    tables[0].note(make_deferred(), now_s=10.0)
    message = make_deferred_message("a", make_deferred(), now_s=10.0)
    received = read_deferred_message(message, now_s=510.01)
    tables[1].note(received, now_s=510.01)
    found = tables[1].claim(KEY, now_s=510.52)
    assert (found.number, found.due_s) == (5, pytest.approx(510.31))
    withdrawal = make_withdrawal_message("b", found, now_s=510.52)
    for table, offset_s in zip(tables, offsets_s, strict=True):
        now_s = offset_s + 10.53
        table.note(read_deferred_message(withdrawal, now_s=now_s), now_s=now_s)
        # The announcement may arrive again after the claim, through another hub.
        table.note(read_deferred_message(message, now_s=offset_s + 10.02), now_s=now_s)
        assert table.claim(KEY, now_s=now_s) is None
        assert len(table) == 0


def test_caller_that_is_refused_again_keeps_its_first_place():
    """Guards against a place that is lost at the second refusal."""
    table = ReturnTable()
    table.note(make_deferred(), now_s=10.0)
    assert table.claim(KEY, now_s=10.5)
    table.note(make_deferred(returns_s=11.0), now_s=10.5)
    assert table.claim(KEY, now_s=11.0).number == 5


def test_a_thousand_refused_callers_return_in_their_first_order():
    """Guards against a burst of returns at one time, and against losing the order."""
    table, queue = ReturnTable(), AdmissionQueue()
    candidates = [Candidate(str(rank), "", rank, 6, backlog_s=9) for rank in range(20)]
    delays_s = []
    for number in range(1, 1_001):
        request = WaitingRequest(
            number, "n", str(number), 7, 1, 0.03, 500, 10.0 + number / 1e3
        )
        wait = assess_wait(request, NOBODY_AHEAD, candidates, now_s=10.0, leaves_s=13.0)
        assert not wait.is_servable
        delays_s.append(wait.retry_after_s)
        returns_s = 10.0 + wait.retry_after_s
        table.note(
            DeferredRequest(number, number, request.due_s, returns_s, returns_s + 2.0),
            now_s=10.0,
        )
    assert max(delays_s) <= 1.0
    latest_bunch = max(
        sum(start <= delay_s < start + 0.1 for delay_s in delays_s)
        for start in (0.5, 0.6, 0.7, 0.8, 0.9)
    )
    assert latest_bunch < 300
    returned = []
    for number in sorted(range(1, 1_001), key=lambda one: delays_s[one - 1]):
        place = table.claim(number, now_s=11.0)
        one = WaitingRequest(
            place.number, "m", str(number), 7, 1, 0.03, 500, place.due_s
        )
        queue.note(one, now_s=11.0)
        returned.append(one)
    returned.sort(key=lambda one: len(queue.list_ahead(one, service=7, now_s=11.0)))
    assert [one.number for one in returned] == list(range(1, 1_001))
    assert len(table) == 0


def test_prompts_are_told_apart_by_their_end_and_customer():
    """Guards against callers that are given the place of another."""
    head = b"instructions " * 500
    keys = {
        make_return_key(customer, path, head + tail)
        for customer in (1, 2)
        for path in ("/a", "/b")
        for tail in (b"x", b"y")
    }
    assert len(keys) == 8
    assert make_return_key(1, "/a", b"") == 0
    table = ReturnTable()
    table.note(make_deferred(key=0), now_s=10.0)
    assert table.claim(0, now_s=10.6) is None
