"""Choice of the replicas to which a request is sent."""

import math
from dataclasses import replace


def count_segments(ticket, loads, policy):
    """Return the number of engines over which a prompt has to be split.

    Returns
    -------
    int
        1 for a request that fits into the memory of one engine.
    """
    capacity = min((load.kv_capacity_tokens for load in loads), default=0)
    if capacity <= 0 or ticket.total_tokens <= capacity:
        return 1
    return math.ceil(ticket.total_tokens / (capacity * policy.segment_memory_share))


def choose_replicas(ticket, loads, policy, *, cached_tokens):
    """Choose the replicas for a request, if it can be sent now.

    Parameters
    ----------
    ticket : Ticket
        The request.
    loads : sequence of ReplicaLoad
        The loads of all replicas of the cell.
    policy : SchedulingPolicy
        The parameters of the choice.
    cached_tokens : mapping of str to int
        For each replica, the number of prompt tokens expected in its prefix cache.

    Returns
    -------
    tuple of ReplicaLoad
        Empty if the request has to wait.
    """
    if all(load.name in ticket.avoid for load in loads):
        # Retrying a replica on which this request has failed before is better than
        # waiting until the deadline; a replica that is really down is not in `loads`.
        ticket = replace(ticket, avoid=())
    segments = count_segments(ticket, loads, policy)
    if segments > 1:
        return _choose_several(ticket, loads, policy, segments)
    is_huge = ticket.prompt_tokens >= policy.huge_tokens
    candidates = [load for load in loads if _fits(ticket, load, policy, is_huge)]
    if not candidates:
        return ()
    return (_choose_earliest(ticket, candidates, policy, cached_tokens, is_huge),)


def _fits(ticket, load, policy, is_huge):
    """Tell whether a replica can be granted the request now."""
    if load.slots <= 0 or load.kv_free_tokens < ticket.total_tokens:
        return False
    if load.name in ticket.avoid:
        return False
    if load.is_draining and ticket.total_tokens > policy.draining_max_tokens:
        return False
    if is_huge:
        return load.takes_huge and load.huge_backlog_s <= policy.max_prefill_backlog_s
    return load.short_backlog_s <= policy.max_prefill_backlog_s


def _choose_earliest(ticket, candidates, policy, cached_tokens, is_huge):
    """Return the replica where the prefill is expected to end first.

    A replica that has the prefix cached is preferred, unless its backlog costs more
    time than prefilling the prefix again on another replica.
    """

    def backlog_s(load):
        return (
            load.short_backlog_s + load.huge_backlog_s
            if is_huge
            else load.short_backlog_s
        )

    def prefilled_s(load):
        fresh = ticket.prompt_tokens - cached_tokens.get(load.name, 0)
        return backlog_s(load) + max(0, fresh) / load.tokens_per_s

    def rank(load):
        affinity_bonus_s = (
            policy.prefix_affinity_s if cached_tokens.get(load.name) else 0.0
        )
        huge_prompt_delay_s = (
            policy.huge_prompt_delay_s
            if load.huge_backlog_s > 0 and not is_huge
            else 0.0
        )
        return (
            prefilled_s(load) + huge_prompt_delay_s - affinity_bonus_s,
            load.running,
            load.name,
        )

    return min(candidates, key=rank)


def _choose_several(ticket, loads, policy, segments):
    """Return all replicas that a split prompt needs, or none.

    The owner of the cell grants them together. Otherwise two such prompts could
    deadlock, each holding half of the replicas it needs and waiting for the other's.
    """
    part = math.ceil(ticket.total_tokens / segments)
    # Includes draining replicas: they are drained for prompts such as this one.
    candidates = [
        load
        for load in loads
        if load.slots > 0
        and load.kv_free_tokens >= part
        and load.name not in ticket.avoid
        and load.huge_backlog_s <= policy.max_prefill_backlog_s
    ]
    if len(candidates) < segments:
        return ()
    candidates.sort(
        key=lambda load: (not load.takes_huge, load.huge_backlog_s, load.name)
    )
    return tuple(sorted(candidates[:segments], key=lambda load: load.name))


def choose_draining(ticket, loads, policy):
    """Return the replicas to drain for a split prompt that has waited long."""
    segments = count_segments(ticket, loads, policy)
    usable = [load for load in loads if load.name not in ticket.avoid]
    usable.sort(key=lambda load: (not load.takes_huge, -load.kv_free_tokens, load.name))
    return frozenset(load.name for load in usable[:segments])
