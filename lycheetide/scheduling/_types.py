"""What the scheduler knows: requests that wait, permits given, replicas."""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True)
class Policy:
    """The numbers that the scheduler's choices rest on.

    Parameters
    ----------
    huge_tokens : int
        A prompt of at least so many tokens is huge.
    huge_share : float
        The share of a cell's replicas that take huge prompts.
    ahead_s : float
        A replica gets no further prompt while reading those before it would take
        longer than this.
    segment_share : float
        How much of an engine's memory one segment of a spanning prompt may take;
        the rest stays for short work.
    affinity_s : float
        How much later a cached prefix may make a request start than the least
        loaded replica would, beyond the reading time that it saves.
    crowd_s : float
        How much later a short prompt is expected to start on a replica that reads a
        huge one: the engine ends its step first.
    drain_after_s : float
        After waiting so long, a spanning prompt has replicas kept for it.
    drain_short_tokens : int
        Requests up to this size still go to replicas that are kept so.
    permit_use_s : float
        How long after it was granted a permit may be used.
    """

    huge_tokens: int = 32_000
    huge_share: float = 0.6
    ahead_s: float = 0.5
    segment_share: float = 0.8
    affinity_s: float = 0.1
    crowd_s: float = 0.05
    drain_after_s: float = 2.0
    drain_short_tokens: int = 16_000
    permit_use_s: float = 2.0


@dataclass(frozen=True)
class Ticket:
    """One request that waits for a replica.

    Parameters
    ----------
    ticket_id : str
        Drawn by the entry node; asking again with it keeps the place.
    entry_id : str
        The entry node's member id.
    request_id, customer, request_class : str
        Whose it is.
    priority : int
        0 comes first.
    aging_s, weight : float
        As in the class and the customer.
    prompt_tokens, answer_tokens : int
        The size of the prompt and the longest answer.
    prefix_key : str
        The customer and a hash of the prompt's beginning.
    arrived_s, asked_s, deadline_s : float
        On the owner's clock: first and last asked for, and when it is too late.
    avoid : tuple of str
        Replicas on which an earlier attempt broke.
    waiting_limit_tokens : int
        How many prompt tokens of the customer may wait in one cell.
    """

    ticket_id: str
    entry_id: str
    request_id: str
    customer: str
    request_class: str
    priority: int
    aging_s: float
    weight: float
    prompt_tokens: int
    answer_tokens: int
    prefix_key: str
    arrived_s: float
    asked_s: float
    deadline_s: float
    avoid: tuple[str, ...] = ()
    waiting_limit_tokens: int = 4_000_000

    @property
    def total_tokens(self):
        """The memory that the request needs in the end."""
        return self.prompt_tokens + self.answer_tokens


@dataclass(frozen=True)
class Permit:
    """Leave to send one request to certain replicas.

    Parameters
    ----------
    permit_id : str
        Never used twice.
    ticket : Ticket
        What it was given for.
    replicas : tuple of str
        Where it may go; several for a spanning prompt, the head last.
    tokens : tuple of int
        The memory taken at each replica.
    granted_s, renewed_s : float
        On the owner's clock.
    """

    permit_id: str
    ticket: Ticket
    replicas: tuple[str, ...]
    tokens: tuple[int, ...]
    granted_s: float
    renewed_s: float


@dataclass(frozen=True)
class Report:
    """What an upstream said of its load; it lags.

    Parameters
    ----------
    boot_id : str
        The life of the process that answered.
    warm : bool
        Whether it bears its full load.
    running, waiting_prefill_tokens, kv_used_tokens, kv_capacity_tokens : int
        Its load.
    at_s : float
        When it was asked.
    met : frozenset of str or None
        Requests that this life has certainly taken; None for an upstream that doesn't
        tell, of which all are taken for met that were granted before it was asked.
    """

    boot_id: str
    warm: bool
    running: int = 0
    waiting_prefill_tokens: int = 0
    kv_used_tokens: int = 0
    kv_capacity_tokens: int = 0
    at_s: float = 0.0
    met: frozenset[str] | None = None


@dataclass(frozen=True)
class Replica:
    """What the owner knows of one replica.

    Parameters
    ----------
    upstream : Upstream
        Its entry in the configuration.
    is_open : bool
        Whether the configuration lets it take new work.
    phase : str
        Its state in the upstream chart.
    boot_id : str
        The life that the last report told of.
    proved_s : float
        When the last report that told this life was asked for.
    ramp_limit : int
        How many requests it may bear at present; doubles with each warm report.
    report : Report
        The last report.
    busy_until_s, huge_until_s : float
        When the prompts sent so far will have been read, short ones and huge ones.
    """

    upstream: Any
    is_open: bool
    phase: str
    boot_id: str
    proved_s: float
    ramp_limit: int
    report: Report
    busy_until_s: float
    huge_until_s: float


@dataclass(frozen=True)
class ReplicaLoad:
    """What a choice between replicas looks at.

    Parameters
    ----------
    name : str
        The replica.
    slots : int
        How many more requests it bears now.
    kv_free_tokens, kv_capacity_tokens : int
        Its memory.
    short_s, huge_s : float
        How long it will be reading prompts sent before, short and huge ones.
    tokens_per_s : float
        How fast it reads.
    takes_huge : bool
        Whether huge prompts may go there.
    is_draining : bool
        Whether it is kept for a spanning prompt that waits.
    running : int
        The requests there.
    """

    name: str
    slots: int
    kv_free_tokens: int
    kv_capacity_tokens: int
    short_s: float
    huge_s: float
    tokens_per_s: float
    takes_huge: bool
    is_draining: bool
    running: int
