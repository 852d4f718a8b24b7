"""Find lost requests and the causes of their loss in one pass over the log events."""

from collections import defaultdict, deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from lycheetide.losses._types import Event, Loss, LossCause, LossKind, PrefillPart

PREFILL_HISTORY_S = 30.0
"""How long a prefill is kept in the history: longer than any caller waits."""
MIN_PREFILL_SHARE = 0.25
"""Share of a delay that other prompts' prefill must account for to be its cause."""
NODE_STARTUP_S = 3.0
"""Time after its start during which a node may not know the replicas' current load."""
MAX_PLACEMENT_SHARE = 0.3
"""Share of a request's target latency that its placement may take. Beyond it, the wait
for a placement is the cause of the delay."""
CAUSES_BY_CODE = {
    "broken": LossCause.REPLICA_BROKE,
    "silent": LossCause.REPLICA_SILENT,
    "connect_failed": LossCause.REPLICA_UNREACHABLE,
    "other_replica": LossCause.REPLICA_UNREACHABLE,
    "refused": LossCause.REPLICA_REFUSED,
    "upstream_error": LossCause.REPLICA_FAILED,
    "wrong_answer": LossCause.WRONG_ANSWER,
    "no_memory": LossCause.NO_MEMORY,
    "no_room": LossCause.NO_PLACE,
    "no_replica": LossCause.NO_REPLICA,
    "not_ready": LossCause.NODE_STARTED,
    "deadline": LossCause.DEADLINE,
    "internal": LossCause.INTERNAL,
}
"""Causes by the codes of failed attempts and refusals in the logs of nodes."""
CLIENT_ERRORS = frozenset(
    {"unauthenticated", "no_route", "body_too_large", "bad_request"}
)
"""Codes of refusals that are the caller's fault and so are no losses."""


@dataclass
class OpenRequest:
    """A request that has not ended yet.

    Parameters
    ----------
    node : str
        Node that handles it.
    at_s : float
        Time of its first log line.
    placements : list of Event
        Its placements on replicas, in order.
    failed : list of LossCause
        Causes of its failed attempts, in order.
    """

    node: str
    at_s: float
    placements: list[Event] = field(default_factory=list)
    failed: list[LossCause] = field(default_factory=list)


def detect_losses(
    events: Iterable[Event],
    *,
    on_end: Callable[[], None] = lambda: None,
    on_read: Callable[[PrefillPart], None] = lambda read: None,
) -> Iterator[Loss]:
    """Yield the lost requests in the order in which their loss becomes known.

    Parameters
    ----------
    events : iterable of Event
        Log events in the order of their times.
    on_end : callable
        Called for each request that ended or whose end is in no log, lost or not.
    on_read : callable
        Called with each prefill that was assigned to a replica.
    """
    fleet = _FleetState(on_read)
    for event in events:
        for loss in fleet.process(event):
            if loss is not None:
                yield loss
            on_end()
    for loss in fleet.close():
        yield loss
        on_end()


class _FleetState:
    """State of the fleet's requests and replicas at one point of the logs.

    Parameters
    ----------
    on_read : callable
        Called with each prefill that was assigned to a replica.
    """

    def __init__(self, on_read):
        self.on_read = on_read
        self.open: dict[str, OpenRequest] = {}
        self.reads: dict[str, deque[PrefillPart]] = defaultdict(deque)
        self.started_s: dict[str, float] = {}

    def process(self, event):
        """Process one event; yield a loss, or None, for each request that it ends."""
        match event.message:
            case "A prompt is placed.":
                self._record_placement(event)
            case "An attempt failed." | "A silent stream is tried elsewhere as well.":
                cause = CAUSES_BY_CODE.get(
                    event.fields.get("cause", ""), LossCause.UNKNOWN
                )
                self._get_open_request(event).failed.append(cause)
            case "A request ended.":
                yield self._end_request(event)
            case "The node has started.":
                self.started_s[event.node] = event.at_s
                yield from self._abandon_requests(event.node)

    def close(self):
        """Yield the losses of the requests whose end is in no log."""
        for node in {request.node for request in self.open.values()}:
            yield from self._abandon_requests(node)

    def _get_open_request(self, event):
        """Return the open request of an event, added if it is new."""
        return self.open.setdefault(event.request, OpenRequest(event.node, event.at_s))

    def _record_placement(self, event):
        """Record the placement of a prompt and the prefills that it causes."""
        self._get_open_request(event).placements.append(event)
        fields = event.fields
        prefill_s = fields.get("part_ms", 0) / 1e3
        ends_s = event.at_s + max(prefill_s, fields.get("expected_ms", 0) / 1e3)
        for replica in (fields["replica"], *fields.get("readers", ())):
            read = PrefillPart(
                replica, event.request, event.at_s, ends_s, prefill_s,
                fields.get("prompt_tokens", 0),
            )  # fmt: skip
            reads = self.reads[replica]
            reads.append(read)
            while reads and event.at_s - reads[0].start_s > PREFILL_HISTORY_S:
                reads.popleft()
            self.on_read(read)

    def _abandon_requests(self, node):
        """Yield the losses of the requests that were open when their node ended."""
        names = [name for name, request in self.open.items() if request.node == node]
        for name in names:
            request = self.open.pop(name)
            placed = request.placements[-1].fields if request.placements else {}
            yield Loss(
                name, placed.get("route", ""), placed.get("customer", ""),
                placed.get("replica", ""), request.at_s,
                LossKind.UNANSWERED, LossCause.NODE_GONE,
            )  # fmt: skip

    def _end_request(self, event):
        """Return the loss of a request that ended, or None if it was not lost."""
        request = self.open.pop(event.request, None) or OpenRequest(
            event.node, event.at_s
        )
        outcome = event.fields.get("outcome", "")
        ended = _EndedRequest(event, request)
        if outcome == "caller_left":
            return self._find_delay_loss(ended) if ended.is_abandoned_late else None
        if outcome.startswith("refused."):
            reason = outcome.rpartition(".")[2]
            if reason in CLIENT_ERRORS:
                return None
            return ended.make_loss(
                LossKind.REFUSED, CAUSES_BY_CODE.get(reason, LossCause.UNKNOWN)
            )
        if outcome == "cut":
            return ended.make_loss(LossKind.CUT, ended.last_failure)
        if outcome.startswith("answered.5"):
            return ended.make_loss(LossKind.FAILED, LossCause.REPLICA_FAILED)
        return self._find_delay_loss(ended)

    def _find_delay_loss(self, ended):
        """Return the loss of a request that was late or paused, or None if neither."""
        if ended.late_s > 0:
            start_s, end_s = ended.at_s, ended.at_s + ended.first_response_s
            kind, excess_s = LossKind.LATE, ended.late_s
        elif ended.excess_pause_s > 0:
            end_s = ended.at_s + ended.pause_end_s
            start_s = end_s - ended.longest_pause_s
            kind, excess_s = LossKind.PAUSED, ended.excess_pause_s
        else:
            return None
        cause, blocking_prompt = self._find_delay_cause(
            ended, kind, start_s, end_s, excess_s
        )
        return ended.make_loss(
            kind, cause, excess_s=excess_s, blocking_prompt=blocking_prompt
        )

    def _find_delay_cause(self, ended, kind, start_s, end_s, excess_s):
        """Return the cause of a delay and the prompt that caused it, if any."""
        if ended.open.failed:
            return ended.last_failure, ""
        if not ended.open.placements:
            return (
                LossCause.SLOW_SERVICE if not ended.is_stream else LossCause.NO_PLACE
            ), ""
        placement = ended.open.placements[-1]
        if kind is LossKind.LATE:
            placement_wait_s = placement.at_s - ended.at_s
            if placement_wait_s > MAX_PLACEMENT_SHARE * ended.target_s:
                return LossCause.NO_PLACE, ""
        others = [
            read
            for read in self.reads[placement.fields["replica"]]
            if read.request != ended.event.request
            and read.start_s < end_s
            and read.end_s + excess_s > start_s
        ]
        if sum(read.prefill_s for read in others) >= MIN_PREFILL_SHARE * excess_s:
            return LossCause.BEHIND_READING, max(others, key=_get_prefill_s).request
        return self._find_other_cause(ended, placement, kind), ""

    def _find_other_cause(self, ended, placement, kind):
        """Return the cause of a delay that no other prompt's prefill caused."""
        fields = placement.fields
        if kind is LossKind.LATE and fields.get("part_ms", 0) / 1e3 > ended.late_s:
            return LossCause.OWN_LENGTH
        if fields.get("writers", 0) + 1 > fields.get("slots", float("inf")):
            return LossCause.NO_SLOT
        started_s = self.started_s.get(ended.event.node, float("-inf"))
        if placement.at_s - started_s < NODE_STARTUP_S:
            return LossCause.NODE_STARTED
        return LossCause.UNKNOWN


def _get_prefill_s(read):
    """Return the duration of a prefill."""
    return read.prefill_s


@dataclass(frozen=True)
class _EndedRequest:
    """The last log line of a request, with its placements and failed attempts."""

    event: Event
    open: OpenRequest

    def _seconds(self, name):
        """Return one of the line's fields, given in milliseconds, in seconds."""
        return self.event.fields.get(name, 0) / 1e3

    @property
    def at_s(self):
        """Arrival time of the request."""
        return self.event.at_s - self._seconds("took_ms")

    @property
    def target_s(self):
        """Target time to its answer or first event; infinite if there is none."""
        return self._seconds("target_ms") or float("inf")

    @property
    def is_stream(self):
        """Whether the answer is a stream of events."""
        return "events" in self.event.fields

    @property
    def first_response_s(self):
        """Time from arrival to the answer, the first event or the caller's leaving."""
        return self._seconds("first_ms") or self._seconds("took_ms")

    @property
    def longest_pause_s(self):
        """Longest pause between two events of the stream."""
        return self._seconds("longest_pause_ms")

    @property
    def pause_end_s(self):
        """Time from arrival to the end of the longest pause."""
        return self._seconds("longest_pause_at_ms") or self._seconds("took_ms")

    @property
    def late_s(self):
        """Delay of the first response beyond its target."""
        return self.first_response_s - self.target_s

    @property
    def excess_pause_s(self):
        """Length of the longest pause beyond the target gap between events."""
        gap_s = self._seconds("gap_ms")
        return self.longest_pause_s - gap_s if gap_s else 0.0

    @property
    def is_abandoned_late(self):
        """Whether the caller left after the target time without having had an event."""
        return self.event.fields.get("events") == 0 and self.late_s > 0

    @property
    def last_failure(self):
        """Cause of the last failed attempt."""
        return self.open.failed[-1] if self.open.failed else LossCause.UNKNOWN

    def make_loss(self, kind, cause, *, excess_s=0.0, blocking_prompt=""):
        """Return the loss of this request."""
        placements = self.open.placements
        return Loss(
            self.event.request,
            self.event.fields.get("route", ""),
            self.event.fields.get("customer", ""),
            placements[-1].fields["replica"] if placements else "",
            self.at_s,
            kind,
            cause,
            excess_s,
            blocking_prompt,
        )
