"""Split the prefill of a long prompt over several replicas.

The number of replicas is chosen so that the prompt meets its target and delays as few
other requests as possible. Each part of the prompt lengthens one pass of its replica,
and all decoding requests there pause for that time. With many readers, the replicas
that prefill a part, the first event comes early, but every replica pauses briefly. With
few readers it comes later, but the other replicas aren't disturbed. Which one is better
depends on the length of the parts compared with the gaps that the decoding requests
tolerate, and on the replicas that are left for requests that arrive meanwhile. The cost
is therefore computed for several numbers of readers, as the weight of the requests that
would be late, and the number with the lowest cost is used.
"""

from dataclasses import dataclass, replace

from lycheetide.placement._estimate import estimate_pass_s, estimate_prefill_s
from lycheetide.placement._memory import needs_several_replicas, share_memory
from lycheetide.placement._pack import RESERVED_SLOTS
from lycheetide.placement._replica_memory import has_memory
from lycheetide.placement._types import (
    LATENESS_LOSS,
    Arrivals,
    Candidate,
    Placement,
    RequestSize,
)
from lycheetide.placement._waits import estimate_slot_wait_s, wait_s

MAX_HELPERS = 16
"""Maximum number of helpers that a replica accepts in one request."""
READER_COUNTS = (1, 2, 3, 4, 5, 6, 8, 10, 13, 17)
"""Numbers of readers whose cost is computed. The cost changes little between them."""
ON_TIME_SHARE = 0.7
"""Fraction of the target up to which a first event isn't at risk of being late. The
rest is a margin for delays that the estimate doesn't include."""
WAITING_COST = 0.1
"""Cost of waiting for as long as the target, as a fraction of the prompt's weight. A
request that is answered sooner delays others for less time and is exposed to fewer
failures."""
READER_COST = 0.01
"""Cost of each further reader, in weight: it may have failed, or may be slower than
known."""
USABLE_GAP_SHARE = 0.8
"""Fraction of the gap tolerated by its callers that a replica's pass may take."""
SHORT_WEIGHT = 1.33
"""Mean weight of a short prompt, of some 5,000 tokens."""
BLOCKING_SHARE = 0.4
"""Fraction of the service's shortest target for which a replica may be busy with
prefill before it counts as blocked for short prompts."""


@dataclass(frozen=True)
class LongPrompt:
    """A long prompt and its time limits.

    Parameters
    ----------
    size : RequestSize
        Tokens of the request.
    prefill_s : float
        Prefill time of the whole prompt at one replica, in seconds.
    target_s, left_s : float
        Target time to the first event and the remaining part of it, in seconds.
    patience_s : float
        Time after which the caller disconnects without a first event, in seconds.
    margin_tokens : int
        Memory of each replica that is left free for unknown requests.
    """

    size: RequestSize
    prefill_s: float
    target_s: float
    left_s: float
    patience_s: float
    margin_tokens: int = 0

    def worth(self, expected_s):
        """Return the value to the caller of a first event after ``expected_s``."""
        if expected_s >= self.patience_s:
            return 0.0
        return self.size.weight * (
            1.0 - LATENESS_LOSS * self._lateness_risk(expected_s)
        )

    def own_cost(self, expected_s):
        """Return the cost to the caller of a first event after ``expected_s``."""
        waiting_cost = WAITING_COST * min(expected_s, self.patience_s) / self.target_s
        return self.size.weight * (1.0 + waiting_cost) - self.worth(expected_s)

    def _lateness_risk(self, expected_s):
        """Return the probability that the first event is late, estimated linearly."""
        if expected_s >= self.left_s:
            return 1.0
        return max(
            0.0, (expected_s / self.left_s - ON_TIME_SHARE) / (1.0 - ON_TIME_SHARE)
        )


@dataclass(frozen=True)
class _OpenReplica:
    """A replica that may take part, before a part of the prompt is assigned to it.

    Parameters
    ----------
    candidate : Candidate
        The replica.
    wait_s : float
        Expected time until a prefill can begin there, in seconds.
    pause_s : float
        Pause of its decoding requests without the part, in seconds.
    harmed_weight : float
        Weight of the decoding requests that this pause is already too long for.
    """

    candidate: Candidate
    wait_s: float
    pause_s: float
    harmed_weight: float


@dataclass(frozen=True)
class _Reader:
    """A replica with the cost of prefilling a part of the prompt there.

    Parameters
    ----------
    open : _OpenReplica
        The replica before the part is assigned to it.
    harm : float
        Weight of the requests there that the prefill makes late.
    cost : float
        Total cost: ``harm`` and the cost of the wait to the prompt's own caller.
    """

    open: _OpenReplica
    harm: float
    cost: float

    @property
    def candidate(self):
        """The replica."""
        return self.open.candidate


def spread_prompt(
    engine,
    size,
    candidates,
    *,
    target_s,
    left_s=None,
    patience_s=float("inf"),
    arrivals=Arrivals(),  # noqa: B008
    max_helpers=MAX_HELPERS,
    reserved=0,
    margin_tokens=0,
):
    """Return the placement of a long prompt, or None if there isn't enough memory.

    Parameters
    ----------
    engine : EngineProfile
        Performance model of the service's replicas.
    size : RequestSize
        Tokens of the request.
    candidates : sequence of Candidate
        Replicas that may take part.
    target_s : float
        Target time to the first event, in seconds.
    left_s : float or None, default=None
        Remaining part of the target; None for all of it.
    patience_s : float, default=inf
        Time after which the caller disconnects without a first event, in seconds.
    arrivals : Arrivals
        Arrival rate of the service's requests.
    max_helpers : int
        Maximum number of replicas that take part besides the first. It is ignored if
        the prompt needs the memory of several replicas.
    reserved : int, default=0
        Number of replicas, the first by rank, that are kept for short prompts. The
        prompt is not prefilled there if it weighs less than the short prompts that
        arrive there meanwhile, unless no other replica is left.
    margin_tokens : int, default=0
        Memory of each replica that is left free for unknown requests.

    Returns
    -------
    Placement or None
    """
    if not candidates:
        return None
    prompt = LongPrompt(
        size,
        estimate_prefill_s(engine, size.prompt_tokens),
        target_s,
        target_s if left_s is None else left_s,
        patience_s,
        margin_tokens,
    )
    if reserved:
        candidates = _leave_reserved(candidates, prompt, arrivals, reserved)
    if needs_several_replicas(engine, size.tokens):
        # A prompt this large needs the memory of several replicas, so helpers are
        # allowed even if a replica refused the request with helpers before.
        max_helpers = MAX_HELPERS
    max_readers = min(max_helpers + 1, len(candidates))
    counts = [count for count in READER_COUNTS if count < max_readers] + [max_readers]
    feasible = _price_plans(engine, prompt, candidates, arrivals, counts)
    if not feasible and needs_several_replicas(engine, size.tokens):
        # Each is asked for its memory before the prompt is sent, and answers that soon
        # if it is alive.
        proven = [replace(candidate, is_recovering=False) for candidate in candidates]
        feasible = _price_plans(engine, prompt, proven, arrivals, counts)
    if not feasible:
        return None
    _, placement = min(feasible, key=lambda plan: plan[0])
    return placement


def _price_plans(engine, prompt, candidates, arrivals, counts):
    """Return the cost and the placement for each number of readers that is possible."""
    replicas = [_assess_replica(engine, candidate) for candidate in candidates]
    plans = (_price_plan(engine, prompt, replicas, arrivals, count) for count in counts)
    return [plan for plan in plans if plan is not None]


def _assess_replica(engine, candidate):
    """Return a replica with its wait and pause before a part is assigned to it."""
    pass_s = estimate_pass_s(engine, candidate.writers, candidate.kv_tokens)
    pause_s = candidate.pace * pass_s + candidate.backlog_s
    return _OpenReplica(
        candidate,
        wait_s(engine, candidate),
        pause_s,
        candidate.disturbed_weight(pause_s / USABLE_GAP_SHARE),
    )


def _leave_reserved(candidates, prompt, arrivals, reserved):
    """Return the replicas that a prompt may use while some are kept for short prompts.

    Short prompts are assumed to arrive evenly at the reserved replicas. A prompt that
    weighs more per second of its prefill than they do may use all replicas: it would
    lose more by being late than it delays.
    """
    arriving_weight = SHORT_WEIGHT * arrivals.per_s / reserved * prompt.prefill_s
    if prompt.size.weight >= arriving_weight:
        return candidates
    others = [candidate for candidate in candidates if candidate.rank >= reserved]
    # While many replicas are out of service, the others would take all long prompts.
    return others if 2 * len(others) >= len(candidates) else candidates


def _price_plan(engine, prompt, replicas, arrivals, count):
    """Return the cost and the placement for a number of readers, or None.

    None is returned if there are too few eligible replicas or too little memory.
    """
    part_s = prompt.prefill_s / count
    readers = _price_readers(prompt, replicas, part_s)
    chosen = _choose_readers(engine, prompt, readers, count)
    if chosen is None:
        return None
    first, others, holders = chosen
    slot_wait_s = estimate_slot_wait_s(engine, first.candidate, prompt.size)
    prefill_start_s = max(
        slot_wait_s,
        first.open.wait_s,
        *(reader.open.wait_s for reader in others),
    )
    prefill_end_s = max(
        slot_wait_s + first.candidate.pace * part_s,
        *(
            reader.open.wait_s + reader.candidate.pace * part_s
            for reader in (first, *others)
        ),
    )
    own_pass_s = first.candidate.pace * estimate_pass_s(
        engine, first.candidate.writers + 1, prompt.size.tokens
    )
    expected_s = prefill_end_s + own_pass_s
    harm = LATENESS_LOSS * (
        first.harm
        + sum(reader.harm for reader in others)
        + _count_blocked_arrivals(replicas, (first, *others), arrivals, part_s)
    )
    holder_ids = {share.replica.id for share in holders}
    helpers = tuple(
        reader.candidate for reader in others if reader.candidate.id not in holder_ids
    )
    placement = Placement(
        first.candidate,
        helpers,
        expected_s,
        part_s,
        holders,
        prefill_start_s,
        harm,
        prompt.worth(expected_s),
    )
    return harm + prompt.own_cost(expected_s) + READER_COST * count, placement


def _price_readers(prompt, replicas, part_s):
    """Return the replicas with the cost of prefilling a part there, cheapest first.

    Decoding requests whose pause is already too long, because of prompts that were sent
    there before, add no further cost. Long prompts therefore gather on the replicas
    that are prefilling others.
    """
    own_costs: dict[float, float] = {}
    readers = []
    for replica in replicas:
        candidate = replica.candidate
        own_part_s = candidate.pace * part_s
        harm = 0.0
        if candidate.decoding_groups:
            required_gap_s = (replica.pause_s + own_part_s) / USABLE_GAP_SHARE
            harm = candidate.disturbed_weight(required_gap_s) - replica.harmed_weight
        if candidate.pending_prefills:
            harm += candidate.overtaken_weight(own_part_s)
        read_by_s = replica.wait_s + own_part_s
        own_cost = own_costs.get(read_by_s)
        if own_cost is None:
            own_cost = own_costs[read_by_s] = prompt.own_cost(read_by_s)
        readers.append(_Reader(replica, harm, LATENESS_LOSS * harm + own_cost))
    readers.sort(key=lambda reader: (reader.cost, -reader.candidate.rank))
    return readers


def _choose_readers(engine, prompt, readers, count):
    """Return the first reader, the other readers and the memory shares, or None.

    Parameters
    ----------
    engine : EngineProfile
        Performance model of the service's replicas.
    prompt : LongPrompt
        The prompt.
    readers : list of _Reader
        Replicas with their costs, the cheapest first.
    count : int
        Number of readers to choose.
    """
    if needs_several_replicas(engine, prompt.size.tokens):
        chosen = _choose_holders(engine, prompt, readers, count)
        if chosen is not None:
            return chosen
    fitting = (
        reader
        for reader in readers
        if has_memory(engine, prompt.size, reader.candidate, prompt.margin_tokens)
    )
    first = next(fitting, None)
    if first is None:
        return None
    eligible = [
        reader
        for reader in readers
        if reader is not first and reader.candidate.may_help
    ]
    if len(eligible) < count - 1:
        return None
    return first, eligible[: count - 1], ()


def _choose_holders(engine, prompt, readers, count):
    """Return readers that hold a prompt's KV cache together, or None."""
    eligible = [reader for reader in readers if reader.candidate.may_help][:count]
    if len(eligible) < count:
        return None
    first, holders = share_memory(
        engine,
        prompt.size.tokens,
        [reader.candidate for reader in eligible],
        margin_tokens=prompt.margin_tokens,
    )
    if first is None:
        return None
    by_id = {reader.candidate.id: reader for reader in eligible}
    own = by_id.pop(first.id)
    return own, list(by_id.values()), holders


def _count_blocked_arrivals(replicas, readers, arrivals, part_s):
    """Return how many arriving requests find no replica in time during a prefill.

    Each replica is assumed to finish requests at the rate at which it received them.
    The replicas that aren't readers therefore process their usual share of the
    arrivals, and can take more until their free slots are used.
    """
    calm_s = BLOCKING_SHARE * arrivals.target_s
    busy_s = part_s + sum(reader.candidate.backlog_s for reader in readers) / len(
        readers
    )
    if busy_s <= calm_s:
        return 0.0
    reader_ids = {reader.candidate.id for reader in readers}
    all_candidates = [replica.candidate for replica in replicas]
    open_candidates = [
        candidate
        for candidate in all_candidates
        if candidate.id not in reader_ids and candidate.backlog_s <= calm_s
    ]
    writers = sum(candidate.writers for candidate in all_candidates)
    writers_of_open = sum(candidate.writers for candidate in open_candidates)
    free_slots = sum(
        max(0, candidate.slots - RESERVED_SLOTS - candidate.writers)
        for candidate in open_candidates
    )
    share = (
        writers_of_open / writers
        if writers
        else len(open_candidates) / len(all_candidates)
    )
    return max(0.0, arrivals.per_s * (busy_s - calm_s) * (1.0 - share) - free_slots)
