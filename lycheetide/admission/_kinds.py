"""Kinds of requests by the engine time that they need, and their usual split."""

from lycheetide.placement import SHORT_PREFILL_S

KIND_LIMITS_S = (SHORT_PREFILL_S, 1.0)
"""Longest prefill times of short and of middle prompts. Longer ones are huge: they need
several replicas to be on time."""
KINDS = len(KIND_LIMITS_S) + 1
READERS_PER_REPLICA = 0.1
"""Replicas among which a huge prompt is usually split, as a share of all. At this share
ten huge prompts can be read at the same time."""
MAX_READERS = 8
"""Each further reader shortens a prefill of 7 s by 0.1 s or less."""


def find_kind(engine_s):
    """Return the kind of a request: 0 for short prompts, then middle and huge ones."""
    return sum(engine_s > limit_s for limit_s in KIND_LIMITS_S)


def count_readers(replicas):
    """Return the number of replicas among which a huge prompt is usually split.

    It is a power of two, so that nodes that know of slightly different numbers of
    replicas return the same.

    Examples
    --------
    >>> [count_readers(replicas) for replicas in (0, 3, 25, 60, 69, 500)]
    [1, 1, 2, 4, 4, 8]
    """
    readers = 1
    while readers < MAX_READERS and 2 * readers <= READERS_PER_REPLICA * replicas:
        readers *= 2
    return readers
