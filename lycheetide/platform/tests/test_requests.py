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
