"""Drive a policy over modelled engines in virtual time; no clock is ever read."""

import heapq
import itertools
import random
from dataclasses import dataclass, field, replace
from typing import Any

from lycheetide.fleet import FailureDomain, Upstream
from lycheetide.model._engine import EngineModel, Job
from lycheetide.outcomes import NotRun
from lycheetide.scheduling import Report, Ticket

SEND_S = 0.002
REPORT_S = 0.5
REPORT_LAG_S = 0.2
HEARTBEAT_S = 0.4
PROOF_S = 0.004
PROOF_SPACING_S = 0.02
TICK_S = 0.05
PREFIXES_PER_CUSTOMER = 12
CUSTOMERS = 10
PREFIX_SHARE = 0.5


@dataclass(frozen=True)
class ModelSettings:
    """The fleet that is modelled.

    Parameters
    ----------
    replicas : int
        The engines, in three failure domains.
    tokens_per_s : float
        How fast each reads.
    kv_capacity_tokens : int
        The memory of each.
    domain_changes : tuple of (float, str, str)
        When a failure domain's state changes, and to what.
    short_deadline_s, huge_deadline_s : float
        The time that requests have.
    """

    replicas: int = 20
    tokens_per_s: float = 50_000.0
    kv_capacity_tokens: int = 500_000
    domain_changes: tuple[tuple[float, str, str], ...] = ()
    short_deadline_s: float = 20.0
    huge_deadline_s: float = 120.0


@dataclass(frozen=True)
class ModelResult:
    """What became of one request.

    Parameters
    ----------
    planned : PlannedRequest
        The request.
    outcome : str
        "answered", "late" or "refused".
    first_s, total_s : float or None
        From its arrival to its first token and its end.
    has_hit : bool
        Whether some of its prompt was cached.
    """

    planned: Any
    outcome: str
    first_s: float | None
    total_s: float | None
    has_hit: bool = False


@dataclass
class _Running:
    """A request at its engines."""

    ticket: Ticket
    names: tuple[str, ...]
    jobs: list[Job] = field(default_factory=list)
    unread_parts: int = 0
    first_s: float | None = None


class _Drive:
    """The state of one run."""

    def __init__(self, make_policy, plan, settings, random_state):
        self.settings = settings
        self.draw = random.Random(random_state)
        self.events: list[Any] = []
        self.order = itertools.count()
        self.domains = {
            name: FailureDomain(name, "r") for name in ("d-a", "d-b", "d-c")
        }
        self.upstreams = [self._make_upstream(i) for i in range(settings.replicas)]
        self.decider = make_policy(self.upstreams, self.domains, self.draw)
        self.engines = {
            u.name: EngineModel(
                u.name,
                tokens_per_s=settings.tokens_per_s,
                kv_capacity_tokens=settings.kv_capacity_tokens,
                honours_priority=self.decider.uses_priority,
            )
            for u in self.upstreams
        }
        self.running: dict[str, _Running] = {}
        self.results: dict[int, ModelResult] = {}
        self.plan = list(plan)
        self.waiting: dict[str, Any] = {}
        self.proof_asked_s: dict[str, float] = {}

    def _make_upstream(self, index):
        settings = self.settings
        return Upstream(
            name=f"e{index:03d}",
            kind="engine",
            serves="m",
            failure_domain=("d-a", "d-b", "d-c")[index % 3],
            url=f"http://e{index}",
            cell="c",
            kv_capacity_tokens=settings.kv_capacity_tokens,
            warm_limit_requests=32,
            cold_limit_requests=4,
            prefill_tokens_per_s=settings.tokens_per_s,
        )

    def at(self, when_s, function, *args):
        """Plan an event."""
        heapq.heappush(self.events, (when_s, next(self.order), function, args))

    def run(self):
        """Run until every request has ended; return the results in order."""
        for name in self.engines:
            for turn in range(6):
                self._report(turn * 1e-3, name, again=False)
        for request in self.plan:
            self.at(request.at_s, self._arrive, request)
        for index, name in enumerate(self.engines):
            self.at(REPORT_S * index / len(self.engines), self._report, name)
        for at_s, name, state in self.settings.domain_changes:
            self.at(at_s, self._change_domain, name, state)
        self.at(0.0, self._share)
        self.at(0.0, self._tick)
        while self.events and len(self.results) < len(self.plan):
            now_s, _, function, args = heapq.heappop(self.events)
            function(now_s, *args)
        return [self.results[request.seed] for request in self.plan]

    def _arrive(self, now_s, request):
        settings = self.settings
        is_short = request.request_class == "quote"
        left_s = settings.short_deadline_s if is_short else settings.huge_deadline_s
        customer = f"k{self.draw.randrange(CUSTOMERS)}"
        has_prefix = self.draw.random() < PREFIX_SHARE
        prefix = f"{customer}/{self.draw.randrange(PREFIXES_PER_CUSTOMER)}"
        ticket = Ticket(
            ticket_id=f"t{request.seed}",
            entry_id="n",
            request_id=f"r{request.seed}",
            customer=customer,
            request_class=request.request_class,
            priority=0 if is_short else 2,
            aging_s=30.0,
            weight=1.0,
            prompt_tokens=request.prompt_tokens,
            answer_tokens=request.answer_tokens,
            prefix_key=prefix if has_prefix and is_short else "",
            arrived_s=now_s,
            asked_s=now_s,
            deadline_s=now_s + left_s,
        )
        self.waiting[ticket.request_id] = request
        self.at(ticket.deadline_s, self._give_up, ticket.request_id)
        try:
            self.decider.arrive(ticket, now_s)
        except NotRun:
            self._end(now_s, ticket.request_id, "refused", None)
            return
        self._decide(now_s)

    def _decide(self, now_s):
        for ticket, names in list(self.decider.decide(now_s)):
            self.at(now_s + SEND_S, self._start, ticket, names)
        for name in self.decider.find_unproved():
            if now_s - self.proof_asked_s.get(name, -1.0) >= PROOF_SPACING_S:
                self.proof_asked_s[name] = now_s
                self.at(now_s + PROOF_S, self._prove, name, now_s)

    def _start(self, now_s, ticket, names):
        if ticket.request_id not in self.waiting:
            self.decider.end(ticket.request_id, names, now_s)
            return
        running = _Running(ticket, names, unread_parts=len(names))
        self.running[ticket.request_id] = running
        parts = len(names)
        for index, name in enumerate(names):
            is_head = index == parts - 1
            job = Job(
                ticket.request_id,
                ticket.priority,
                -(-ticket.prompt_tokens // parts),
                ticket.answer_tokens if is_head else 0,
                ticket.prefix_key if parts == 1 else "",
            )
            running.jobs.append(job)
            self.engines[name].add(job)
            self._step(now_s, name)

    def _step(self, now_s, name):
        engine = self.engines[name]
        if engine.is_stepping:
            return
        took_s = engine.step()
        if took_s is not None:
            engine.is_stepping = True
            self.at(now_s + took_s, self._finish_step, name)

    def _finish_step(self, now_s, name):
        engine = self.engines[name]
        engine.is_stepping = False
        started, ended = engine.finish_step(now_s)
        for job in started:
            running = self.running.get(job.request_id)
            if running is None:
                continue
            running.unread_parts -= 1
            if running.unread_parts == 0:
                running.first_s = now_s
        for job in ended:
            self._finish(now_s, job.request_id)
        self._step(now_s, name)

    def _finish(self, now_s, request_id):
        running = self.running.pop(request_id, None)
        if running is None:
            return
        for job, name in zip(running.jobs[:-1], running.names[:-1], strict=True):
            self.engines[name].release(job)
        self.decider.end(request_id, running.names, now_s)
        first_s = running.first_s if running.first_s is not None else now_s
        late = now_s > running.ticket.deadline_s
        has_hit = any(job.cached_tokens > 0 for job in running.jobs)
        self._end(now_s, request_id, "late" if late else "answered", first_s, has_hit)
        self._decide(now_s)

    def _give_up(self, now_s, request_id):
        """Cancel a request at its deadline and free what it holds."""
        running = self.running.pop(request_id, None)
        if running is not None:
            for job, name in zip(running.jobs, running.names, strict=True):
                self.engines[name].cancel(job)
                self._step(now_s, name)
            self.decider.end(request_id, running.names, now_s)
        if request_id in self.waiting:
            self.decider.withdraw(request_id)
            self._end(now_s, request_id, "late", None)
            self._decide(now_s)

    def _end(self, now_s, request_id, outcome, first_s, has_hit=False):
        request = self.waiting.pop(request_id)
        self.results[request.seed] = ModelResult(
            request,
            outcome,
            None if first_s is None else first_s - request.at_s,
            now_s - request.at_s,
            has_hit,
        )

    def _make_report(self, name):
        engine = self.engines[name]
        return Report(
            f"b{engine.boot}",
            True,
            running=engine.running(),
            waiting_prefill_tokens=int(engine.unread_tokens()),
            kv_used_tokens=engine.used_tokens,
            kv_capacity_tokens=engine.kv_capacity_tokens,
        )

    def _report(self, now_s, name, again=True):
        lag_s = REPORT_LAG_S if again else 0.0
        report = self._make_report(name)
        self.at(now_s + lag_s, self._take_report, name, report, now_s)
        if again:
            self.at(now_s + REPORT_S, self._report, name)

    def _prove(self, now_s, name, asked_s):
        self._take_report(now_s, name, self._make_report(name), asked_s)

    def _take_report(self, now_s, name, report, asked_s):
        self.decider.report(name, report, asked_s, now_s)
        self._decide(now_s)

    def _share(self, now_s):
        self.decider.share(now_s)
        self.at(now_s + HEARTBEAT_S, self._share)

    def _tick(self, now_s):
        self._decide(now_s)
        self.at(now_s + TICK_S, self._tick)

    def _change_domain(self, now_s, name, state):
        self.domains = self.domains | {name: replace(self.domains[name], state=state)}
        self.decider.configure(self.domains, now_s)
        if state == "out":
            return
        for upstream in self.upstreams:
            if upstream.failure_domain == name:
                self.engines[upstream.name].prefixes.clear()


def run_model(make_policy, plan, *, settings=None, random_state=0):
    """Run a load through a policy over modelled engines.

    Parameters
    ----------
    make_policy : callable
        A value of ``POLICIES``.
    plan : iterable of PlannedRequest
        The load.
    settings : ModelSettings or None, default=None
        The fleet.
    random_state : int, default=0
        The seed of all other draws.

    Returns
    -------
    list of ModelResult
        In the order of the plan; the same for the same arguments, always.
    """
    return _Drive(make_policy, plan, settings or ModelSettings(), random_state).run()
