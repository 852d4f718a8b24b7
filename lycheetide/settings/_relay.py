"""The settings of a relay: a node in front of replicas that register themselves."""

from dataclasses import dataclass

from lycheetide.settings._checks import (
    address,
    address_list,
    at_least,
    between,
    identifier,
    optional_address,
    pairs,
)
from lycheetide.settings._schema import Field, level


@dataclass(frozen=True)
class RelaySettings:
    """What one relay is told when it starts; fields as in the INI file.

    Notes
    -----
    ``stop_notice_s`` is how long a balancer may go on sending callers after a node
    said that it isn't ready: two questions, one a second, and the way there. After it
    a leaving node takes nothing more, and what runs has the rest of ``stop_s``.
    ``link_mbps`` is how wide the host's link is, 0 where that isn't known.
    """

    name: str
    region: str
    failure_domain: str
    caller_address: str
    readiness_address: str
    peer_address: str
    store_address: str
    metrics_address: str = ""
    seed_addresses: tuple[str, ...] = ()
    domain_regions: tuple[tuple[str, str], ...] = ()
    link_mbps: float = 0.0
    statsd_address: str = ""
    statsd_prefix: str = "lycheetide"
    log_level: str = "INFO"
    log_lines_per_s: float = 60.0
    idle_s: float = 30.0
    operator_wait_s: float = 20.0
    registry_interval_s: float = 0.5
    out_of_touch_s: float = 10.0
    retry_ratio: float = 0.2
    retry_extra: float = 50.0
    retry_window_s: float = 10.0
    stop_s: float = 8.0
    stop_notice_s: float = 2.8

    @property
    def seed_hosts(self):
        """The hosts of the seeds."""
        return [seed.rpartition(":")[0] for seed in self.seed_addresses]


RELAY_FIELDS = (
    Field("node", "name", identifier, required=True),
    Field("node", "region", identifier, required=True),
    Field("node", "failure_domain", identifier, required=True),
    Field("relay", "caller_address", address, required=True),
    Field("relay", "readiness_address", address, required=True),
    Field("relay", "peer_address", address, required=True),
    Field("relay", "store_address", address, required=True),
    Field("relay", "metrics_address", optional_address),
    Field("relay", "seed_addresses", address_list),
    Field("relay", "domain_regions", pairs),
    Field("relay", "link_mbps", between(0.0, 1e6)),
    Field("relay", "idle_s", between(0.5, 3600.0)),
    Field("relay", "operator_wait_s", between(0.0, 30.0)),
    Field("relay", "registry_interval_s", between(0.05, 60.0)),
    Field("relay", "out_of_touch_s", between(1.0, 3600.0)),
    Field("retries", "retry_ratio", between(0.0, 10.0)),
    Field("retries", "retry_extra", between(0.0, 1e6)),
    Field("retries", "retry_window_s", between(0.1, 3600.0)),
    Field("stop", "stop_s", between(1.0, 3600.0)),
    Field("stop", "stop_notice_s", between(0.0, 600.0)),
    Field("metrics", "statsd_address", optional_address),
    Field("metrics", "statsd_prefix", identifier),
    Field("logs", "log_level", level),
    Field("logs", "log_lines_per_s", at_least(1)),
)
