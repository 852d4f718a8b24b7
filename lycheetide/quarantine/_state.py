"""The state of one node about requests that crash replicas."""

from dataclasses import dataclass, field
from typing import Any

from lycheetide.gossip import BrokenRequest, Life
from lycheetide.quarantine._evidence import CrashEvidence
from lycheetide.quarantine._presence import PresenceEvidence
from lycheetide.quarantine._requests import RequestEvidence
from lycheetide.quarantine._table import QuarantineTable

CRASH_RETENTION_S = 60.0
"""How long a confirmed crash is remembered for further requests that it broke off."""
MAX_LOAD_FAILURES = 3
"""Failed reads after which a node serves without the quarantines of the store."""


@dataclass
class CrashCheck:
    """A check whether a replica that broke off answers has crashed.

    Parameters
    ----------
    begun : list of (int, tuple of bytes)
        Prompts whose answers were beginning: the hash of each and its parts.
    requests : list of BrokenRequest
        All requests that it broke off.
    written : int
        Number of prompts among them that had received an event.
    """

    begun: list[tuple[int, tuple[bytes, ...]]] = field(default_factory=list)
    requests: list[BrokenRequest] = field(default_factory=list)
    written: int = 0


class QuarantineState:
    """What a node knows of requests that crash replicas.

    Attributes
    ----------
    evidence : CrashEvidence
        Crashes, and parts that replicas have written on.
    presence : PresenceEvidence
        Crashes with all prompts that were at hand, and answers that were survived.
    requests : RequestEvidence
        Replicas that broke off requests.
    table : QuarantineTable
        The parts and requests that are kept from replicas.
    running : dict of int to tuple
        The calls that this node serves at present and may cancel, each with the scope
        that does.
    is_loaded : bool
        Whether the quarantines from before this node's start are known.
    failures : int
        Number of failed attempts to load them.
    checks : dict of Life to CrashCheck
        Starts of replicas that may have crashed, with what they broke off.
    crashed_s : dict of Life to float
        When starts of replicas crashed.
    present : dict of Life to list of Presence
        Prompts that this node has, or had a moment ago, at each replica.
    told_survived_s : dict of bytes to float
        Latest survived answer of a part that all nodes have been told.
    announced_s : dict of bytes to float
        Latest time at which a part was written on that all nodes have been told.
    stored : dict of str to tuple
        Version of each entry in the store, by its name.
    missing_since_s : float or None
        Since when the store lacks an entry.
    polled_s, fetched_s : float
        When the store and a peer were last asked for entries.
    """

    def __init__(self):
        self.evidence = CrashEvidence()
        self.presence = PresenceEvidence()
        self.requests = RequestEvidence()
        self.table = QuarantineTable()
        self.running: dict[int, tuple[Any, Any]] = {}
        self.is_loaded = True
        self.failures = 0
        self.checks: dict[Life, CrashCheck] = {}
        self.crashed_s: dict[Life, float] = {}
        self.present: dict[Life, list[Any]] = {}
        self.told_survived_s: dict[bytes, float] = {}
        self.announced_s: dict[bytes, float] = {}
        self.stored: dict[str, tuple[int, bool]] = {}
        self.missing_since_s: float | None = None
        self.polled_s = float("-inf")
        self.fetched_s = float("-inf")

    def is_suspect_prefix(self, prefix):
        """Tell whether a request whose fingerprint begins so may be at fault."""
        return self.requests.knows_prefix(prefix) or self.table.knows_prefix(prefix)

    def has_suspect_requests(self):
        """Tell whether any request may be at fault."""
        return len(self.requests) > 0 or len(self.table) > 0

    def report_digest(self):
        """Return the digest for heartbeats; below 0 before the table is loaded."""
        return self.table.digest() if self.is_loaded else -1

    def is_settled(self):
        """Tell whether the node needn't wait for the quarantines any longer."""
        return self.is_loaded or self.failures >= MAX_LOAD_FAILURES

    def list_missing(self):
        """Return the entries that the store doesn't have, as far as this node knows."""
        return [
            entry
            for entry in self.table.list_entries()
            if entry.order_key > self.stored.get(entry.name, (0, False))
        ]

    def list_forgotten(self):
        """Return the names of entries of the store that are no longer needed."""
        names = {entry.name for entry in self.table.list_entries()}
        return [name for name in self.stored if name not in names]

    def drop_outdated(self, *, now_s):
        """Forget crashes that are long past, and news that all nodes have."""
        drop_older(self.crashed_s, now_s - CRASH_RETENTION_S)
        drop_older(self.announced_s, now_s - CRASH_RETENTION_S)
        drop_older(self.told_survived_s, now_s - CRASH_RETENTION_S)
        self.evidence.drop_outdated(now_s=now_s)
        self.presence.drop_outdated(now_s=now_s)
        self.requests.drop_outdated(now_s=now_s)


def drop_older(times_s, limit_s):
    """Remove the keys whose time lies before a limit."""
    for key in [one for one, at_s in times_s.items() if at_s < limit_s]:
        del times_s[key]
