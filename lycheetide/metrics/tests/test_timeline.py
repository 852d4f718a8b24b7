"""From a request's id to the cause of its end."""

import json

import pytest

from lycheetide.metrics import find_cause, read_lines, sort_lines


def make_line(time, message, prefix="", **fields):
    row = {"time": time, "message": message, "node": "entry-1", "request": "ab"}
    return prefix + json.dumps(row | fields)


FAILED = make_line("2", "An attempt failed.", replica="r-1", cause="silent")


@pytest.mark.parametrize(
    ("last", "expected"),
    [
        ({"outcome": "answered.200"}, "answered, after r-1: the replica fell silent"),
        ({"outcome": "cut"}, "cut"),
        ({"outcome": "refused.503.no_replica"}, "no replica of its service took work"),
        ({"outcome": "refused.504.deadline"}, "its time was up"),
        ({"outcome": "caller_left"}, "its caller closed the connection"),
        ({"outcome": "answered.500", "status": 500}, "the replica itself answered 500"),
    ],
)
def test_the_cause_is_named(last, expected):
    texts = [make_line("3", "A request ended.", "front-1 ", **last), FAILED]
    lines = sort_lines(read_lines(texts, "ab"))
    assert [line.time for line in lines] == ["2", "3"]
    assert expected in find_cause(lines)


def test_lines_of_others_and_torn_ones_are_passed_over():
    texts = [
        "",
        "no json",
        '{"request": "ab"',
        make_line("1", "x").replace('"ab"', '"cd"'),
    ]
    assert list(read_lines(texts, "ab")) == []
    assert "not in these logs" in find_cause([])
