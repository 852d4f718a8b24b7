"""One version of the routing configuration, as frozen data."""

from dataclasses import dataclass
from enum import StrEnum


class Kind(StrEnum):
    """What may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True)
class Engine:
    """How fast the replicas of a service read and write.

    Parameters
    ----------
    slots : int
        Requests that a replica processes at once.
    kv_tokens : int
        Tokens that its memory holds.
    steps_per_pass : int
        Token steps of one pass over all waiting work.
    step_s : float
        Time of one token step.
    step_s_per_writer : float
        What each writing request adds to a step.
    step_s_per_context_token : float
        What each token of the writers' contexts adds to a step.
    read_s_per_token : float
        Time to read one prompt token.
    read_s_per_pair : float
        What each pair of a token and an earlier one adds.
    """

    slots: int
    kv_tokens: int
    steps_per_pass: int
    step_s: float
    step_s_per_writer: float
    step_s_per_context_token: float
    read_s_per_token: float
    read_s_per_pair: float


ANY_ENGINE = Engine(
    slots=8,
    kv_tokens=200_000,
    steps_per_pass=32,
    step_s=0.001,
    step_s_per_writer=5e-6,
    step_s_per_context_token=4e-9,
    read_s_per_token=5e-6,
    read_s_per_pair=1.4e-10,
)
"""Used where a configuration names none: a large dense model on two accelerators."""


@dataclass(frozen=True)
class Service:
    """Replicas that are interchangeable.

    Parameters
    ----------
    name : str
        Its name.
    cold_s : float
        How long a replica stays cold after its start.
    cold_requests_per_s : float
        What a cold replica bears from all callers together; 0 where it is never cold.
    max_connections : int
        Connections that a replica accepts from all callers together.
    engine : Engine or None
        None for a service without prompts.
    """

    name: str
    cold_s: float = 0.0
    cold_requests_per_s: float = 0.0
    max_connections: int = 100
    engine: Engine | None = None


@dataclass(frozen=True)
class Share:
    """The part of a route's requests that one service gets."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """Where requests with one path prefix go.

    Parameters
    ----------
    name, host, path_prefix : str
        What it is called and what it matches.
    kind : Kind
        What may be repeated.
    shares : tuple of Share
        The services, by weight.
    timeout_s : float
        The longest time until the final answer.
    target_latency_s : float
        Time within which an answer is worth most; for streams, the first event.
    target_gap_s : float
        Longest pause between events that users don't notice.
    priority : int
        0 is first.
    max_attempts : int
        Replicas that one request may be sent to.
    is_public : bool
        Whether it needs no credential.
    is_resumable : bool
        Whether a stream may go on at another replica.
    regions : tuple of str
        Where it may run; empty for anywhere.
    """

    name: str
    host: str
    path_prefix: str
    kind: Kind
    shares: tuple[Share, ...]
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
        """Whether running a request twice does no harm."""
        return self.kind is Kind.IDEMPOTENT or self.is_resumable


@dataclass(frozen=True)
class Customer:
    """Who sends requests.

    Parameters
    ----------
    name : str
        Its name.
    credentials : tuple of str
        What proves that a request is its own.
    priority : int or None
        Goes before its routes' priority.
    regions : tuple of str
        Where its requests may run; empty for anywhere.
    """

    name: str
    credentials: tuple[str, ...]
    priority: int | None = None
    regions: tuple[str, ...] = ()


@dataclass(frozen=True)
class Limits:
    """What a caller may send and how long it may take."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_s: float = 3.0
    idle_s: float = 15.0


@dataclass(frozen=True)
class Routing:
    """One version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    customers: tuple[Customer, ...] | None
    limits: Limits = Limits()
