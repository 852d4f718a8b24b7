"""Estimate of waiting times; requests that would miss their deadline are refused."""


def estimate_wait(ticket, tickets, loads):
    """Estimate the time until a request's prompt has been read.

    Parameters
    ----------
    ticket : Ticket
        The request.
    tickets : iterable of Ticket
        The requests already queued.
    loads : sequence of ReplicaLoad
        The cell's open replicas.

    Returns
    -------
    float
        Time in seconds; infinite if no replica is open.
    """
    rate = sum(load.tokens_per_s for load in loads)
    if rate <= 0:
        return float("inf")
    queued_tokens = sum(
        other.prompt_tokens
        for other in tickets
        if other.priority <= ticket.priority and other.ticket_id != ticket.ticket_id
    )
    highest_rate = max(load.tokens_per_s for load in loads)
    shortest_backlog_s = min(load.short_backlog_s for load in loads)
    return (
        queued_tokens / rate + shortest_backlog_s + ticket.prompt_tokens / highest_rate
    )
