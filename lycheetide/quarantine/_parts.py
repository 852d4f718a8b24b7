"""Hashes by which nodes name the parts of prompts."""

import hashlib
from functools import lru_cache

HASH_BYTES = 16
MAX_KEY_BYTES = 64
MAX_NAMES = 1_024
"""Names that are kept: nodes look for missing entries ten times a second."""


def hash_part(service, part):
    """Return the hash that names a part of the prompts for a service.

    Callers choose the ids of parts. The hash is a cryptographic one, so that nobody can
    find an id whose hash is that of another customer's part.

    Parameters
    ----------
    service : str
        Name of the service. A part that crashes the replicas of one service may be
        sound for those of another one.
    part : str
        Id of the part, of any length.

    Returns
    -------
    bytes
        ``HASH_BYTES`` bytes.
    """
    key = hashlib.blake2b(service.encode(), digest_size=MAX_KEY_BYTES).digest()
    return hashlib.blake2b(part.encode(), digest_size=HASH_BYTES, key=key).digest()


def hash_parts(service, parts):
    """Return the hashes of several parts, in their order."""
    return tuple(hash_part(service, part) for part in parts)


def name_quarantine(parts):
    """Return the name under which operators and the store know a set of parts.

    Parameters
    ----------
    parts : iterable of bytes
        Hashes of the parts, in any order.

    Examples
    --------
    >>> name_quarantine([b"b", b"a"]) == name_quarantine([b"a", b"b"])
    True
    """
    return _name_sorted(tuple(sorted(parts)))


@lru_cache(maxsize=MAX_NAMES)
def _name_sorted(parts):
    """Return the name of a sorted tuple of hashes."""
    return hashlib.blake2b(b"".join(parts), digest_size=HASH_BYTES).hexdigest()
