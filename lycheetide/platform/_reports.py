"""Encode requests for a replica's report on itself, and decode the report."""

import msgspec

from lycheetide.exchange import ReplicaReport
from lycheetide.httpclient import OutgoingRequest
from lycheetide.platform._requests import EXPECTED_REPLICA

REPORT_PATH = b"/-/report"
MAX_PACE = 1_000.0
"""A replica that says more is as useless, and its figures still add up."""


class _Report(msgspec.Struct):
    """The fields of a report that are used."""

    pace: float = 1.0


_decoder = msgspec.json.Decoder(_Report)


def encode_report_request(replica):
    """Return the request for the report of a replica.

    Parameters
    ----------
    replica : RegistryEntry
        The replica; another one at its address rejects the request.
    """
    return _encode_question(replica, REPORT_PATH)


def encode_health_request(replica, path):
    """Return the request that asks a replica for its health.

    Parameters
    ----------
    replica : RegistryEntry
        The replica; another one at its address rejects the request.
    path : str
        The health path of its service.
    """
    return _encode_question(replica, path.encode())


def _encode_question(replica, path):
    """Return a request for a path that only one replica answers."""
    headers = (
        (b"Host", replica.address.encode()),
        (EXPECTED_REPLICA, replica.id.encode()),
    )
    return OutgoingRequest(b"GET", path, headers)


def decode_report(body):
    """Decode the body of a report.

    Parameters
    ----------
    body : bytes
        The body.

    Returns
    -------
    ReplicaReport
        The decoded report.

    Raises
    ------
    msgspec.MsgspecError
        If the body is malformed.
    """
    pace = _decoder.decode(body).pace
    return ReplicaReport(pace=min(max(1.0, pace), MAX_PACE))
