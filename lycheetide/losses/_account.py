"""Find what was lost, and why, in one pass over a fleet's events."""

from collections import defaultdict, deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from lycheetide.losses._types import Cause, Event, Kind, Loss, Read

READS_KEPT_S = 30.0
"""How long a part's reading is remembered: longer than any caller waits."""
BLAMED_SHARE = 0.25
"""Part of a delay that the reading of others has to fill to be its cause."""
NODE_STARTED_S = 3.0
"""For so long after its start a node may not know what replicas work on."""
NO_PLACE_SHARE = 0.3
"""Part of a target for which a request may look for a place before that is why it is
late."""
CAUSES = {
    "broken": Cause.REPLICA_BROKE,
    "silent": Cause.REPLICA_SILENT,
    "connect_failed": Cause.REPLICA_UNREACHABLE,
    "other_replica": Cause.REPLICA_UNREACHABLE,
    "refused": Cause.REPLICA_REFUSED,
    "upstream_error": Cause.REPLICA_FAILED,
    "wrong_answer": Cause.WRONG_ANSWER,
    "no_memory": Cause.NO_MEMORY,
    "no_room": Cause.NO_PLACE,
    "no_replica": Cause.NO_REPLICA,
    "not_ready": Cause.NODE_STARTED,
    "deadline": Cause.DEADLINE,
    "internal": Cause.INTERNAL,
}
"""Causes of attempts and refusals, as nodes log them."""
NOT_OWED = frozenset({"unauthenticated", "no_route", "body_too_large", "bad_request"})
"""Refusals of what no caller may ask."""


@dataclass
class Open:
    """A request that hasn't ended yet.

    Parameters
    ----------
    node : str
        Which node has it.
    at_s : float
        When its first line came.
    placed : list of Event
        Where it was sent.
    failed : list of Cause
        How attempts failed.
    """

    node: str
    at_s: float
    placed: list[Event] = field(default_factory=list)
    failed: list[Cause] = field(default_factory=list)


def account_losses(
    events: Iterable[Event],
    *,
    note_end: Callable[[], None] = lambda: None,
    note_read: Callable[[Read], None] = lambda read: None,
) -> Iterator[Loss]:
    """Yield the requests that were lost, in the order in which that is known.

    Parameters
    ----------
    events : iterable of Event
        In the order of their times.
    note_end : callable
        Called for each request that ended or was left open, lost or not.
    note_read : callable
        Called with each part that a replica was to read.
    """
    fleet = _Fleet(note_read)
    for event in events:
        for loss in fleet.take(event):
            if loss is not None:
                yield loss
            note_end()
    for loss in fleet.close():
        yield loss
        note_end()


class _Fleet:
    """What is known at one moment of the log.

    Parameters
    ----------
    note_read : callable
        Called with each part that a replica was to read.
    """

    def __init__(self, note_read):
        self.note_read = note_read
        self.open: dict[str, Open] = {}
        self.reads: dict[str, deque[Read]] = defaultdict(deque)
        self.started_s: dict[str, float] = {}

    def take(self, event):
        """Take one event in; yield a loss, or None, for each request that it ends."""
        match event.message:
            case "A prompt is placed.":
                self._place(event)
            case "An attempt failed." | "A silent stream is tried elsewhere as well.":
                cause = CAUSES.get(event.fields.get("cause", ""), Cause.UNKNOWN)
                self._find_open(event).failed.append(cause)
            case "A request ended.":
                yield self._end(event)
            case "The node has started.":
                self.started_s[event.node] = event.at_s
                yield from self._leave_open(event.node)

    def close(self):
        """Yield the requests whose end is in no log."""
        for node in {one.node for one in self.open.values()}:
            yield from self._leave_open(node)

    def _find_open(self, event):
        """Return what is known of an event's request."""
        return self.open.setdefault(event.request, Open(event.node, event.at_s))

    def _place(self, event):
        """Note where a prompt goes, and what is read for it."""
        self._find_open(event).placed.append(event)
        fields = event.fields
        part_s = fields.get("part_ms", 0) / 1e3
        ends_s = event.at_s + max(part_s, fields.get("expected_ms", 0) / 1e3)
        for replica in (fields["replica"], *fields.get("readers", ())):
            read = Read(
                replica, event.request, event.at_s, ends_s, part_s,
                fields.get("prompt_tokens", 0),
            )  # fmt: skip
            reads = self.reads[replica]
            reads.append(read)
            while reads and event.at_s - reads[0].begin_s > READS_KEPT_S:
                reads.popleft()
            self.note_read(read)

    def _leave_open(self, node):
        """Yield the losses of requests that ended with their node."""
        left = [name for name, one in self.open.items() if one.node == node]
        for name in left:
            one = self.open.pop(name)
            replica = one.placed[-1].fields["replica"] if one.placed else ""
            yield Loss(
                name, "", "", replica, one.at_s, Kind.UNANSWERED, Cause.NODE_GONE
            )

    def _end(self, event):
        """Return the loss of a request that ended, or None."""
        one = self.open.pop(event.request, None) or Open(event.node, event.at_s)
        outcome = event.fields.get("outcome", "")
        ended = _Ended(event, one)
        if outcome == "caller_left":
            return self._find_delay(ended) if ended.is_overdue else None
        if outcome.startswith("refused."):
            reason = outcome.rpartition(".")[2]
            if reason in NOT_OWED:
                return None
            return ended.make_loss(Kind.REFUSED, CAUSES.get(reason, Cause.UNKNOWN))
        if outcome == "cut":
            return ended.make_loss(Kind.CUT, ended.last_failure)
        if outcome.startswith("answered.5"):
            return ended.make_loss(Kind.FAILED, Cause.REPLICA_FAILED)
        return self._find_delay(ended)

    def _find_delay(self, ended):
        """Return the loss of a request that was late or paused, or None."""
        if ended.late_s > 0:
            begin_s, end_s = ended.at_s, ended.at_s + ended.first_s
            kind, lost_s = Kind.LATE, ended.late_s
        elif ended.paused_s > 0:
            end_s = ended.at_s + ended.pause_at_s
            begin_s = end_s - ended.longest_pause_s
            kind, lost_s = Kind.PAUSED, ended.paused_s
        else:
            return None
        cause, blamed = self._find_cause(ended, kind, begin_s, end_s, lost_s)
        return ended.make_loss(kind, cause, lost_s=lost_s, blamed=blamed)

    def _find_cause(self, ended, kind, begin_s, end_s, lost_s):
        """Return why a request was late or paused, and the prompt it stood behind."""
        if ended.open.failed:
            return ended.last_failure, ""
        if not ended.open.placed:
            return (Cause.SLOW_SERVICE if not ended.is_stream else Cause.NO_PLACE), ""
        placed = ended.open.placed[-1]
        if kind is Kind.LATE:
            looked_s = placed.at_s - ended.at_s
            if looked_s > NO_PLACE_SHARE * ended.target_s:
                return Cause.NO_PLACE, ""
        others = [
            read
            for read in self.reads[placed.fields["replica"]]
            if read.request != ended.event.request
            and read.begin_s < end_s
            and read.end_s + lost_s > begin_s
        ]
        if sum(read.part_s for read in others) >= BLAMED_SHARE * lost_s:
            return Cause.BEHIND_READING, max(others, key=_part_s).request
        return self._find_own_cause(ended, placed, kind), ""

    def _find_own_cause(self, ended, placed, kind):
        """Return why a request was late that stood behind nobody's reading."""
        fields = placed.fields
        if kind is Kind.LATE and fields.get("part_ms", 0) / 1e3 > ended.late_s:
            return Cause.OWN_LENGTH
        if fields.get("writers", 0) + 1 > fields.get("slots", float("inf")):
            return Cause.NO_SLOT
        started_s = self.started_s.get(ended.event.node, float("-inf"))
        if placed.at_s - started_s < NODE_STARTED_S:
            return Cause.NODE_STARTED
        return Cause.UNKNOWN


def _part_s(read):
    """Return the length of a part's reading."""
    return read.part_s


@dataclass(frozen=True)
class _Ended:
    """The last line of a request, with what was known of it before."""

    event: Event
    open: Open

    def _seconds(self, name):
        """Return one of the line's fields, which are milliseconds."""
        return self.event.fields.get(name, 0) / 1e3

    @property
    def at_s(self):
        """When the request came."""
        return self.event.at_s - self._seconds("took_ms")

    @property
    def target_s(self):
        """When its answer, or its first event, is wanted; infinite for never."""
        return self._seconds("target_ms") or float("inf")

    @property
    def is_stream(self):
        """Whether its answer is a stream of events."""
        return "events" in self.event.fields

    @property
    def first_s(self):
        """When its answer or first event came, or its caller left."""
        return self._seconds("first_ms") or self._seconds("took_ms")

    @property
    def longest_pause_s(self):
        """The longest pause between two of its events."""
        return self._seconds("longest_pause_ms")

    @property
    def pause_at_s(self):
        """When the longest pause ended, from when the request came."""
        return self._seconds("longest_pause_at_ms") or self._seconds("took_ms")

    @property
    def late_s(self):
        """How late it was."""
        return self.first_s - self.target_s

    @property
    def paused_s(self):
        """How much longer than wanted it paused."""
        gap_s = self._seconds("gap_ms")
        return self.longest_pause_s - gap_s if gap_s else 0.0

    @property
    def is_overdue(self):
        """Whether its caller left without an event long after that was wanted."""
        return self.event.fields.get("events") == 0 and self.late_s > 0

    @property
    def last_failure(self):
        """How its last attempt failed."""
        return self.open.failed[-1] if self.open.failed else Cause.UNKNOWN

    def make_loss(self, kind, cause, *, lost_s=0.0, blamed=""):
        """Return its loss."""
        placed = self.open.placed
        return Loss(
            self.event.request,
            self.event.fields.get("route", ""),
            self.event.fields.get("customer", ""),
            placed[-1].fields["replica"] if placed else "",
            self.at_s,
            kind,
            cause,
            lost_s,
            blamed,
        )
