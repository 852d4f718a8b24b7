"""A request's log lines, found by its id, and the description of its outcome."""

import json

import pytest

from lycheetide.metrics import describe_outcome, read_request_lines, sort_by_time


def make_line(time, message, prefix="", **fields):
    row = {"time": time, "message": message, "node": "entry-1", "request": "ab"}
    return prefix + json.dumps(row | fields)


FAILED_ATTEMPT = make_line("2", "An attempt failed.", replica="r-1", cause="silent")


@pytest.mark.parametrize(
    ("last", "expected"),
    [
        (
            {"outcome": "answered.200"},
            "answered, after r-1: the replica stopped responding",
        ),
        ({"outcome": "cut"}, "cut"),
        ({"outcome": "refused.503.no_replica"}, "no replica of its service took work"),
        ({"outcome": "refused.504.deadline"}, "its time was up"),
        ({"outcome": "caller_left"}, "its caller closed the connection"),
        ({"outcome": "answered.500", "status": 500}, "the replica itself answered 500"),
    ],
)
def test_outcome_is_described(last, expected):
    texts = [make_line("3", "A request ended.", "front-1 ", **last), FAILED_ATTEMPT]
    lines = sort_by_time(read_request_lines(texts, "ab"))
    assert [line.time for line in lines] == ["2", "3"]
    assert expected in describe_outcome(lines)


def test_lines_of_other_requests_and_torn_lines_are_skipped():
    texts = [
        "",
        "no json",
        '{"request": "ab"',
        make_line("1", "x").replace('"ab"', '"cd"'),
    ]
    assert list(read_request_lines(texts, "ab")) == []
    assert "not in these logs" in describe_outcome([])
