"""The settings of a relay: a node whose replicas register themselves."""

from dataclasses import dataclass

from lycheetide.settings._parsers import (
    address,
    address_list,
    identifier,
    identifier_list,
    integer_at_least,
    number_between,
    optional_address,
    pairs,
)
from lycheetide.settings._schema import Field, level


@dataclass(frozen=True)
class RelaySettings:
    """The settings of one relay; the fields are named as in the INI file.

    Notes
    -----
    ``stop_notice_s`` is how long a load balancer may keep sending callers after the
    node reports that it isn't ready: two readiness probes at one per second, plus the
    network delay. After that, a stopping node accepts no further requests, and running
    requests get the rest of ``stop_s``.
    ``link_mbps`` is the bandwidth of the host's network link; 0 if it is unknown.
    ``tunnel_address`` is where the node carries connections to replicas for peers that
    don't reach them, at the IP address of ``peer_address``; empty for not at all.
    ``config_apply_ms`` is the time within which all nodes must act on a new record of
    an operator after the store has acknowledged it, in milliseconds.
    ``contracts`` are the parts of the platform's rules that are in force, and
    ``memory_mb`` is the memory that this process may use; 0 if it is unknown.
    """

    name: str
    region: str
    failure_domain: str
    caller_address: str
    readiness_address: str
    peer_address: str
    store_address: str
    tunnel_address: str = ""
    metrics_address: str = ""
    seed_addresses: tuple[str, ...] = ()
    domain_regions: tuple[tuple[str, str], ...] = ()
    link_mbps: float = 0.0
    contracts: tuple[str, ...] = ()
    memory_mb: float = 0.0
    statsd_address: str = ""
    statsd_prefix: str = "lycheetide"
    log_level: str = "INFO"
    log_lines_per_s: float = 60.0
    idle_s: float = 30.0
    operator_wait_s: float = 20.0
    config_apply_ms: float = 2_000.0
    registry_interval_s: float = 0.5
    out_of_touch_s: float = 10.0
    retry_ratio: float = 0.2
    retry_extra: float = 50.0
    retry_window_s: float = 10.0
    stop_s: float = 8.0
    stop_notice_s: float = 2.8

    @property
    def seed_hosts(self):
        """The seed addresses without their ports."""
        return [seed.rpartition(":")[0] for seed in self.seed_addresses]


RELAY_FIELDS = (
    Field("node", "name", identifier, required=True),
    Field("node", "region", identifier, required=True),
    Field("node", "failure_domain", identifier, required=True),
    Field("relay", "caller_address", address, required=True),
    Field("relay", "readiness_address", address, required=True),
    Field("relay", "peer_address", address, required=True),
    Field("relay", "store_address", address, required=True),
    Field("relay", "tunnel_address", optional_address),
    Field("relay", "metrics_address", optional_address),
    Field("relay", "seed_addresses", address_list),
    Field("relay", "domain_regions", pairs),
    Field("relay", "link_mbps", number_between(0.0, 1e6)),
    Field("relay", "contracts", identifier_list),
    Field("relay", "memory_mb", number_between(0.0, 1e7)),
    Field("relay", "idle_s", number_between(0.5, 3600.0)),
    Field("relay", "operator_wait_s", number_between(0.0, 30.0)),
    Field("relay", "config_apply_ms", number_between(100.0, 600_000.0)),
    Field("relay", "registry_interval_s", number_between(0.05, 60.0)),
    Field("relay", "out_of_touch_s", number_between(1.0, 3600.0)),
    Field("retries", "retry_ratio", number_between(0.0, 10.0)),
    Field("retries", "retry_extra", number_between(0.0, 1e6)),
    Field("retries", "retry_window_s", number_between(0.1, 3600.0)),
    Field("stop", "stop_s", number_between(1.0, 3600.0)),
    Field("stop", "stop_notice_s", number_between(0.0, 600.0)),
    Field("metrics", "statsd_address", optional_address),
    Field("metrics", "statsd_prefix", identifier),
    Field("logs", "log_level", level),
    Field("logs", "log_lines_per_s", integer_at_least(1)),
)
