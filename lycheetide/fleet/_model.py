"""The entries of a fleet configuration."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any

import msgspec


@dataclass(frozen=True)
class Model:
    """A model and the adapters to load with it.

    Parameters
    ----------
    name, version : str
        The model and the version in use.
    adapters : tuple of str
        The adapters loaded with the model.
    max_prompt_tokens : int
        The maximum prompt length; longer prompts are refused.
    """

    name: str
    version: str = "1"
    adapters: tuple[str, ...] = ()
    max_prompt_tokens: int = 1_000_000


@dataclass(frozen=True)
class FailureDomain:
    """A failure domain: hosts and upstreams that may fail together.

    Parameters
    ----------
    name, region : str
        The failure domain and its region.
    state : {"in", "out", "returning"}
        Whether its upstreams get new work.
    """

    name: str
    region: str
    state: str = "in"


@dataclass(frozen=True)
class Upstream:
    """One replica of a model or of a service.

    Parameters
    ----------
    name : str
        The replica's name.
    kind : {"engine", "service"}
        Which protocol it speaks: that of a model engine or that of a service.
    serves : str
        The name of the model or service.
    failure_domain, url : str
        The failure domain that it belongs to and its base URL.
    cell : str
        The group of replicas that it belongs to; one node owns the whole group.
    state : {"in", "leaving"}
        Whether it gets new work.
    checks_fencing : bool
        Whether it refuses requests with an outdated fencing number.
    kv_capacity_tokens : int
        The KV cache capacity of an engine.
    warm_limit_requests, cold_limit_requests : int
        The maximum number of concurrent requests, warm and during a cold start.
    prefill_tokens_per_s : float
        The prefill rate, used to estimate waiting times.
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
    """A request class with its priority and time limits.

    Parameters
    ----------
    name : str
        The value of the caller's request class header.
    priority : int
        The priority; 0 is the highest.
    deadline_s : float
        The time limit of a request whose caller sets no deadline.
    aging_s : float
        A waiting request is raised by one priority each time this period passes.
    max_wait_s : float
        The maximum wait for a replica; a request that is expected to wait longer is
        refused at once.
    """

    name: str
    priority: int = 0
    deadline_s: float = 60.0
    aging_s: float = 20.0
    max_wait_s: float = 30.0


@dataclass(frozen=True)
class Customer:
    """A customer (tenant) with its credentials and limits.

    Parameters
    ----------
    name : str
        The customer's name.
    token_sha256 : str
        The hexadecimal SHA-256 hash of the token that its callers send.
    weight : float
        Its share of the capacity relative to other customers.
    retries_per_s, retry_burst : float
        The rate and the burst of its retry budget, which it shares with no other
        customer.
    max_waiting_tokens : int
        The maximum number of its prompt tokens that may wait in one cell.
    """

    name: str
    token_sha256: str
    weight: float = 1.0
    retries_per_s: float = 2.0
    retry_burst: float = 20.0
    max_waiting_tokens: int = 4_000_000


@dataclass(frozen=True)
class Operation:
    """An operation of a service.

    Parameters
    ----------
    service, name : str
        The service and the name of the operation in the URL path.
    idempotent : bool
        Whether the operation may be repeated. If not, callers must send an
        idempotency key.
    """

    service: str
    name: str
    idempotent: bool = False

    @property
    def entry_name(self):
        """The name of the entry in the configuration."""
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
    """Decode a configuration entry from plain data.

    Raises
    ------
    msgspec.ValidationError
        If the data is invalid; the message holds the path of the invalid field.
    """
    return msgspec.convert(value, ENTRY_TYPES[section])


def encode_entry(entry):
    """Encode a configuration entry as plain data."""
    return msgspec.to_builtins(entry)


def _empty_mapping():
    """Return an empty read-only mapping."""
    return MappingProxyType({})


@dataclass(frozen=True)
class Fleet:
    """A complete configuration: for each section, the entries by name."""

    models: Mapping[str, Model] = field(default_factory=_empty_mapping)
    failure_domains: Mapping[str, FailureDomain] = field(default_factory=_empty_mapping)
    upstreams: Mapping[str, Upstream] = field(default_factory=_empty_mapping)
    classes: Mapping[str, RequestClass] = field(default_factory=_empty_mapping)
    customers: Mapping[str, Customer] = field(default_factory=_empty_mapping)
    operations: Mapping[str, Operation] = field(default_factory=_empty_mapping)
