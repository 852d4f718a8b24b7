"""Inputs and results of the placement functions."""

from dataclasses import dataclass

CROSS_DOMAIN_PENALTY_S = 0.002
"""Penalty for a replica in another failure domain: one round trip between domains where
the distance isn't known."""
RECOVERING_PENALTY_S = 0.15
"""Penalty for a replica that was silent and hasn't answered since. Other replicas are
preferred while they are fast enough."""
COLD_PENALTY_S = 0.05
"""Penalty for a cold replica, which is slow for some seconds after its start."""
MAX_WAIT_PATIENCE_SHARE = 0.5
"""Largest fraction of its caller's patience that a prompt may wait for its prefill. A
prompt that waits longer seldom produces its first event before the caller disconnects,
so its slot is wasted."""
LATENESS_LOSS = 0.75
"""Fraction of its value that a request loses by being late."""
TOKENS_PER_WEIGHT = 15_000
"""Prompt tokens that add 1 to the weight of a request."""


@dataclass(frozen=True)
class RequestSize:
    """Tokens that a request needs; both are 0 for a request without a prompt."""

    prompt_tokens: int = 0
    answer_tokens: int = 0

    @property
    def tokens(self):
        """Tokens of the prompt and of the longest answer together."""
        return self.prompt_tokens + self.answer_tokens

    @property
    def weight(self):
        """Cost of the request in units of one short request."""
        return 1.0 + self.prompt_tokens / TOKENS_PER_WEIGHT


@dataclass(frozen=True)
class DecodingGroup:
    """Decoding requests of one replica that tolerate the same gap between events.

    Parameters
    ----------
    gap_s : float
        Longest gap between two events that the callers don't notice, in seconds.
    weight : float
        Total weight of the requests.
    """

    gap_s: float
    weight: float


@dataclass(frozen=True)
class PendingPrefill:
    """A prompt, or a part of one, whose prefill at a replica isn't done.

    Parameters
    ----------
    slack_s : float
        Additional delay, in seconds, that the prompt tolerates before it is late;
        negative if it is late already.
    weight : float
        Weight of its request, in units of one short request.
    """

    slack_s: float
    weight: float


@dataclass(frozen=True)
class Arrivals:
    """Arrival rate of requests for a service.

    Parameters
    ----------
    per_s : float
        Requests that start per second, at all nodes.
    target_s : float
        Shortest target for the first event among the service's routes, in seconds.
    """

    per_s: float = 0.0
    target_s: float = 1.0


@dataclass(frozen=True)
class Candidate:
    """A replica that may be sent a request, with its known load.

    Parameters
    ----------
    id, address : str
        Identity and network address of the replica.
    rank : int
        Position in an order that all nodes agree on.
    slots : int
        Number of requests that the replica processes concurrently.
    writers : int
        Number of unfinished requests whose answers the replica generates.
    helping : int
        Number of unfinished prompts of other replicas that it prefills a part of.
    decoding_groups : tuple of DecodingGroup
        The decoding requests, grouped by the gap that they tolerate.
    backlog_s : float
        Prefill time of the prompts that were sent there and aren't done, in seconds.
    pending_prefills : tuple of PendingPrefill
        Prompts whose prefill isn't done.
    kv_tokens : int
        KV cache memory in use, in tokens.
    is_near : bool
        Whether the replica is in this node's failure domain.
    is_recovering : bool
        Whether it was silent and hasn't answered since, or asked another node for rest.
    is_cold : bool
        Whether it has just started, or has become cold again.
    is_limited : bool
        Whether it names a limit on the requests that it takes.
    pace : float
        Factor by which its work takes longer than its engine's profile states.
    distance_s : float or None
        Round trip to its failure domain by the declared delays; None if not known.
    failure_domain : str
        Its failure domain; empty if not known.
    """

    id: str
    address: str
    rank: int
    slots: int
    writers: int = 0
    helping: int = 0
    decoding_groups: tuple[DecodingGroup, ...] = ()
    backlog_s: float = 0.0
    pending_prefills: tuple[PendingPrefill, ...] = ()
    kv_tokens: int = 0
    is_near: bool = True
    is_recovering: bool = False
    is_cold: bool = False
    is_limited: bool = False
    pace: float = 1.0
    distance_s: float | None = None
    failure_domain: str = ""

    @property
    def round_trip_s(self):
        """Expected round trip to its failure domain, in seconds."""
        if self.distance_s is not None:
            return self.distance_s
        return 0.0 if self.is_near else CROSS_DOMAIN_PENALTY_S

    @property
    def penalty_s(self):
        """Penalty in seconds for everything besides the replica's load."""
        return (
            self.round_trip_s
            + (RECOVERING_PENALTY_S if self.is_recovering else 0.0)
            + (COLD_PENALTY_S if self.is_cold else 0.0)
        )

    @property
    def may_help(self):
        """Whether the replica may prefill a part of another replica's prompt."""
        is_trusted = not (self.is_recovering or self.is_cold or self.is_limited)
        return is_trusted and self.helping < self.slots - 1

    def disturbed_weight(self, pause_s):
        """Return the weight of the decoding requests that a pause is too long for."""
        return sum(
            group.weight for group in self.decoding_groups if group.gap_s < pause_s
        )

    def overtaken_weight(self, part_s):
        """Return the weight of the waiting prompts that a new part makes late.

        A replica prefills a part of another replica's prompt before all prompts that
        wait there. A waiting prompt whose other parts are done at other replicas is
        then delayed by this replica alone.
        """
        return sum(
            one.weight for one in self.pending_prefills if 0.0 < one.slack_s < part_s
        )


@dataclass(frozen=True)
class MemoryShare:
    """KV cache memory that a replica reserves for a request of another replica."""

    replica: Candidate
    tokens: int


@dataclass(frozen=True)
class Placement:
    """The replicas that process a request, with the estimated times and costs.

    Parameters
    ----------
    first : Candidate
        Replica that receives the request and generates the answer.
    helpers : tuple of Candidate
        Replicas that prefill one part of the prompt each.
    expected_s : float
        Estimated time until the first event, in seconds.
    part_prefill_s : float
        Prefill time of each part at a replica that isn't slow, in seconds.
    holders : tuple of MemoryShare
        Replicas that prefill one part each and also hold a share of its KV cache.
    prefill_wait_s : float
        Estimated time until the prefill begins, in seconds.
    harm : float
        Weight of the other requests that the prefill makes late.
    worth : float
        Value of the answer to its caller at ``expected_s``, in the same unit.
    """

    first: Candidate
    helpers: tuple[Candidate, ...]
    expected_s: float
    part_prefill_s: float
    holders: tuple[MemoryShare, ...] = ()
    prefill_wait_s: float = 0.0
    harm: float = 0.0
    worth: float = 1.0

    def waits_too_long(self, patience_s):
        """Return whether the caller would probably disconnect before the first event.

        Parameters
        ----------
        patience_s : float
            Time for which the caller waits for the first event, in seconds.
        """
        return self.prefill_wait_s > MAX_WAIT_PATIENCE_SHARE * patience_s

    def is_worthwhile(self, patience_s):
        """Return whether the placement gains its caller more than it costs others.

        A caller that would disconnect while its request waits gains nothing. A long
        prompt for which only busy replicas are left would make requests late that
        weigh more than itself. It is better to try again shortly after, when there
        may be capacity, or to let its caller retry.

        Parameters
        ----------
        patience_s : float
            Time for which the caller waits for the first event, in seconds.
        """
        return not self.waits_too_long(patience_s) and self.harm <= self.worth
