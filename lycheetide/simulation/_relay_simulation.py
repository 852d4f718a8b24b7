"""Discrete-event simulation of relays in front of engines that work in passes.

Requests of several kinds arrive at random. A policy places each of them by the load
that the nodes have reported to one another, which it sees with a delay. No failures are
simulated: the simulation shows which requests wait for which others, and how that
depends on the load and on the number of replicas that are left.
"""

import heapq
import itertools
import math
import random
from dataclasses import dataclass, field

from lycheetide.demand import DemandTable
from lycheetide.gossip import Job, JobPart, JobTable
from lycheetide.placement import (
    SHORT_PREFILL_S,
    Candidate,
    DecodingGroup,
    PendingPrefill,
    RequestSize,
    caller_patience_s,
    estimate_prefill_s,
    rank_replicas,
)
from lycheetide.routes import EngineProfile
from lycheetide.simulation._pass_engine import DecodeTask, PassEngine, PrefillTask
from lycheetide.simulation._relay_policies import PlacementQuery

DENSE_ENGINE = EngineProfile(
    slots=8,
    kv_tokens=232_000,
    steps_per_pass=43,
    step_s=1.02e-3,
    step_s_per_writer=2.26e-6,
    step_s_per_context_token=4.31e-9,
    read_s_per_token=1 / 206_000,
    read_s_per_pair=0.138e-9,
)
"""A large dense model on two accelerators, with the figures that the users' engines
declare."""
SERVICE = "prompts"
"""Name of the only service."""
REQUEST_LIFETIME_S = 60.0
"""Upper bound on the time that a request takes."""
PLACEMENT_RETRY_S = 0.04
"""Delay before the placement of a request is retried if no replica could take it."""
PLACEMENT_WAIT_SHARE = 0.5
"""Share of its target time for which a request is retried so before it is refused."""
LATE_WORTH_SHARE = 0.25
"""Share of a request's worth that is earned by an answer that is complete but late."""


@dataclass(frozen=True)
class PromptKind:
    """A kind of prompt and its arrivals.

    Parameters
    ----------
    name : str
        Name of the kind.
    rate_per_s : float
        Mean number of arrivals per second.
    tokens, longest_tokens : float
        Mean and largest length; lengths are log-normal up to the largest.
    log_std : float
        Standard deviation of the logarithm of the length.
    events : float
        Mean number of events of an answer.
    target_s, gap_s : float
        Target time to the first event, and target for the longest pause between two.
    worth : float
        Worth of a complete answer within both targets.
    at_s : tuple of float
        Times of arrival; if empty, requests arrive at random.
    """

    name: str
    rate_per_s: float
    tokens: float
    longest_tokens: float
    log_std: float
    events: float
    target_s: float
    gap_s: float
    worth: float
    at_s: tuple[float, ...] = ()


@dataclass(frozen=True)
class RelayModel:
    """The simulated fleet and its load.

    Parameters
    ----------
    engine : EngineProfile
        Performance figures of each replica.
    replicas : int
        Number of replicas.
    kinds : tuple of PromptKind
        The kinds of prompts that arrive.
    gossip_delay_s : float
        Delay with which nodes learn of one another's placements.
    load : float
        Factor on the rates of random arrivals.
    nodes : int
        Number of nodes that place requests.
    slow_replicas : int
        Number of replicas that work slower than the engine's figures state.
    slow_pace : float
        Factor by which their work takes longer.
    knows_paces : bool
        Whether the nodes know which replicas are slow.
    """

    engine: EngineProfile
    replicas: int
    kinds: tuple[PromptKind, ...]
    gossip_delay_s: float = 0.003
    load: float = 1.0
    nodes: int = 9
    slow_replicas: int = 0
    slow_pace: float = 1.0
    knows_paces: bool = True


@dataclass
class SimulatedRequest:
    """A request and the times of its events."""

    kind: PromptKind
    tokens: int
    arrived_s: float
    first_event_s: float = math.inf
    last_event_s: float = math.inf
    longest_gap_s: float = 0.0
    is_complete: bool = False
    has_given_up: bool = False

    @property
    def patience_s(self):
        """How long its caller waits for the first event."""
        return caller_patience_s(self.kind.target_s, self.kind.gap_s)

    @property
    def earned(self):
        """Worth that its answer earned, late or not."""
        if not self.is_complete:
            return 0.0
        return self.kind.worth * (1.0 if self.meets_targets else LATE_WORTH_SHARE)

    @property
    def meets_targets(self):
        """Whether its answer is complete and within both targets."""
        in_time = self.first_event_s - self.arrived_s <= self.kind.target_s
        return self.is_complete and in_time and self.longest_gap_s <= self.kind.gap_s


def draw_arrivals(model, *, seconds, random_state):
    """Yield requests in order of arrival, each with its number of events."""
    rng = random.Random(random_state)
    rows = []
    for kind in model.kinds:
        for at_s in kind.at_s or _draw_arrival_times(
            kind.rate_per_s * model.load, seconds, rng
        ):
            log_mean = math.log(kind.tokens) - kind.log_std**2 / 2
            tokens = min(
                kind.longest_tokens, rng.lognormvariate(log_mean, kind.log_std)
            )
            events = max(
                1, round(rng.lognormvariate(math.log(kind.events) - 0.18, 0.6))
            )
            rows.append((SimulatedRequest(kind, max(1, int(tokens)), at_s), events))
    yield from sorted(rows, key=lambda row: row[0].arrived_s)


def _draw_arrival_times(rate_per_s, seconds, rng):
    """Yield the arrival times of a Poisson process."""
    at_s = 0.0
    while (at_s := at_s + rng.expovariate(rate_per_s)) < seconds:
        yield at_s


class _RelaySimulation:
    """The state of one simulation run."""

    def __init__(self, model, policy, random_state):
        self.model = model
        self.policy = policy
        self.rng = random.Random(f"{random_state}/policy")
        self.job_table = JobTable(DemandTable(lambda _: SERVICE))
        names = [f"r{number}" for number in range(model.replicas)]
        self.ranks = rank_replicas(names)
        slow_names = names[: model.slow_replicas]
        self.paces = {
            name: model.slow_pace if name in slow_names else 1.0 for name in names
        }
        self.engines = {
            name: PassEngine(model.engine, model.engine.slots, self.paces[name])
            for name in names
        }
        self.events: list = []
        self.order = itertools.count()

    def schedule(self, when_s, function, *args):
        """Add an event to the queue."""
        heapq.heappush(self.events, (when_s, next(self.order), function, args))

    def run(self, arrivals):
        """Run until no event is left."""
        for request, events in arrivals:
            self.schedule(request.arrived_s, self.arrive, request, events)
        while self.events:
            now_s, _, function, args = heapq.heappop(self.events)
            function(now_s, *args)

    def arrive(self, now_s, request, events):
        """Place a request and start its prefill on the chosen replicas."""
        engine = self.model.engine
        size = RequestSize(request.tokens, round(events * engine.steps_per_pass))
        placement = self.policy(
            PlacementQuery(
                engine=engine,
                size=size,
                candidates=self.list_candidates(now_s),
                target_s=request.kind.target_s,
                patience_s=request.patience_s,
                starts_per_s=self.job_table.starts_per_s(now_s=now_s),
                shortest_target_s=min(kind.target_s for kind in self.model.kinds),
                gossip_delay_s=self.model.gossip_delay_s,
                nodes=self.model.nodes,
                rng=self.rng,
                reserved=self.job_table.demand.count_reserved(
                    SERVICE, engine, self.model.replicas, now_s=now_s
                ),
            )
        )
        if placement is None:
            return
        kv_tokens_by_replica = {
            share.replica.id: share.tokens for share in placement.holders
        }
        readers = (
            placement.first,
            *(share.replica for share in placement.holders),
            *placement.helpers,
        )
        part_s = estimate_prefill_s(engine, size.prompt_tokens) / len(readers)
        kv_tokens_by_replica[placement.first.id] = size.tokens - sum(
            kv_tokens_by_replica.values()
        )
        parts = tuple(
            JobPart(
                reader.id,
                reader.pace * part_s,
                kv_tokens_by_replica.get(reader.id, 0),
                reader is placement.first,
            )
            for reader in readers
        )
        job = Job(
            f"{id(request):x}", "n", parts, now_s, now_s + REQUEST_LIFETIME_S,
            now_s + request.kind.target_s, request.kind.gap_s, size.weight,
        )  # fmt: skip
        known_s = now_s + self.model.gossip_delay_s
        self.schedule(known_s, lambda at_s: self.job_table.start(job, now_s=at_s))
        pending_parts = [len(readers)]

        def on_part_done(at_s):
            pending_parts[0] -= 1
            if pending_parts[0] == 0:
                self.start_answer(at_s, request, events, job, placement.first.id)

        tasks = []
        for reader in readers:
            admission_rank = 0 if part_s <= SHORT_PREFILL_S else 1
            is_helper_part = reader is not placement.first
            tasks.append(
                (
                    reader.id,
                    PrefillTask(part_s, is_helper_part, admission_rank, on_part_done),
                )
            )
            self.engines[reader.id].add(tasks[-1][1])
            self.begin_pass_if_idle(now_s, reader.id)
        gives_up_s = request.arrived_s + request.patience_s
        self.schedule(gives_up_s, self.leave, request, job, tasks)

    def leave(self, now_s, request, job, tasks):
        """Cancel a request if its caller gives up before the first event."""
        if request.first_event_s < math.inf or request.has_given_up:
            return
        request.has_given_up = True
        for name, read in tasks:
            self.engines[name].cancel(read, is_first=name == tasks[0][0])
        self.schedule(
            now_s + self.model.gossip_delay_s,
            lambda t: self.job_table.end("n", job.id, now_s=t),
        )

    def start_answer(self, now_s, request, events, job, name):
        """Start the answer of a request whose prefill is complete."""
        if request.has_given_up:
            return

        def on_event(at_s, is_last):
            if request.first_event_s == math.inf:
                request.first_event_s = at_s
            else:
                gap_s = at_s - request.last_event_s
                request.longest_gap_s = max(request.longest_gap_s, gap_s)
            request.last_event_s = at_s
            if is_last:
                request.is_complete = True
                known_s = at_s + self.model.gossip_delay_s
                self.schedule(
                    known_s, lambda t: self.job_table.end("n", job.id, now_s=t)
                )

        self.engines[name].begin_decoding(DecodeTask(events, request.tokens, on_event))
        self.begin_pass_if_idle(now_s, name)

    def begin_pass_if_idle(self, now_s, name):
        """Begin a pass of an engine that is between passes and has work."""
        engine = self.engines[name]
        if engine.pass_ends_s is None and not engine.is_idle:
            engine.begin_pass(now_s)
            self.schedule(engine.pass_ends_s, self.end_pass, name)

    def end_pass(self, now_s, name):
        """End an engine's pass and begin its next one."""
        self.engines[name].end_pass()
        self.begin_pass_if_idle(now_s, name)

    def list_candidates(self, now_s):
        """Return the replicas with their load as the nodes know it now."""
        return [
            Candidate(
                id=name,
                address=name,
                rank=rank,
                slots=self.model.engine.slots,
                writers=workload.writers,
                decoding_groups=tuple(
                    DecodingGroup(*row) for row in workload.weights.items()
                ),
                helping=workload.helping,
                backlog_s=self.job_table.backlog_s(name, now_s=now_s),
                pending_prefills=tuple(
                    PendingPrefill(prompt.due_s - prompt.read_by_s, prompt.weight)
                    for prompt in self.job_table.unread(name, now_s=now_s)
                ),
                kv_tokens=workload.kv_tokens,
                pace=self.paces[name] if self.model.knows_paces else 1.0,
            )
            for name, rank in self.ranks.items()
            for workload in (self.job_table.workload(name),)
        ]


@dataclass(frozen=True)
class KindResult:
    """Results of one kind of prompt.

    Parameters
    ----------
    name : str
        Name of the kind.
    asked : int
        Number of requests.
    goodput : float
        Share of the requests that were answered completely and within both targets.
    first_p50_s, first_p99_s, gap_p99_s : float
        Quantiles of the time to the first event and of the longest pause per request.
    """

    name: str
    asked: int
    goodput: float
    first_p50_s: float
    first_p99_s: float
    gap_p99_s: float


@dataclass(frozen=True)
class RelayResult:
    """Results of a run; ``worth`` is the earned share of all requests' worth."""

    worth: float
    kinds: tuple[KindResult, ...] = field(default=())


def simulate_relays(model, policy, *, seconds, random_state):
    """Simulate a placement policy on a fleet of relays.

    Parameters
    ----------
    model : RelayModel
        The fleet and its load.
    policy : callable
        A value of ``RELAY_POLICIES``.
    seconds : float
        Time span in which requests arrive.
    random_state : int
        Seed of the arrivals and of the policy's random choices.

    Returns
    -------
    RelayResult
    """
    arrivals = list(draw_arrivals(model, seconds=seconds, random_state=random_state))
    _RelaySimulation(model, policy, random_state).run(arrivals)
    requests = [request for request, _ in arrivals]
    asked = sum(request.kind.worth for request in requests)
    earned = sum(request.earned for request in requests)
    rows = tuple(_summarize_kind(kind, requests) for kind in model.kinds)
    return RelayResult(earned / max(asked, 1e-9), rows)


def _summarize_kind(kind, requests):
    """Return the results of one kind of prompt."""
    own = [request for request in requests if request.kind is kind]
    first_event_times = sorted(
        request.first_event_s - request.arrived_s for request in own
    ) or [0.0]
    gaps = sorted(request.longest_gap_s for request in own) or [0.0]
    goodput = sum(request.meets_targets for request in own) / max(1, len(own))
    return KindResult(
        kind.name, len(own), goodput, _quantile(first_event_times, 0.5),
        _quantile(first_event_times, 0.99), _quantile(gaps, 0.99),
    )  # fmt: skip


def _quantile(ordered, share):
    """Return a quantile of values in ascending order."""
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
