"""Names for what a caller asks for, the same in each of its tries.

A try has an attempt id, a connection and a node of its own. What stays is its content.
"""

import hashlib
from collections import Counter

import msgspec

from lycheetide.quarantine._parts import HASH_BYTES, MAX_KEY_BYTES

HEAD_BYTES = 4
"""Bytes at the beginning of a fingerprint that depend on the head alone, so that most
requests are known to be no suspects before their body is hashed."""


def hash_request_head(customer, fields):
    """Return a hash of all of a request's content but its body.

    Parameters
    ----------
    customer : str
        The customer that asks; empty for none. No customer can have the requests of
        another one blamed.
    fields : sequence of bytes
        The fields of the head that say what is asked for.

    Returns
    -------
    bytes
        ``MAX_KEY_BYTES`` bytes.
    """
    data = msgspec.msgpack.encode((customer, list(fields)))
    return hashlib.blake2b(data, digest_size=MAX_KEY_BYTES).digest()


def make_fingerprint(head_hash, body):
    """Return the fingerprint of a request.

    The hash is a cryptographic one, so that nobody can find a request with the
    fingerprint of another.

    Parameters
    ----------
    head_hash : bytes
        As of ``hash_request_head``.
    body : bytes
        The whole body.

    Returns
    -------
    bytes
        ``HASH_BYTES`` bytes.
    """
    size = HASH_BYTES - HEAD_BYTES
    body_hash = hashlib.blake2b(body, digest_size=size, key=head_hash).digest()
    return head_hash[:HEAD_BYTES] + body_hash


class PrefixCounter:
    """The beginnings of a set of fingerprints, which depend on heads alone."""

    def __init__(self):
        self._counts: Counter[bytes] = Counter()

    def __contains__(self, prefix):
        return prefix in self._counts

    def add(self, fingerprint):
        """Add a fingerprint that isn't in the set."""
        self._counts[fingerprint[:HEAD_BYTES]] += 1

    def remove(self, fingerprint):
        """Remove a fingerprint that is in the set."""
        prefix = fingerprint[:HEAD_BYTES]
        self._counts[prefix] -= 1
        if not self._counts[prefix]:
            del self._counts[prefix]
