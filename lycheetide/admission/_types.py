"""Requests that wait for capacity, and what they need together."""

from dataclasses import dataclass


@dataclass(frozen=True)
class WaitingRequest:
    """A request that waits for capacity.

    Parameters
    ----------
    number : int
        Its number, from ``AdmissionQueue.next_number``.
    node, job : str
        Node that the request waits at, and the id of the entry within that node.
    service, customer : int
        Hashes of their names, from ``hash_name``.
    engine_s : float
        Prefill time at one replica, in seconds.
    tokens : int
        Size of the KV cache that it needs, in tokens.
    due_s : float
        Target time of its first event on this node's clock. For a request that has
        returned, that of its first attempt.
    weight : float
        Weight of the request, in units of one short request.
    """

    number: int
    node: str
    job: str
    service: int
    customer: int
    engine_s: float
    tokens: int
    due_s: float
    weight: float = 1.0


@dataclass(frozen=True)
class KindDemand:
    """What waiting requests of one kind need together.

    Parameters
    ----------
    count : int
        Number of requests.
    engine_s : float
        Prefill time, in engine-seconds.
    tokens : int
        KV cache, in tokens.
    """

    count: int = 0
    engine_s: float = 0.0
    tokens: int = 0

    def __add__(self, other):
        return KindDemand(
            self.count + other.count,
            self.engine_s + other.engine_s,
            self.tokens + other.tokens,
        )


@dataclass(frozen=True)
class Ahead:
    """What the requests ahead of one need.

    Parameters
    ----------
    kinds : tuple of KindDemand
        Demand of short, middle and huge prompts. Empty if there are no requests.
    """

    kinds: tuple[KindDemand, ...] = ()

    def __len__(self):
        return sum(kind.count for kind in self.kinds)

    @property
    def engine_s(self):
        """Prefill time of all requests, in engine-seconds."""
        return sum(kind.engine_s for kind in self.kinds)

    @property
    def tokens(self):
        """KV cache of all requests, in tokens."""
        return sum(kind.tokens for kind in self.kinds)


NOBODY_AHEAD = Ahead()
"""For a request with no others ahead of it."""
