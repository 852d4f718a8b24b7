"""Which replicas a request goes to."""

import math
from dataclasses import replace


def count_segments(ticket, loads, policy):
    """Return over how many engines a prompt has to be spread.

    Returns
    -------
    int
        1 for prompts that one engine's memory holds.
    """
    capacity = min((load.kv_capacity_tokens for load in loads), default=0)
    if capacity <= 0 or ticket.total_tokens <= capacity:
        return 1
    return math.ceil(ticket.total_tokens / (capacity * policy.segment_share))


def choose_replicas(ticket, loads, policy, *, cached_tokens):
    """Choose where a request goes now, or nowhere yet.

    Parameters
    ----------
    ticket : Ticket
        The request.
    loads : sequence of ReplicaLoad
        All the cell's replicas.
    policy : Policy
        The numbers that the choice rests on.
    cached_tokens : mapping of str to int
        How much of the prompt each replica is believed to hold.

    Returns
    -------
    tuple of ReplicaLoad
        Empty if the request has to wait.
    """
    if all(load.name in ticket.avoid for load in loads):
        # Better a replica that has failed this request once than none until its
        # deadline; a replica that is really gone is not among the loads.
        ticket = replace(ticket, avoid=())
    segments = count_segments(ticket, loads, policy)
    if segments > 1:
        return _choose_span(ticket, loads, policy, segments)
    is_huge = ticket.prompt_tokens >= policy.huge_tokens
    fitting = [load for load in loads if _fits(ticket, load, policy, is_huge)]
    if not fitting:
        return ()
    return (_pick(ticket, fitting, policy, cached_tokens, is_huge),)


def _fits(ticket, load, policy, is_huge):
    """Tell whether a replica can take the request now."""
    if load.slots <= 0 or load.kv_free_tokens < ticket.total_tokens:
        return False
    if load.name in ticket.avoid:
        return False
    if load.is_draining and ticket.total_tokens > policy.drain_short_tokens:
        return False
    if is_huge:
        return load.takes_huge and load.huge_s <= policy.ahead_s
    return load.short_s <= policy.ahead_s


def _pick(ticket, fitting, policy, cached_tokens, is_huge):
    """Return the replica where the request is expected to be read first.

    The one that holds the prefix is preferred, but only while it is not so loaded
    that waiting there costs more than reading the prefix anew elsewhere.
    """

    def start_s(load):
        return load.short_s + load.huge_s if is_huge else load.short_s

    def read_s(load):
        fresh = ticket.prompt_tokens - cached_tokens.get(load.name, 0)
        return start_s(load) + max(0, fresh) / load.tokens_per_s

    def rank(load):
        bonus = policy.affinity_s if cached_tokens.get(load.name) else 0.0
        crowd_s = policy.crowd_s if load.huge_s > 0 and not is_huge else 0.0
        return read_s(load) + crowd_s - bonus, load.running, load.name

    return min(fitting, key=rank)


def _choose_span(ticket, loads, policy, segments):
    """Return as many replicas as a spanning prompt needs, all of them or none.

    The owner of the cell grants them together, so two such prompts never hold half
    of what they need each and wait for the other's half for ever.
    """
    part = math.ceil(ticket.total_tokens / segments)
    # Replicas that are kept for a spanning prompt are open to it.
    fitting = [
        load
        for load in loads
        if load.slots > 0
        and load.kv_free_tokens >= part
        and load.name not in ticket.avoid
        and load.huge_s <= policy.ahead_s
    ]
    if len(fitting) < segments:
        return ()
    fitting.sort(key=lambda load: (not load.takes_huge, load.huge_s, load.name))
    return tuple(sorted(fitting[:segments], key=lambda load: load.name))


def choose_draining(ticket, loads, policy):
    """Return the replicas to keep for a spanning prompt that has waited long."""
    segments = count_segments(ticket, loads, policy)
    usable = [load for load in loads if load.name not in ticket.avoid]
    usable.sort(key=lambda load: (not load.takes_huge, -load.kv_free_tokens, load.name))
    return frozenset(load.name for load in usable[:segments])
