"""Heads of replicas' responses, also malformed ones."""

import pytest

from lycheetide.httpclient import ResponseHead
from lycheetide.platform import decode_answer

INFINITY = float("inf")


@pytest.mark.parametrize(
    ("values", "limit_per_s"),
    [
        ([], INFINITY),
        ([b"1.5"], 1.5),
        ([b" 12 "], 12.0),
        ([b"0"], 0.0),
        ([b".25"], 0.25),
        ([b"3", b"1.5"], 1.5),
        ([b"9" * 400], INFINITY),
    ],
)
def test_a_named_limit_is_decoded(values, limit_per_s):
    head = ResponseHead(200, tuple((b"server-limit", value) for value in values))
    assert decode_answer(head).limit_per_s == limit_per_s


@pytest.mark.parametrize(
    "value", [b"", b"nan", b"inf", b"-1", b"1e3", b"1,5", b"1.5, 2", b"soon", b"\xb2"]
)
def test_a_malformed_limit_neither_names_nor_ends_one(value):
    """Guards against a malformed limit that raises, or that ends one in force."""
    head = ResponseHead(200, ((b"server-limit", value),))
    assert decode_answer(head).limit_per_s is None
    head = ResponseHead(200, ((b"server-limit", b"2"), (b"server-limit", value)))
    assert decode_answer(head).limit_per_s is None


@pytest.mark.parametrize(
    ("status", "values", "rest_s"),
    [
        (503, [], 0.0),
        (503, [b"3"], 3.0),
        (503, [b" 0.25 "], 0.25),
        (503, [b"1", b"3"], 3.0),
        (503, [b"soon", b"2"], 2.0),
        (503, [b"9" * 400], INFINITY),
        (200, [b"3"], 0.0),
        (421, [b"3"], 0.0),
    ],
)
def test_a_time_of_rest_is_decoded(status, values, rest_s):
    head = ResponseHead(status, tuple((b"retry-after", value) for value in values))
    assert decode_answer(head).rest_s == rest_s


@pytest.mark.parametrize(
    "value",
    [b"", b"0", b"-1", b"nan", b"inf", b"1e3", b"Wed, 21 Oct 2026 07:28:00 GMT"],
)
def test_a_malformed_time_of_rest_is_none(value):
    """Guards against a malformed time that raises, or keeps a replica out for ever."""
    head = ResponseHead(503, ((b"retry-after", value),))
    assert decode_answer(head).rest_s == 0.0


@pytest.mark.parametrize("value", [b"", b"0", b"true", b"1, 1", b"nan"])
def test_only_one_value_says_that_a_replica_leaves(value):
    """Guards against a malformed header that takes a replica out."""
    assert decode_answer(ResponseHead(200, ((b"server-leaving", b"1"),))).is_leaving
    assert not decode_answer(
        ResponseHead(200, ((b"server-leaving", value),))
    ).is_leaving
