"""Reserve memory at several replicas for a prompt that is too large for one.

Either all shares are reserved or none: if one is refused, the others are released at
once, and no reservation waits for another. So two prompts can't each hold half of the
memory and block each other forever. Prompts that wait for memory try one after the
other, in an order that all nodes agree on. A reservation expires after a few seconds
unless it is renewed, so the memory becomes free soon after this node dies.
"""

from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio

from lycheetide.gossip import Ended, MemoryWanted, WaitingRequest
from lycheetide.httpclient import ChannelConnectError, ChannelError
from lycheetide.placement import (
    Placement,
    count_reservable_tokens,
    needs_several_replicas,
)
from lycheetide.relay._admission import UNQUEUED, hold_position
from lycheetide.relay._evidence import suspect_silent
from lycheetide.relay._rests import record_rest
from lycheetide.relay._selection import (
    find_placement,
    is_worthwhile,
    list_candidates,
    make_placement_refusal,
)
from lycheetide.relay._state import read_clock
from lycheetide.routes import DEFAULT_ENGINE

RESERVATION_TTL_S = 3.5
"""How long a reservation outlives its last renewal. Memory must be free within 4 s
after the end of a request."""
RENEWAL_INTERVAL_S = 1.0
"""Interval of renewals; a reservation outlives three lost ones."""
MAX_UNANSWERED = 2
"""Number of questions in a row after which a silent replica counts as dark; memory must
be free within 4 s after the end of a run."""
QUESTION_TIMEOUT_S = 0.4
RECHECK_S = 0.2
"""Pause after a question that wasn't answered."""
MAX_ORDER_ANSWER_BYTES = 1_000_000
ORDER_TIMEOUT_S = 0.6
"""Longest time to wait for the answer to an order."""
RETRY_PAUSE_S = 0.15
ANNOUNCE_INTERVAL_S = 0.3
"""Interval at which a call that waits for memory announces that to all nodes."""


class MemoryUnavailable(Exception):
    """The replicas together don't have enough free memory for a prompt."""


@dataclass(frozen=True)
class ReservedMemory:
    """The memory reserved for a prompt.

    Parameters
    ----------
    tickets : tuple of (str, str)
        Addresses of the replicas that hold memory, each with its ticket.
    placement : Placement or None
        The placement of the prompt; None if its memory needn't be shared.
    """

    tickets: tuple[tuple[str, str], ...] = ()
    placement: Placement | None = None


@asynccontextmanager
async def reserve_memory(relay, call, *, wait_s):
    """Reserve the memory that a call needs beyond that of one replica.

    The reservations are renewed while the context is open and released on exit.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    call : Call
        The call.
    wait_s : float
        Longest time to try.

    Yields
    ------
    ReservedMemory

    Raises
    ------
    MemoryUnavailable
        If the memory can't be reserved.
    """
    engine = call.service.engine or DEFAULT_ENGINE
    if not needs_several_replicas(engine, call.size.tokens):
        yield ReservedMemory()
        return
    reserve_all = _reserve_all
    if relay.activation.is_contended:
        reserve_all = _reserve_all_in_turn
    memory, reservations = await reserve_all(relay, call, wait_s)
    renewal = anyio.CancelScope()
    relay.tasks.start_soon(_renew, relay, memory, reservations, renewal)
    try:
        yield memory
    finally:
        renewal.cancel()
        for address, ticket, _ in reservations:
            relay.tasks.start_soon(_release, relay, address, ticket)


async def _reserve_all(relay, call, wait_s):
    """Reserve all shares, or none and raise ``MemoryUnavailable``.

    Memory that other requests hold becomes free within seconds, so a few more tries are
    worthwhile while the first event may still arrive in time. Waiting calls try one
    after the other: if all tried at once, each would take shares that the others need,
    and none would get all of its own.
    """
    begun_s = read_clock()
    queue_entry = _QueueEntry(relay, call)
    refused_ids: set[str] = set()
    try:
        while True:
            admissible, _ = list_candidates(relay, call)
            if queue_entry.has_turn(admissible, now_s=read_clock()):
                found = await _try_reserve_all(relay, call, admissible, refused_ids)
                if found is not None:
                    return found
            if read_clock() - begun_s > wait_s:
                break
            queue_entry.enqueue(now_s=read_clock())
            await anyio.sleep(RETRY_PAUSE_S * (0.5 + relay.random.random() / 2))
    finally:
        queue_entry.leave()
    raise MemoryUnavailable(
        f"memory for {call.size.tokens} tokens could not be reserved"
    )


async def _reserve_all_in_turn(relay, call, wait_s):
    """Reserve all shares when it is the call's turn among all that want capacity.

    Raises
    ------
    MemoryUnavailable
        If the call can't wait.
    Refusal
        If its place in the queue is too far behind, or it has waited too long.
    """
    begun_s = read_clock()
    refused_ids: set[str] = set()
    with hold_position(relay, call, wait_s=wait_s, now_s=begun_s) as position:
        wait_s = position.find_wait_s(wait_s)
        while True:
            admissible, _ = list_candidates(relay, call)
            if position.has_turn(admissible, now_s=read_clock()):
                found = await _try_reserve_all(
                    relay, call, admissible, refused_ids, position
                )
                if found is not None:
                    position.record_served()
                    return found
            now_s = read_clock()
            is_over = now_s - begun_s > wait_s
            if position is UNQUEUED and is_over:
                raise MemoryUnavailable(
                    f"memory for {call.size.tokens} tokens could not be reserved"
                )
            if is_over or position.must_leave(admissible, now_s=now_s):
                raise make_placement_refusal(
                    relay, call, None, admissible, position=position
                )
            position.announce(now_s=now_s)
            await anyio.sleep(RETRY_PAUSE_S * (0.5 + relay.random.random() / 2))


class _QueueEntry:
    """The position of one call among those that wait for memory.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    call : Call
        The call.
    """

    def __init__(self, relay, call):
        self.relay = relay
        self.call = call
        self.waiting = None
        self.announced_s = float("-inf")

    def has_turn(self, candidates, *, now_s):
        """Tell whether memory suffices for this call and all those ahead of it."""
        ahead = self.relay.memory_queue.list_ahead(self.waiting, now_s=now_s)
        if not ahead:
            return True
        engine = self.call.service.engine or DEFAULT_ENGINE
        wanted_tokens = self.call.size.tokens + sum(one.tokens for one in ahead)
        return wanted_tokens <= count_reservable_tokens(engine, candidates)

    def enqueue(self, *, now_s):
        """Join the queue, or announce to all nodes that this call still waits."""
        if self.waiting is None:
            number = self.relay.memory_queue.next_number()
            self.waiting = WaitingRequest(
                number,
                self.relay.node,
                self.relay.make_attempt_name(),
                self.call.size.tokens,
            )
        if now_s - self.announced_s < ANNOUNCE_INTERVAL_S:
            return
        self.announced_s = now_s
        one = self.waiting
        self.relay.memory_queue.note(one, now_s=now_s)
        self.relay.broadcast_work(
            MemoryWanted(one.node, one.job, one.number, one.tokens)
        )

    def leave(self):
        """Leave the queue."""
        if self.waiting is not None:
            self.relay.memory_queue.drop(self.waiting.node, self.waiting.job)
            self.relay.broadcast_work(Ended(self.waiting.node, self.waiting.job))


async def _try_reserve_all(relay, call, admissible, refused_ids, position=UNQUEUED):
    """Return the memory and its reservations, or None if a share was refused.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    call : Call
        The call.
    admissible : list of Candidate
        Replicas that may take part.
    refused_ids : set of str
        Replicas that refused a share in the last try; replaced by those of this try.
    position : QueuePosition or UnqueuedPosition
        The call's position among all that want capacity.
    """
    candidates = [one for one in admissible if one.id not in refused_ids]
    placement = find_placement(relay, call, candidates, now_s=read_clock())
    refused_ids.clear()
    if not is_worthwhile(call, placement) or not position.accepts(
        placement, candidates, now_s=read_clock()
    ):
        return None
    job = relay.make_attempt_name()
    wanted_shares = [
        (share.replica, f"{relay.node}/{job}/{place}", share.tokens)
        for place, share in enumerate(placement.holders)
    ]
    results: dict[str, bool] = {}
    async with anyio.create_task_group() as group:
        for replica, ticket, tokens in wanted_shares:
            group.start_soon(_reserve, relay, replica, ticket, tokens, results)
    reservations = [
        (one.address, ticket, tokens) for one, ticket, tokens in wanted_shares
    ]
    if all(results.values()):
        tickets = tuple((address, ticket) for address, ticket, _ in reservations)
        return ReservedMemory(tickets, placement), reservations
    for replica, ticket, _ in wanted_shares:
        if not results[ticket]:
            refused_ids.add(replica.id)
        relay.tasks.start_soon(_release, relay, replica.address, ticket)
    relay.counters.add("tickets.refused")
    relay.log.info(
        "A memory reservation failed.",
        extra={"request": call.request.attempt_id, "tokens": call.size.tokens,
               "replicas": [one.id for one, ticket, _ in wanted_shares
                            if not results[ticket]]},
    )  # fmt: skip
    return None


async def _order(relay, outgoing, address):
    """Send an order; return the head of the answer, or None if there is none."""
    try:
        with anyio.fail_after(ORDER_TIMEOUT_S):
            head, _ = await relay.pool.call(
                address,
                outgoing,
                timeout_s=ORDER_TIMEOUT_S,
                read_clock=read_clock,
                max_bytes=MAX_ORDER_ANSWER_BYTES,
            )
            return head
    except (ChannelConnectError, ChannelError, TimeoutError) as error:
        relay.log.info(
            "A replica did not answer a reserve or release order.",
            extra={"address": address, "cause": str(error)},
        )
        relay.counters.add("orders.unanswered")
        return None


async def _reserve(relay, replica, ticket, tokens, results):
    """Reserve memory at one replica, and store the outcome by ticket."""
    order = relay.adapter.encode_reserve(
        replica.address, ticket, tokens, RESERVATION_TTL_S
    )
    entry = relay.replicas.replicas[replica.id].entry
    head = await _order(relay, order, replica.address)
    if head is None:
        suspect_silent(relay, replica.id, "", "no answer to an order")
    elif head.status == 200:
        relay.failure_detector.hear(replica.id, now_s=read_clock())
    elif head.status == 503:
        record_rest(relay, entry, relay.adapter.decode_answer(head).rest_s)
    results[ticket] = head is not None and head.status == 200


async def _renew(relay, memory, reservations, scope):
    """Renew reservations until the scope is cancelled, or the prompt's replica is dark.

    The run has ended then, and others need the memory. The attempt goes on waiting, as
    its replica may only be cut off from this node.
    """
    first = None if memory.placement is None else memory.placement.first.id
    unanswered = 0
    with scope:
        while True:
            await anyio.sleep(RECHECK_S if unanswered else RENEWAL_INTERVAL_S)
            is_dark = first is not None and await is_unresponsive(relay, first)
            unanswered = unanswered + 1 if is_dark else 0
            if unanswered == MAX_UNANSWERED:
                relay.counters.add("tickets.abandoned")
                relay.log.info(
                    "The memory of a prompt is released, as its replica is dark.",
                    extra={"replica": first, "tickets": len(reservations)},
                )
                for address, ticket, _ in reservations:
                    relay.tasks.start_soon(_release, relay, address, ticket)
                return
            for address, ticket, tokens in reservations:
                order = relay.adapter.encode_reserve(
                    address, ticket, tokens, RESERVATION_TTL_S
                )
                relay.tasks.start_soon(_order, relay, order, address)


async def is_unresponsive(relay, replica):
    """Tell whether a replica that nobody hears answers no question either.

    Returns
    -------
    bool
        False also if it can't be asked: it is cold, rests or isn't listed any more.
    """
    now_s = read_clock()
    if relay.failure_detector.last_heard_s(replica) > now_s - RENEWAL_INTERVAL_S:
        return False
    known = relay.replicas.replicas.get(replica)
    if known is None or known.is_cold(now_s=now_s):
        return False
    if replica in relay.list_withheld(now_s=now_s):
        return False
    relay.used.add("reports")
    try:
        await relay.pool.call(
            known.entry.address,
            relay.adapter.encode_report_request(known.entry),
            timeout_s=QUESTION_TIMEOUT_S,
            read_clock=read_clock,
            max_bytes=MAX_ORDER_ANSWER_BYTES,
        )
    except (ChannelConnectError, ChannelError):
        return True
    return False


async def _release(relay, address, ticket):
    """Release one reservation; if the replica isn't reached, it expires by itself."""
    await _order(relay, relay.adapter.encode_release(address, ticket), address)
