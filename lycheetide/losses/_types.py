"""What an account of losses is made of."""

from dataclasses import dataclass, field
from enum import StrEnum


class Kind(StrEnum):
    """What a caller noticed."""

    LATE = "late"
    PAUSED = "paused"
    REFUSED = "refused"
    CUT = "cut"
    FAILED = "failed"
    UNANSWERED = "unanswered"


class Cause(StrEnum):
    """Why a request was lost."""

    BEHIND_READING = "behind_reading"
    OWN_LENGTH = "own_length"
    NO_PLACE = "no_place"
    NO_SLOT = "no_slot"
    NO_MEMORY = "no_memory"
    NO_REPLICA = "no_replica"
    REPLICA_BROKE = "replica_broke"
    REPLICA_SILENT = "replica_silent"
    REPLICA_UNREACHABLE = "replica_unreachable"
    REPLICA_REFUSED = "replica_refused"
    REPLICA_FAILED = "replica_failed"
    WRONG_ANSWER = "wrong_answer"
    SLOW_SERVICE = "slow_service"
    DEADLINE = "deadline"
    NODE_GONE = "node_gone"
    NODE_STARTED = "node_started"
    INTERNAL = "internal"
    UNKNOWN = "unknown"


BEYOND_DECISIONS = frozenset(
    {Cause.NODE_GONE, Cause.NO_REPLICA, Cause.NODE_STARTED, Cause.REPLICA_FAILED}
)
"""Causes that no choice of the fleet's could have prevented."""


@dataclass(frozen=True)
class Event:
    """One line of a node's log.

    Parameters
    ----------
    at_s : float
        When, on the node's own wall clock.
    node, message : str
        Whose line, and its sentence without the part's prefix.
    request : str
        Which request it is about; empty for none.
    fields : dict
        The line's other fields.
    """

    at_s: float
    node: str
    message: str
    request: str = ""
    fields: dict = field(default_factory=dict)


@dataclass(frozen=True)
class Read:
    """The reading of one part of a prompt at one replica, as it was expected.

    Parameters
    ----------
    replica, request : str
        Where, and whose.
    begin_s, end_s : float
        From its placement until its prompt was expected to be read.
    part_s : float
        The part's reading alone.
    tokens : int
        Of the whole prompt.
    """

    replica: str
    request: str
    begin_s: float
    end_s: float
    part_s: float
    tokens: int


@dataclass(frozen=True)
class Loss:
    """One request that was late, paused, refused, cut or never answered.

    Parameters
    ----------
    request, route, customer, replica : str
        Which; empty where the logs don't tell.
    at_s : float
        When it came.
    kind : Kind
        What its caller noticed.
    cause : Cause
        Why.
    lost_s : float
        By how much it was late or paused beyond its target; 0 for the others.
    blamed : str
        The prompt whose reading it stood behind; empty for none.
    """

    request: str
    route: str
    customer: str
    replica: str
    at_s: float
    kind: Kind
    cause: Cause
    lost_s: float = 0.0
    blamed: str = ""


@dataclass(frozen=True)
class Row:
    """How much was lost in one group: a cause, a route, a window, a prompt.

    Parameters
    ----------
    name : str
        The group.
    count : int
        Requests lost.
    causes : tuple of (str, int)
        By cause, the most frequent first.
    """

    name: str
    count: int
    causes: tuple[tuple[str, int], ...] = ()


@dataclass(frozen=True)
class Costly:
    """A prompt that others stood behind.

    Parameters
    ----------
    request : str
        Which.
    tokens, readers : int
        Its length, and the replicas that read it.
    engine_s : float
        Reading at all of them together.
    lost : int
        Requests that were lost behind it.
    """

    request: str
    tokens: int
    readers: int
    engine_s: float
    lost: int


@dataclass(frozen=True)
class Summary:
    """An account of losses.

    Parameters
    ----------
    requests, lost : int
        Requests that ended or were left open, and those that were lost.
    probed : int
        Requests without a good answer that only probed the configuration; no losses.
    known_share : float
        Part of the lost whose cause is known.
    beyond_decisions : int
        Lost by what no choice could have prevented.
    causes, kinds, routes, customers, windows : tuple of Row
        The worst first.
    costly : tuple of Costly
        Prompts that others were lost behind, the worst first.
    """

    requests: int
    lost: int
    probed: int
    known_share: float
    beyond_decisions: int
    causes: tuple[Row, ...]
    kinds: tuple[Row, ...]
    routes: tuple[Row, ...]
    customers: tuple[Row, ...]
    windows: tuple[Row, ...]
    costly: tuple[Costly, ...]
