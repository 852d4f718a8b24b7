"""How long a request would wait, so that hopeless ones are refused at once."""


def estimate_wait(ticket, tickets, loads):
    """Estimate the time until a request's prompt has been read.

    Parameters
    ----------
    ticket : Ticket
        The request.
    tickets : iterable of Ticket
        Those that wait already.
    loads : sequence of ReplicaLoad
        The cell's open replicas.

    Returns
    -------
    float
        In seconds; infinite if no replica is open.
    """
    rate = sum(load.tokens_per_s for load in loads)
    if rate <= 0:
        return float("inf")
    ahead = sum(
        other.prompt_tokens
        for other in tickets
        if other.priority <= ticket.priority and other.ticket_id != ticket.ticket_id
    )
    fastest = max(load.tokens_per_s for load in loads)
    soonest_s = min(load.short_s for load in loads)
    return ahead / rate + soonest_s + ticket.prompt_tokens / fastest
