"""Paces of the replicas, as they reported them.

A replica that works slower than its engine's profile delays every prompt that it
prefills a part of, since the first event follows the last part.
"""

from dataclasses import dataclass

PACE_TTL_S = 3.5
"""Age up to which a report of a pace is used. Each is repeated about every second for
as long as the replica is slow, so two repetitions may be lost."""
SLOW_PACE = 1.25
"""Pace from which on a replica is reported as slow. Smaller differences lie within the
margins of the estimates."""
MAX_PACE = 100.0
"""Largest pace that is used; a malformed report may state any number."""


@dataclass(frozen=True)
class PaceReport:
    """Last reported pace of a replica.

    Parameters
    ----------
    pace : float
        Factor by which its work takes longer than its engine's profile states.
    at_s : float
        Time of the report.
    """

    pace: float
    at_s: float


class PaceTable:
    """Table of the replicas that are slow at present."""

    def __init__(self):
        self._reports: dict[str, PaceReport] = {}

    def note(self, replica, pace, *, now_s):
        """Record the pace that a replica reported.

        Returns
        -------
        bool
            Whether it has become slow, or stopped being slow.
        """
        pace = min(pace, MAX_PACE)
        was_slow = self.pace(replica, now_s=now_s) > 1.0
        if pace >= SLOW_PACE:
            self._reports[replica] = PaceReport(pace, now_s)
        else:
            self._reports.pop(replica, None)
        return was_slow != (pace >= SLOW_PACE)

    def pace(self, replica, *, now_s):
        """Return the pace of a replica; 1 if it isn't known to be slow."""
        report = self._reports.get(replica)
        if report is None or now_s - report.at_s > PACE_TTL_S:
            return 1.0
        return report.pace

    def drop_outdated(self, *, now_s):
        """Drop the reports that are too old to be used."""
        self._reports = {
            replica: report
            for replica, report in self._reports.items()
            if now_s - report.at_s <= PACE_TTL_S
        }
