"""Tests of admission, the check before dispatch, retries and the ranking of cells."""

import pytest

from lycheetide.fleet import Customer, FailureDomain, Fleet, RequestClass, Upstream
from lycheetide.outcomes import NotRunError, Reason
from lycheetide.routing import (
    RetryDecision,
    authenticate,
    check_dispatch,
    decide_retry,
    find_deadline,
    find_request_class,
    is_fresh,
    rank_cells,
    split_prompt,
)

QUOTE = RequestClass("quote", deadline_s=20.0)


def make_fleet(state="in", domain="in"):
    upstream = Upstream("a1", "engine", "m", "cork-a", "http://a", "c", state=state)
    return Fleet(
        upstreams={"a1": upstream},
        failure_domains={"cork-a": FailureDomain("cork-a", "munster", domain)},
    )


def check(fleet, *, fresh=True, age_s=0.1, names=("a1",)):
    return check_dispatch(
        fleet, names, fresh=fresh, permit_asked_s=10.0, now_s=10.0 + age_s,
        permit_use_s=2.0,
    )  # fmt: skip


def test_a_permit_is_used_only_while_its_ground_stands():
    """A permit isn't used if its conditions changed while the node was paused.

    Between the grant of the permit and the sending, the failure domain was taken out,
    the upstream began to leave or was removed, or the permit became too old and its
    slot was given to another request.
    """
    assert check(make_fleet())
    assert not check(make_fleet(domain="out"))
    assert not check(make_fleet(state="leaving"))
    assert not check(make_fleet(), names=("gone",))
    assert not check(make_fleet(), age_s=2.1)


def test_a_node_that_can_not_know_the_configuration_sends_nothing():
    with pytest.raises(NotRunError) as caught:
        check(make_fleet(), fresh=False)
    assert caught.value.reason is Reason.NOT_FRESH


@pytest.mark.parametrize(
    ("log_age_s", "majority", "expected"),
    [(0.5, False, True), (9.0, True, True), (9.0, False, False), (0.5, True, True)],
)
def test_either_the_log_or_most_peers_tell_what_is_in_force(
    log_age_s, majority, expected
):
    fresh = is_fresh(
        log_read_started_s=100.0 - log_age_s, majority_heard=majority, now_s=100.0,
        within_s=2.0,
    )  # fmt: skip
    assert fresh is expected


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        ({}, RetryDecision.RETRY),
        ({"may_have_started": True}, RetryDecision.RETRY),
        ({"may_have_started": True, "repeatable": False}, RetryDecision.GIVE_UP),
        ({"attempts": 4}, RetryDecision.GIVE_UP),
        ({"left_s": 0.0}, RetryDecision.GIVE_UP),
        ({"spend": lambda: False}, RetryDecision.GIVE_UP),
    ],
)
def test_what_is_tried_again(fields, expected):
    values = {
        "attempts": 1, "may_have_started": False, "repeatable": True, "left_s": 5.0,
        "spend": lambda: True,
    }  # fmt: skip
    assert decide_retry(**(values | fields)) is expected


def test_a_booking_that_may_have_run_costs_no_budget():
    """The budget is used only if all other conditions allow a retry."""

    def spend():
        raise AssertionError("the budget was touched")

    decide_retry(
        attempts=1, may_have_started=True, repeatable=False, left_s=5.0, spend=spend
    )


def test_deadlines_are_time_left_and_past_ones_are_refused():
    assert find_deadline("", QUOTE, now_s=5.0) == 25.0
    assert find_deadline("1500", QUOTE, now_s=5.0) == 6.5
    for header, reason in (("0", "deadline_past"), ("soon", "bad_deadline")):
        with pytest.raises(NotRunError) as caught:
            find_deadline(header, QUOTE, now_s=5.0)
        assert caught.value.reason == reason


def test_only_a_customers_token_lets_in():
    digest = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
    customers = [Customer("kestrel", digest)]
    assert authenticate("Bearer secret", customers).name == "kestrel"
    for header in ("", "secret", "Bearer", "Bearer other", "Basic secret"):
        with pytest.raises(NotRunError):
            authenticate(header, customers)


def test_a_request_without_a_class_gets_the_last_one():
    classes = {"quote": QUOTE, "archive": RequestClass("archive", priority=2)}
    assert find_request_class("", classes).name == "archive"
    assert find_request_class("quote", classes) is QUOTE


def test_equal_cells_are_not_all_asked_by_everybody():
    """Nodes with the same outdated summaries must not all choose the same cell."""
    draws = iter([0.1, 0.9, 0.9, 0.1])
    first = [
        rank_cells(["a", "b"], {}, prefix_key="", prompt_tokens=1, draw=draws.__next__)[
            0
        ]
        for _ in range(2)
    ]
    assert first == ["a", "b"]


def test_a_split_prompt_is_whole():
    assert "".join(split_prompt("x" * 10 + "y" * 7, 4)) == "x" * 10 + "y" * 7
