"""Identity of one start of a replica."""

from dataclasses import dataclass


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
