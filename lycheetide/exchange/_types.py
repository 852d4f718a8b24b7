"""Types that the relay and the HTTP layer to callers and replicas exchange."""

from dataclasses import dataclass


@dataclass(frozen=True)
class CallerRequest:
    """A caller's request, one attempt of it.

    Parameters
    ----------
    attempt_id : str
        Unique id of the attempt.
    method : str
        HTTP method.
    target : bytes
        Raw path and query.
    host : str
        Requested host name.
    headers : tuple of (bytes, bytes)
        Headers that are forwarded to replicas unchanged.
    credential : str
        Credential that authenticates the customer.
    received_s : float
        When the head of the request was read, on this node's clock.
    time_left_s : float or None
        How long the caller waits from ``received_s`` on; None if it did not say.
    prompt_tokens : int
        Size of the prompt; 0 if unknown.
    answer_tokens : int
        Maximum size of the answer; 0 if unknown.
    resume_after : bytes
        Id of the last event that the caller has received in an earlier attempt.
    prompt_id : str
        Id of the prompt's own last part, the same in each attempt; empty if the caller
        gives none.
    shared_parts : tuple of str
        Ids of the parts before it, which other prompts may share, in their order.
    """

    attempt_id: str
    method: str
    target: bytes
    host: str
    headers: tuple[tuple[bytes, bytes], ...]
    credential: str
    received_s: float
    time_left_s: float | None
    prompt_tokens: int
    answer_tokens: int
    resume_after: bytes
    prompt_id: str = ""
    shared_parts: tuple[str, ...] = ()

    @property
    def path(self):
        """Raw path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


@dataclass(frozen=True)
class ReportedLoad:
    """Load that a replica reported.

    Parameters
    ----------
    running, waiting : int
        Number of requests that the replica processes and that wait.
    slots : int
        Number of requests that the replica processes concurrently at most.
    """

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True)
class ReplicaResponse:
    """Head of a replica's response.

    Parameters
    ----------
    status : int
        HTTP status.
    attempt_id : str
        The attempt that the response belongs to.
    is_sealed : bool
        Whether the response has the seal, which shows that the replica itself sent it.
    is_encoded : bool
        Whether the body has a content encoding, so it isn't the replica's own bytes.
    is_unstarted : bool
        Whether the replica guarantees that it has not run the request and will not.
    is_other_replica : bool
        Whether another replica uses the address now.
    at_fault : str
        The replica that did not answer the responding one; empty if there is none.
    load : ReportedLoad or None
        The load that the replica reported.
    cold_s : float
        Remaining time for which the replica reports to be cold.
    limit_per_s : float or None
        Requests per second that the replica takes from all nodes together; infinity if
        it names no limit, None if what it names can't be read.
    rest_s : float
        Time for which the replica, which has turned the request away, wants nothing
        from this node; 0 if it asks for no rest.
    is_leaving : bool
        Whether the replica says that it leaves.
    headers : tuple of (bytes, bytes)
        All headers.
    """

    status: int
    attempt_id: str
    is_sealed: bool
    is_encoded: bool
    is_unstarted: bool
    is_other_replica: bool
    at_fault: str
    load: ReportedLoad | None
    cold_s: float
    limit_per_s: float | None
    rest_s: float
    is_leaving: bool
    headers: tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True)
class ReplicaReport:
    """What a replica reports of itself.

    Parameters
    ----------
    pace : float
        Factor by which its work takes longer than its engine's profile states, at
        least 1.
    """

    pace: float
