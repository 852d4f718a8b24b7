"""The order in which queued requests are considered for a grant."""


def order_tickets(tickets, running_tokens, *, now_s):
    """Sort tickets by the order in which they should be served.

    Parameters
    ----------
    tickets : iterable of Ticket
        The queued requests.
    running_tokens : mapping of str to int
        For each customer, the tokens of its requests in progress.
    now_s : float
        The present time.

    Returns
    -------
    list of Ticket
        Sorted by priority, where each ``aging_s`` of waiting raises a request by one
        priority. Among equal priorities, the customer with the least work in progress
        relative to its weight comes first, so that a large customer can't monopolize
        the queue; then by arrival.
    """

    def rank(ticket):
        priority_steps = int((now_s - ticket.arrived_s) / ticket.aging_s)
        used = running_tokens.get(ticket.customer, 0) / ticket.weight
        return (
            ticket.priority - priority_steps,
            used,
            ticket.arrived_s,
            ticket.ticket_id,
        )

    return sorted(tickets, key=rank)
