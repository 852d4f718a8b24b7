"""The state of one caller's request while the relay serves it."""

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from lycheetide.exchange import CallerRequest
from lycheetide.placement import RequestSize
from lycheetide.routes import Customer, Route, Service

ADMISSION_PRIORITY_TOKENS = (10_000, 30_000, 60_000, 120_000)
"""Upper bounds of prompt length, in tokens, for the admission priority levels. A prompt
of each bound takes about twice as long to read as one of the bound before."""
REFUSAL_BACKOFF_S = 0.25
"""How long a call isn't sent to a replica after its first refusal. The time doubles
with each further refusal by the same replica."""
MAX_REFUSALS = 4
"""Number of refusals after which a replica isn't tried again for the same call."""


@dataclass
class Call:
    """The state of one caller's request while the relay serves it.

    Parameters
    ----------
    request : CallerRequest
        The request as decoded.
    body : bytes
        The request body.
    route : Route
        The route that the request matched.
    service : Service
        The service whose replicas may serve the request.
    customer : Customer or None
        The customer that sent the request; None if the route needs no customer.
    size : RequestSize
        Number of tokens in the prompt and in the longest answer.
    deadline_s : float
        Time by which the final answer must be sent.
    sent : int
        Number of replicas that the request was sent to.
    may_have_run : bool
        Whether any of these replicas may have started to run the request.
    tried : set of str
        Replicas that the request was sent to, without those that refused it before
        running it.
    refusals : Counter of str
        Number of refusals by each replica.
    last_refused_s : dict of str to float
        Time of the latest refusal by each replica.
    helpers_refused : bool
        Whether a replica refused to read the prompt together with helpers, without
        naming the helper at fault.
    is_begun : bool
        Whether a part of the answer was sent to the caller.
    has_retry : bool
        Whether a retry was taken from the retry budget for the next attempt.
    error_starts : dict of str to int
        Replicas that reported a server error, with the start of the process that did,
        in Unix milliseconds. Empty unless requests compete for capacity.
    error_domains : set of str
        Failure domains of these replicas.
    paths : dict of str to str
        Path of the latest request to each replica: address of the peer that carries the
        connection, empty for a direct one.
    generations : dict of str to int
        Generation of the latest attempt at each replica, as in ``Break``, unless 1.
    queue_place : tuple of (int, float) or None
        Its number in the queue for capacity and the target time of its first event,
        kept for all its attempts; None if it hasn't waited.
    parts : tuple of bytes
        Hashes of the parts of its prompt, its own one last; empty for no prompt.
    is_written : bool
        Whether a replica has begun to write an answer to it.
    presences : dict of str to Presence
        Its latest attempt at each replica, if it is a prompt with parts.
    is_quarantined : bool
        Whether it was cancelled because its prompt crashes replicas.
    head_hash : bytes
        Hash of its content but the body; empty until it is needed.
    fingerprint : bytes
        Name of its content, the same in each try of its caller; empty until it is
        needed.
    """

    request: CallerRequest
    body: bytes
    route: Route
    service: Service
    customer: Customer | None
    size: RequestSize
    deadline_s: float
    sent: int = 0
    may_have_run: bool = False
    tried: set[str] = field(default_factory=set)
    refusals: Counter[str] = field(default_factory=Counter)
    last_refused_s: dict[str, float] = field(default_factory=dict)
    helpers_refused: bool = False
    is_begun: bool = False
    has_retry: bool = False
    error_starts: dict[str, int] = field(default_factory=dict)
    error_domains: set[str] = field(default_factory=set)
    paths: dict[str, str] = field(default_factory=dict)
    generations: dict[str, int] = field(default_factory=dict)
    queue_place: tuple[int, float] | None = None
    parts: tuple[bytes, ...] = ()
    is_written: bool = False
    presences: dict[str, Any] = field(default_factory=dict)
    is_quarantined: bool = False
    head_hash: bytes = b""
    fingerprint: bytes = b""

    @property
    def prompt_hash(self):
        """64-bit hash of the prompt's own part; 0 for no prompt."""
        return int.from_bytes(self.parts[-1][:8], "big") if self.parts else 0

    def list_homes(self):
        """Return lists of regions; a replica must be in each that isn't empty."""
        return self.route.regions, self.customer.regions if self.customer else ()

    def remaining_s(self, *, now_s):
        """Return the time until the deadline, in seconds."""
        return self.deadline_s - now_s

    def record_refusal(self, replica, *, now_s):
        """Record that a replica refused the call without running it."""
        self.tried.discard(replica)
        self.refusals[replica] += 1
        self.last_refused_s[replica] = now_s

    def record_server_error(self, entry):
        """Record that the start of a replica that an entry registers reported an error.

        Another attempt may go to the next start of that replica, and goes to another
        failure domain if a replica is free there.
        """
        self.error_starts[entry.id] = entry.born_ms
        self.error_domains.add(entry.failure_domain)

    def list_excluded(self, *, now_s):
        """Return the replicas that the call must not be sent to at present.

        A replica that refused the call is excluded only for a backoff time: a replica
        that is briefly full accepts the call a moment later. Excluded for good, it
        would be missing when no other replica is left.
        """
        return self.tried | {
            replica
            for replica, at_s in self.last_refused_s.items()
            if now_s - at_s < find_refusal_backoff_s(self.refusals[replica])
        }


def find_refusal_backoff_s(refusals):
    """Return for how many seconds a replica is excluded after its latest refusal.

    Parameters
    ----------
    refusals : int
        Number of refusals by this replica, at least 1.

    Examples
    --------
    >>> [find_refusal_backoff_s(refusals) for refusals in (1, 2, 3, 4)]
    [0.25, 0.5, 1.0, inf]
    """
    if refusals >= MAX_REFUSALS:
        return float("inf")
    return REFUSAL_BACKOFF_S * 2 ** (refusals - 1)


def find_admission_priority(call):
    """Return the priority with which a replica admits a prompt, or None without one.

    Replicas admit lower values first; shorter prompts get lower values.
    """
    if call.size.prompt_tokens == 0:
        return None
    length_class = next(
        (
            place
            for place, tokens in enumerate(ADMISSION_PRIORITY_TOKENS)
            if call.size.prompt_tokens <= tokens
        ),
        len(ADMISSION_PRIORITY_TOKENS),
    )
    return min(9, length_class + 2)
