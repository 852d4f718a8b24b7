"""Types of log events, losses and their summary."""

from dataclasses import dataclass, field
from enum import StrEnum


class LossKind(StrEnum):
    """How a request was lost, as its caller saw it."""

    LATE = "late"
    PAUSED = "paused"
    REFUSED = "refused"
    CUT = "cut"
    FAILED = "failed"
    UNANSWERED = "unanswered"


class LossCause(StrEnum):
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


UNPREVENTABLE_CAUSES = frozenset(
    {
        LossCause.NODE_GONE,
        LossCause.NO_REPLICA,
        LossCause.NODE_STARTED,
        LossCause.REPLICA_FAILED,
    }
)
"""Causes that no placement decision of the fleet could have prevented."""


@dataclass(frozen=True)
class Event:
    """One line of a node's log.

    Parameters
    ----------
    at_s : float
        Time on the node's own wall clock.
    node, message : str
        Name of the node, and the message without its component's prefix.
    request : str
        Id of the request that the line is about; empty for none.
    fields : dict
        Other fields of the line.
    """

    at_s: float
    node: str
    message: str
    request: str = ""
    fields: dict = field(default_factory=dict)


@dataclass(frozen=True)
class PrefillPart:
    """Expected prefill of one part of a prompt at one replica.

    Parameters
    ----------
    replica, request : str
        Replica that does the prefill, and request that the prompt belongs to.
    start_s, end_s : float
        From the placement until the expected end of the whole prompt's prefill.
    prefill_s : float
        Prefill time of this part alone.
    tokens : int
        Length of the whole prompt.
    """

    replica: str
    request: str
    start_s: float
    end_s: float
    prefill_s: float
    tokens: int


@dataclass(frozen=True)
class Loss:
    """One request that was late, paused, refused, cut, failed or never answered.

    Parameters
    ----------
    request, route, customer, replica : str
        Ids and names; empty where the logs don't hold them.
    at_s : float
        Arrival time of the request.
    kind : LossKind
        How it was lost, as its caller saw it.
    cause : LossCause
        Why it was lost.
    excess_s : float
        Time by which it was late or paused beyond its target; 0 for other kinds.
    blocking_prompt : str
        Request whose prefill delayed it; empty for none.
    """

    request: str
    route: str
    customer: str
    replica: str
    at_s: float
    kind: LossKind
    cause: LossCause
    excess_s: float = 0.0
    blocking_prompt: str = ""


@dataclass(frozen=True)
class LossGroup:
    """Losses of one group: a cause, kind, route, customer or time window.

    Parameters
    ----------
    name : str
        Name of the group.
    count : int
        Number of lost requests.
    causes : tuple of (str, int)
        Lost requests by cause, the most frequent first.
    """

    name: str
    count: int
    causes: tuple[tuple[str, int], ...] = ()


@dataclass(frozen=True)
class BlockingPrompt:
    """A prompt whose prefill delayed other requests.

    Parameters
    ----------
    request : str
        Id of its request.
    tokens, readers : int
        Its length, and the number of replicas that took part in its prefill.
    engine_s : float
        Total prefill time of all these replicas.
    lost : int
        Requests that were lost because they waited for its prefill.
    """

    request: str
    tokens: int
    readers: int
    engine_s: float
    lost: int


@dataclass(frozen=True)
class Summary:
    """Summary of the losses in a set of logs.

    Parameters
    ----------
    requests, lost : int
        Requests that ended or whose end is in no log, and those that were lost.
    probed : int
        Failed requests that only probed the configuration; they are no losses.
    known_share : float
        Share of the lost requests whose cause is known.
    beyond_decisions : int
        Losses that no placement decision could have prevented.
    causes, kinds, routes, customers, windows : tuple of LossGroup
        Groups with most losses first.
    costly : tuple of BlockingPrompt
        Prompts whose prefill caused most losses first.
    """

    requests: int
    lost: int
    probed: int
    known_share: float
    beyond_decisions: int
    causes: tuple[LossGroup, ...]
    kinds: tuple[LossGroup, ...]
    routes: tuple[LossGroup, ...]
    customers: tuple[LossGroup, ...]
    windows: tuple[LossGroup, ...]
    costly: tuple[BlockingPrompt, ...]
