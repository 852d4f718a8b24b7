"""In which order waiting requests are considered."""


def order_tickets(tickets, running_tokens, *, now_s):
    """Return the tickets, the first to be served first.

    Parameters
    ----------
    tickets : iterable of Ticket
        Those that wait.
    running_tokens : mapping of str to int
        For each customer, the tokens of its requests in progress.
    now_s : float
        The present time.

    Returns
    -------
    list of Ticket
        By priority, each ``aging_s`` of waiting counting as one priority; among
        equals the customer with the least work in progress for its weight comes
        first, so that a large customer can't fill the queue; then by arrival.
    """

    def rank(ticket):
        aged = int((now_s - ticket.arrived_s) / ticket.aging_s)
        used = running_tokens.get(ticket.customer, 0) / ticket.weight
        return ticket.priority - aged, used, ticket.arrived_s, ticket.ticket_id

    return sorted(tickets, key=rank)
