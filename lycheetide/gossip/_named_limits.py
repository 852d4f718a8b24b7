"""Limits that replicas in need name in their answers."""

from dataclasses import dataclass

NO_LIMIT = float("inf")


@dataclass(frozen=True)
class Life:
    """One start of a replica; the next start owes nothing to what this one said.

    Parameters
    ----------
    replica : str
        Id of the replica.
    born_ms : int
        Start of its process in Unix milliseconds; 0 if unknown.
    """

    replica: str
    born_ms: int


@dataclass(frozen=True)
class NamedLimit:
    """The limit that a replica last named.

    Parameters
    ----------
    limit_per_s : float
        Requests per second that it takes from all nodes together; ``NO_LIMIT`` if it
        has stopped naming one.
    heard_s : float
        Time of its latest answer that said so.
    """

    limit_per_s: float
    heard_s: float


class LimitTable:
    """Table of the replicas that name a limit, or have just stopped doing so."""

    def __init__(self):
        self._limits: dict[Life, NamedLimit] = {}

    def limit_per_s(self, life):
        """Return the limit that a replica names, in requests per second."""
        known = self._limits.get(life)
        return NO_LIMIT if known is None else known.limit_per_s

    def hear(self, life, limit_per_s, *, sent_s, now_s):
        """Record what an answer of a replica says of its limit.

        Parameters
        ----------
        life : Life
            The replica that answered.
        limit_per_s : float
            The limit that it names, or ``NO_LIMIT``.
        sent_s : float
            When the request was sent. An answer to one that was sent before the replica
            named its limit may be older than the limit, so it doesn't end it.
        now_s : float
            Current time.

        Returns
        -------
        bool
            Whether the replica has just named a limit, or has just stopped naming one.
        """
        known = self._limits.get(life)
        if limit_per_s == NO_LIMIT and (known is None or sent_s <= known.heard_s):
            return False
        was_limited = self.limit_per_s(life) < NO_LIMIT
        self._limits[life] = NamedLimit(limit_per_s, now_s)
        return was_limited != (limit_per_s < NO_LIMIT)
