"""The entries of a fleet's configuration."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any

import msgspec


@dataclass(frozen=True)
class Model:
    """A model and what of it is to be loaded.

    Parameters
    ----------
    name, version : str
        The model's name and the version that runs.
    adapters : tuple of str
        The adapters loaded beside it.
    max_prompt_tokens : int
        Longer prompts are refused.
    """

    name: str
    version: str = "1"
    adapters: tuple[str, ...] = ()
    max_prompt_tokens: int = 1_000_000


@dataclass(frozen=True)
class FailureDomain:
    """A set of hosts and upstreams that fail together.

    Parameters
    ----------
    name, region : str
        Its name and the region it lies in.
    state : {"in", "out", "returning"}
        Whether it takes new work.
    """

    name: str
    region: str
    state: str = "in"


@dataclass(frozen=True)
class Upstream:
    """One replica of a model, or of a plain service.

    Parameters
    ----------
    name : str
        The replica's name.
    kind : {"engine", "service"}
        How it is spoken to.
    serves : str
        The model's or the service's name.
    failure_domain, url : str
        Where it is.
    cell : str
        The group of replicas that one node owns together.
    state : {"in", "leaving"}
        Whether it takes new work.
    checks_fencing : bool
        Whether it refuses orders that carry an old fencing number.
    kv_capacity_tokens : int
        The memory of an engine.
    warm_limit_requests, cold_limit_requests : int
        How many requests it bears at a time, warm and in cold start.
    prefill_tokens_per_s : float
        How fast it reads prompts, for estimates of the wait.
    """

    name: str
    kind: str
    serves: str
    failure_domain: str
    url: str
    cell: str
    state: str = "in"
    checks_fencing: bool = False
    kv_capacity_tokens: int = 400_000
    warm_limit_requests: int = 32
    cold_limit_requests: int = 2
    prefill_tokens_per_s: float = 100_000.0


@dataclass(frozen=True)
class RequestClass:
    """A class of request.

    Parameters
    ----------
    name : str
        As in the caller's header.
    priority : int
        0 comes first.
    deadline_s : float
        The time that a request has where its caller names none.
    aging_s : float
        After waiting so long, a request counts as one priority higher.
    max_wait_s : float
        A request expected to wait longer for a replica is refused at once.
    """

    name: str
    priority: int = 0
    deadline_s: float = 60.0
    aging_s: float = 20.0
    max_wait_s: float = 30.0


@dataclass(frozen=True)
class Customer:
    """Who sends requests.

    Parameters
    ----------
    name : str
        The customer.
    token_sha256 : str
        The hash, in hexadecimal, of the token that its callers send.
    weight : float
        Its share beside other customers.
    retries_per_s, retry_burst : float
        The budget from which its retries, and nobody else's, are paid.
    max_waiting_tokens : int
        How many prompt tokens of its may wait in one cell.
    """

    name: str
    token_sha256: str
    weight: float = 1.0
    retries_per_s: float = 2.0
    retry_burst: float = 20.0
    max_waiting_tokens: int = 4_000_000


@dataclass(frozen=True)
class Operation:
    """One call of a plain service.

    Parameters
    ----------
    service, name : str
        The service and the operation in its path.
    idempotent : bool
        Whether it may be repeated; where not, a key is required.
    """

    service: str
    name: str
    idempotent: bool = False

    @property
    def entry_name(self):
        """The entry's name in the configuration."""
        return f"{self.service}/{self.name}"


ENTRY_TYPES: dict[str, Any] = {
    "models": Model,
    "failure_domains": FailureDomain,
    "upstreams": Upstream,
    "classes": RequestClass,
    "customers": Customer,
    "operations": Operation,
}


def decode_entry(section, value):
    """Build an entry from plain data.

    Raises
    ------
    msgspec.ValidationError
        With the path of what is wrong.
    """
    return msgspec.convert(value, ENTRY_TYPES[section])


def encode_entry(entry):
    """Turn an entry into plain data."""
    return msgspec.to_builtins(entry)


def _empty():
    """Return an empty read-only mapping."""
    return MappingProxyType({})


@dataclass(frozen=True)
class Fleet:
    """A whole configuration, section by section."""

    models: Mapping[str, Model] = field(default_factory=_empty)
    failure_domains: Mapping[str, FailureDomain] = field(default_factory=_empty)
    upstreams: Mapping[str, Upstream] = field(default_factory=_empty)
    classes: Mapping[str, RequestClass] = field(default_factory=_empty)
    customers: Mapping[str, Customer] = field(default_factory=_empty)
    operations: Mapping[str, Operation] = field(default_factory=_empty)
