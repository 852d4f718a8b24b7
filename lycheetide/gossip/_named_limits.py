"""Limits that replicas in need name in their answers.

A limit holds for all nodes together, so each node tells the others what it heard. The
statements about one replica are ordered by a version that rises with every change, as a
logical clock does: the age of a statement becomes inexact on its way through several
nodes, and could let an old limit outlive its end.
"""

from dataclasses import dataclass, replace

from lycheetide.gossip._jobs import REPLICA_RETENTION_S
from lycheetide.gossip._lives import Life
from lycheetide.gossip._messages import LimitReport

NO_LIMIT = float("inf")
ENDED_RETENTION_S = 10.0
"""How long the end of a limit is reported to other nodes: some thirty heartbeats."""
MIN_REFRESH_S = 0.5
"""Smallest gain in age for which a report counts as a newer answer. Each report gains a
little on its way; passed on in circles, it would never grow old."""
MAX_LIMIT_PER_S = 1e9
"""Largest limit that is stored; a higher one counts as this one."""
LIMIT_DIGITS = 3
"""Decimal places of a limit, in the table as in reports, so that a limit that returns
from another node equals the one that was heard."""


@dataclass(frozen=True)
class NamedLimit:
    """The limit that a replica last named.

    Parameters
    ----------
    limit_per_s : float
        Requests per second that it takes from all nodes together; ``NO_LIMIT`` if it
        has stopped naming one.
    version : int
        Number of times that this has changed, as far as is known.
    heard_s : float
        Time of the latest answer, to any node, that said so.
    """

    limit_per_s: float
    version: int
    heard_s: float

    @property
    def order_key(self):
        """The sort key of statements: of one version, the lower limit is the later."""
        return self.version, -self.limit_per_s

    @property
    def is_in_force(self):
        """Whether the replica names a limit."""
        return self.limit_per_s < NO_LIMIT


class LimitTable:
    """Table of the replicas that name a limit, or have just stopped doing so."""

    def __init__(self):
        self._limits: dict[Life, NamedLimit] = {}

    def find(self, life):
        """Return the limit of a replica, or None if it names none."""
        known = self._limits.get(life)
        return known if known is not None and known.is_in_force else None

    def list_limited(self):
        """Return the replicas that name a limit."""
        return [life for life, known in self._limits.items() if known.is_in_force]

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
        if limit_per_s < NO_LIMIT:
            limit_per_s = round(min(limit_per_s, MAX_LIMIT_PER_S), LIMIT_DIGITS)
        if limit_per_s == NO_LIMIT and (known is None or sent_s <= known.heard_s):
            return False
        if known is None:
            self._limits[life] = NamedLimit(limit_per_s, 1, now_s)
            return True
        if limit_per_s == known.limit_per_s:
            if known.is_in_force:
                self._limits[life] = replace(known, heard_s=now_s)
            return False
        heard = NamedLimit(limit_per_s, known.version + 1, now_s)
        self._limits[life] = heard
        return known.is_in_force != heard.is_in_force

    def merge(self, report, *, now_s):
        """Record what another node reports.

        Parameters
        ----------
        report : LimitReport
            The report.
        now_s : float
            Current time.

        Returns
        -------
        bool
            Whether this node learns that a replica names a limit, or has stopped.
        """
        life = Life(report.replica, report.born_ms)
        heard = decode_report(report, now_s=now_s)
        known = self._limits.get(life) or NamedLimit(NO_LIMIT, 0, float("-inf"))
        if heard.order_key == known.order_key:
            is_newer = heard.heard_s - known.heard_s > MIN_REFRESH_S
        else:
            is_newer = heard.order_key > known.order_key
        if not is_newer:
            return False
        self._limits[life] = heard
        return known.is_in_force != heard.is_in_force

    def make_reports(self, *, now_s):
        """Return a report on each replica in the table, to tell other nodes."""
        return [
            encode_report(life, known, now_s=now_s)
            for life, known in self._limits.items()
        ]

    def drop_outdated(self, is_registered, *, now_s):
        """Drop limits that ended a while ago, and those of replicas that are gone.

        Parameters
        ----------
        is_registered : callable
            Tells whether a ``Life`` is registered at present.
        now_s : float
            Current time.
        """
        for life, known in list(self._limits.items()):
            age_s = now_s - known.heard_s
            has_ended = age_s > ENDED_RETENTION_S and not known.is_in_force
            is_gone = age_s > REPLICA_RETENTION_S and not is_registered(life)
            if has_ended or is_gone:
                del self._limits[life]


def encode_report(life, known, *, now_s):
    """Return the report on the limit of a replica."""
    limit_thousandths = -1
    if known.is_in_force:
        limit_thousandths = round(known.limit_per_s * 10**LIMIT_DIGITS)
    return LimitReport(
        life.replica,
        life.born_ms,
        limit_thousandths,
        known.version,
        round(1e3 * (now_s - known.heard_s)),
    )


def decode_report(report, *, now_s):
    """Return the limit that a report states."""
    limit_per_s = NO_LIMIT
    if report.limit_thousandths >= 0:
        limit_per_s = report.limit_thousandths / 10**LIMIT_DIGITS
    return NamedLimit(limit_per_s, report.version, now_s - report.age_ms / 1e3)
