"""Discrete-event simulation of engines under a scheduling policy.

Time is virtual; no clock is ever read.
"""

import heapq
import itertools
import random
from dataclasses import dataclass, field, replace
from typing import Any

from lycheetide.fleet import FailureDomain, Upstream
from lycheetide.outcomes import NotRunError
from lycheetide.scheduling import LoadReport, Ticket
from lycheetide.simulation._engine import BatchingEngine, EngineJob

# Time from the decision until a request reaches its engines.
DISPATCH_S = 0.002
REPORT_INTERVAL_S = 0.5
REPORT_LAG_S = 0.2
HEARTBEAT_INTERVAL_S = 0.4
# Round trip of a report that the scheduler asks for outside the interval, and the
# shortest time between two of them for one engine.
EXTRA_REPORT_S = 0.004
EXTRA_REPORT_SPACING_S = 0.02
DECISION_INTERVAL_S = 0.05
PREFIXES_PER_CUSTOMER = 12
CUSTOMERS = 10
# Share of the short requests that begin with a prefix that others share.
PREFIX_REQUEST_SHARE = 0.5


@dataclass(frozen=True)
class SimulationSettings:
    """The simulated fleet.

    Parameters
    ----------
    replicas : int
        Number of engines, spread over three failure domains.
    tokens_per_s : float
        Prefill rate of each engine.
    kv_capacity_tokens : int
        KV cache capacity of each engine.
    domain_changes : tuple of (float, str, str)
        Time, failure domain and new state of each change.
    short_deadline_s, huge_deadline_s : float
        Time from arrival to deadline of short and of huge requests.
    """

    replicas: int = 20
    tokens_per_s: float = 50_000.0
    kv_capacity_tokens: int = 500_000
    domain_changes: tuple[tuple[float, str, str], ...] = ()
    short_deadline_s: float = 20.0
    huge_deadline_s: float = 120.0


@dataclass(frozen=True)
class SimulatedRequest:
    """Result of one simulated request.

    Parameters
    ----------
    planned : PlannedRequest
        The request.
    outcome : str
        "answered", "late" or "refused".
    first_token_s, total_s : float or None
        Time from its arrival to its first token and to its end.
    has_cache_hit : bool
        Whether part of its prompt was in the prefix cache.
    """

    planned: Any
    outcome: str
    first_token_s: float | None
    total_s: float | None
    has_cache_hit: bool = False


@dataclass
class _RunningRequest:
    """A request that has been sent to its engines."""

    ticket: Ticket
    names: tuple[str, ...]
    jobs: list[EngineJob] = field(default_factory=list)
    pending_prefills: int = 0
    first_token_s: float | None = None


class _EngineSimulation:
    """The state of one simulation run."""

    def __init__(self, make_policy, plan, settings, random_state):
        self.settings = settings
        self.rng = random.Random(random_state)
        self.events: list[Any] = []
        self.order = itertools.count()
        self.domains = {
            name: FailureDomain(name, "r") for name in ("d-a", "d-b", "d-c")
        }
        self.upstreams = [self._make_upstream(i) for i in range(settings.replicas)]
        self.scheduler = make_policy(self.upstreams, self.domains, self.rng)
        self.engines = {
            u.name: BatchingEngine(
                u.name,
                tokens_per_s=settings.tokens_per_s,
                kv_capacity_tokens=settings.kv_capacity_tokens,
                honours_priority=self.scheduler.uses_priority,
            )
            for u in self.upstreams
        }
        self.running: dict[str, _RunningRequest] = {}
        self.results: dict[int, SimulatedRequest] = {}
        self.plan = list(plan)
        self.waiting: dict[str, Any] = {}
        self.extra_report_asked_s: dict[str, float] = {}

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

    def schedule(self, when_s, function, *args):
        """Add an event to the queue."""
        heapq.heappush(self.events, (when_s, next(self.order), function, args))

    def run(self):
        """Run until all requests have ended; return the results in plan order."""
        for name in self.engines:
            for turn in range(6):
                self._report(turn * 1e-3, name, is_periodic=False)
        for request in self.plan:
            self.schedule(request.at_s, self._arrive, request)
        for index, name in enumerate(self.engines):
            self.schedule(
                REPORT_INTERVAL_S * index / len(self.engines), self._report, name
            )
        for at_s, name, state in self.settings.domain_changes:
            self.schedule(at_s, self._change_domain, name, state)
        self.schedule(0.0, self._share_summaries)
        self.schedule(0.0, self._tick)
        while self.events and len(self.results) < len(self.plan):
            now_s, _, function, args = heapq.heappop(self.events)
            function(now_s, *args)
        return [self.results[request.seed] for request in self.plan]

    def _arrive(self, now_s, request):
        settings = self.settings
        is_short = request.request_class == "quote"
        time_limit_s = (
            settings.short_deadline_s if is_short else settings.huge_deadline_s
        )
        customer = f"k{self.rng.randrange(CUSTOMERS)}"
        has_prefix = self.rng.random() < PREFIX_REQUEST_SHARE
        prefix = f"{customer}/{self.rng.randrange(PREFIXES_PER_CUSTOMER)}"
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
            deadline_s=now_s + time_limit_s,
        )
        self.waiting[ticket.request_id] = request
        self.schedule(ticket.deadline_s, self._cancel_at_deadline, ticket.request_id)
        try:
            self.scheduler.arrive(ticket, now_s)
        except NotRunError:
            self._record_result(now_s, ticket.request_id, "refused", None)
            return
        self._dispatch(now_s)

    def _dispatch(self, now_s):
        for ticket, names in list(self.scheduler.decide(now_s)):
            self.schedule(now_s + DISPATCH_S, self._start, ticket, names)
        for name in self.scheduler.find_unconfirmed():
            if (
                now_s - self.extra_report_asked_s.get(name, -1.0)
                >= EXTRA_REPORT_SPACING_S
            ):
                self.extra_report_asked_s[name] = now_s
                self.schedule(
                    now_s + EXTRA_REPORT_S, self._deliver_extra_report, name, now_s
                )

    def _start(self, now_s, ticket, names):
        if ticket.request_id not in self.waiting:
            self.scheduler.end(ticket.request_id, names, now_s)
            return
        running = _RunningRequest(ticket, names, pending_prefills=len(names))
        self.running[ticket.request_id] = running
        parts = len(names)
        for index, name in enumerate(names):
            is_head = index == parts - 1
            job = EngineJob(
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
        duration_s = engine.begin_step()
        if duration_s is not None:
            engine.is_stepping = True
            self.schedule(now_s + duration_s, self._finish_step, name)

    def _finish_step(self, now_s, name):
        engine = self.engines[name]
        engine.is_stepping = False
        started, ended = engine.finish_step(now_s)
        for job in started:
            running = self.running.get(job.request_id)
            if running is None:
                continue
            running.pending_prefills -= 1
            if running.pending_prefills == 0:
                running.first_token_s = now_s
        for job in ended:
            self._finish_request(now_s, job.request_id)
        self._step(now_s, name)

    def _finish_request(self, now_s, request_id):
        running = self.running.pop(request_id, None)
        if running is None:
            return
        for job, name in zip(running.jobs[:-1], running.names[:-1], strict=True):
            self.engines[name].release(job)
        self.scheduler.end(request_id, running.names, now_s)
        first_token_s = (
            running.first_token_s if running.first_token_s is not None else now_s
        )
        late = now_s > running.ticket.deadline_s
        has_cache_hit = any(job.cached_tokens > 0 for job in running.jobs)
        self._record_result(
            now_s,
            request_id,
            "late" if late else "answered",
            first_token_s,
            has_cache_hit,
        )
        self._dispatch(now_s)

    def _cancel_at_deadline(self, now_s, request_id):
        """Cancel a request at its deadline and release its memory."""
        running = self.running.pop(request_id, None)
        if running is not None:
            for job, name in zip(running.jobs, running.names, strict=True):
                self.engines[name].cancel(job)
                self._step(now_s, name)
            self.scheduler.end(request_id, running.names, now_s)
        if request_id in self.waiting:
            self.scheduler.withdraw(request_id)
            self._record_result(now_s, request_id, "late", None)
            self._dispatch(now_s)

    def _record_result(
        self, now_s, request_id, outcome, first_token_s, has_cache_hit=False
    ):
        request = self.waiting.pop(request_id)
        self.results[request.seed] = SimulatedRequest(
            request,
            outcome,
            None if first_token_s is None else first_token_s - request.at_s,
            now_s - request.at_s,
            has_cache_hit,
        )

    def _make_report(self, name):
        engine = self.engines[name]
        return LoadReport(
            f"b{engine.boot}",
            True,
            running=engine.running(),
            waiting_prefill_tokens=int(engine.pending_prefill_tokens()),
            kv_used_tokens=engine.used_tokens,
            kv_capacity_tokens=engine.kv_capacity_tokens,
        )

    def _report(self, now_s, name, is_periodic=True):
        lag_s = REPORT_LAG_S if is_periodic else 0.0
        report = self._make_report(name)
        self.schedule(now_s + lag_s, self._take_report, name, report, now_s)
        if is_periodic:
            self.schedule(now_s + REPORT_INTERVAL_S, self._report, name)

    def _deliver_extra_report(self, now_s, name, asked_s):
        self._take_report(now_s, name, self._make_report(name), asked_s)

    def _take_report(self, now_s, name, report, asked_s):
        self.scheduler.report(name, report, asked_s, now_s)
        self._dispatch(now_s)

    def _share_summaries(self, now_s):
        self.scheduler.share(now_s)
        self.schedule(now_s + HEARTBEAT_INTERVAL_S, self._share_summaries)

    def _tick(self, now_s):
        self._dispatch(now_s)
        self.schedule(now_s + DECISION_INTERVAL_S, self._tick)

    def _change_domain(self, now_s, name, state):
        self.domains = self.domains | {name: replace(self.domains[name], state=state)}
        self.scheduler.configure(self.domains, now_s)
        if state == "out":
            return
        for upstream in self.upstreams:
            if upstream.failure_domain == name:
                self.engines[upstream.name].prefixes.clear()


def simulate_engines(make_policy, plan, *, settings=None, random_state=0):
    """Simulate a load on a fleet of engines under a scheduling policy.

    Parameters
    ----------
    make_policy : callable
        A value of ``POLICIES``.
    plan : iterable of PlannedRequest
        The load.
    settings : SimulationSettings or None, default=None
        The fleet; None for the defaults.
    random_state : int, default=0
        Seed of the random numbers that the plan doesn't determine.

    Returns
    -------
    list of SimulatedRequest
        In the order of the plan. The same arguments always give the same list.
    """
    return _EngineSimulation(
        make_policy, plan, settings or SimulationSettings(), random_state
    ).run()
