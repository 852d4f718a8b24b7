"""What decides in the model: this project's scheduler, and baselines.

A policy is a function that is told of the fleet once and returns functions for the
driver; all of them see load reports only after their lag.
"""

import itertools
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

import xxhash

from lycheetide.fleet import Upstream, takes_new_work
from lycheetide.outcomes import NotRun
from lycheetide.routing import rank_cells
from lycheetide.scheduling import Cell, Policy, Report, Ticket

SEGMENT_SHARE = 0.8
CELL_REPLICAS = 8


@dataclass(frozen=True)
class Decider:
    """The functions of one policy.

    Parameters
    ----------
    arrive : callable
        Takes a ticket and the time; raises ``NotRun`` to refuse.
    decide : callable
        Takes the time; yields (ticket, replica names).
    end : callable
        Takes a request id, the replicas' names and the time.
    report : callable
        Takes a replica's name, its report, when it was asked for, and the time.
    share : callable
        Takes the time; called at each heartbeat.
    configure : callable
        Takes the failure domains and the time.
    find_unproved : callable
        Returns the replicas of which a report is wanted at once.
    withdraw : callable
        Takes the id of a request that waits no more.
    """

    arrive: Callable[..., Any]
    decide: Callable[..., Any]
    end: Callable[..., Any]
    report: Callable[..., Any]
    share: Callable[..., Any]
    configure: Callable[..., Any]
    find_unproved: Callable[..., Any]
    withdraw: Callable[..., Any]
    uses_priority: bool = True


def make_lycheetide(upstreams, domains, draw, *, policy=None):
    """Return this project's decisions: cells with one owner each."""
    groups: dict[str, list[Upstream]] = {}
    cells_needed = -(-len(upstreams) // CELL_REPLICAS)
    for index, upstream in enumerate(upstreams):
        groups.setdefault(f"cell-{index % cells_needed}", []).append(upstream)
    cells = {}
    for name, members in groups.items():
        cells[name] = Cell(name, owner_id=name, policy=policy or Policy())
        cells[name].is_settled = True
        cells[name].apply_upstreams(members, domains, now_s=0.0)
    homes = {u.name: name for name, members in groups.items() for u in members}
    summaries: dict[str, Any] = {}
    permits: dict[str, Any] = {}

    def arrive(ticket, now_s):
        ranked = rank_cells(
            sorted(cells), summaries, prefix_key=ticket.prefix_key,
            prompt_tokens=ticket.prompt_tokens, draw=draw.random,
        )  # fmt: skip
        refusals = []
        for name in ranked:
            try:
                cells[name].ask(ticket, now_s=now_s)
                return
            except NotRun as refusal:
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
        cells[homes[name]].take_report(name, report, asked_s=asked_s, now_s=now_s)

    def share(now_s):
        for name, cell in cells.items():
            summaries[name] = cell.summarize(now_s=now_s)

    def configure(domains, now_s):
        for name, members in groups.items():
            cells[name].apply_upstreams(members, domains, now_s=now_s)

    def find_unproved():
        return [name for cell in cells.values() for name in cell.find_unproved()]

    def withdraw(request_id):
        for cell in cells.values():
            cell.withdraw(f"t{request_id[1:]}")

    return Decider(
        arrive, decide, end, report, share, configure, find_unproved, withdraw
    )


def _make_baseline(upstreams, domains, rank, *, uses_priority):
    """Return a policy that sends each request at once to the best by ``rank``.

    ``rank`` takes a ticket, an upstream, its last report and how many requests were
    sent there since; the smallest wins. A prompt above one engine's memory goes to as
    many as it needs.
    """
    by_name = {u.name: u for u in upstreams}
    reports = {u.name: Report("b", True) for u in upstreams}
    outstanding = dict.fromkeys(by_name, 0)
    state = {"domains": domains}
    queue: list[Ticket] = []

    def list_open():
        present = state["domains"]
        return [u for u in upstreams if takes_new_work(u, present)]

    def arrive(ticket, now_s):
        queue.append(ticket)

    def decide(now_s):
        while queue:
            ticket = queue.pop(0)
            usable = list_open()
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

    def nothing(*_):
        return []

    def configure(domains, now_s):
        state["domains"] = domains

    return Decider(
        arrive,
        decide,
        end,
        report,
        nothing,
        configure,
        nothing,
        nothing,
        uses_priority,
    )


def make_random(upstreams, domains, draw):
    """Send each request to any replica."""

    def rank(ticket, upstream, report, outstanding):
        return draw.random()

    return _make_baseline(upstreams, domains, rank, uses_priority=False)


def make_round_robin(upstreams, domains, draw):
    """Send requests to the replicas in turn."""
    turns = itertools.count()
    last = {u.name: -1 for u in upstreams}

    def rank(ticket, upstream, report, outstanding):
        return last[upstream.name]

    decider = _make_baseline(upstreams, domains, rank, uses_priority=False)

    def decide(now_s):
        for ticket, names in decider.decide(now_s):
            for name in names:
                last[name] = next(turns)
            yield ticket, names

    return replace(decider, decide=decide)


def make_least_outstanding(upstreams, domains, draw, *, uses_priority=False):
    """Send each request to the replica with the fewest requests in progress."""

    def rank(ticket, upstream, report, outstanding):
        return outstanding, draw.random()

    return _make_baseline(upstreams, domains, rank, uses_priority=uses_priority)


def make_least_with_priority(upstreams, domains, draw):
    """Like least outstanding, and let the engines read short prompts first."""
    return make_least_outstanding(upstreams, domains, draw, uses_priority=True)


def make_affinity(upstreams, domains, draw):
    """Send each prefix always to its own replica, however loaded that is."""

    def rank(ticket, upstream, report, outstanding):
        text = f"{ticket.prefix_key or ticket.request_id}\0{upstream.name}"
        return -xxhash.xxh3_64_intdigest(text.encode())

    return _make_baseline(upstreams, domains, rank, uses_priority=False)


POLICIES: dict[str, Callable[..., Decider]] = {
    "lycheetide": make_lycheetide,
    "random": make_random,
    "round robin": make_round_robin,
    "least outstanding": make_least_outstanding,
    "least outstanding, priorities": make_least_with_priority,
    "unbounded affinity": make_affinity,
}
