"""One caller's request on its way."""

from dataclasses import dataclass, field

from lycheetide.exchange import CallerRequest
from lycheetide.placement import Size
from lycheetide.routes import Customer, Route, Service

URGENCY_TOKENS = (10_000, 30_000, 60_000, 120_000)
"""Prompt lengths at which a prompt is admitted one step later: each takes about twice
as long to read as the one before."""


@dataclass
class Call:
    """One caller's request on its way.

    Parameters
    ----------
    request : CallerRequest
        What came.
    body : bytes
        Its body.
    route : Route
        Where it goes.
    service : Service
        Which replicas serve it.
    customer : Customer or None
        Whose it is.
    size : Size
        What it asks of a replica.
    deadline_s : float
        When its final answer is due.
    sent : int
        Replicas that it was sent to.
    may_have_run : bool
        Whether one of them may have begun.
    tried : set of str
        Which they were.
    helpers_refused : bool
        Whether a replica refused it that was to read it together with others.
    is_begun : bool
        Whether its caller has got a part of the answer.
    has_retry : bool
        Whether its next attempt was taken from the retry budget.
    """

    request: CallerRequest
    body: bytes
    route: Route
    service: Service
    customer: Customer | None
    size: Size
    deadline_s: float
    sent: int = 0
    may_have_run: bool = False
    tried: set[str] = field(default_factory=set)
    helpers_refused: bool = False
    is_begun: bool = False
    has_retry: bool = False

    def left_s(self, *, now_s):
        """Return the time until the answer is due."""
        return self.deadline_s - now_s


def find_urgency(call):
    """Return how soon a replica admits a prompt: the shorter, the sooner."""
    if call.size.prompt_tokens == 0:
        return None
    urgency = next(
        (
            place
            for place, tokens in enumerate(URGENCY_TOKENS)
            if call.size.prompt_tokens <= tokens
        ),
        len(URGENCY_TOKENS),
    )
    return min(9, urgency + 2)
