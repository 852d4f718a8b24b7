"""The messages between nodes."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from lycheetide.membership import Row, View
from lycheetide.scheduling import Permit


@dataclass(frozen=True)
class PullRequest:
    """A heartbeat: who asks, and what it says of itself."""

    row: Row


@dataclass(frozen=True)
class PullReply:
    """What the asked node knows of the members, itself first.

    Parameters
    ----------
    rows : tuple of Row
        One for each member heard of lately.
    view : View or None
        The newest view, where the asker knows an older one: a new host can't read it
        from the log during an outage.
    """

    rows: tuple[Row, ...]
    view: View | None = None


class AcquireStatus(StrEnum):
    """What became of the wish for a permit."""

    GRANTED = "granted"
    WAITING = "waiting"
    REFUSED = "refused"
    NOT_OWNER = "not_owner"


@dataclass(frozen=True)
class AcquireRequest:
    """Ask a cell's owner for a permit; asking again keeps the place.

    Parameters
    ----------
    owner_id : str
        The incarnation that is asked; another one at its address does not answer.
    cell : str
        The cell.
    ticket_id, entry_id, request_id, customer, request_class, prefix_key : str
        As in ``Ticket``.
    prompt_tokens, answer_tokens : int
        As in ``Ticket``.
    left_ms : int
        The time left to the deadline.
    waited_ms : int
        How long the request has waited already, here or at other owners.
    avoid : tuple of str
        Replicas on which an earlier attempt broke.
    """

    owner_id: str
    cell: str
    ticket_id: str
    entry_id: str
    request_id: str
    customer: str
    request_class: str
    prompt_tokens: int
    answer_tokens: int
    prefix_key: str
    left_ms: int
    waited_ms: int = 0
    avoid: tuple[str, ...] = ()


@dataclass(frozen=True)
class AcquireReply:
    """What became of it; fields that don't apply are empty."""

    status: AcquireStatus
    permit_id: str = ""
    replicas: tuple[str, ...] = ()
    reason: str = ""
    message: str = ""
    retry_after_ms: int = 0
    wants_met: bool = False


@dataclass(frozen=True)
class MetRequest:
    """Tell an owner which life of an upstream has taken a permit's request."""

    cell: str
    permit_id: str
    replica: str
    boot_id: str


@dataclass(frozen=True)
class MetReply:
    """Nothing but the receipt."""


@dataclass(frozen=True)
class AdoptRequest:
    """Tell a cell's new owner of permits that an earlier owner gave."""

    cell: str
    permits: tuple[Permit, ...]


@dataclass(frozen=True)
class AdoptReply:
    """Nothing but the receipt."""


@dataclass(frozen=True)
class RenewRequest:
    """Keep permits of one cell alive."""

    cell: str
    permit_ids: tuple[str, ...]


@dataclass(frozen=True)
class RenewReply:
    """The permits that the owner does not know."""

    unknown: tuple[str, ...]


@dataclass(frozen=True)
class FinishRequest:
    """End a permit, or withdraw a ticket; ``broken`` replicas are looked at anew."""

    cell: str
    permit_id: str = ""
    ticket_id: str = ""
    broken: tuple[str, ...] = ()


@dataclass(frozen=True)
class FinishReply:
    """Nothing but the receipt."""


class HandOverStatus(StrEnum):
    """Whether an earlier owner has given a cell up."""

    GIVEN = "given"
    NOT_YET = "not_yet"
    OTHER_INCARNATION = "other_incarnation"


@dataclass(frozen=True)
class HandOverRequest:
    """Ask an earlier owner for a cell that a later view gives to another."""

    owner_id: str
    cell: str
    view_number: int


@dataclass(frozen=True)
class HandOverReply:
    """The permits in force, with how long ago each was granted and renewed."""

    status: HandOverStatus
    permits: tuple[Permit, ...] = ()
    now_s: float = 0.0


@dataclass(frozen=True)
class ConfigRequest:
    """Ask for the configuration if it is newer."""

    version: int


@dataclass(frozen=True)
class ConfigReply:
    """A snapshot record, or None."""

    snapshot: Any = None


@dataclass(frozen=True)
class BookingQuery:
    """Ask the node that holds a claim what became of it."""

    member_id: str
    key: str


class BookingStatus(StrEnum):
    """What a node knows of a key that it holds."""

    RUNNING = "running"
    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class BookingReply:
    """What became of a key; status and body are the service's."""

    status: BookingStatus
    body_hash: str = ""
    http_status: int = 0
    body: Any = None
    reason: str = ""
    message: str = ""
    retry_after_ms: int = 0


@dataclass(frozen=True)
class RunBookingRequest:
    """Have the node that issued a key run it."""

    member_id: str
    key: str
    customer: str
    service: str
    operation: str
    request_class: str
    request_id: str
    body: bytes
    left_ms: int


# For each call: its request and its reply.
CALLS: dict[str, tuple[type, type]] = {
    "pull": (PullRequest, PullReply),
    "acquire": (AcquireRequest, AcquireReply),
    "met": (MetRequest, MetReply),
    "adopt": (AdoptRequest, AdoptReply),
    "renew": (RenewRequest, RenewReply),
    "finish": (FinishRequest, FinishReply),
    "hand_over": (HandOverRequest, HandOverReply),
    "fetch_config": (ConfigRequest, ConfigReply),
    "query_booking": (BookingQuery, BookingReply),
    "run_booking": (RunBookingRequest, BookingReply),
}
