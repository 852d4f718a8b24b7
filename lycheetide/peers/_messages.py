"""Requests and replies of the calls between nodes."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from lycheetide.membership import MemberRow, View
from lycheetide.quarantine import QuarantineEntry
from lycheetide.scheduling import Permit


@dataclass(frozen=True)
class PullRequest:
    """Heartbeat: a member sends its own row and asks for the others."""

    row: MemberRow


@dataclass(frozen=True)
class CrashRow:
    """A prompt whose answer was beginning when an engine's process ended.

    Parameters
    ----------
    process : str
        Name of the engine and id of the process.
    prompt : int
        64-bit hash of the prompt.
    parts : tuple of bytes
        Hashes of its parts.
    age_ms : int
        Time since the crash.
    """

    process: str
    prompt: int
    parts: tuple[bytes, ...]
    age_ms: int


@dataclass(frozen=True)
class PresentCrash:
    """The crash of an engine, with the prompts that it had at hand.

    Parameters
    ----------
    process : str
        Name of the engine and id of the process.
    age_ms : int
        Time since the crash.
    prompts : tuple of (int, tuple of bytes, int, bool)
        The fields of each, as of ``PresentPrompt``; its age is in milliseconds.
    """

    process: str
    age_ms: int
    prompts: tuple[tuple[int, tuple[bytes, ...], int, bool], ...]


@dataclass(frozen=True)
class PresentPart:
    """What is known of a part that was present at the crash of an engine.

    Parameters
    ----------
    process : str
        The process that crashed.
    part : bytes
        Hash of the part.
    fresh, others : tuple of int
        Hashes of the other processes that had it at hand.
    survivor : str
        The process that last survived an answer to it; empty for none.
    survived_age_ms : int
        Time since that answer.
    """

    process: str
    part: bytes
    fresh: tuple[int, ...]
    others: tuple[int, ...]
    survivor: str = ""
    survived_age_ms: int = 0


@dataclass(frozen=True)
class BreakRow:
    """An attempt at a request that an upstream broke off.

    Parameters
    ----------
    process : str
        Name of the upstream and id of the process.
    request : bytes
        Fingerprint of the request.
    generation, call : int
        As in ``quarantine.Break``.
    took_ms : int
        Time from the arrival of the call to the break.
    left_ms : int
        Time that its caller waits from the break on.
    age_ms : int
        Time since the break.
    is_crash : bool
        Whether the process has certainly ended.
    """

    process: str
    request: bytes
    generation: int
    call: int
    took_ms: int
    left_ms: int
    age_ms: int
    is_crash: bool = False


@dataclass(frozen=True)
class BreakReport:
    """Tell another node of attempts that were broken off."""

    breaks: tuple[BreakRow, ...]


@dataclass(frozen=True)
class BreakReply:
    """Reply to ``BreakReport``."""


@dataclass(frozen=True)
class PullReply:
    """Reply to a heartbeat: what the receiver knows of the members, itself first.

    Parameters
    ----------
    rows : tuple of MemberRow
        One for each member heard of recently.
    view : View or None
        Latest view, if the sender of the heartbeat knows only an older one. A new host
        needs it from here during an outage of the log.
    crashes : tuple of CrashRow
        Recent crashes of engines.
    quarantines : tuple of QuarantineEntry
        Prompts that are kept from engines, or no longer.
    breaks : tuple of BreakRow
        Recent crashes under requests.
    present : tuple of PresentCrash
        Recent crashes of engines with all prompts that were at hand.
    parts : tuple of PresentPart
        What is known of their parts.
    """

    rows: tuple[MemberRow, ...]
    view: View | None = None
    crashes: tuple[CrashRow, ...] = ()
    quarantines: tuple[QuarantineEntry, ...] = ()
    breaks: tuple[BreakRow, ...] = ()
    present: tuple[PresentCrash, ...] = ()
    parts: tuple[PresentPart, ...] = ()


class AcquireStatus(StrEnum):
    """Outcome of a request for a permit."""

    GRANTED = "granted"
    WAITING = "waiting"
    REFUSED = "refused"
    NOT_OWNER = "not_owner"


@dataclass(frozen=True)
class AcquireRequest:
    """Ask the owner of a cell for a permit, or poll for one.

    Repeating the request with the same ticket keeps its place in the owner's queue.

    Parameters
    ----------
    owner_id : str
        Member id of the owner. It names one incarnation of the owner; another one at
        the same address rejects the request.
    cell : str
        Cell that the permit is for.
    ticket_id, entry_id, request_id, customer, request_class, prefix_key : str
        As in ``Ticket``.
    prompt_tokens, answer_tokens : int
        As in ``Ticket``.
    left_ms : int
        Time left until the deadline.
    waited_ms : int
        Time that the request has waited so far, here or at other owners.
    avoid : tuple of str
        Replicas on which an earlier attempt failed.
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
    """Outcome of a request for a permit; fields that don't apply are empty."""

    status: AcquireStatus
    permit_id: str = ""
    replicas: tuple[str, ...] = ()
    reason: str = ""
    message: str = ""
    retry_after_ms: int = 0
    wants_met: bool = False


@dataclass(frozen=True)
class MetRequest:
    """Tell an owner that an upstream has received the request of a permit.

    ``boot_id`` names the incarnation of the upstream that received it.
    """

    cell: str
    permit_id: str
    replica: str
    boot_id: str


@dataclass(frozen=True)
class MetReply:
    """Empty acknowledgement."""


@dataclass(frozen=True)
class AdoptRequest:
    """Tell the new owner of a cell of permits that an earlier owner granted."""

    cell: str
    permits: tuple[Permit, ...]


@dataclass(frozen=True)
class AdoptReply:
    """Empty acknowledgement."""


@dataclass(frozen=True)
class RenewRequest:
    """Renew permits of one cell."""

    cell: str
    permit_ids: tuple[str, ...]


@dataclass(frozen=True)
class RenewReply:
    """Ids of the permits that the owner does not know."""

    unknown: tuple[str, ...]


@dataclass(frozen=True)
class FinishRequest:
    """Return a permit, or withdraw a ticket.

    The owner probes the replicas in ``broken`` again.
    """

    cell: str
    permit_id: str = ""
    ticket_id: str = ""
    broken: tuple[str, ...] = ()


@dataclass(frozen=True)
class FinishReply:
    """Empty acknowledgement."""


class HandOverStatus(StrEnum):
    """Whether an earlier owner has given up a cell."""

    GIVEN = "given"
    NOT_YET = "not_yet"
    OTHER_INCARNATION = "other_incarnation"


@dataclass(frozen=True)
class HandOverRequest:
    """Ask an earlier owner to hand over a cell that a later view assigns to another."""

    owner_id: str
    cell: str
    view_number: int


@dataclass(frozen=True)
class HandOverReply:
    """Permits in force, which give their times of grant and renewal.

    These times are on the clock of the earlier owner, which stands at ``now_s``.
    """

    status: HandOverStatus
    permits: tuple[Permit, ...] = ()
    now_s: float = 0.0


@dataclass(frozen=True)
class ConfigRequest:
    """Ask for the configuration if it is newer than ``version``."""

    version: int


@dataclass(frozen=True)
class ConfigReply:
    """Snapshot record of the configuration, or None if there is no newer one."""

    snapshot: Any = None


@dataclass(frozen=True)
class BookingQuery:
    """Ask the node that holds the claim on a key for its outcome."""

    member_id: str
    key: str


class BookingStatus(StrEnum):
    """State of a key at the node that holds it."""

    RUNNING = "running"
    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class BookingReply:
    """Outcome of a key; ``http_status`` and ``body`` come from the service."""

    status: BookingStatus
    body_hash: str = ""
    http_status: int = 0
    body: Any = None
    reason: str = ""
    message: str = ""
    retry_after_ms: int = 0


@dataclass(frozen=True)
class RunBookingRequest:
    """Ask the node that issued a key to run its operation."""

    member_id: str
    key: str
    customer: str
    service: str
    operation: str
    request_class: str
    request_id: str
    body: bytes
    left_ms: int


# Request and reply type of each gRPC method.
METHODS: dict[str, tuple[type, type]] = {
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
    "report_breaks": (BreakReport, BreakReply),
}
