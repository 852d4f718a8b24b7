"""Failure detector for replicas, from a node's own evidence and the reports of peers.

An answer to the node itself is the strongest evidence that a replica is alive. A report
of a peer shows that it was alive recently, but not that it is now. A refused connection
or a timeout makes a replica suspect at once. An answer that broke off weighs less; it
counts against a replica when several of one failure domain fail together.
"""

from dataclasses import dataclass, replace

from lycheetide.gossip._jobs import REPLICA_RETENTION_S

NEVER_S = float("-inf")
SUSPECT_S = 3.0
"""How long a suspect replica is avoided; doubles each time, up to ``MAX_SUSPECT_S``."""
MAX_SUSPECT_S = 12.0
RECOVERING_S = 15.0
"""How long after the last failure of a suspect other replicas are preferred to it,
unless it answers."""
PEER_REPORT_AGE_S = 1.3
"""Greatest age of a peer's report that a replica answered: peers report the replicas
that they heard from within a second, and send a heartbeat every 0.3 s."""
MAX_PERIODS = 4
DOUBT_S = 0.5
"""How long other replicas are preferred to one that broke off an answer, unless it
answers. Replicas that die together are found out one by one. One that only lost a
connection is heard from again within this time."""


@dataclass(frozen=True)
class Suspicion:
    """Evidence against a replica that did not answer.

    Parameters
    ----------
    since_s : float
        Start of the period in which the replica is avoided: its first failure.
    last_s : float
        Time of its last failure.
    periods : int
        Number of such periods so far, at most ``MAX_PERIODS``. A failure within a
        period starts no new one.
    """

    since_s: float
    last_s: float
    periods: int

    @property
    def ends_s(self):
        """End of the period, from which on the replica may be tried again."""
        doubled_s = SUSPECT_S * 2 ** (self.periods - 1)
        return self.since_s + min(doubled_s, MAX_SUSPECT_S)


class FailureDetector:
    """Failure detector: evidence for and against each replica."""

    def __init__(self):
        self._answered_s: dict[str, float] = {}
        self._reported_s: dict[str, float] = {}
        self._failed_s: dict[str, float] = {}
        self._suspicions: dict[str, Suspicion] = {}

    def hear(self, replica, *, now_s):
        """Record an answer of a replica to this node, which ends any suspicion."""
        self._answered_s[replica] = now_s
        self._suspicions.pop(replica, None)

    def note_peer_report(self, replica, *, now_s):
        """Record a peer's report that a replica answered it recently.

        The report ends a suspicion only if it is certainly newer than the last failure.
        A replica that has just refused a connection did answer some peer a moment
        before. If that report ended the suspicion, every request would try the replica
        again until the peers stop reporting it.
        """
        self._reported_s[replica] = now_s
        found = self._suspicions.get(replica)
        if found is not None and now_s - found.last_s > PEER_REPORT_AGE_S:
            del self._suspicions[replica]

    def doubt(self, replica, *, now_s):
        """Record that a replica broke off an answer, which alone is weak evidence.

        Returns
        -------
        bool
            Whether the replica was not in doubt before.
        """
        is_new = not self.is_doubted(replica, now_s=now_s)
        self._failed_s[replica] = now_s
        return is_new

    def suspect(self, replica, *, now_s):
        """Record that a replica timed out or refused a connection.

        All requests that wait for the replica time out together, which is one piece of
        evidence. If each of them counted, a replica that was busy reading one long
        prompt would be avoided four times as long.

        Returns
        -------
        bool
            Whether the replica was not avoided before.
        """
        self._failed_s[replica] = now_s
        found = self._suspicions.get(replica)
        is_new = found is None or now_s >= found.ends_s
        if found is None:
            self._suspicions[replica] = Suspicion(now_s, now_s, 1)
        elif is_new:
            periods = min(found.periods + 1, MAX_PERIODS)
            self._suspicions[replica] = Suspicion(now_s, now_s, periods)
        else:
            self._suspicions[replica] = replace(found, last_s=now_s)
        return is_new

    def forgive(self, replica):
        """Drop the evidence against a replica that this node only failed to reach."""
        self._failed_s.pop(replica, None)
        self._suspicions.pop(replica, None)

    def last_answer_s(self, replica):
        """Return the time of a replica's last answer to this node."""
        return self._answered_s.get(replica, NEVER_S)

    def last_report_s(self, replica):
        """Return when a peer last reported that a replica answered it."""
        return self._reported_s.get(replica, NEVER_S)

    def last_heard_s(self, replica):
        """Return when a replica was last known to be alive, also through peers."""
        return max(self.last_answer_s(replica), self.last_report_s(replica))

    def last_failure_s(self, replica):
        """Return the time of a replica's last failure that is known here."""
        return self._failed_s.get(replica, NEVER_S)

    def list_answered(self, *, since_s):
        """Return the replicas that answered this node itself after a time.

        Only these may be reported to peers. If nodes reported on what others reported
        to them, they would keep a dead replica alive for ever.
        """
        return [name for name, at_s in self._answered_s.items() if at_s > since_s]

    def is_suspect(self, replica, *, now_s):
        """Return whether a replica should be avoided for now."""
        found = self._suspicions.get(replica)
        return found is not None and now_s < found.ends_s

    def is_doubted(self, replica, *, now_s):
        """Return whether a replica failed a moment ago and hasn't answered since."""
        last_failure_s = self.last_failure_s(replica)
        return (
            now_s - last_failure_s < DOUBT_S
            and self.last_answer_s(replica) < last_failure_s
        )

    def is_recovering(self, replica, *, now_s):
        """Return whether a replica failed so recently that others are preferred."""
        if self.is_doubted(replica, now_s=now_s):
            return True
        found = self._suspicions.get(replica)
        return found is not None and now_s - found.last_s < RECOVERING_S

    def drop_absent(self, present, *, now_s):
        """Drop the evidence of removed replicas that were not heard of recently.

        Parameters
        ----------
        present : collection of str
            Replicas that still exist.
        now_s : float
            Current time.
        """
        known = {*self._answered_s, *self._reported_s, *self._failed_s}
        for replica in known - set(present):
            last_s = max(self.last_heard_s(replica), self.last_failure_s(replica))
            if now_s - last_s > REPLICA_RETENTION_S:
                self._answered_s.pop(replica, None)
                self._reported_s.pop(replica, None)
                self._failed_s.pop(replica, None)
                self._suspicions.pop(replica, None)
