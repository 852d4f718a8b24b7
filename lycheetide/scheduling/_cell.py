"""The state of one cell at its owner; every decision takes the time as an argument."""

import itertools
from collections import Counter, defaultdict
from dataclasses import replace

from lycheetide.charts import load_chart
from lycheetide.fleet import takes_new_work
from lycheetide.membership import CellSummary
from lycheetide.outcomes import NotRun, Reason
from lycheetide.scheduling._choose import (
    choose_draining,
    choose_replicas,
    count_segments,
)
from lycheetide.scheduling._estimate import estimate_wait
from lycheetide.scheduling._limits import count_open_slots, needs_proof
from lycheetide.scheduling._order import order_tickets
from lycheetide.scheduling._types import Permit, Policy, Replica, ReplicaLoad, Report

CHART = load_chart("upstream")

CUSTOMER_RETRY_AFTER_S = 2.0
LARGEST_PREFIX_COUNT = 20_000
"""How many prefixes a cell remembers; the oldest are forgotten first."""


class Cell:
    """Replicas that one node owns together, and the requests that wait for them.

    Parameters
    ----------
    name : str
        The cell.
    owner_id : str
        The owner's member id; it makes permit ids unique.
    policy : Policy
        The numbers that the choices rest on.
    """

    def __init__(self, name, *, owner_id, policy=None):
        self.name = name
        self.owner_id = owner_id
        self.policy = policy or Policy()
        self.replicas = {}
        self.tickets = {}
        self.permits = {}
        self.lost_permits = {}
        self.prefixes = {}
        self.met: dict[str, set[str]] = {}
        self.is_settled = False
        self._numbers = itertools.count(1)

    def apply_upstreams(self, upstreams, domains, *, now_s):
        """Take the configuration's entries for this cell.

        A replica that opens again, as its failure domain returns, begins at the cold
        limit, whatever it was before: its caches are empty and its load report old.
        """
        names = set()
        for upstream in upstreams:
            names.add(upstream.name)
            is_open = takes_new_work(upstream, domains)
            known = self.replicas.get(upstream.name)
            if known is None or known.upstream.url != upstream.url:
                self.replicas[upstream.name] = _make_replica(upstream, is_open, now_s)
                continue
            ramp = known.ramp_limit
            if is_open and not known.is_open:
                ramp = upstream.cold_limit_requests
            self.replicas[upstream.name] = replace(
                known, upstream=upstream, is_open=is_open, ramp_limit=ramp
            )
        for name in set(self.replicas) - names:
            del self.replicas[name]
            self.met.pop(name, None)

    def take_report(self, name, report, *, asked_s, now_s):
        """Take a load report that was asked for at ``asked_s``."""
        known = self.replicas.get(name)
        if known is None or asked_s < known.proved_s:
            return
        self._note_met(known, report, asked_s)
        report = replace(report, at_s=asked_s)
        event = "reported_warm" if report.warm else "reported_cold"
        ramp = known.ramp_limit
        if known.boot_id and known.boot_id != report.boot_id:
            ramp = known.upstream.cold_limit_requests
            if report.warm:
                event = "reported_warm"
        elif not report.warm:
            ramp = known.upstream.cold_limit_requests
        else:
            ramp = min(known.upstream.warm_limit_requests, ramp * 2)
        short_s, huge_s = self._correct_reading(known, report, asked_s)
        self.replicas[name] = replace(
            known,
            phase=CHART.step(known.phase, event),
            boot_id=report.boot_id,
            proved_s=asked_s,
            ramp_limit=ramp,
            report=report,
            busy_until_s=asked_s + short_s,
            huge_until_s=asked_s + huge_s,
        )

    def take_met(self, name, boot_id, request_ids, *, asked_s):
        """Take in which requests an upstream's present life has taken.

        Parameters
        ----------
        name : str
            The replica.
        boot_id : str
            The life that tells.
        request_ids : collection of str
            What it works on or holds memory for.
        asked_s : float
            When it was asked.

        Returns
        -------
        bool
            False if it tells of a life that no report told of yet.
        """
        known = self.replicas.get(name)
        if known is None or known.boot_id != boot_id:
            return False
        if asked_s >= known.proved_s:
            report = Report(boot_id, warm=True, met=frozenset(request_ids))
            self._note_met(known, report, asked_s)
        return True

    def note_met(self, permit_id, name, boot_id):
        """Note that an upstream has taken a permit's request, as its entry node saw.

        Returns
        -------
        bool
            False if that was in a life that no report told of yet.
        """
        known = self.replicas.get(name)
        if known is None or known.boot_id != boot_id:
            return False
        self.met.setdefault(name, set()).add(permit_id)
        return True

    def is_short_of_proof(self, names):
        """Tell whether only a proof keeps one of some replicas from taking more."""
        return bool(self._list_unproved(set(names).intersection(self.replicas)))

    def _list_unproved(self, names):
        """Return those of some replicas that take no more without a proof."""
        by_replica = self._sort_permits()
        return [
            name
            for name in names
            if needs_proof(
                self.replicas[name],
                by_replica[name],
                met=self.met.get(name, frozenset()),
            )
        ]

    def _note_met(self, replica, report, asked_s):
        """Note which permits' requests have met the life that a report tells of.

        A permit that is too old to be used has been used before, or never will be.
        """
        name = replica.upstream.name
        before = self.met.get(name, set()) if replica.boot_id == report.boot_id else ()
        self.met[name] = {
            permit.permit_id
            for permit in self._sort_permits()[name]
            if permit.permit_id in before
            or asked_s - permit.granted_s > self.policy.permit_use_s
            or self._has_met(permit, report, asked_s)
        }

    @staticmethod
    def _has_met(permit, report, asked_s):
        """Tell whether a report shows that a permit's request was taken."""
        if report.met is None:
            return permit.granted_s < asked_s
        return permit.ticket.request_id in report.met

    def _correct_reading(self, replica, report, asked_s):
        """Return how long short and huge prompts will be read, from ``asked_s`` on.

        The report tells only the sum, and nothing of what was granted since; engines
        read short prompts first, so what is unread is huge as far as short prompts
        can't account for it.
        """
        name = replica.upstream.name
        rate = replica.upstream.prefill_tokens_per_s
        since = {True: 0.0, False: 0.0}
        for permit in self.permits.values():
            if permit.granted_s >= asked_s and name in permit.replicas:
                tokens = permit.ticket.prompt_tokens / len(permit.replicas)
                since[self._is_huge(permit.ticket)] += tokens / rate
        unread_s = report.waiting_prefill_tokens / rate
        expected_s = max(0.0, replica.busy_until_s - since[False] - asked_s)
        short_s = min(expected_s, unread_s)
        return short_s + since[False], unread_s - short_s + since[True]

    def _is_huge(self, ticket):
        """Tell whether a prompt counts as huge."""
        return ticket.prompt_tokens >= self.policy.huge_tokens

    def take_silence(self, name):
        """Note that a replica did not answer."""
        self._close(name, "went_silent")

    def take_break(self, name):
        """Note that a replica broke a connection; it may have restarted cold.

        It gets nothing until its next report, which is asked for at once; requests
        wait for that, since one broken stream is no sign that a replica is gone.
        """
        self._close(name, "broke")

    def _close(self, name, event):
        """Step a replica's life to where it gets no work."""
        known = self.replicas.get(name)
        if known is None:
            return
        phase = CHART.step(known.phase, event)
        ramp = known.upstream.cold_limit_requests
        self.replicas[name] = replace(known, phase=phase, ramp_limit=ramp)

    def ask(self, ticket, *, now_s):
        """Take a request in, or refuse it at once.

        Parameters
        ----------
        ticket : Ticket
            The request; asking again with the same id keeps the place.
        now_s : float
            The present time.

        Raises
        ------
        NotRun
            If the request can't be served in time, or would never fit.
        """
        known = self.tickets.get(ticket.ticket_id)
        if known is not None:
            self.tickets[ticket.ticket_id] = replace(known, asked_s=now_s)
            return
        loads = self.make_loads(now_s=now_s)
        unseen = self._count_unseen()
        self._check_fits(ticket, loads, unseen)
        wait_s = 0.0
        if loads:
            wait_s = estimate_wait(ticket, self.tickets.values(), loads)
        self._check_customer(ticket)
        left_s = ticket.deadline_s - now_s
        if wait_s > left_s:
            later_s = min(30.0, max(0.5, wait_s - left_s))
            raise NotRun(
                Reason.OVERLOADED,
                f"reading the prompt takes {wait_s:.1f} s, {left_s:.1f} s are left",
                retry_after_s=later_s,
            )
        self.tickets[ticket.ticket_id] = ticket

    def _count_unseen(self):
        """Count open replicas of which no report has come yet.

        A new owner knows nothing of its replicas for a moment. Were requests refused
        in that moment, callers would get "no replica is open" at each change of
        owner, some hundred times a day.
        """
        return sum(
            replica.is_open and CHART.has(replica.phase, "unknown")
            for replica in self.replicas.values()
        )

    def _check_fits(self, ticket, loads, unseen):
        """Refuse what no set of the cell's replicas could hold."""
        if not loads and not unseen:
            raise NotRun(Reason.NO_CAPACITY, "no replica is open", retry_after_s=2.0)
        segments = count_segments(ticket, loads, self.policy)
        if segments > len(loads) + unseen:
            raise NotRun(
                Reason.PROMPT_TOO_LONG,
                f"{ticket.total_tokens} tokens need {segments} replicas, "
                f"{len(loads)} are open",
                retry_after_s=10.0,
            )

    def _check_customer(self, ticket):
        """Refuse a customer that has too much waiting already."""
        waiting = sum(
            other.prompt_tokens
            for other in self.tickets.values()
            if other.customer == ticket.customer
        )
        if waiting and waiting + ticket.prompt_tokens > ticket.waiting_limit_tokens:
            raise NotRun(
                Reason.CUSTOMER_LIMIT,
                f"{waiting} tokens of this customer wait already, "
                f"{ticket.waiting_limit_tokens} may",
                retry_after_s=CUSTOMER_RETRY_AFTER_S,
                status=429,
            )

    def withdraw(self, ticket_id):
        """Forget a waiting request."""
        self.tickets.pop(ticket_id, None)

    def make_loads(self, *, now_s, draining=frozenset()):
        """Return the loads of the open replicas."""
        by_replica = self._sort_permits()
        names = sorted(name for name, r in self.replicas.items() if _is_usable(r))
        huge_count = max(1, round(len(names) * self.policy.huge_share))
        huge_names = set(names[-huge_count:]) if names else set()
        return [
            self._make_load(
                self.replicas[name],
                by_replica[name],
                takes_huge=name in huge_names,
                is_draining=name in draining,
                now_s=now_s,
            )
            for name in names
        ]

    def _sort_permits(self):
        """Group the permits, also lost ones, by replica."""
        by_replica = defaultdict(list)
        for permit in itertools.chain(
            self.permits.values(), self.lost_permits.values()
        ):
            for name in permit.replicas:
                by_replica[name].append(permit)
        return by_replica

    def _make_load(self, replica, permits, *, takes_huge, is_draining, now_s):
        """Return one replica's load."""
        name = replica.upstream.name
        granted = sum(p.tokens[p.replicas.index(name)] for p in permits)
        since = sum(
            p.tokens[p.replicas.index(name)]
            for p in permits
            if p.granted_s >= replica.report.at_s
        )
        used = max(granted, replica.report.kv_used_tokens + since)
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
            short_s=max(0.0, replica.busy_until_s - now_s),
            huge_s=max(0.0, replica.huge_until_s - now_s),
            tokens_per_s=replica.upstream.prefill_tokens_per_s,
            takes_huge=takes_huge,
            is_draining=is_draining,
            running=len(permits),
        )

    def schedule(self, *, now_s):
        """Grant what can be granted now.

        Parameters
        ----------
        now_s : float
            The present time.

        Returns
        -------
        list of Permit
            New permits, already counted against their replicas.
        """
        if not self.tickets:
            return []
        running: Counter[str] = Counter()
        for permit in self.permits.values():
            running[permit.ticket.customer] += permit.ticket.total_tokens
        by_replica = self._sort_permits()
        loads = {load.name: load for load in self.make_loads(now_s=now_s)}
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
                loads[load.name] = self._make_load(
                    self.replicas[load.name],
                    by_replica[load.name],
                    takes_huge=load.takes_huge,
                    is_draining=load.is_draining,
                    now_s=now_s,
                )
        return granted

    def _find_draining(self, loads, now_s):
        """Return the replicas kept for the oldest spanning prompt that waits."""
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
        """Make a permit and count it."""
        del self.tickets[ticket.ticket_id]
        parts = len(chosen)
        share = -(-ticket.total_tokens // parts)
        permit = Permit(
            permit_id=f"{self.owner_id}/{self.name}/{next(self._numbers)}",
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
            self._count_reading(load.name, max(0.0, fresh), is_huge, now_s)
        if ticket.prefix_key and parts == 1:
            self._remember_prefix(ticket, chosen[0].name)
        return permit

    def _count_reading(self, name, tokens, is_huge, now_s):
        """Add a prompt to the time that a replica will be reading."""
        replica = self.replicas[name]
        read_s = tokens / replica.upstream.prefill_tokens_per_s
        if is_huge:
            until_s = max(now_s, replica.huge_until_s) + read_s
            self.replicas[name] = replace(replica, huge_until_s=until_s)
        else:
            until_s = max(now_s, replica.busy_until_s) + read_s
            self.replicas[name] = replace(replica, busy_until_s=until_s)

    def _remember_prefix(self, ticket, name):
        """Note that a replica now holds the prompt's beginning."""
        holders = self.prefixes.pop(ticket.prefix_key, {})
        holders[name] = ticket.prompt_tokens
        self.prefixes[ticket.prefix_key] = holders
        while len(self.prefixes) > LARGEST_PREFIX_COUNT:
            del self.prefixes[next(iter(self.prefixes))]

    def renew(self, permit_ids, *, now_s):
        """Keep permits alive and return those that the owner does not know."""
        unknown = []
        for permit_id in permit_ids:
            permit = self.permits.get(permit_id)
            if permit is None:
                unknown.append(permit_id)
                continue
            self.permits[permit_id] = replace(permit, renewed_s=now_s)
        return unknown

    def adopt(self, permits, *, now_s):
        """Take over permits that an earlier owner gave."""
        for permit in permits:
            if permit.permit_id not in self.permits:
                self.permits[permit.permit_id] = replace(permit, renewed_s=now_s)

    def finish(self, permit_id):
        """End a permit."""
        self.permits.pop(permit_id, None)
        self.lost_permits.pop(permit_id, None)

    def drop_lost(self, *, now_s, ticket_s, permit_s):
        """Give up on requests whose entry node no longer speaks of them.

        A permit lost so still counts against its replicas until the engine is seen
        to hold nothing for it: the entry node may be frozen, and its stream alive.
        """
        for ticket in list(self.tickets.values()):
            if now_s - ticket.asked_s > ticket_s or now_s > ticket.deadline_s:
                del self.tickets[ticket.ticket_id]
        for permit in list(self.permits.values()):
            if now_s - permit.renewed_s > permit_s:
                self.lost_permits[permit.permit_id] = self.permits.pop(permit.permit_id)

    def end_lost(self, name, held_request_ids):
        """Free what lost permits count at a replica that holds nothing for them."""
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

    def find_unproved(self):
        """Return the replicas that a fresh report would open for waiting requests."""
        if not self.tickets:
            return []
        return self._list_unproved(self.replicas)

    def summarize(self, *, now_s):
        """Return what other nodes are told of this cell."""
        loads = self.make_loads(now_s=now_s)
        short = sum(load.short_s * load.tokens_per_s for load in loads)
        huge = sum(load.huge_s * load.tokens_per_s for load in loads)
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
    """Tell whether a replica takes any work at all."""
    return replica.is_open and not CHART.has(replica.phase, "closed")


def _make_replica(upstream, is_open, now_s):
    """Return a replica of which nothing is known yet."""
    return Replica(
        upstream=upstream,
        is_open=is_open,
        phase=CHART.initial,
        boot_id="",
        proved_s=now_s - 1.0,
        ramp_limit=upstream.cold_limit_requests,
        report=Report(boot_id="", warm=False, at_s=now_s - 1.0),
        busy_until_s=now_s,
        huge_until_s=now_s,
    )
