"""Decide whether a waiting request has its turn, and when it will start.

All capacities are compared in the same way: what the candidates have free until some
time with what the request and those ahead of it need. These are engine-seconds, slots
and KV cache.
"""

from bisect import bisect_left
from dataclasses import dataclass

from lycheetide.admission._kinds import count_readers, find_kind
from lycheetide.gossip import hash_name
from lycheetide.placement import MAX_HELPERS, MAX_MEMORY_SHARE

MIN_HORIZON_S = 0.25
LATE_HORIZON_S = 1.0
"""Time within which a request should start that is late or has less than
``MIN_HORIZON_S`` left. Callers wait for 1.5 s after their target at least. With 0.25 s,
late middle prompts were starved by huge ones, whose callers wait longer."""
OWN_KIND_SHARE = 0.2
"""Part of the capacity that each kind of requests has to itself. The other kinds ahead
of a request can claim the rest, so that no kind is starved by another."""
USUAL_ANSWER_S = 4.0
"""Time for which an answer occupies a slot, where the caller doesn't state it."""
MIN_PATIENCE_AFTER_DUE_S = 1.5
"""All callers wait at least this long after their target: they leave after 2 s and
after 4 times the target at the earliest."""
MAX_RETRY_SHARE = 1 / 3
"""Largest part of a caller's remaining time after which it is told to return."""
MIN_RETRY_SHARE = MAX_RETRY_SHARE / 2
"""Callers that can't be served soon return after this to ``MAX_RETRY_SHARE`` of their
remaining time, spread evenly, so that they don't return all at once."""
MIN_RETRY_AFTER_S = 0.1
"""Shorter delays are within the tolerance for early returns."""
TIME_TOLERANCE_S = 0.005
MAX_ROUNDS = 4
"""Rounds in which the time of a start is approximated from above."""


@dataclass(frozen=True)
class WaitEstimate:
    """The expected wait of a request.

    Parameters
    ----------
    start_s : float
        Time at which it is expected to start, on this node's clock; infinity if no
        replica can take it.
    is_servable : bool
        Whether it can have its first event before its caller leaves.
    retry_after_s : float
        Time after which its caller should return, if it is refused.
    """

    start_s: float
    is_servable: bool
    retry_after_s: float


@dataclass(frozen=True)
class Supply:
    """What replicas have free, from ``measure_supply``.

    Parameters
    ----------
    backlogs : list of (float, float)
        Prefill backlog and pace of each replica.
    slots, free_slots : int
        All slots, and those that are free.
    used_tokens, free_tokens : float
        KV cache in use, and what waiting requests may have of the rest.
    """

    backlogs: list[tuple[float, float]]
    slots: int
    free_slots: int
    used_tokens: float
    free_tokens: float

    def __len__(self):
        return len(self.backlogs)


@dataclass(frozen=True)
class _Claim:
    """What a request needs together with those ahead of it.

    Parameters
    ----------
    engine_s, ahead_s : float
        Engine-seconds of all, and of those ahead of it alone.
    count, tokens : float
        Number of slots, and tokens of KV cache.
    """

    engine_s: float
    ahead_s: float
    count: float
    tokens: float


def has_turn(
    request, ahead, candidates, *, now_s, engine=None, answer_s=USUAL_ANSWER_S
):
    """Return whether capacity suffices for a request and those ahead of it.

    Parameters
    ----------
    request : WaitingRequest
        The request. Its ``due_s`` is the target; a request that has returned should be
        given that of its present attempt.
    ahead : Ahead
        Requests ahead of it.
    candidates : sequence of Candidate or Supply
        Replicas that may take it. What they have free can be measured before, for
        several decisions; ``engine`` isn't used then.
    now_s : float
        Current time.
    engine : EngineProfile or None, default=None
        Performance model of the replicas; None if their memory isn't limited.
    answer_s : float
        Time for which an answer occupies a slot, in seconds.
    """
    if not candidates:
        return False
    if not ahead:
        return True
    left_s = request.due_s - now_s
    horizon_s = left_s if left_s >= MIN_HORIZON_S else LATE_HORIZON_S
    supply = measure_supply(candidates, engine)
    claim = _make_claim(request, ahead, len(supply), horizon_s)
    return (
        claim.engine_s <= _sum_free_s(supply, horizon_s)
        and _find_slot_wait_s(supply, claim, answer_s) <= horizon_s
        and claim.tokens <= supply.free_tokens
    )


def assess_wait(
    request,
    ahead,
    candidates,
    *,
    now_s,
    engine=None,
    leaves_s=None,
    answer_s=USUAL_ANSWER_S,
):
    """Return when a request is expected to start, and whether that is in time.

    Parameters
    ----------
    request, ahead, candidates, now_s, engine, answer_s
        As in ``has_turn``.
    leaves_s : float or None, default=None
        Time at which its caller leaves without a first event; None if unknown.

    Returns
    -------
    WaitEstimate
    """
    if leaves_s is None:
        leaves_s = request.due_s + MIN_PATIENCE_AFTER_DUE_S
    left_s = max(0.0, leaves_s - now_s)
    if not candidates:
        return WaitEstimate(
            float("inf"), False, _find_retry_after_s(request, float("inf"), left_s)
        )
    supply = measure_supply(candidates, engine)
    engine_wait_s, claim = _find_engine_wait_s(request, ahead, supply)
    wait_s = max(
        engine_wait_s,
        _find_slot_wait_s(supply, claim, answer_s),
        _find_memory_wait_s(supply, claim, answer_s),
    )
    shortest_s = request.engine_s / min(len(candidates), MAX_HELPERS + 1)
    return WaitEstimate(
        now_s + wait_s,
        wait_s + shortest_s < left_s,
        _find_retry_after_s(request, wait_s, left_s),
    )


def _make_claim(request, ahead, replicas, horizon_s):
    """Return what a request and those ahead of it need until a time from now.

    A huge prompt can use no more than its usual readers at the same time, so one that
    takes long doesn't keep the other replicas from requests that need little.
    """
    readers = count_readers(replicas)
    own_kind = find_kind(request.engine_s)
    requested_s = own_s = min(request.engine_s, readers * horizon_s)
    own_count, own_tokens = 1, request.tokens
    other_s, other_count, other_tokens = 0.0, 0, 0
    for kind, demand in enumerate(ahead.kinds):
        if not demand.count:
            continue
        usable_s = min(demand.engine_s, demand.count * readers * horizon_s)
        if kind == own_kind:
            own_s += usable_s
            own_count += demand.count
            own_tokens += demand.tokens
        else:
            other_s += usable_s
            other_count += demand.count
            other_tokens += demand.tokens
    engine_s = _limit_others(own_s, other_s)
    return _Claim(
        engine_s,
        max(0.0, engine_s - requested_s),
        _limit_others(own_count, other_count),
        _limit_others(own_tokens, other_tokens),
    )


def _limit_others(own, others):
    """Return the capacity needed if the other kinds can claim only a part of it."""
    return min(own + others, own / OWN_KIND_SHARE)


def measure_supply(candidates, engine=None):
    """Return what replicas have free, in one pass over them."""
    if isinstance(candidates, Supply):
        return candidates
    # One loop instead of a sum for each field: it takes much of a decision's time.
    memory = engine.kv_tokens if engine is not None else 0
    slots = free_slots = used_tokens = free_tokens = 0
    backlogs = []
    for one in candidates:
        slots += one.slots
        if one.writers < one.slots:
            free_slots += one.slots - one.writers
        used_tokens += one.kv_tokens
        if one.kv_tokens < memory:
            free_tokens += memory - one.kv_tokens
        backlogs.append((one.backlog_s, one.pace))
    return Supply(
        backlogs,
        slots,
        free_slots,
        used_tokens,
        MAX_MEMORY_SHARE * free_tokens if memory else float("inf"),
    )


def _sum_free_s(supply, horizon_s):
    """Return the engine-seconds for which replicas are free until a time."""
    return sum(
        [
            (horizon_s - backlog_s) / pace
            for backlog_s, pace in supply.backlogs
            if backlog_s < horizon_s
        ]
    )


def _find_engine_wait_s(request, ahead, supply):
    """Return after how long those ahead of a request leave it engine time.

    What they claim grows with the time that is looked at. So the time is first found
    for all that they need, and then for what they can use until then.

    Returns
    -------
    wait_s : float
        The time.
    claim : _Claim
        The claim until then.
    """
    claim = _make_claim(request, ahead, len(supply), float("inf"))
    find_time_s = _make_time_finder(supply, claim.ahead_s)
    wait_s = find_time_s(claim.ahead_s)
    for _ in range(MAX_ROUNDS):
        claim = _make_claim(request, ahead, len(supply), wait_s)
        last_s, wait_s = wait_s, min(wait_s, find_time_s(claim.ahead_s))
        if wait_s >= last_s - TIME_TOLERANCE_S:
            break
    return wait_s, claim


def _make_time_finder(supply, limit_s):
    """Return a function from engine-seconds to the time until replicas have them free.

    It is used for at most ``limit_s`` engine-seconds.

    Once the first replicas are done with their backlog, they have been free for
    ``rate * t - offset`` engine-seconds at a time t.
    """
    rate = offset_s = 0.0
    free_s, lines = [], []
    for backlog_s, pace in sorted(supply.backlogs):
        free_s.append(rate * backlog_s - offset_s)
        if free_s[-1] > limit_s:
            break
        rate += 1.0 / pace
        offset_s += backlog_s / pace
        lines.append((rate, offset_s))

    def find_time_s(engine_s):
        rate, offset_s = lines[max(0, bisect_left(free_s, engine_s) - 1)]
        return (engine_s + offset_s) / rate

    return find_time_s


def _find_slot_wait_s(supply, claim, answer_s):
    """Return after how long there are slots for a claim."""
    missing = claim.count - supply.free_slots
    if missing <= 0:
        return 0.0
    return missing * answer_s / supply.slots if supply.slots else float("inf")


def _find_memory_wait_s(supply, claim, answer_s):
    """Return after how long there is KV cache for a claim.

    Memory is assumed to become free at the rate at which answers end.
    """
    missing = claim.tokens - supply.free_tokens
    if missing <= 0:
        return 0.0
    if not supply.used_tokens:
        return float("inf")
    return missing * answer_s / supply.used_tokens


def _find_retry_after_s(request, wait_s, left_s):
    """Return after how long a caller with some time left should return."""
    draw = hash_name(f"{request.node}/{request.job}") / 2**32
    latest_s = (MIN_RETRY_SHARE + draw * (MAX_RETRY_SHARE - MIN_RETRY_SHARE)) * left_s
    return min(max(wait_s, MIN_RETRY_AFTER_S), latest_s)
