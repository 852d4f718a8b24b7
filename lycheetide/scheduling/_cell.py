"""The state of one cell at its owner; methods take the present time as an argument."""

import itertools
from collections import Counter, defaultdict
from dataclasses import replace

from lycheetide.charts import load_chart
from lycheetide.fleet import takes_new_work
from lycheetide.membership import CellSummary
from lycheetide.outcomes import NotRunError, Reason
from lycheetide.scheduling._choose import (
    choose_draining,
    choose_replicas,
    count_segments,
)
from lycheetide.scheduling._estimate import estimate_wait
from lycheetide.scheduling._limits import count_open_slots, needs_confirmation
from lycheetide.scheduling._order import order_tickets
from lycheetide.scheduling._types import (
    LoadReport,
    Permit,
    ReplicaLoad,
    ReplicaState,
    SchedulingPolicy,
)

CHART = load_chart("upstream")

CUSTOMER_RETRY_AFTER_S = 2.0
MAX_PREFIXES = 20_000
"""Maximum number of prompt prefixes that a cell tracks; the oldest are dropped."""


class Cell:
    """A group of replicas that is scheduled by one node, its owner.

    Holds the queue of requests for these replicas and the permits in force.

    Parameters
    ----------
    name : str
        The name of the cell.
    owner_id : str
        The owner's member id, which makes permit ids unique.
    policy : SchedulingPolicy
        The parameters of the scheduling policy.
    """

    def __init__(self, name, *, owner_id, policy=None):
        self.name = name
        self.owner_id = owner_id
        self.policy = policy or SchedulingPolicy()
        self.replicas = {}
        self.tickets = {}
        self.permits = {}
        self.lost_permits = {}
        self.prefixes = {}
        self.met: dict[str, set[str]] = {}
        self.is_settled = False
        self._permit_numbers = itertools.count(1)

    def apply_upstreams(self, upstreams, domains, *, now_s):
        """Apply the upstreams that the configuration assigns to this cell.

        A replica that is opened again, such as when its failure domain returns, starts
        at the cold limit whatever its earlier limit was: its caches are empty and its
        load report is outdated.
        """
        names = set()
        for upstream in upstreams:
            names.add(upstream.name)
            is_open = takes_new_work(upstream, domains)
            current = self.replicas.get(upstream.name)
            if current is None or current.upstream.url != upstream.url:
                self.replicas[upstream.name] = _make_replica(upstream, is_open, now_s)
                continue
            ramp = current.ramp_limit
            if is_open and not current.is_open:
                ramp = upstream.cold_limit_requests
            self.replicas[upstream.name] = replace(
                current, upstream=upstream, is_open=is_open, ramp_limit=ramp
            )
        for name in set(self.replicas) - names:
            del self.replicas[name]
            self.met.pop(name, None)

    def apply_report(self, name, report, *, asked_s, now_s):
        """Apply a load report that was requested at ``asked_s``."""
        current = self.replicas.get(name)
        if current is None or asked_s < current.report_asked_s:
            return
        self._update_accepted(current, report, asked_s)
        report = replace(report, at_s=asked_s)
        event = "reported_warm" if report.warm else "reported_cold"
        ramp = current.ramp_limit
        if current.boot_id and current.boot_id != report.boot_id:
            ramp = current.upstream.cold_limit_requests
            if report.warm:
                event = "reported_warm"
        elif not report.warm:
            ramp = current.upstream.cold_limit_requests
        else:
            ramp = min(current.upstream.warm_limit_requests, ramp * 2)
        short_backlog_s, huge_backlog_s = self._estimate_backlogs(
            current, report, asked_s
        )
        self.replicas[name] = replace(
            current,
            phase=CHART.next_state(current.phase, event),
            boot_id=report.boot_id,
            report_asked_s=asked_s,
            ramp_limit=ramp,
            report=report,
            short_backlog_until_s=asked_s + short_backlog_s,
            huge_backlog_until_s=asked_s + huge_backlog_s,
        )

    def record_accepted_requests(self, name, boot_id, request_ids, *, asked_s):
        """Record which requests an upstream's current process has accepted.

        Parameters
        ----------
        name : str
            The replica.
        boot_id : str
            The boot id of the process that answered.
        request_ids : collection of str
            The requests that it processes or holds memory for.
        asked_s : float
            When it was asked.

        Returns
        -------
        bool
            False if the replica is unknown or its last load report has another boot id.
        """
        current = self.replicas.get(name)
        if current is None or current.boot_id != boot_id:
            return False
        if asked_s >= current.report_asked_s:
            report = LoadReport(boot_id, warm=True, met=frozenset(request_ids))
            self._update_accepted(current, report, asked_s)
        return True

    def record_accepted_permit(self, permit_id, name, boot_id):
        """Record that an upstream accepted a permit's request, as its entry node saw.

        Returns
        -------
        bool
            False if the replica is unknown or its last load report has another boot id.
        """
        current = self.replicas.get(name)
        if current is None or current.boot_id != boot_id:
            return False
        self.met.setdefault(name, set()).add(permit_id)
        return True

    def is_awaiting_confirmation(self, names):
        """Tell whether any of the replicas needs a confirmation for further grants."""
        return bool(self._list_unconfirmed(set(names).intersection(self.replicas)))

    def _list_unconfirmed(self, names):
        """Return those of the replicas that need a confirmation for further grants."""
        by_replica = self._group_permits()
        return [
            name
            for name in names
            if needs_confirmation(
                self.replicas[name],
                by_replica[name],
                met=self.met.get(name, frozenset()),
            )
        ]

    def _update_accepted(self, replica, report, asked_s):
        """Record which permits' requests the process that sent a report has accepted.

        Permits older than ``permit_use_s`` count as accepted: they were used earlier,
        or never will be.
        """
        name = replica.upstream.name
        earlier_accepted = (
            self.met.get(name, set()) if replica.boot_id == report.boot_id else ()
        )
        self.met[name] = {
            permit.permit_id
            for permit in self._group_permits()[name]
            if permit.permit_id in earlier_accepted
            or asked_s - permit.granted_s > self.policy.permit_use_s
            or self._is_accepted(permit, report, asked_s)
        }

    @staticmethod
    def _is_accepted(permit, report, asked_s):
        """Tell whether a report shows that a permit's request was accepted."""
        if report.met is None:
            return permit.granted_s < asked_s
        return permit.ticket.request_id in report.met

    def _estimate_backlogs(self, replica, report, asked_s):
        """Return the prefill backlogs of short and huge prompts, from ``asked_s`` on.

        The report holds only their sum, without what was granted after ``asked_s``.
        Engines prefill short prompts first, so the part of the reported backlog that
        exceeds the expected backlog of short prompts is due to huge ones.
        """
        name = replica.upstream.name
        rate = replica.upstream.prefill_tokens_per_s
        added_s = {True: 0.0, False: 0.0}
        for permit in self.permits.values():
            if permit.granted_s >= asked_s and name in permit.replicas:
                tokens = permit.ticket.prompt_tokens / len(permit.replicas)
                added_s[self._is_huge(permit.ticket)] += tokens / rate
        reported_s = report.waiting_prefill_tokens / rate
        expected_s = max(0.0, replica.short_backlog_until_s - added_s[False] - asked_s)
        short_s = min(expected_s, reported_s)
        return short_s + added_s[False], reported_s - short_s + added_s[True]

    def _is_huge(self, ticket):
        """Tell whether a request's prompt counts as huge."""
        return ticket.prompt_tokens >= self.policy.huge_tokens

    def mark_silent(self, name):
        """Record that a replica did not answer."""
        self._mark_unavailable(name, "went_silent")

    def mark_broken(self, name):
        """Record that a replica broke a connection; it may have restarted cold.

        It is granted nothing until its next report, which is requested at once.
        Requests wait for that report instead of being refused, since a single broken
        stream doesn't mean that the replica is down.
        """
        self._mark_unavailable(name, "broke")

    def _mark_unavailable(self, name, event):
        """Apply a failure event to a replica's state and reset its ramp limit."""
        current = self.replicas.get(name)
        if current is None:
            return
        phase = CHART.next_state(current.phase, event)
        ramp = current.upstream.cold_limit_requests
        self.replicas[name] = replace(current, phase=phase, ramp_limit=ramp)

    def enqueue(self, ticket, *, now_s):
        """Add a request to the queue, or refuse it.

        Parameters
        ----------
        ticket : Ticket
            The request. A ticket that is submitted again keeps its place in the queue.
        now_s : float
            The present time.

        Raises
        ------
        NotRunError
            If the request can't be served before its deadline, is too large for the
            replicas, or exceeds the customer's limit, or if no replica is open.
        """
        current = self.tickets.get(ticket.ticket_id)
        if current is not None:
            self.tickets[ticket.ticket_id] = replace(current, asked_s=now_s)
            return
        loads = self.compute_loads(now_s=now_s)
        unreported = self._count_unreported()
        self._check_fits(ticket, loads, unreported)
        wait_s = 0.0
        if loads:
            wait_s = estimate_wait(ticket, self.tickets.values(), loads)
        self._check_customer_limit(ticket)
        remaining_s = ticket.deadline_s - now_s
        if wait_s > remaining_s:
            retry_delay_s = min(30.0, max(0.5, wait_s - remaining_s))
            raise NotRunError(
                Reason.OVERLOADED,
                f"estimated time to process the prompt is {wait_s:.1f} s, "
                f"but the deadline is in {remaining_s:.1f} s",
                retry_after_s=retry_delay_s,
            )
        self.tickets[ticket.ticket_id] = ticket

    def _count_unreported(self):
        """Count the open replicas without a current load report.

        A new owner has no reports of its replicas at first. If requests were refused
        until they arrive, callers would get "no replica is open" at each change of
        owner, some hundred times a day.
        """
        return sum(
            replica.is_open and CHART.has_flag(replica.phase, "unknown")
            for replica in self.replicas.values()
        )

    def _check_fits(self, ticket, loads, unreported):
        """Refuse a request that the cell's replicas together could not hold."""
        if not loads and not unreported:
            raise NotRunError(
                Reason.NO_CAPACITY, "no replica is open", retry_after_s=2.0
            )
        segments = count_segments(ticket, loads, self.policy)
        if segments > len(loads) + unreported:
            raise NotRunError(
                Reason.PROMPT_TOO_LONG,
                f"{ticket.total_tokens} tokens require {segments} replicas, "
                f"but only {len(loads)} are open",
                retry_after_s=10.0,
            )

    def _check_customer_limit(self, ticket):
        """Refuse a request that would exceed the customer's limit of queued tokens."""
        waiting = sum(
            other.prompt_tokens
            for other in self.tickets.values()
            if other.customer == ticket.customer
        )
        if waiting and waiting + ticket.prompt_tokens > ticket.waiting_limit_tokens:
            raise NotRunError(
                Reason.CUSTOMER_LIMIT,
                f"{waiting} tokens of this customer are already queued, "
                f"its limit is {ticket.waiting_limit_tokens}",
                retry_after_s=CUSTOMER_RETRY_AFTER_S,
                status=429,
            )

    def withdraw(self, ticket_id):
        """Remove a request from the queue."""
        self.tickets.pop(ticket_id, None)

    def compute_loads(self, *, now_s, draining=frozenset()):
        """Return the loads of the open replicas."""
        by_replica = self._group_permits()
        names = sorted(name for name, r in self.replicas.items() if _is_usable(r))
        huge_count = max(1, round(len(names) * self.policy.huge_share))
        huge_names = set(names[-huge_count:]) if names else set()
        return [
            self._compute_load(
                self.replicas[name],
                by_replica[name],
                takes_huge=name in huge_names,
                is_draining=name in draining,
                now_s=now_s,
            )
            for name in names
        ]

    def _group_permits(self):
        """Group all permits, including lost ones, by replica."""
        by_replica = defaultdict(list)
        for permit in itertools.chain(
            self.permits.values(), self.lost_permits.values()
        ):
            for name in permit.replicas:
                by_replica[name].append(permit)
        return by_replica

    def _compute_load(self, replica, permits, *, takes_huge, is_draining, now_s):
        """Return the load of one replica."""
        name = replica.upstream.name
        granted = sum(p.tokens[p.replicas.index(name)] for p in permits)
        granted_since = sum(
            p.tokens[p.replicas.index(name)]
            for p in permits
            if p.granted_s >= replica.report.at_s
        )
        used = max(granted, replica.report.kv_used_tokens + granted_since)
        capacity = replica.report.kv_capacity_tokens or (
            replica.upstream.kv_capacity_tokens
        )
        return ReplicaLoad(
            name=name,
            slots=count_open_slots(
                replica,
                permits,
                met=self.met.get(name, frozenset()),
                is_settled=self.is_settled,
            ),
            kv_free_tokens=capacity - used,
            kv_capacity_tokens=capacity,
            short_backlog_s=max(0.0, replica.short_backlog_until_s - now_s),
            huge_backlog_s=max(0.0, replica.huge_backlog_until_s - now_s),
            tokens_per_s=replica.upstream.prefill_tokens_per_s,
            takes_huge=takes_huge,
            is_draining=is_draining,
            running=len(permits),
        )

    def schedule(self, *, now_s):
        """Grant permits to queued requests as far as the replicas allow.

        Parameters
        ----------
        now_s : float
            The present time.

        Returns
        -------
        list of Permit
            The new permits, already included in the loads of their replicas.
        """
        if not self.tickets:
            return []
        running: Counter[str] = Counter()
        for permit in self.permits.values():
            running[permit.ticket.customer] += permit.ticket.total_tokens
        by_replica = self._group_permits()
        loads = {load.name: load for load in self.compute_loads(now_s=now_s)}
        draining = self._find_draining(loads.values(), now_s)
        for name in draining:
            loads[name] = replace(loads[name], is_draining=True)
        granted = []
        for ticket in order_tickets(self.tickets.values(), running, now_s=now_s):
            cached = self.prefixes.get(ticket.prefix_key, {})
            usable = list(loads.values())
            chosen = choose_replicas(ticket, usable, self.policy, cached_tokens=cached)
            if not chosen:
                continue
            permit = self._grant(ticket, chosen, cached, now_s)
            running[ticket.customer] += ticket.total_tokens
            granted.append(permit)
            for load in chosen:
                by_replica[load.name].append(permit)
                loads[load.name] = self._compute_load(
                    self.replicas[load.name],
                    by_replica[load.name],
                    takes_huge=load.takes_huge,
                    is_draining=load.is_draining,
                    now_s=now_s,
                )
        return granted

    def _find_draining(self, loads, now_s):
        """Return the replicas to drain for the split prompt that has waited longest."""
        waiting = [
            ticket
            for ticket in self.tickets.values()
            if now_s - ticket.arrived_s > self.policy.drain_after_s
            and count_segments(ticket, loads, self.policy) > 1
        ]
        if not waiting:
            return frozenset()
        oldest = min(waiting, key=lambda t: (t.arrived_s, t.ticket_id))
        return choose_draining(oldest, loads, self.policy)

    def _grant(self, ticket, chosen, cached, now_s):
        """Create a permit and add it to the loads of its replicas."""
        del self.tickets[ticket.ticket_id]
        parts = len(chosen)
        share = -(-ticket.total_tokens // parts)
        permit = Permit(
            permit_id=f"{self.owner_id}/{self.name}/{next(self._permit_numbers)}",
            ticket=ticket,
            replicas=tuple(load.name for load in chosen),
            tokens=(share,) * parts,
            granted_s=now_s,
            renewed_s=now_s,
        )
        self.permits[permit.permit_id] = permit
        is_huge = self._is_huge(ticket)
        for load in chosen:
            fresh = ticket.prompt_tokens / parts - cached.get(load.name, 0)
            self._add_to_backlog(load.name, max(0.0, fresh), is_huge, now_s)
        if ticket.prefix_key and parts == 1:
            self._remember_prefix(ticket, chosen[0].name)
        return permit

    def _add_to_backlog(self, name, tokens, is_huge, now_s):
        """Add a prompt to the prefill backlog of a replica."""
        replica = self.replicas[name]
        prefill_s = tokens / replica.upstream.prefill_tokens_per_s
        if is_huge:
            until_s = max(now_s, replica.huge_backlog_until_s) + prefill_s
            self.replicas[name] = replace(replica, huge_backlog_until_s=until_s)
        else:
            until_s = max(now_s, replica.short_backlog_until_s) + prefill_s
            self.replicas[name] = replace(replica, short_backlog_until_s=until_s)

    def _remember_prefix(self, ticket, name):
        """Record that a replica has the prompt's prefix in its cache."""
        holders = self.prefixes.pop(ticket.prefix_key, {})
        holders[name] = ticket.prompt_tokens
        self.prefixes[ticket.prefix_key] = holders
        while len(self.prefixes) > MAX_PREFIXES:
            del self.prefixes[next(iter(self.prefixes))]

    def renew(self, permit_ids, *, now_s):
        """Renew permits; return the ids that are unknown to the owner."""
        unknown = []
        for permit_id in permit_ids:
            permit = self.permits.get(permit_id)
            if permit is None:
                unknown.append(permit_id)
                continue
            self.permits[permit_id] = replace(permit, renewed_s=now_s)
        return unknown

    def adopt(self, permits, *, now_s):
        """Take over permits that were granted by an earlier owner."""
        for permit in permits:
            if permit.permit_id not in self.permits:
                self.permits[permit.permit_id] = replace(permit, renewed_s=now_s)

    def finish(self, permit_id):
        """End a permit."""
        self.permits.pop(permit_id, None)
        self.lost_permits.pop(permit_id, None)

    def drop_expired(self, *, now_s, ticket_s, permit_s):
        """Drop expired tickets, and mark permits that were not renewed as lost.

        A lost permit still counts towards the load of its replicas until the engine is
        seen to hold nothing for it: its entry node may be frozen while its stream
        continues.
        """
        for ticket in list(self.tickets.values()):
            if now_s - ticket.asked_s > ticket_s or now_s > ticket.deadline_s:
                del self.tickets[ticket.ticket_id]
        for permit in list(self.permits.values()):
            if now_s - permit.renewed_s > permit_s:
                self.lost_permits[permit.permit_id] = self.permits.pop(permit.permit_id)

    def release_lost_permits(self, name, held_request_ids):
        """Release lost permits at a replica that no longer holds anything for them."""
        for permit_id, permit in list(self.lost_permits.items()):
            if name not in permit.replicas:
                continue
            if permit.ticket.request_id in held_request_ids:
                continue
            kept = [
                (replica, tokens)
                for replica, tokens in zip(permit.replicas, permit.tokens, strict=True)
                if replica != name
            ]
            if not kept:
                del self.lost_permits[permit_id]
                continue
            replicas, tokens = zip(*kept, strict=True)
            self.lost_permits[permit_id] = replace(
                permit, replicas=replicas, tokens=tokens
            )

    def find_unconfirmed(self):
        """Return the replicas that need a confirmation for further grants.

        Empty if no request is queued.
        """
        if not self.tickets:
            return []
        return self._list_unconfirmed(self.replicas)

    def summarize(self, *, now_s):
        """Return the summary of this cell that is sent to other nodes."""
        loads = self.compute_loads(now_s=now_s)
        short = sum(load.short_backlog_s * load.tokens_per_s for load in loads)
        huge = sum(load.huge_backlog_s * load.tokens_per_s for load in loads)
        waiting_short = sum(
            t.prompt_tokens for t in self.tickets.values() if not self._is_huge(t)
        )
        return CellSummary(
            cell=self.name,
            waiting_tokens=sum(t.prompt_tokens for t in self.tickets.values()),
            running_tokens=int(short + huge),
            short_tokens=int(short) + waiting_short,
            tokens_per_s=sum(load.tokens_per_s for load in loads),
            free_requests=sum(load.slots for load in loads),
        )


def _is_usable(replica):
    """Tell whether a replica may be granted any requests."""
    return replica.is_open and not CHART.has_flag(replica.phase, "closed")


def _make_replica(upstream, is_open, now_s):
    """Return the initial state of a replica, before any report."""
    return ReplicaState(
        upstream=upstream,
        is_open=is_open,
        phase=CHART.initial,
        boot_id="",
        report_asked_s=now_s - 1.0,
        ramp_limit=upstream.cold_limit_requests,
        report=LoadReport(boot_id="", warm=False, at_s=now_s - 1.0),
        short_backlog_until_s=now_s,
        huge_backlog_until_s=now_s,
    )
