"""The settings of a node: section, key, type, default and bounds."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from lycheetide.settings._parsers import (
    address,
    identifier,
    integer_at_least,
    number_between,
    optional_address,
    optional_path,
    url,
)


@dataclass(frozen=True)
class NodeSettings:
    """The settings of one node; the fields are named as in the INI file."""

    name: str
    region: str
    failure_domain: str
    caller_address: str
    peer_address: str
    operator_address: str
    log_url: str
    hosts_url: str
    statsd_address: str = ""
    statsd_prefix: str = "lycheetide"
    log_level: str = "INFO"
    tls_certificate_path: str = ""
    tls_key_path: str = ""
    heartbeat_interval_s: float = 0.4
    heartbeat_fanout: int = 4
    lease_s: float = 2.0
    suspect_s: float = 2.0
    log_wait_s: float = 0.5
    permit_use_s: float = 2.0
    permit_renewal_s: float = 1.0
    permit_lost_s: float = 5.0
    report_interval_s: float = 0.5
    report_stale_s: float = 2.5
    reclaim_interval_s: float = 1.0
    reclaim_grace_s: float = 3.0
    silence_s: float = 10.0
    connect_s: float = 1.0
    max_body_bytes: int = 16_000_000
    key_record_bytes: int = 16_384
    stop_notice_s: float = 1.0
    stop_longest_s: float = 600.0
    snapshot_records: int = 500


@dataclass(frozen=True)
class Field:
    """How one setting is read from the file.

    Parameters
    ----------
    section, key : str
        The section and key in the file.
    parse : callable
        Converts the text; raises ``ValueError`` with a description of the expected
        value.
    required : bool, default=False
        Whether the file must contain the key.
    """

    section: str
    key: str
    parse: Callable[[str], Any]
    required: bool = False


def level(text):
    """Parse the name of a log level."""
    if text not in {"DEBUG", "INFO", "WARNING", "ERROR"}:
        raise ValueError("DEBUG, INFO, WARNING or ERROR")
    return text


NODE_FIELDS = (
    Field("node", "name", identifier, required=True),
    Field("node", "region", identifier, required=True),
    Field("node", "failure_domain", identifier, required=True),
    Field("listen", "caller_address", address, required=True),
    Field("listen", "peer_address", address, required=True),
    Field("listen", "operator_address", address, required=True),
    Field("listen", "tls_certificate_path", optional_path),
    Field("listen", "tls_key_path", optional_path),
    Field("platform", "log_url", url, required=True),
    Field("platform", "hosts_url", url, required=True),
    Field("metrics", "statsd_address", optional_address),
    Field("metrics", "statsd_prefix", identifier),
    Field("logs", "log_level", level),
    Field("membership", "heartbeat_interval_s", number_between(0.05, 60.0)),
    Field("membership", "heartbeat_fanout", integer_at_least(1)),
    Field("membership", "lease_s", number_between(0.2, 120.0)),
    Field("membership", "suspect_s", number_between(0.2, 120.0)),
    Field("membership", "log_wait_s", number_between(0.0, 10.0)),
    Field("permits", "permit_use_s", number_between(0.1, 60.0)),
    Field("permits", "permit_renewal_s", number_between(0.05, 60.0)),
    Field("permits", "permit_lost_s", number_between(0.2, 120.0)),
    Field("upstreams", "report_interval_s", number_between(0.05, 60.0)),
    Field("upstreams", "report_stale_s", number_between(0.1, 120.0)),
    Field("upstreams", "reclaim_interval_s", number_between(0.1, 60.0)),
    Field("upstreams", "reclaim_grace_s", number_between(0.1, 120.0)),
    Field("upstreams", "silence_s", number_between(0.1, 600.0)),
    Field("upstreams", "connect_s", number_between(0.05, 60.0)),
    Field("limits", "max_body_bytes", integer_at_least(1024)),
    Field("limits", "key_record_bytes", integer_at_least(256)),
    Field("limits", "snapshot_records", integer_at_least(1)),
    Field("stop", "stop_notice_s", number_between(0.0, 600.0)),
    Field("stop", "stop_longest_s", number_between(0.1, 3600.0)),
)
