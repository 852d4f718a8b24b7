"""Reports of replicas, also malformed ones."""

import msgspec
import pytest

from lycheetide.platform import decode_report, encode_report_request
from lycheetide.replicas import RegistryEntry


@pytest.mark.parametrize(
    ("body", "pace"),
    [
        (b'{"pace": 4.2, "active": 3}', 4.2),
        (b'{"active": 3}', 1.0),
        (b'{"pace": 0.5}', 1.0),
        (b'{"pace": -3}', 1.0),
    ],
)
def test_a_report_is_decoded(body, pace):
    assert decode_report(body).pace == pace


@pytest.mark.parametrize("body", [b"", b"[]", b'{"pace": "slow"}', b'{"pace": null}'])
def test_a_malformed_report_is_an_error(body):
    """Guards against a pace that is taken from bytes that are no report."""
    with pytest.raises(msgspec.MsgspecError):
        decode_report(body)


def test_a_request_for_a_report_names_the_replica():
    """Guards against the report of another replica that was given the address."""
    entry = RegistryEntry("i-1", "models", "10.0.0.1:80", "cork-a", 6)
    outgoing = encode_report_request(entry)
    assert (b"lycheetide-expect-instance", b"i-1") in outgoing.headers
