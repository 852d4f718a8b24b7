"""Immutable types of the routing configuration."""

from dataclasses import dataclass
from enum import StrEnum


class RouteKind(StrEnum):
    """Whether the requests of a route may be repeated, or are streamed."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True)
class EngineProfile:
    """Speed and capacity of the inference engine that a service's replicas run.

    Parameters
    ----------
    slots : int
        Number of requests that a replica processes concurrently.
    kv_tokens : int
        Capacity of the KV cache in tokens.
    steps_per_pass : int
        Number of token steps in a pass over all pending work.
    step_s : float
        Time of one token step (decoding), without any request.
    step_s_per_writer : float
        Time that each decoding request adds to a step.
    step_s_per_context_token : float
        Time that each context token of the decoding requests adds to a step.
    read_s_per_token : float
        Prefill time of a prompt token.
    read_s_per_pair : float
        Prefill time that each pair of a token and an earlier one adds (attention).
    """

    slots: int
    kv_tokens: int
    steps_per_pass: int
    step_s: float
    step_s_per_writer: float
    step_s_per_context_token: float
    read_s_per_token: float
    read_s_per_pair: float


DEFAULT_ENGINE = EngineProfile(
    slots=8,
    kv_tokens=200_000,
    steps_per_pass=32,
    step_s=0.001,
    step_s_per_writer=5e-6,
    step_s_per_context_token=4e-9,
    read_s_per_token=5e-6,
    read_s_per_pair=1.4e-10,
)
"""Default if a configuration has no engine: a large dense model on two accelerators."""


@dataclass(frozen=True)
class Service:
    """A service, which consists of interchangeable replicas.

    Parameters
    ----------
    name : str
        Name of the service.
    cold_s : float
        Time for which a replica stays cold after its start.
    cold_requests_per_s : float
        Request rate that a cold replica sustains from all callers together; 0 if
        replicas are never cold.
    max_connections : int
        Number of connections that a replica accepts from all callers together.
    engine : EngineProfile or None
        Speed and capacity of the engine; None for a service without prompts.
    health_path : str
        Path at which a replica says whether it is healthy; empty if it doesn't.
    """

    name: str
    cold_s: float = 0.0
    cold_requests_per_s: float = 0.0
    max_connections: int = 100
    engine: EngineProfile | None = None
    health_path: str = ""


@dataclass(frozen=True)
class ServiceShare:
    """The share of a route's requests that one service gets.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : float
        Weight relative to the other shares of the route.
    """

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """Target and rules of the requests with a given host and path prefix.

    Parameters
    ----------
    name : str
        Name of the route.
    host, path_prefix : str
        Host and path prefix of the requests that match.
    kind : RouteKind
        Whether the requests are idempotent or streams.
    shares : tuple of ServiceShare
        The services and their weights.
    timeout_s : float
        Maximum time until the final answer.
    target_latency_s : float
        Time within which an answer has its full value; for streams, the first event.
    target_gap_s : float
        Longest pause between events that users don't notice.
    priority : int
        Priority of the requests; 0 is the highest.
    max_attempts : int
        Maximum number of replicas that one request is sent to.
    is_public : bool
        Whether requests need no credential.
    is_resumable : bool
        Whether another replica may continue a stream.
    regions : tuple of str
        Regions in which the requests may run; empty for any.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout_s: float
    target_latency_s: float
    target_gap_s: float = 0.0
    priority: int = 5
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False
    regions: tuple[str, ...] = ()

    @property
    def is_repeatable(self):
        """Whether a request may safely run twice."""
        return self.kind is RouteKind.IDEMPOTENT or self.is_resumable


@dataclass(frozen=True)
class Customer:
    """A customer (tenant), on whose behalf requests are sent.

    Parameters
    ----------
    name : str
        Name of the customer.
    credentials : tuple of str
        Credentials that authenticate the customer's requests.
    priority : int or None
        Priority that overrides that of the routes.
    regions : tuple of str
        Regions in which the customer's requests may run; empty for any.
    """

    name: str
    credentials: tuple[str, ...]
    priority: int | None = None
    regions: tuple[str, ...] = ()


@dataclass(frozen=True)
class CallerLimits:
    """Limits on the size of a caller's requests and on the time to send them.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Maximum size of the header and of the body.
    header_s : float
        Maximum time until the header is complete.
    idle_s : float
        Maximum time for which a connection may be idle.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_s: float = 3.0
    idle_s: float = 15.0


@dataclass(frozen=True)
class DomainDelay:
    """Declared network delay between two failure domains.

    Parameters
    ----------
    first, second : str
        Names of the failure domains; the delay is the same both ways.
    delay_s : float
        One-way delay in seconds.
    """

    first: str
    second: str
    delay_s: float


@dataclass(frozen=True)
class RoutingConfig:
    """One version of the routing configuration.

    Parameters
    ----------
    version : int
        Version number.
    routes : tuple of Route
        All routes.
    services : tuple of Service
        All services.
    customers : tuple of Customer or None
        All customers; None if no route requires a credential.
    limits : CallerLimits
        Limits for all callers.
    domain_delays : tuple of DomainDelay
        Declared delays between failure domains; empty if none are declared.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    customers: tuple[Customer, ...] | None
    limits: CallerLimits = CallerLimits()
    domain_delays: tuple[DomainDelay, ...] = ()
