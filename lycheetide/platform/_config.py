"""Decode operators' records: the configuration and failure domains out of service."""

from collections.abc import Iterable

import msgspec

from lycheetide.exchange import Record
from lycheetide.routes import (
    CallerLimits,
    Customer,
    DomainDelay,
    EngineProfile,
    Route,
    RouteKind,
    RoutingConfig,
    Service,
    ServiceShare,
)

CONFIG_KEY = "config"
EVACUATE_PREFIX = "evacuate/"
MAX_DELAY_MS = 10_000.0
"""Declared delays from this value on are taken for mistakes and left out."""

_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}


class _Delay(msgspec.Struct, frozen=True):
    """One-way delay between two failure domains."""

    first: str = msgspec.field(name="from", default="")
    second: str = msgspec.field(name="targetVersion", default="")
    delay_ms: float = 0.0


class _Engine(msgspec.Struct, frozen=True, rename="camel"):
    """The engine of a service; five of its fields have snake-case names in JSON."""

    slots: int = 8
    kv_capacity_tokens: int = 0
    stride: int = 1  # token steps per pass
    step_ms: float = msgspec.field(name="step_ms", default=1.0)
    per_seq_ms: float = msgspec.field(name="per_seq_ms", default=0.0)
    context_per_k: float = msgspec.field(name="context_per_k", default=0.0)
    read_per_s: float = msgspec.field(name="read_per_s", default=0.0)
    pairs_per_m: float = msgspec.field(name="pairs_per_m", default=0.0)
    delays: list[_Delay] = []


class _Service(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    health_path: str = ""
    max_conns: int = 100
    cold_s: float = 0.0
    cold_per_s: float = 0.0
    engine: _Engine | None = None


class _Share(msgspec.Struct, frozen=True):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, frozen=True, rename="camel"):
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    name: str = ""
    goal_latency_ms: float = 0.0
    gap_target_ms: float = 0.0
    priority: int = 5
    service: str = ""
    split: list[_Share] = []
    attempts: int = 1
    public: bool = False
    resumable: bool = False
    allowed_regions: list[str] = []


class _Tenant(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    allowed_regions: list[str] = []


class _Limits(msgspec.Struct, frozen=True, rename="camel"):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


class _Config(msgspec.Struct, frozen=True, rename="camel"):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()
    tenants: list[_Tenant] | None = None


def _make_engine(engine):
    """Convert an engine; its times are converted to seconds.

    Returns None if there is no engine or its prefill rate is not positive.
    """
    if engine is None or engine.read_per_s <= 0:
        return None
    return EngineProfile(
        slots=engine.slots,
        kv_tokens=engine.kv_capacity_tokens,
        steps_per_pass=engine.stride,
        step_s=engine.step_ms / 1e3,
        step_s_per_writer=engine.per_seq_ms / 1e3,
        step_s_per_context_token=engine.context_per_k / 1e6,
        read_s_per_token=1.0 / engine.read_per_s,
        read_s_per_pair=engine.pairs_per_m / 1e9,
    )


def _collect_domain_delays(services):
    """Return the delays that engines declare, the largest for each pair of domains."""
    delays_s: dict[tuple[str, str], float] = {}
    for delay in (one for service in services if service.engine
                  for one in service.engine.delays):  # fmt: skip
        pair = min(delay.first, delay.second), max(delay.first, delay.second)
        if pair[0] != pair[1] and 0.0 <= delay.delay_ms < MAX_DELAY_MS:
            delays_s[pair] = max(delays_s.get(pair, 0.0), delay.delay_ms / 1e3)
    return tuple(DomainDelay(*pair, delay_s) for pair, delay_s in delays_s.items())


def _make_service(service):
    """Convert a service to the type of this project."""
    return Service(
        name=service.name,
        health_path=service.health_path,
        cold_s=service.cold_s,
        cold_requests_per_s=service.cold_per_s,
        max_connections=service.max_conns,
        engine=_make_engine(service.engine),
    )


def _make_route(route):
    """Convert a route to the type of this project."""
    shares = tuple(ServiceShare(share.service, share.weight) for share in route.split)
    return Route(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        kind=_KINDS.get(route.kind, RouteKind.NON_IDEMPOTENT),
        shares=shares or (ServiceShare(route.service, 1.0),),
        timeout_s=route.timeout_ms / 1e3,
        target_latency_s=route.goal_latency_ms / 1e3,
        target_gap_s=route.gap_target_ms / 1e3,
        priority=route.priority,
        max_attempts=max(1, route.attempts),
        is_public=route.public,
        is_resumable=route.resumable,
        regions=tuple(route.allowed_regions),
    )


def decode_routing(value: bytes) -> RoutingConfig:
    """Decode a configuration.

    Raises
    ------
    msgspec.MsgspecError
        If ``value`` is not a valid configuration.
    """
    config = msgspec.json.decode(value, type=_Config)
    customers = None
    if config.tenants is not None:
        customers = tuple(
            Customer(
                name=tenant.name,
                credentials=tuple(tenant.api_keys),
                priority=tenant.priority,
                regions=tuple(tenant.allowed_regions),
            )
            for tenant in config.tenants
        )
    limits = config.limits
    return RoutingConfig(
        version=config.version,
        routes=tuple(_make_route(route) for route in config.routes),
        services=tuple(_make_service(service) for service in config.services),
        customers=customers,
        limits=CallerLimits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_s=limits.header_timeout_ms / 1e3,
            idle_s=limits.idle_timeout_ms / 1e3,
        ),
        domain_delays=_collect_domain_delays(config.services),
    )


def decode_operator_records(records: Iterable[Record]):
    """Decode operators' records; records of other keys are skipped.

    Parameters
    ----------
    records : iterable of Record
        Records of the operators' topic.

    Yields
    ------
    record : Record
        The record.
    routing : RoutingConfig or None
        The new configuration, if the record holds one.
    domain : str or None
        The failure domain, if the record concerns one. The domain is taken out of
        service, or returned to service if the record has no value.
    """
    for record in records:
        if record.key == CONFIG_KEY and record.value is not None:
            yield record, decode_routing(record.value), None
        elif record.key.startswith(EVACUATE_PREFIX):
            yield record, None, record.key.removeprefix(EVACUATE_PREFIX)
