"""A fleet of relays in front of engines that work in passes, in virtual time.

Callers' requests of several kinds arrive at random; a policy places each by what nodes
have told one another, which it sees late. Nothing fails here: the model answers who
waits for whom, and how that changes with the load and with the replicas that are left.
"""

import heapq
import itertools
import math
import random
from dataclasses import dataclass, field

from lycheetide.board import Board, Job, Part
from lycheetide.model._passes import PassEngine, Read, Writer
from lycheetide.model._relay_policies import Asked
from lycheetide.placement import (
    SHORT_READ_S,
    Candidate,
    GapGroup,
    Size,
    UnreadPrompt,
    caller_patience_s,
    rank_replicas,
    read_s,
)
from lycheetide.routes import Engine

DENSE_ENGINE = Engine(
    slots=8,
    kv_tokens=232_000,
    steps_per_pass=43,
    step_s=1.02e-3,
    step_s_per_writer=2.26e-6,
    step_s_per_context_token=4.31e-9,
    read_s_per_token=1 / 206_000,
    read_s_per_pair=0.138e-9,
)
"""A large dense model on two accelerators, as the users' engines declare it."""
LASTS_S = 60.0
"""When a request has surely ended."""
WAIT_S = 0.04
"""Pause before a request that found no place is placed anew."""
WAIT_TARGETS = 0.5
"""Part of its target for which it waits so, before it is refused."""
LATE_WORTH = 0.25
"""Part of a request's worth that a whole answer earns which is late."""


@dataclass(frozen=True)
class PromptKind:
    """One kind of prompt.

    Parameters
    ----------
    name : str
        What it is called.
    per_s : float
        How many arrive a second.
    tokens, most_tokens : float
        Mean and longest prompt.
    spread : float
        Of the logarithm of its length.
    events : float
        Mean number of events of an answer.
    target_s, gap_s : float
        When the first event is wanted, and the longest pause between two.
    worth : float
        Of one that is answered within both.
    at_s : tuple of float
        When they arrive; empty for at random.
    """

    name: str
    per_s: float
    tokens: float
    most_tokens: float
    spread: float
    events: float
    target_s: float
    gap_s: float
    worth: float
    at_s: tuple[float, ...] = ()


@dataclass(frozen=True)
class RelayModel:
    """What is modelled.

    Parameters
    ----------
    engine : Engine
        The figures of each replica.
    replicas : int
        How many.
    kinds : tuple of PromptKind
        What arrives.
    told_s : float
        How late each node knows of what others placed.
    load : float
        Factor on all arrivals.
    nodes : int
        How many nodes place them.
    """

    engine: Engine
    replicas: int
    kinds: tuple[PromptKind, ...]
    told_s: float = 0.003
    load: float = 1.0
    nodes: int = 9


@dataclass
class Answered:
    """One request and when its events came."""

    kind: PromptKind
    tokens: int
    arrived_s: float
    first_s: float = math.inf
    last_s: float = math.inf
    longest_gap_s: float = 0.0
    is_whole: bool = False
    is_gone: bool = False

    @property
    def patience_s(self):
        """How long its caller waits for the first event."""
        return caller_patience_s(self.kind.target_s, self.kind.gap_s)

    @property
    def earned(self):
        """Worth of its answer, late or not."""
        if not self.is_whole:
            return 0.0
        return self.kind.worth * (1.0 if self.is_good else LATE_WORTH)

    @property
    def is_good(self):
        """Whether it was whole and within both targets."""
        in_time = self.first_s - self.arrived_s <= self.kind.target_s
        return self.is_whole and in_time and self.longest_gap_s <= self.kind.gap_s


def draw_arrivals(model, *, seconds, random_state):
    """Yield requests in the order of their arrival, each with its number of events."""
    luck = random.Random(random_state)
    rows = []
    for kind in model.kinds:
        for at_s in kind.at_s or _draw_times(kind.per_s * model.load, seconds, luck):
            middle = math.log(kind.tokens) - kind.spread**2 / 2
            tokens = min(kind.most_tokens, luck.lognormvariate(middle, kind.spread))
            events = max(
                1, round(luck.lognormvariate(math.log(kind.events) - 0.18, 0.6))
            )
            rows.append((Answered(kind, max(1, int(tokens)), at_s), events))
    yield from sorted(rows, key=lambda row: row[0].arrived_s)


def _draw_times(per_s, seconds, luck):
    """Yield the times of arrivals that come at random."""
    at_s = 0.0
    while (at_s := at_s + luck.expovariate(per_s)) < seconds:
        yield at_s


class _Fleet:
    """The state of one run."""

    def __init__(self, model, policy, random_state):
        self.model = model
        self.policy = policy
        self.luck = random.Random(f"{random_state}/policy")
        self.board = Board()
        names = [f"r{number}" for number in range(model.replicas)]
        self.ranks = rank_replicas(names)
        self.engines = {
            name: PassEngine(model.engine, model.engine.slots) for name in names
        }
        self.events: list = []
        self.order = itertools.count()

    def at(self, when_s, function, *args):
        """Plan an event."""
        heapq.heappush(self.events, (when_s, next(self.order), function, args))

    def run(self, arrivals):
        """Run until all is done."""
        for request, events in arrivals:
            self.at(request.arrived_s, self.arrive, request, events)
        while self.events:
            now_s, _, function, args = heapq.heappop(self.events)
            function(now_s, *args)

    def arrive(self, now_s, request, events):
        """Place a request and let its replicas begin to read."""
        engine = self.model.engine
        size = Size(request.tokens, round(events * engine.steps_per_pass))
        placement = self.policy(
            Asked(
                engine=engine,
                size=size,
                candidates=self.list_candidates(now_s),
                target_s=request.kind.target_s,
                patience_s=request.patience_s,
                starts_per_s=self.board.starts_per_s(now_s=now_s),
                shortest_target_s=min(kind.target_s for kind in self.model.kinds),
                told_s=self.model.told_s,
                nodes=self.model.nodes,
                luck=self.luck,
            )
        )
        if placement is None:
            return
        held = {share.replica.id: share.tokens for share in placement.holders}
        readers = (
            placement.first,
            *(share.replica for share in placement.holders),
            *placement.helpers,
        )
        part_s = read_s(engine, size.prompt_tokens) / len(readers)
        held[placement.first.id] = size.tokens - sum(held.values())
        parts = tuple(
            Part(one.id, part_s, held.get(one.id, 0), one is placement.first)
            for one in readers
        )
        job = Job(
            f"{id(request):x}", "n", parts, now_s, now_s + LASTS_S,
            now_s + request.kind.target_s, request.kind.gap_s, size.weight,
        )  # fmt: skip
        told_s = now_s + self.model.told_s
        self.at(told_s, lambda at_s: self.board.start(job, now_s=at_s))
        unread = [len(readers)]

        def when_read(at_s):
            unread[0] -= 1
            if unread[0] == 0:
                self.write(at_s, request, events, job, placement.first.id)

        reads = []
        for one in readers:
            urgency = 0 if part_s <= SHORT_READ_S else 1
            is_help = one is not placement.first
            reads.append((one.id, Read(part_s, is_help, urgency, when_read)))
            self.engines[one.id].add(reads[-1][1])
            self.wake(now_s, one.id)
        leaves_s = request.arrived_s + request.patience_s
        self.at(leaves_s, self.leave, request, job, reads)

    def leave(self, now_s, request, job, reads):
        """Let a caller leave that has got nothing in all its patience."""
        if request.first_s < math.inf or request.is_gone:
            return
        request.is_gone = True
        for name, read in reads:
            self.engines[name].drop(read, is_first=name == reads[0][0])
        self.at(
            now_s + self.model.told_s, lambda t: self.board.end("n", job.id, now_s=t)
        )

    def write(self, now_s, request, events, job, name):
        """Let a request that has been read write its answer."""
        if request.is_gone:
            return

        def when_event(at_s, is_last):
            if request.first_s == math.inf:
                request.first_s = at_s
            else:
                gap_s = at_s - request.last_s
                request.longest_gap_s = max(request.longest_gap_s, gap_s)
            request.last_s = at_s
            if is_last:
                request.is_whole = True
                told_s = at_s + self.model.told_s
                self.at(told_s, lambda t: self.board.end("n", job.id, now_s=t))

        self.engines[name].begin_writing(Writer(events, request.tokens, when_event))
        self.wake(now_s, name)

    def wake(self, now_s, name):
        """Let an engine begin a pass if it is idle."""
        engine = self.engines[name]
        if engine.ends_s is None and not engine.is_idle:
            engine.begin_pass(now_s)
            self.at(engine.ends_s, self.end_pass, name)

    def end_pass(self, now_s, name):
        """End an engine's pass and begin its next one."""
        self.engines[name].end_pass()
        self.wake(now_s, name)

    def list_candidates(self, now_s):
        """Return the replicas with their load, as nodes know it now."""
        return [
            Candidate(
                id=name,
                address=name,
                rank=rank,
                slots=self.model.engine.slots,
                writers=column.writers,
                writing=tuple(GapGroup(*row) for row in column.weights.items()),
                helping=column.helping,
                backlog_s=self.board.backlog_s(name, now_s=now_s),
                unread=tuple(
                    UnreadPrompt(one.due_s - one.by_s, one.weight)
                    for one in self.board.unread(name, now_s=now_s)
                ),
                kv_tokens=column.kv_tokens,
            )
            for name, rank in self.ranks.items()
            for column in (self.board.column(name),)
        ]


@dataclass(frozen=True)
class KindResult:
    """How one kind of prompt fared.

    Parameters
    ----------
    name : str
        The kind.
    asked : int
        How many came.
    good : float
        Part that was whole and within both targets.
    first_p50_s, first_p99_s, gap_p99_s : float
        Time to the first event, and the longest pause of each.
    """

    name: str
    asked: int
    good: float
    first_p50_s: float
    first_p99_s: float
    gap_p99_s: float


@dataclass(frozen=True)
class RelayResult:
    """How a run went; ``worth`` is the part of all requests' worth that was earned."""

    worth: float
    kinds: tuple[KindResult, ...] = field(default=())


def model_relays(model, policy, *, seconds, random_state):
    """Run a policy in virtual time.

    Parameters
    ----------
    model : RelayModel
        The fleet and its load.
    policy : callable
        One of ``RELAY_POLICIES``.
    seconds : float
        How long requests arrive.
    random_state : int
        Decides the arrivals.

    Returns
    -------
    RelayResult
    """
    arrivals = list(draw_arrivals(model, seconds=seconds, random_state=random_state))
    _Fleet(model, policy, random_state).run(arrivals)
    requests = [request for request, _ in arrivals]
    asked = sum(request.kind.worth for request in requests)
    earned = sum(request.earned for request in requests)
    rows = tuple(_describe(kind, requests) for kind in model.kinds)
    return RelayResult(earned / max(asked, 1e-9), rows)


def _describe(kind, requests):
    """Return how one kind fared."""
    own = [request for request in requests if request.kind is kind]
    firsts = sorted(request.first_s - request.arrived_s for request in own) or [0.0]
    gaps = sorted(request.longest_gap_s for request in own) or [0.0]
    good = sum(request.is_good for request in own) / max(1, len(own))
    return KindResult(
        kind.name, len(own), good, _quantile(firsts, 0.5), _quantile(firsts, 0.99),
        _quantile(gaps, 0.99),
    )  # fmt: skip


def _quantile(ordered, share):
    """Return a quantile of sorted values."""
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
