"""One caller's request on its way."""

from collections import Counter
from dataclasses import dataclass, field

from lycheetide.exchange import CallerRequest
from lycheetide.placement import Size
from lycheetide.routes import Customer, Route, Service

URGENCY_TOKENS = (10_000, 30_000, 60_000, 120_000)
"""Prompt lengths at which a prompt is admitted one step later: each takes about twice
as long to read as the one before."""
REFUSED_AGAIN_S = 0.25
"""How long a replica that refused a call is left out for it; doubles each time."""
REFUSED_MOST = 4
"""Refusals of one replica after which it isn't asked again for a call at all."""


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
        Which they were, those that refused it without running it apart.
    refusals : Counter of str
        How often each replica refused it.
    refused_s : dict of str to float
        When each of them last did.
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
    refusals: Counter[str] = field(default_factory=Counter)
    refused_s: dict[str, float] = field(default_factory=dict)
    helpers_refused: bool = False
    is_begun: bool = False
    has_retry: bool = False

    def left_s(self, *, now_s):
        """Return the time until the answer is due."""
        return self.deadline_s - now_s

    def note_refused(self, replica, *, now_s):
        """Note that a replica refused the call and hasn't run it."""
        self.tried.discard(replica)
        self.refusals[replica] += 1
        self.refused_s[replica] = now_s

    def list_closed(self, *, now_s):
        """Return the replicas that the call may not be sent to now.

        A replica that is full for a moment refuses, and takes the call a moment later.
        Left out for good, it would be missing where no other one is left.
        """
        return self.tried | {
            replica
            for replica, at_s in self.refused_s.items()
            if now_s - at_s < find_refused_pause_s(self.refusals[replica])
        }


def find_refused_pause_s(refusals):
    """Return how long a replica isn't asked again after so many refusals.

    Examples
    --------
    >>> [find_refused_pause_s(refusals) for refusals in (1, 2, 3, 4)]
    [0.25, 0.5, 1.0, inf]
    """
    if refusals >= REFUSED_MOST:
        return float("inf")
    return REFUSED_AGAIN_S * 2 ** (refusals - 1)


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
