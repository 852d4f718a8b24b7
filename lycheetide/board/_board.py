"""Requests in flight, by replica."""

from collections import defaultdict, deque
from dataclasses import dataclass
from itertools import takewhile

from lycheetide.board._column import Column
from lycheetide.board._messages import Part, Started

START_WINDOW_S = 1.0
"""Starts are counted over this time; cold limits are given per second."""
BURST_WINDOW_S = 0.1
"""A burst's rate is counted over this time."""
SETTLE_S = 0.5
"""Age from which a request must stand in its node's list of what it has in flight; a
message on its way takes less, also where it is gathered with others."""
ENDED_KEPT_S = 2.0
"""How long an end is remembered: a message on its way by two hubs takes less."""
FORGET_S = 60.0
"""How long a replica is remembered that is gone: longer than any limit looks back."""


NO_WORK = Column()
"""What is known of a replica that nothing was sent to."""


@dataclass(frozen=True)
class Job:
    """A request in flight.

    Parameters
    ----------
    id, node : str
        Its name, and the node that sends it.
    parts : tuple of Part
        What it costs where.
    started_s, ends_by_s : float
        When it was sent, and when it has surely ended.
    due_s : float
        When its first event is wanted.
    gap_s : float
        The longest pause between two events that its caller doesn't notice; 0 where
        there is none.
    weight : float
        How many short requests it counts as.
    """

    id: str
    node: str
    parts: tuple[Part, ...]
    started_s: float
    ends_by_s: float
    due_s: float = float("inf")
    gap_s: float = 0.0
    weight: float = 1.0


def make_job(started: Started, *, now_s):
    """Return the request that a node has just told of."""
    return Job(
        started.job,
        started.node,
        started.parts,
        started_s=now_s,
        ends_by_s=now_s + started.lasts_ms / 1e3,
        due_s=now_s + started.due_in_ms / 1e3,
        gap_s=started.gap_ms / 1e3,
        weight=started.weight_hundredths / 100,
    )


class Board:
    """All requests in flight that this node knows of."""

    def __init__(self):
        self.jobs: dict[tuple[str, str], Job] = {}
        self.columns: dict[str, Column] = defaultdict(Column)
        self._starts: deque[float] = deque()
        self._ended_s: dict[tuple[str, str], float] = {}
        self._by_node: dict[str, set[str]] = defaultdict(set)

    def start(self, job: Job, *, now_s):
        """Add a request, unless it is known to have ended.

        While two hubs pass messages on, a start may arrive after its end. Counted then,
        it would make its replica look busy until the request's deadline.
        """
        key = (job.node, job.id)
        if key in self.jobs or key in self._ended_s:
            return
        self.jobs[job.node, job.id] = job
        self._by_node[job.node].add(job.id)
        self._starts.append(now_s)
        for part in job.parts:
            self.columns[part.replica].add(job, part, now_s=now_s)

    def end(self, node, job_id, *, now_s):
        """Take a request away."""
        self._ended_s[node, job_id] = now_s
        job = self.jobs.pop((node, job_id), None)
        if job is None:
            return
        self._by_node[node].discard(job_id)
        if not self._by_node[node]:
            del self._by_node[node]
        for part in job.parts:
            self.columns[part.replica].remove(job, part, now_s=now_s)

    def note_read(self, node, job_id, *, now_s):
        """Note that a request's first event has come, so all of it has been read."""
        job = self.jobs.get((node, job_id))
        for part in job.parts if job is not None else ():
            self.columns[part.replica].stop_reading(job, part, now_s=now_s)

    def expire(self, *, now_s, dead=frozenset()):
        """Take away what has surely ended.

        Parameters
        ----------
        now_s : float
            The present time.
        dead : set of str
            Nodes that were alive and aren't any more; their requests ended with them.
            One that isn't known yet is told of by others before it greets.
        """
        over = [
            key
            for key, job in self.jobs.items()
            if job.ends_by_s <= now_s or job.node in dead
        ]
        for node, job_id in over:
            self.end(node, job_id, now_s=now_s)
        self._ended_s = {
            key: at_s
            for key, at_s in self._ended_s.items()
            if now_s - at_s < ENDED_KEPT_S
        }

    def running(self, node):
        """Return the names of a node's requests in flight."""
        return self._by_node.get(node, frozenset())

    def settle(self, node, running, *, now_s):
        """Take away what a node no longer has in flight; its message was lost.

        Without this the replica would look busy until the request's deadline, and get
        less work than it could do.

        Parameters
        ----------
        node : str
            Who tells.
        running : collection of str
            All that it has in flight.
        now_s : float
            The present time.

        Returns
        -------
        int
            How many were taken away.
        """
        over = [
            job_id
            for job_id in self.running(node)
            if job_id not in running
            and now_s - self.jobs[node, job_id].started_s > SETTLE_S
        ]
        for job_id in over:
            self.end(node, job_id, now_s=now_s)
        return len(over)

    def backlog_s(self, replica, *, now_s):
        """Return how much reading is left at a replica."""
        column = self.columns.get(replica)
        return max(0.0, column.busy_until_s - now_s) if column else 0.0

    def unread(self, replica, *, now_s):
        """Return what a replica hasn't read yet."""
        column = self.columns.get(replica)
        return column.list_unread(now_s=now_s) if column else []

    def column(self, replica) -> Column:
        """Return what is known of a replica's work."""
        return self.columns.get(replica) or NO_WORK

    def starts_within(self, replica, window_s, *, now_s):
        """Return how many requests were sent to a replica lately, by all nodes."""
        column = self.columns.get(replica)
        if column is None:
            return 0
        while column.starts and now_s - column.starts[0] > START_WINDOW_S:
            column.starts.popleft()
        return sum(1 for at_s in column.starts if now_s - at_s <= window_s)

    def starts_per_s(self, *, now_s):
        """Return at what rate all nodes send, over a second or a burst, if that's more.

        When callers come back at once, most of a second still shows that nobody came.
        """
        while self._starts and now_s - self._starts[0] > START_WINDOW_S:
            self._starts.popleft()
        begins_s = now_s - BURST_WINDOW_S
        burst = sum(1 for _ in takewhile(begins_s.__lt__, reversed(self._starts)))
        return max(len(self._starts) / START_WINDOW_S, burst / BURST_WINDOW_S)

    def forget(self, present, *, now_s):
        """Drop what is known of replicas that are gone and have nothing in flight.

        Parameters
        ----------
        present : collection of str
            Replicas that aren't gone.
        now_s : float
            The present time.
        """
        busy = {part.replica for job in self.jobs.values() for part in job.parts}
        for replica in set(self.columns) - busy - set(present):
            starts = self.columns[replica].starts
            if not starts or now_s - starts[-1] > FORGET_S:
                del self.columns[replica]
