"""Connect calls that wait for capacity with the queue that all nodes share.

The order of the queue, the turns, the estimates and the customers' shares are decided
in ``lycheetide.admission``. A call holds a place in the queue only while it looks for a
placement, and only if the deployment declares that capacity is contended.
"""

import math
from collections import Counter, deque
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from functools import cached_property

from lycheetide.admission import (
    ENTRY_LIFETIME_S,
    KEPT_S,
    NOBODY_AHEAD,
    RENEWAL_INTERVAL_S,
    AdmissionQueue,
    Ahead,
    CustomerUsage,
    DeferredRequest,
    InvalidMessage,
    ReturnTable,
    Supply,
    WaitingRequest,
    assess_wait,
    estimate_capacity_s,
    has_turn,
    make_deferred_message,
    make_return_key,
    make_withdrawal_message,
    measure_supply,
    read_deferred_message,
    read_waiting_message,
)
from lycheetide.gossip import Ended, Waiting, hash_name
from lycheetide.placement import (
    caller_patience_s,
    estimate_pass_s,
    estimate_prefill_s,
)
from lycheetide.routes import DEFAULT_ENGINE

LOOK_INTERVAL_S = 0.04
"""Interval at which a waiting call looks for a placement again."""
MAX_LOOK_INTERVAL_S = 0.25
"""The same for a call far from its turn; shorter than the interval of renewals."""
LOOKS_PER_INTERVAL = 8
"""Requests ahead of a call from which on it looks less often. If every call of a long
queue looked each 40 ms, the looks would take the processor time of the streams."""
RECENT_REFUSAL_S = 1.0
"""How long after a refusal capacity still counts as wanted by others."""
MAX_RETRY_SHARE = 1 / 3
"""Largest share of the caller's remaining time for a Retry-After, so that a second
return is possible."""
MIN_RETRY_S = 0.1
"""Shortest Retry-After: longer than a message takes to all nodes, and than the time by
which a return may seem early."""
LEAVING_RETRY_S = 0.1
"""Retry-After of a leaving node: the other nodes know of the place by then."""
MAX_WAIT_SHARE = 0.5
"""Longest wait, as a share of the time until the caller leaves. A request that waited
longer seldom has its first event before that."""
MIN_ANSWER_S = 0.1
USUAL_WRITERS = 4
"""Requests that decode at a replica whose slots are nearly all in use."""
MAX_ENGINE_S = 600.0
"""Bound of a plausible engine time: the largest prompts take less than one minute."""
MAX_TOKENS, MAX_WEIGHT = 10**8, 10**5
"""Limits of what is announced; peers ignore more. Callers may state any size."""
MAX_WATCHED = 32
"""Refused requests for which it is found out whether capacity came in time."""


@dataclass
class AdmissionState:
    """The competition for capacity, as far as this node knows.

    Parameters
    ----------
    usage : CustomerUsage
        Engine time used by each customer.
    queue : AdmissionQueue
        Requests that wait at all nodes.
    returns : ReturnTable
        Refused requests that keep their place.
    active_until_s : float
        Time after which no known request waits or keeps a place. Calls that arrive
        later need no look at the queue.
    refused : dict of int to (float, float)
        Time of the last refusal by customer, and engine time of the requests that were
        refused shortly before; those of other nodes under customer 0.
    watched : deque of (Call, WaitingRequest)
        Latest requests that this node refused by their place in the queue.
    """

    usage: CustomerUsage = field(default_factory=CustomerUsage)
    queue: AdmissionQueue = field(init=False)
    returns: ReturnTable = field(default_factory=ReturnTable)
    active_until_s: float = float("-inf")
    refused: dict[int, tuple[float, float]] = field(default_factory=dict)
    watched: deque = field(default_factory=lambda: deque(maxlen=MAX_WATCHED))

    def __post_init__(self):
        self.queue = AdmissionQueue(self.usage)

    def note_activity(self, *, until_s):
        """Record that a request waits or keeps its place until a time."""
        self.active_until_s = max(self.active_until_s, until_s)

    def is_quiet(self, *, now_s):
        """Tell whether no known request waits or keeps a place."""
        return now_s >= self.active_until_s

    def keep_place(self, deferred, *, now_s):
        """Keep the place of a refused request, or give it up."""
        self.returns.note(deferred, now_s=now_s)
        self.note_activity(until_s=deferred.kept_until_s)

    def note_refusal(self, customer, engine_s, *, now_s):
        """Record that a request was refused for lack of capacity."""
        wanted_s = self.list_refused(now_s=now_s).get(customer, 0.0) + engine_s
        self.refused[customer] = now_s, wanted_s
        self.note_activity(until_s=now_s + RECENT_REFUSAL_S)

    def list_refused(self, *, now_s):
        """Return the engine time refused recently, by customer."""
        return {
            customer: wanted_s
            for customer, (at_s, wanted_s) in self.refused.items()
            if now_s - at_s < RECENT_REFUSAL_S
        }


class UnqueuedPosition:
    """Stands in for a position where a call doesn't take part in the queue."""

    look_interval_s = LOOK_INTERVAL_S

    def has_turn(self, candidates, *, now_s):
        """Return True."""
        return True

    def accepts(self, placement, candidates, *, now_s):
        """Return True."""
        return True

    def may_take(self, placement, candidates, *, now_s):
        """Return True."""
        return True

    def find_wait_s(self, wait_s):
        """Return the longest wait unchanged."""
        return wait_s

    def must_leave(self, candidates, *, now_s):
        """Return False."""
        return False

    def announce(self, *, now_s):
        """Do nothing."""

    def record_served(self):
        """Do nothing."""

    def defer(self, candidates, *, retry_delay_s, is_rest=False, now_s):
        """Return the Retry-After unchanged."""
        return retry_delay_s


UNQUEUED = UnqueuedPosition()


class QueuePosition:
    """The position of one call among all that compete for capacity.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    call : Call
        The call.
    """

    def __init__(self, relay, call, *, now_s):
        self.relay = relay
        self.call = call
        self.state = relay.admission
        self.begun_s = now_s
        self.look_interval_s = LOOK_INTERVAL_S
        self.announced_s = float("-inf")
        self._waiting: WaitingRequest | None = None
        self._is_announced = False
        self._is_served = False
        self._is_over_share = False
        self._supply: tuple[list, Supply] | None = None
        self._ahead: tuple[float, Ahead] = (float("-inf"), NOBODY_AHEAD)

    @cached_property
    def customer(self):
        """Hash of the customer's name."""
        return find_customer(self.call)

    @cached_property
    def engine(self):
        """Performance model of the service's replicas."""
        return self.call.service.engine or DEFAULT_ENGINE

    @cached_property
    def answer_s(self):
        """Time for which the answer occupies a slot, in seconds."""
        return estimate_answer_s(self.engine, self.call.size.answer_tokens)

    def has_turn(self, candidates, *, now_s):
        """Tell whether the capacity suffices for the call and all requests ahead of it.

        A call whose entry has expired at the other nodes, since this process stood
        still, doesn't have its turn before it has announced itself again.
        """
        if self.state.is_quiet(now_s=now_s):
            return True
        if self._is_announced and now_s - self.announced_s > ENTRY_LIFETIME_S:
            return False
        _, ahead = self._look_ahead(now_s=now_s)
        if not ahead:
            return True
        return has_turn(
            self._find_present(now_s=now_s), ahead, self._measure(candidates),
            now_s=now_s, answer_s=self.answer_s,
        )  # fmt: skip

    def accepts(self, placement, candidates, *, now_s):
        """Tell whether the call's customer may have a placement.

        A customer above its share delays nobody while others want capacity. Requests
        ahead of such a call are mostly others', since its customer comes last.
        """
        if placement.harm <= 0 or self.state.is_quiet(now_s=now_s):
            return True
        _, ahead = self._look_ahead(now_s=now_s)
        if ahead:
            is_above = self.state.queue.is_above_share(self.customer, now_s=now_s)
        else:
            is_above = self._is_above_share(len(candidates), now_s=now_s)
        if not is_above:
            return True
        if not self._is_over_share:
            self._is_over_share = True
            self.relay.counters.add("admission.over_share")
        return False

    def _is_above_share(self, replicas, *, now_s):
        """Tell whether the customer is above its share after refusals of others."""
        refused = self.state.list_refused(now_s=now_s)
        if not refused.keys() - {self.customer}:
            return False
        usage = self.state.usage
        capacity_s = estimate_capacity_s(replicas, usage.total_s(now_s=now_s))
        return usage.is_above_share(
            self.customer, capacity_s=capacity_s, now_s=now_s, waiting=refused
        )

    def may_take(self, placement, candidates, *, now_s):
        """Tell whether the call has its turn and its customer may have a placement."""
        return self.has_turn(candidates, now_s=now_s) and self.accepts(
            placement, candidates, now_s=now_s
        )

    def find_wait_s(self, wait_s):
        """Return the longest wait of the call, which may be longer than ``wait_s``.

        It isn't for a call that may have run: an answer with an error may be at hand.
        """
        if self.call.may_have_run:
            return wait_s
        received_s = self.call.request.received_s
        share_s = MAX_WAIT_SHARE * (find_leave_s(self.call) - received_s)
        return max(wait_s, received_s + share_s - self.begun_s)

    def must_leave(self, candidates, *, now_s):
        """Tell whether the call must be refused now, by its place or its node.

        A call that may have run is never refused by its place: its caller couldn't be
        told that it hasn't run. Where no replica takes a request at present, as while
        all of them are cold, the queue tells nothing about the wait.
        """
        if self.call.may_have_run:
            return False
        if self.relay.is_leaving:
            return True
        if not candidates:
            return False
        estimate, _ = self._assess(candidates, now_s=now_s)
        return not estimate.is_servable

    def announce(self, *, now_s):
        """Join the queue, or announce to all nodes that the call still waits."""
        waiting = self._find_waiting(now_s=now_s)
        if now_s - self.announced_s < RENEWAL_INTERVAL_S:
            return
        self.announced_s = now_s
        self.state.queue.note(waiting, now_s=now_s)
        self.state.note_activity(until_s=now_s + ENTRY_LIFETIME_S)
        self.relay.broadcast_work(self.state.queue.make_message(waiting, now_s=now_s))
        if self._is_announced:
            return
        self._is_announced = True
        self.relay.counters.add("admission.waited")
        _, ahead = self._look_ahead(now_s=now_s)
        self.relay.log.info(
            "A request waits for capacity.",
            extra={
                "request": self.call.request.attempt_id,
                "place": len(ahead) + 1,
                "ahead_ms": round(1e3 * ahead.engine_s),
            },
        )

    def record_served(self):
        """Record that the call has got its placement."""
        self._is_served = True

    def defer(self, candidates, *, retry_delay_s, is_rest=False, now_s):
        """Keep the place of a call that is refused; return its Retry-After.

        Parameters
        ----------
        candidates : list of Candidate
            Replicas that the call could have been sent to.
        retry_delay_s : float
            Retry-After where the queue doesn't tell it: after a wait that took longer
            than estimated, a return at the estimated time would be too early.
        is_rest : bool, default=False
            Whether that is when replicas have rested, which the estimate doesn't know.
        now_s : float
            The present time.
        """
        if self.call.may_have_run:
            return retry_delay_s
        waiting = self._find_waiting(now_s=now_s)
        estimate, ahead = self._assess(candidates, now_s=now_s)
        if self.relay.is_leaving:
            retry_delay_s = LEAVING_RETRY_S
        elif candidates and not is_rest and not estimate.is_servable:
            retry_delay_s = estimate.retry_after_s
        delay_s = bound_retry_delay_s(self.call, retry_delay_s, now_s=now_s)
        self.state.note_refusal(self.customer, waiting.engine_s, now_s=now_s)
        self.state.watched.append((replace(self.call, body=b""), waiting))
        if not self._is_announced:
            self.relay.counters.add("admission.refused_at_once")
        returns_s = now_s + delay_s
        deferred = DeferredRequest(
            find_return_key(self.call),
            waiting.number,
            waiting.due_s,
            returns_s,
            returns_s + KEPT_S,
        )
        if deferred.return_key:
            self.state.keep_place(deferred, now_s=now_s)
            self.relay.broadcast_work(
                make_deferred_message(self.relay.node, deferred, now_s=now_s)
            )
        self.relay.log.info(
            "A request is refused by its place in the queue.",
            extra={
                "request": self.call.request.attempt_id,
                "place": len(ahead) + 1,
                "starts_in_ms": to_ms(estimate.start_s - now_s),
                "retry_after_ms": to_ms(delay_s),
            },
        )
        return delay_s

    def leave(self):
        """Leave the queue."""
        if not self._is_announced or self._waiting is None:
            return
        outcome = "served" if self._is_served else "unserved"
        self.relay.counters.add(f"admission.{outcome}_after_wait")
        node, job = self._waiting.node, self._waiting.job
        self.state.queue.drop(node, job)
        self.relay.broadcast_work(Ended(node, job))

    def _look_ahead(self, *, now_s):
        """Return the call's entry and the requests ahead of it."""
        waiting = self._find_waiting(now_s=now_s)
        if self._ahead[0] != now_s:
            self._ahead = now_s, list_ahead(self.relay, waiting, now_s=now_s)
        ahead = self._ahead[1]
        self.look_interval_s = min(
            MAX_LOOK_INTERVAL_S,
            LOOK_INTERVAL_S * (1 + len(ahead) // LOOKS_PER_INTERVAL),
        )
        return waiting, ahead

    def _find_waiting(self, *, now_s):
        """Return the call's entry, with its former place if it has returned."""
        if self._waiting is None:
            claim_place(self.relay, self.call, now_s=now_s)
            self._waiting = make_waiting(self.relay, self.call, now_s=now_s)
        return self._waiting

    def _find_present(self, *, now_s):
        """Return the call's entry with the target of its present attempt."""
        target_s = self.call.route.target_latency_s
        due_s = self.call.request.received_s + target_s
        return replace(self._find_waiting(now_s=now_s), due_s=due_s)

    def _measure(self, candidates):
        """Return what the candidates have free, measured once per list of them."""
        if self._supply is None or self._supply[0] is not candidates:
            self._supply = candidates, measure_supply(candidates, self.engine)
        return self._supply[1]

    def _assess(self, candidates, *, now_s):
        """Return the estimated wait of the call and the requests ahead of it."""
        _, ahead = self._look_ahead(now_s=now_s)
        estimate = assess_wait(
            self._find_present(now_s=now_s), ahead, self._measure(candidates),
            now_s=now_s, leaves_s=find_leave_s(self.call), answer_s=self.answer_s,
        )  # fmt: skip
        return estimate, ahead


@contextmanager
def hold_position(relay, call, *, wait_s, now_s):
    """Hold a position in the queue while a call looks for a placement.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    call : Call
        The call. One that has begun doesn't take part, nor does one without a prompt.
    wait_s : float
        Longest wait; a call that doesn't wait doesn't take part.
    now_s : float
        The present time.

    Yields
    ------
    QueuePosition or UnqueuedPosition
    """
    takes_part = relay.activation.is_contended and call.size.prompt_tokens > 0
    if not takes_part or call.is_begun or wait_s <= 0:
        yield UNQUEUED
        return
    position = QueuePosition(relay, call, now_s=now_s)
    try:
        yield position
    finally:
        position.leave()


def find_customer(call):
    """Return the hash of a call's customer, 0 if it has none."""
    return hash_name(call.customer.name) if call.customer else 0


def find_announced_customer(relay, call):
    """Return the customer's hash for the announcement of an attempt.

    It is 0 where nobody competes for capacity.
    """
    return find_customer(call) if relay.activation.is_contended else 0


def find_patience_s(call):
    """Return how long the caller of a call waits for the next event, in seconds."""
    return caller_patience_s(call.route.target_latency_s, call.route.target_gap_s)


def find_leave_s(call):
    """Return the time at which the caller of a call leaves without a first event."""
    patience_ends_s = call.request.received_s + find_patience_s(call)
    return min(patience_ends_s, call.deadline_s)


def estimate_answer_s(engine, tokens):
    """Return for how long an answer occupies a slot of a replica that is full."""
    passes = tokens / engine.steps_per_pass
    return max(MIN_ANSWER_S, passes * estimate_pass_s(engine, USUAL_WRITERS))


def find_return_key(call):
    """Return the key by which all nodes recognize a call that returns, or 0.

    Calls whose caller names no prompt can't be told from others of the customer.
    """
    prompt_id = call.request.prompt_id.encode("latin-1")
    return make_return_key(find_customer(call), call.request.path, prompt_id)


def make_waiting(relay, call, *, now_s, due_s=None):
    """Return a new entry of a call for the queue.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    call : Call
        The call; its place is kept for its next attempts.
    due_s : float or None, default=None
        Target time of the first event where it isn't the call's own; such an entry gets
        the last number.
    now_s : float
        The present time.
    """
    engine = call.service.engine or DEFAULT_ENGINE
    number = relay.admission.queue.next_number(now_s=now_s)
    if due_s is None:
        if call.queue_place is None:
            target_s = call.route.target_latency_s
            call.queue_place = number, call.request.received_s + target_s
        number, due_s = call.queue_place
    return WaitingRequest(
        number=number,
        node=relay.node,
        job=relay.make_attempt_name(),
        service=hash_name(call.service.name),
        customer=find_customer(call),
        engine_s=estimate_prefill_s(engine, call.size.prompt_tokens),
        tokens=min(call.size.tokens, MAX_TOKENS),
        due_s=due_s,
        weight=min(call.size.weight, MAX_WEIGHT),
    )


def list_ahead(relay, waiting, *, now_s):
    """Return the requests ahead of an entry for the same service."""
    return relay.admission.queue.list_ahead(
        waiting, service=waiting.service, now_s=now_s
    )


def has_earlier_waiting(relay, call, *, now_s):
    """Tell whether requests wait whose turn is before a second prefill of a prompt.

    The first prefill has had its turn, so the second one counts as a request that
    arrives now.
    """
    if not relay.activation.is_contended or relay.admission.is_quiet(now_s=now_s):
        return False
    due_s = now_s + call.route.target_latency_s
    waiting = make_waiting(relay, call, due_s=due_s, now_s=now_s)
    return len(list_ahead(relay, waiting, now_s=now_s)) > 0


def bound_retry_delay_s(call, delay_s, *, now_s):
    """Return a Retry-After of at most a third of the caller's remaining time."""
    remaining_s = max(0.0, call.remaining_s(now_s=now_s))
    return min(max(MIN_RETRY_S, delay_s), MAX_RETRY_SHARE * remaining_s)


def claim_place(relay, call, *, now_s):
    """Give a call that has returned as announced its former place, once.

    The other nodes are told that the place is taken.
    """
    return_key = find_return_key(call)
    if not return_key or call.queue_place is not None:
        return
    returns = relay.admission.returns
    is_early = returns.is_early(return_key, now_s=now_s)
    claimed = returns.claim(return_key, now_s=now_s)
    if claimed is None:
        if is_early:
            relay.counters.add("admission.returned_early")
        return
    call.queue_place = claimed.number, claimed.due_s
    relay.counters.add("admission.returned")
    relay.log.info(
        "A refused request has returned.",
        extra={"request": call.request.attempt_id},
    )
    relay.broadcast_work(make_withdrawal_message(relay.node, claimed, now_s=now_s))


def to_ms(duration_s):
    """Return a duration in whole milliseconds; -1 if it isn't finite."""
    return round(duration_s * 1e3) if math.isfinite(duration_s) else -1


def receive_admission(relay, message, *, now_s):
    """Process a peer's message about a request that waits or was refused.

    A hub sends a node its own messages as well; these are ignored.
    """
    if not relay.activation.is_contended or message.node == relay.node:
        return
    try:
        if isinstance(message, Waiting):
            _receive_waiting(relay, message, now_s=now_s)
        else:
            _receive_deferred(relay, message, now_s=now_s)
    except InvalidMessage:
        relay.counters.add("admission.invalid_message")


def _receive_waiting(relay, message, *, now_s):
    """Add a peer's waiting request to the queue, or renew it.

    While two hubs forward messages at once, an entry may arrive after its end.
    """
    if relay.job_table.has_ended(message.node, message.job):
        return
    waiting = read_waiting_message(message, now_s=now_s)
    relay.admission.queue.note(waiting, now_s=now_s)
    relay.admission.note_activity(until_s=now_s + ENTRY_LIFETIME_S)


def _receive_deferred(relay, message, *, now_s):
    """Record a peer's refused request, which may return to this node."""
    deferred = read_deferred_message(message, now_s=now_s)
    relay.admission.keep_place(deferred, now_s=now_s)
    if message.keeps_ms > 0:
        relay.admission.note_refusal(0, 0.0, now_s=now_s)


def receive_end(relay, node, job):
    """Remove a request that no longer waits; most of what ends hasn't waited."""
    if len(relay.admission.queue) > 0:
        relay.admission.queue.drop(node, job)


def refresh_admission(relay, *, dead, now_s):
    """Drop what waits at dead nodes, and record how many replicas there are."""
    if not relay.activation.is_contended or relay.route_table is None:
        return
    queue = relay.admission.queue
    queue.drop_nodes(dead)
    counts = Counter(
        known.entry.service for known in list(relay.replicas.replicas.values())
    )
    for service in relay.route_table.services.values():
        if service.engine is not None:
            queue.note_replicas(hash_name(service.name), counts[service.name])
    # Entries expire, as do the ids of those that ended, when the time is set.
    queue.is_above_share(0, now_s=now_s)


def record_usage(relay, started, *, now_s):
    """Count the engine time of a new attempt towards its customer's share."""
    if not started.customer or not relay.activation.is_contended:
        return
    engine_s = sum(part.read_s for part in started.parts)
    if not 0 <= engine_s <= MAX_ENGINE_S:
        relay.counters.add("admission.invalid_message")
        return
    job = (started.node, started.job)
    relay.admission.usage.add(started.customer, engine_s, now_s=now_s, job=job)
