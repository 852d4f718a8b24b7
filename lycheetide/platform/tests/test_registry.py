"""What any writer may have left among the entries of replicas."""

import json

import pytest

from lycheetide.exchange import Record
from lycheetide.httpclient import ResponseHead
from lycheetide.platform import (
    decode_answer,
    decode_registry_records,
    decode_report,
    decode_request,
)
from lycheetide.platform._requests import (
    COLD_MS,
    DEADLINE_MS,
    LENGTH_HINT,
    LIMIT,
    LOAD,
    RETRY_AFTER,
    TOKENS,
)

ENTRY = {
    "service": "models", "address": "10.1.64.11:8482", "zone": "cork-a", "slots": 8,
    "state": "ready", "seq": 7, "coldRemainingMs": 0, "born": 1_700_000_000_000,
}  # fmt: skip
BIG = 10**25
ODD = [
    *({"address": address} for address in (
        "", ":", ":80", "10.1.64.11", "10.1.64.11:0", "10.1.64.11:65536",
        "10.1.64.11:99999999999", "10.1.64.11:-1", "10.1.64.11:80\n", "a b:80",
        "10.1.64.11:8x", "\u0661.1.1.1:80", None, 7,
    )),
    *({"slots": slots} for slots in (-1, 0, BIG, 1.5, "8", None)),
    *({"seq": seq} for seq in (-1, BIG, 1 << 60)),
    *({"born": born} for born in (-1, BIG, 1 << 62)),
    *({"coldRemainingMs": cold} for cold in (1e308, BIG, "1")),
    {"state": "odd"}, {"service": ""}, {"service": "x" * 999}, {"zone": 7},
]  # fmt: skip
NESTED = b'{"a":' * 100_000 + b"1" + b"}" * 100_000


def decode(key, value):
    """Return the changes of one record, and the lines about skipped ones."""
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    skipped: list[str] = []
    record = Record(4, key, data)
    changes = list(decode_registry_records([record], services=(), skipped=skipped))
    return changes, skipped


@pytest.mark.parametrize("change", [*ODD, NESTED], ids=repr)
def test_an_odd_entry_is_skipped_and_told(change):
    """Guards against odd entries that are taken for replicas."""
    changes, skipped = decode("i-1", change if change is NESTED else ENTRY | change)
    assert not changes
    assert len(skipped) == 1


@pytest.mark.parametrize("key", ["", "a b", "i\n1", "i-\u0661", "x" * 999])
def test_an_entry_under_an_odd_id_is_skipped(key):
    """Guards against an id that can't be sent in a header."""
    assert not decode(key, ENTRY)[0]


@pytest.mark.parametrize(
    "change",
    [{}, {"address": "[::1]:80"}, {"coldRemainingMs": -0.5}, {"born": 0}, {"slots": 1},
     {"other": BIG}],
)  # fmt: skip
def test_an_entry_of_a_replica_is_read(change):
    changes, skipped = decode("i-728b8ecc38", ENTRY | change)
    assert not skipped
    assert changes[0].entry.cold_s == 0.0


DIGITS = b"9" * 5_000


@pytest.mark.parametrize("value", [DIGITS, b"nan", b"inf", b"-inf", b"1e999", b"-5"])
def test_numbers_of_replicas_that_are_none_are_left_out(value):
    """Guards against a number in a head by which a request ends with an error."""
    names = (COLD_MS, LOAD, LIMIT, RETRY_AFTER)
    answer = decode_answer(ResponseHead(503, tuple((name, value) for name in names)))
    assert answer.load is None
    assert answer.cold_s == 0.0


@pytest.mark.parametrize("value", [DIGITS, b"nan", b"inf", b"1e999", b"-5"])
def test_numbers_of_callers_that_are_none_are_left_out(value):
    """Guards against a request that ends with an error before it is decoded."""
    names = (TOKENS, LENGTH_HINT, DEADLINE_MS)
    request = decode_request(
        method="GET", target=b"/look/a", now_s=0.0,
        headers=[(b"host", b"works.example"), *((name, value) for name in names)],
    )  # fmt: skip
    assert (request.prompt_tokens, request.answer_tokens) == (0, 0)


@pytest.mark.parametrize("pace", ["1e308", "-1", "0"])
def test_a_pace_that_is_none_stays_finite(pace):
    """Guards against a pace with which times overflow."""
    assert 1.0 <= decode_report(b'{"pace": %s}' % pace.encode()).pace <= 1_000.0
