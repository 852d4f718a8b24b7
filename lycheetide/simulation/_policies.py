"""Scheduling policies for the simulation: this project's, and baselines.

A policy is a function that takes the fleet and returns a ``Scheduler``, the functions
that the simulation calls. All policies get load reports with the same delay.
"""

import itertools
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

import xxhash

from lycheetide.fleet import Upstream, takes_new_work
from lycheetide.outcomes import NotRunError
from lycheetide.routing import rank_cells
from lycheetide.scheduling import Cell, LoadReport, SchedulingPolicy, Ticket

SEGMENT_SHARE = 0.8
REPLICAS_PER_CELL = 8


@dataclass(frozen=True)
class Scheduler:
    """The functions of a policy that the simulation calls.

    Parameters
    ----------
    arrive : callable
        Called with a ticket and the time; raises ``NotRunError`` to refuse the request.
    decide : callable
        Called with the time; yields pairs of a ticket and its replicas' names.
    end : callable
        Called with a request id, its replicas' names and the time.
    report : callable
        Called with a replica's name, its load report, the time at which the report was
        requested, and the present time.
    share : callable
        Called with the time at each heartbeat.
    configure : callable
        Called with the failure domains and the time.
    find_unconfirmed : callable
        Returns the names of the replicas whose load must be reported at once.
    withdraw : callable
        Called with the id of a request that no longer waits.
    uses_priority : bool
        Whether engines prefill prompts by priority.
    """

    arrive: Callable[..., Any]
    decide: Callable[..., Any]
    end: Callable[..., Any]
    report: Callable[..., Any]
    share: Callable[..., Any]
    configure: Callable[..., Any]
    find_unconfirmed: Callable[..., Any]
    withdraw: Callable[..., Any]
    uses_priority: bool = True


def make_lycheetide(upstreams, domains, rng, *, policy=None):
    """Return this project's scheduler: cells with one owner each."""
    cell_members: dict[str, list[Upstream]] = {}
    cells_needed = -(-len(upstreams) // REPLICAS_PER_CELL)
    for index, upstream in enumerate(upstreams):
        cell_members.setdefault(f"cell-{index % cells_needed}", []).append(upstream)
    cells = {}
    for name, members in cell_members.items():
        cells[name] = Cell(name, owner_id=name, policy=policy or SchedulingPolicy())
        cells[name].is_settled = True
        cells[name].apply_upstreams(members, domains, now_s=0.0)
    cell_by_replica = {
        u.name: name for name, members in cell_members.items() for u in members
    }
    summaries: dict[str, Any] = {}
    permits: dict[str, Any] = {}

    def arrive(ticket, now_s):
        ranked = rank_cells(
            sorted(cells), summaries, prefix_key=ticket.prefix_key,
            prompt_tokens=ticket.prompt_tokens, draw=rng.random,
        )  # fmt: skip
        refusals = []
        for name in ranked:
            try:
                cells[name].enqueue(ticket, now_s=now_s)
                return
            except NotRunError as refusal:
                refusals.append(refusal)
        raise min(refusals, key=lambda refusal: refusal.retry_after_s or 0.0)

    def decide(now_s):
        for cell in cells.values():
            for permit in cell.schedule(now_s=now_s):
                permits[permit.ticket.request_id] = (cell, permit.permit_id)
                yield permit.ticket, permit.replicas

    def end(request_id, names, now_s):
        cell, permit_id = permits.pop(request_id)
        cell.finish(permit_id)

    def report(name, report, asked_s, now_s):
        cells[cell_by_replica[name]].apply_report(
            name, report, asked_s=asked_s, now_s=now_s
        )

    def share(now_s):
        for name, cell in cells.items():
            summaries[name] = cell.summarize(now_s=now_s)

    def configure(domains, now_s):
        for name, members in cell_members.items():
            cells[name].apply_upstreams(members, domains, now_s=now_s)

    def find_unconfirmed():
        return [name for cell in cells.values() for name in cell.find_unconfirmed()]

    def withdraw(request_id):
        for cell in cells.values():
            cell.withdraw(f"t{request_id[1:]}")

    return Scheduler(
        arrive, decide, end, report, share, configure, find_unconfirmed, withdraw
    )


def _make_baseline(upstreams, domains, rank, *, uses_priority):
    """Return a scheduler that sends each request at once to the best replica.

    ``rank`` is called with a ticket, an upstream, its last report and the number of
    requests in progress there; the replica with the smallest result gets the request. A
    prompt that exceeds the memory of one engine is split over as many as it needs.
    """
    by_name = {u.name: u for u in upstreams}
    reports = {u.name: LoadReport("b", True) for u in upstreams}
    outstanding = dict.fromkeys(by_name, 0)
    state = {"domains": domains}
    queue: list[Ticket] = []

    def list_usable():
        current_domains = state["domains"]
        return [u for u in upstreams if takes_new_work(u, current_domains)]

    def arrive(ticket, now_s):
        queue.append(ticket)

    def decide(now_s):
        while queue:
            ticket = queue.pop(0)
            usable = list_usable()
            capacity = usable[0].kv_capacity_tokens
            parts = 1
            if ticket.total_tokens > capacity:
                parts = -(-ticket.total_tokens // int(capacity * SEGMENT_SHARE))
            ordered = sorted(
                usable,
                key=lambda u: rank(ticket, u, reports[u.name], outstanding[u.name]),
            )
            names = tuple(u.name for u in ordered[:parts])
            for name in names:
                outstanding[name] += 1
            yield ticket, names

    def end(request_id, names, now_s):
        for name in names:
            outstanding[name] -= 1

    def report(name, report, asked_s, now_s):
        reports[name] = replace(report, at_s=asked_s)

    def do_nothing(*_):
        return []

    def configure(domains, now_s):
        state["domains"] = domains

    return Scheduler(
        arrive,
        decide,
        end,
        report,
        do_nothing,
        configure,
        do_nothing,
        do_nothing,
        uses_priority,
    )


def make_random(upstreams, domains, rng):
    """Send each request to a random replica."""

    def rank(ticket, upstream, report, outstanding):
        return rng.random()

    return _make_baseline(upstreams, domains, rank, uses_priority=False)


def make_round_robin(upstreams, domains, rng):
    """Send requests to the replicas in turn."""
    turn_numbers = itertools.count()
    last_turn = {u.name: -1 for u in upstreams}

    def rank(ticket, upstream, report, outstanding):
        return last_turn[upstream.name]

    scheduler = _make_baseline(upstreams, domains, rank, uses_priority=False)

    def decide(now_s):
        for ticket, names in scheduler.decide(now_s):
            for name in names:
                last_turn[name] = next(turn_numbers)
            yield ticket, names

    return replace(scheduler, decide=decide)


def make_least_outstanding(upstreams, domains, rng, *, uses_priority=False):
    """Send each request to the replica with the fewest requests in progress."""

    def rank(ticket, upstream, report, outstanding):
        return outstanding, rng.random()

    return _make_baseline(upstreams, domains, rank, uses_priority=uses_priority)


def make_least_with_priority(upstreams, domains, rng):
    """Like ``make_least_outstanding``, with engines that prefill by priority."""
    return make_least_outstanding(upstreams, domains, rng, uses_priority=True)


def make_affinity(upstreams, domains, rng):
    """Send all requests with a prefix to one replica, whatever its load."""

    def rank(ticket, upstream, report, outstanding):
        text = f"{ticket.prefix_key or ticket.request_id}\0{upstream.name}"
        return -xxhash.xxh3_64_intdigest(text.encode())

    return _make_baseline(upstreams, domains, rank, uses_priority=False)


POLICIES: dict[str, Callable[..., Scheduler]] = {
    "lycheetide": make_lycheetide,
    "random": make_random,
    "round robin": make_round_robin,
    "least outstanding": make_least_outstanding,
    "least outstanding, priorities": make_least_with_priority,
    "unbounded affinity": make_affinity,
}
