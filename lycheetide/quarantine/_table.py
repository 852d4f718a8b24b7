"""The parts of prompts, and the requests, that are kept from replicas.

All nodes agree on them. The table is merged without order: for each set of parts the
entry with the higher version counts, and of two with one version the one that lifts the
quarantine. So lost, repeated and late messages change nothing, and two nodes that
exchange their tables have the same one afterwards.
"""

from collections import defaultdict

import msgspec
import xxhash

from lycheetide.quarantine._fingerprint import PrefixCounter
from lycheetide.quarantine._parts import name_quarantine

RETENTION_S = 3_600.0
"""How long a quarantine lasts after the last request that it has refused."""
RENEWAL_S = 300.0
"""Age of the last known refusal from which on a node tells the others of a new one."""
MAX_ENTRIES = 512
"""Entries that are kept. Lifted ones are among them: an older message that imposes the
quarantine could come at any time. Those of requests end by themselves, at all nodes at
the same time, and are the first that are forgotten."""


class QuarantineEntry(msgspec.Struct, frozen=True, array_like=True):
    """A set of parts; no prompt that contains all of them goes to a replica.

    Parameters
    ----------
    parts : tuple of bytes
        Hashes of the parts, sorted.
    version : int
        Number of times that the quarantine was imposed or lifted.
    is_lifted : bool
        Whether it is lifted.
    crashes : int
        Number of crashes that led to it.
    until_ms : int
        Unix time at which the quarantine of a request ends, in milliseconds. Its only
        part is the fingerprint of the request. 0 for parts of prompts.
    """

    parts: tuple[bytes, ...]
    version: int = 1
    is_lifted: bool = False
    crashes: int = 0
    until_ms: int = 0

    @property
    def is_request(self):
        """Whether it names a whole request, instead of parts of prompts."""
        return self.until_ms > 0

    @property
    def name(self):
        """The name under which operators and the store know it."""
        return name_quarantine(self.parts)

    @property
    def order_key(self):
        """The sort key of the entries of one set of parts."""
        return self.version, self.is_lifted

    def make_lifted(self):
        """Return the entry that lifts this one."""
        return msgspec.structs.replace(self, version=self.version + 1, is_lifted=True)


class QuarantineTable:
    """The quarantines that a node knows."""

    def __init__(self):
        self._entries: dict[frozenset[bytes], QuarantineEntry] = {}
        self._seen_s: dict[frozenset[bytes], float] = {}
        self._by_part: dict[bytes, list[frozenset[bytes]]] = defaultdict(list)
        self._digest: int | None = 0
        self._prefixes = PrefixCounter()

    def __len__(self):
        return len(self._entries)

    def list_entries(self):
        """Return all entries, lifted ones too."""
        return list(self._entries.values())

    def list_active(self):
        """Return the sets of parts of prompts that are in quarantine."""
        return [
            key
            for key, one in self._entries.items()
            if not one.is_lifted and not one.is_request
        ]

    def knows_prefix(self, prefix):
        """Tell whether the fingerprint of a request in the table begins so."""
        return prefix in self._prefixes

    def digest(self):
        """Return a hash of the table, the same for equal tables; 0 for an empty one."""
        if self._digest is None:
            rows = sorted((one.parts, *one.order_key) for one in self._entries.values())
            self._digest = xxhash.xxh64_intdigest(msgspec.msgpack.encode(rows)) >> 1
        return self._digest

    def find(self, parts):
        """Return the entry that keeps a prompt from replicas, or None.

        Parameters
        ----------
        parts : sequence of bytes
            Hashes of all parts of the prompt.
        """
        if not self._by_part:
            return None
        for part in parts:
            for key in self._by_part.get(part, ()):
                if key.issubset(parts) and not self._entries[key].is_lifted:
                    return self._entries[key]
        return None

    def impose(self, parts, *, crashes, now_s, until_ms=0):
        """Put a set of parts, or a request, into quarantine; return the entry."""
        key = frozenset(parts)
        known = self._entries.get(key)
        version = known.version + 1 if known is not None else 1
        entry = QuarantineEntry(tuple(sorted(key)), version, False, crashes, until_ms)
        self.merge(entry, now_s=now_s)
        return entry

    def lift(self, parts, *, now_s):
        """Lift the quarantine of a set of parts; return the entry, None if unknown."""
        known = self._entries.get(frozenset(parts))
        if known is None or known.is_lifted:
            return None
        entry = known.make_lifted()
        self.merge(entry, now_s=now_s)
        return entry

    def clear_part(self, part, *, now_s):
        """Record that a replica has written on a part, which is therefore sound.

        Returns
        -------
        list of QuarantineEntry
            Entries that have changed: a set that contains the part is lifted, and the
            rest of it takes its place.
        """
        changed = []
        for key in [one for one in self.list_active() if part in one]:
            crashes = self._entries[key].crashes
            changed.append(self.lift(key, now_s=now_s))
            if len(key) > 1:
                rest = key - {part}
                changed.append(self.impose(rest, crashes=crashes, now_s=now_s))
        return changed

    def merge(self, entry, *, now_s):
        """Merge an entry of another node or of the store.

        Parameters
        ----------
        entry : QuarantineEntry
            The entry; one that has ended is dropped by the next call of ``drop_ended``.
        now_s : float
            Current time.

        Returns
        -------
        bool
            Whether it is news.
        """
        key = frozenset(entry.parts)
        known = self._entries.get(key)
        if known is not None and entry.order_key <= known.order_key:
            if entry.order_key == known.order_key:
                self._seen_s[key] = now_s
            return False
        if known is None:
            self._make_room()
            self._by_part[min(key)].append(key)
            if entry.is_request:
                self._prefixes.add(entry.parts[0])
        self._entries[key] = entry
        self._seen_s[key] = now_s
        self._digest = None
        return True

    def renew(self, entry, *, now_s):
        """Record that a quarantine has refused a request.

        Returns
        -------
        bool
            Whether the other nodes should be told.
        """
        key = frozenset(entry.parts)
        if key not in self._entries:
            return False
        is_due = now_s - self._seen_s[key] >= RENEWAL_S
        if is_due:
            self._seen_s[key] = now_s
        return is_due

    def expire(self, *, now_s):
        """Lift the quarantines that refuse nothing any more.

        Returns
        -------
        list of QuarantineEntry
            Entries that are lifted.
        """
        return [
            self.lift(key, now_s=now_s)
            for key in self.list_active()
            if now_s - self._seen_s[key] > RETENTION_S
        ]

    def drop_ended(self, *, unix_ms):
        """Forget the entries of requests whose time is over.

        Parameters
        ----------
        unix_ms : int
            Current Unix time, in milliseconds.
        """
        ended = [
            key
            for key, one in self._entries.items()
            if one.is_request and one.until_ms <= unix_ms
        ]
        for key in ended:
            self._drop(key)

    def _make_room(self):
        """Forget an entry if needed: a lifted one, a request, or the least recent."""
        if len(self._entries) < MAX_ENTRIES:
            return

        def find_worth(key):
            entry = self._entries[key]
            return not entry.is_lifted, not entry.is_request, self._seen_s[key]

        self._drop(min(self._entries, key=find_worth))

    def _drop(self, key):
        """Forget an entry."""
        entry = self._entries.pop(key)
        del self._seen_s[key]
        if entry.is_request:
            self._prefixes.remove(entry.parts[0])
        keys = self._by_part[min(key)]
        keys.remove(key)
        if not keys:
            del self._by_part[min(key)]
        self._digest = None


def encode_entries(entries):
    """Return the bytes of some entries, for the store and for peers."""
    return msgspec.msgpack.encode(list(entries))


def decode_entries(data):
    """Return the entries in some bytes.

    Raises
    ------
    msgspec.MsgspecError
        If they are no entries.
    """
    entries = msgspec.msgpack.decode(data, type=list[QuarantineEntry])
    if not all(entry.parts for entry in entries):
        raise msgspec.ValidationError("an entry without parts")
    return entries
