"""Set memory aside at several replicas for a prompt that is too large for one.

All or nothing: what was got is given back at once where a part is missing, and no
reservation waits, so two prompts can't hold half each for ever. Those that wait for
memory try one after the other, in an order that all nodes agree on. A reservation holds
for a few seconds and is renewed; if this node dies, the memory is free soon after.
"""

from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio

from lycheetide.board import Ended, Waiting, Wants
from lycheetide.httpclient import ChannelBroken, ConnectFailed
from lycheetide.placement import Placement, count_room, needs_sharing
from lycheetide.relay._evidence import suspect
from lycheetide.relay._place import (
    find_place,
    is_worthwhile,
    list_candidates,
)
from lycheetide.relay._state import read_clock
from lycheetide.routes import ANY_ENGINE

HOLD_S = 3.5
"""How long a reservation outlives its last renewal; rules ask for 4 s after the end."""
RENEW_S = 1.0
"""Three renewals may be lost before a reservation ends under a request."""
ORDER_S = 0.6
"""How long an order may take."""
BETWEEN_TRIES_S = 0.15
TELL_S = 0.3
"""How often a call that waits for memory tells all nodes so."""
UNREACHABLE = 0
"""In place of the status of an order that got no answer."""


class NoMemory(Exception):
    """The replicas together don't have the memory for a prompt."""


@dataclass(frozen=True)
class Memory:
    """What is held for a prompt.

    Parameters
    ----------
    tickets : tuple of (str, str)
        Addresses, each with its ticket.
    placement : Placement or None
        Where the prompt goes; None where its memory needs no sharing.
    """

    tickets: tuple[tuple[str, str], ...] = ()
    placement: Placement | None = None


@asynccontextmanager
async def hold_memory(relay, call, *, wait_s):
    """Hold the memory that a call needs beyond one replica's.

    Parameters
    ----------
    relay : RelayState
        This node.
    call : Call
        The call.
    wait_s : float
        How long it may be tried.

    Yields
    ------
    Memory

    Raises
    ------
    NoMemory
        If it can't be had.
    """
    engine = call.service.engine or ANY_ENGINE
    if not needs_sharing(engine, call.size.tokens):
        yield Memory()
        return
    memory, held = await _reserve_all(relay, call, wait_s)
    renewal = anyio.CancelScope()
    relay.tasks.start_soon(_renew, relay, held, renewal)
    try:
        yield memory
    finally:
        renewal.cancel()
        for address, ticket, _ in held:
            relay.tasks.start_soon(_release, relay, address, ticket)


async def _reserve_all(relay, call, wait_s):
    """Reserve all shares, or none and raise ``NoMemory``.

    Memory that others hold becomes free within seconds, so a few more tries are worth
    it while the first event may still come in time. Those that wait come one after the
    other: did all try at once, each would deny the others a share, and none got all.
    """
    begun_s = read_clock()
    queue = _Queue(relay, call)
    without: set[str] = set()
    try:
        while True:
            open_now, _ = list_candidates(relay, call)
            if queue.is_turn(open_now, now_s=read_clock()):
                found = await _try_once(relay, call, open_now, without)
                if found is not None:
                    return found
            if read_clock() - begun_s > wait_s:
                break
            queue.wait_in(now_s=read_clock())
            await anyio.sleep(BETWEEN_TRIES_S * (0.5 + relay.random.random() / 2))
    finally:
        queue.leave()
    raise NoMemory(f"{call.size.tokens} tokens were not to be had")


class _Queue:
    """One call's place among those that wait for memory.

    Parameters
    ----------
    relay : RelayState
        This node.
    call : Call
        The call.
    """

    def __init__(self, relay, call):
        self.relay = relay
        self.call = call
        self.waiting = None
        self.told_s = float("-inf")

    def is_turn(self, candidates, *, now_s):
        """Tell whether there is memory for all that come first, and for this call."""
        ahead = self.relay.memory_queue.list_ahead(self.waiting, now_s=now_s)
        if not ahead:
            return True
        engine = self.call.service.engine or ANY_ENGINE
        wanted = self.call.size.tokens + sum(one.tokens for one in ahead)
        return wanted <= count_room(engine, candidates)

    def wait_in(self, *, now_s):
        """Take a place, or tell all nodes again that this call keeps it."""
        if self.waiting is None:
            number = self.relay.memory_queue.take_number()
            self.waiting = Waiting(
                number, self.relay.node, self.relay.next_job(), self.call.size.tokens
            )
        if now_s - self.told_s < TELL_S:
            return
        self.told_s = now_s
        one = self.waiting
        self.relay.memory_queue.note(one, now_s=now_s)
        self.relay.tell_work(Wants(one.node, one.job, one.number, one.tokens))

    def leave(self):
        """Give the place up."""
        if self.waiting is not None:
            self.relay.memory_queue.drop(self.waiting.node, self.waiting.job)
            self.relay.tell_work(Ended(self.waiting.node, self.waiting.job))


async def _try_once(relay, call, open_now, without):
    """Return memory and what is held for it, or None where a share was refused.

    Parameters
    ----------
    relay : RelayState
        This node.
    call : Call
        The call.
    open_now : list of Candidate
        Replicas that may take part.
    without : set of str
        Those that refused a share in the last try; changed by this one.
    """
    candidates = [one for one in open_now if one.id not in without]
    placement = find_place(relay, call, candidates, now_s=read_clock())
    without.clear()
    if not is_worthwhile(call, placement):
        return None
    job = relay.next_job()
    wanted = [
        (share.replica, f"{relay.node}/{job}/{place}", share.tokens)
        for place, share in enumerate(placement.holders)
    ]
    results: dict[str, bool] = {}
    async with anyio.create_task_group() as group:
        for replica, ticket, tokens in wanted:
            group.start_soon(_reserve, relay, replica, ticket, tokens, results)
    held = [(one.address, ticket, tokens) for one, ticket, tokens in wanted]
    if all(results.values()):
        tickets = tuple((address, ticket) for address, ticket, _ in held)
        return Memory(tickets, placement), held
    for replica, ticket, _ in wanted:
        if not results[ticket]:
            without.add(replica.id)
        relay.tasks.start_soon(_release, relay, replica.address, ticket)
    relay.counters.add("tickets.refused")
    relay.log.info(
        "Memory was refused.",
        extra={"request": call.request.attempt_id, "tokens": call.size.tokens,
               "replicas": [one.id for one, ticket, _ in wanted
                            if not results[ticket]]},
    )  # fmt: skip
    return None


async def _order(relay, outgoing, address):
    """Send an order; return its status, or ``UNREACHABLE``."""
    try:
        with anyio.fail_after(ORDER_S):
            head, _ = await relay.pool.call(
                address, outgoing, timeout_s=ORDER_S, read_clock=read_clock
            )
            return head.status
    except (ConnectFailed, ChannelBroken, TimeoutError) as error:
        relay.log.info(
            "An order got no answer.", extra={"address": address, "cause": str(error)}
        )
        relay.counters.add("orders.unanswered")
        return UNREACHABLE


async def _reserve(relay, replica, ticket, tokens, results):
    """Reserve at one replica."""
    order = relay.adapter.encode_reserve(replica.address, ticket, tokens, HOLD_S)
    status = await _order(relay, order, replica.address)
    if status == UNREACHABLE:
        suspect(relay, replica.id, "no answer to an order")
    results[ticket] = status == 200


async def _renew(relay, held, scope):
    """Renew reservations until the scope is cancelled."""
    with scope:
        while True:
            await anyio.sleep(RENEW_S)
            for address, ticket, tokens in held:
                order = relay.adapter.encode_reserve(address, ticket, tokens, HOLD_S)
                relay.tasks.start_soon(_order, relay, order, address)


async def _release(relay, address, ticket):
    """Give a reservation back; one that isn't reached ends by itself."""
    await _order(relay, relay.adapter.encode_release(address, ticket), address)
