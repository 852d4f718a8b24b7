"""What passes between the relay and whoever speaks to callers and replicas."""

from dataclasses import dataclass


@dataclass(frozen=True)
class CallerRequest:
    """One attempt of a caller.

    Parameters
    ----------
    attempt_id : str
        Never used twice.
    method : str
        HTTP method.
    target : bytes
        Raw path and query.
    host : str
        The name that was asked for.
    headers : tuple of (bytes, bytes)
        Those that replicas get as they came.
    credential : str
        Proves who asks.
    received_s : float
        When its head was read, on this node's clock.
    time_left_s : float or None
        How long the caller waited from then on; None where it didn't say.
    prompt_tokens, answer_tokens : int
        Size of the prompt, and of the longest answer; 0 where unknown.
    resume_after : bytes
        The last event that the caller has of an earlier attempt.
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

    @property
    def path(self):
        """The raw path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


@dataclass(frozen=True)
class Load:
    """What a replica told of its load.

    Parameters
    ----------
    running, waiting, slots : int
        Requests that it works on, that wait, and that it takes at once.
    """

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True)
class Answer:
    """The head of a replica's answer.

    Parameters
    ----------
    status : int
        HTTP status.
    attempt_id : str
        The attempt that it answers.
    is_sealed : bool
        Whether the replica vouches for it.
    is_encoded : bool
        Whether the body isn't the replica's own bytes.
    is_unstarted : bool
        Whether the replica promises that it hasn't run the request and won't.
    is_other_replica : bool
        Whether another replica has the address now.
    at_fault : str
        The replica that another one waited for in vain; empty for none.
    load : Load or None
        What it told of its load.
    cold_s : float
        How much longer it says it is cold.
    headers : tuple of (bytes, bytes)
        All of them.
    """

    status: int
    attempt_id: str
    is_sealed: bool
    is_encoded: bool
    is_unstarted: bool
    is_other_replica: bool
    at_fault: str
    load: Load | None
    cold_s: float
    headers: tuple[tuple[bytes, bytes], ...]
