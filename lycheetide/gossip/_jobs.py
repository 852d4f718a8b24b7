"""Requests in flight on all replicas."""

from collections import Counter, defaultdict, deque
from dataclasses import dataclass
from itertools import takewhile

from lycheetide.gossip._messages import JobPart, Started
from lycheetide.gossip._workload import ReplicaWorkload

START_WINDOW_S = 1.0
"""Window over which starts are counted; the limits of cold replicas are per second."""
BURST_WINDOW_S = 0.1
"""Window over which the rate of a burst is measured."""
RECONCILE_AGE_S = 0.5
"""Age from which a job that is missing from its node's list of running jobs is removed.
Messages are delivered faster than this, also those that a hub bundles with others."""
ENDED_RETENTION_S = 2.0
"""How long ended jobs are remembered; delivery through two hubs takes less."""
REPLICA_RETENTION_S = 60.0
"""How long the state of a removed replica is kept: longer than the window of any
limit."""


EMPTY_WORKLOAD = ReplicaWorkload()
"""Workload of a replica to which nothing was sent."""


@dataclass(frozen=True)
class Job:
    """One attempt of a request, in flight on one or more replicas.

    Parameters
    ----------
    id, node : str
        Identifier of the job, unique within the node, and the node that sent it.
    parts : tuple of JobPart
        Cost of the job at each replica involved.
    started_s, expires_s : float
        When it was sent, and the time by which it has certainly ended.
    due_s : float
        Target time of its first event.
    gap_s : float
        Longest gap between two events that its caller doesn't notice; 0 where there
        is none.
    weight : float
        Weight of the job, as a number of short requests.
    """

    id: str
    node: str
    parts: tuple[JobPart, ...]
    started_s: float
    expires_s: float
    due_s: float = float("inf")
    gap_s: float = 0.0
    weight: float = 1.0


def make_job(started: Started, *, now_s):
    """Return the job that a ``Started`` message announces."""
    return Job(
        started.job,
        started.node,
        started.parts,
        started_s=now_s,
        expires_s=now_s + started.expires_in_ms / 1e3,
        due_s=now_s + started.due_in_ms / 1e3,
        gap_s=started.gap_ms / 1e3,
        weight=started.weight_hundredths / 100,
    )


class JobTable:
    """Table of all jobs in flight that this node knows of.

    Parameters
    ----------
    demand : DemandTable or None, default=None
        Is told of each start and end of a job.
    """

    def __init__(self, demand=None):
        self.demand = demand
        self.jobs: dict[tuple[str, str], Job] = {}
        self.workloads: dict[str, ReplicaWorkload] = defaultdict(ReplicaWorkload)
        self._starts: deque[tuple[float, str]] = deque()
        self._starts_by_node: Counter[str] = Counter()
        self._ended_s: dict[tuple[str, str], float] = {}
        self._by_node: dict[str, set[str]] = defaultdict(set)
        self._silent: set[tuple[str, str]] = set()

    def start(self, job: Job, *, now_s):
        """Add a job, unless it is known to have ended.

        While two hubs forward messages at once, the start of a job may arrive after its
        end. If it were added then, its replica would look busy until the deadline of
        the request.
        """
        key = (job.node, job.id)
        if key in self.jobs or key in self._ended_s:
            return
        self.jobs[job.node, job.id] = job
        self._by_node[job.node].add(job.id)
        self._starts.append((now_s, job.node))
        self._starts_by_node[job.node] += 1
        for part in job.parts:
            self.workloads[part.replica].add(job, part, now_s=now_s)
        if self.demand is not None:
            self.demand.note_start(job, now_s=now_s)

    def end(self, node, job_id, *, now_s):
        """Remove a job and remember that it has ended."""
        self._ended_s[node, job_id] = now_s
        job = self.jobs.pop((node, job_id), None)
        if job is None:
            return
        self._by_node[node].discard(job_id)
        if not self._by_node[node]:
            del self._by_node[node]
        is_silent = (node, job_id) in self._silent
        self._silent.discard((node, job_id))
        for part in job.parts:
            if is_silent:
                self.workloads[part.replica].free_memory(part)
            else:
                self.workloads[part.replica].remove(job, part, now_s=now_s)
        if self.demand is not None:
            self.demand.note_end(job, now_s=now_s)

    def has_ended(self, node, job_id):
        """Tell whether the end of a job was announced recently."""
        return (node, job_id) in self._ended_s

    def note_read(self, node, job_id, *, now_s):
        """Record the first event of a job, which shows that its prompt is read."""
        job = self.jobs.get((node, job_id))
        for part in job.parts if job is not None else ():
            self.workloads[part.replica].stop_reading(job, part, now_s=now_s)

    def expire(self, *, now_s, dead=frozenset(), silent=frozenset()):
        """Remove jobs that have certainly ended.

        A silent node may only be cut off from this one, and its requests may go on. If
        they don't, a slot that is kept for them is idle; if they do, a replica that is
        sent more than its memory holds fails. So the jobs of a silent node give up
        their slots and their backlog at once, but keep their memory until their own
        node announces their end or they expire. They don't take up slots again if the
        node is heard from later.

        Parameters
        ----------
        now_s : float
            Current time.
        dead : set of str
            Nodes that were alive and no longer are; their requests ended with them. A
            node that is not known yet must not be listed: other nodes may report its
            jobs before its own first heartbeat arrives.
        silent : set of str
            Nodes that were alive and haven't been heard from since, and whose requests
            may go on.
        """
        finished = [
            key
            for key, job in self.jobs.items()
            if job.expires_s <= now_s or job.node in dead
        ]
        for node, job_id in finished:
            self.end(node, job_id, now_s=now_s)
        for node in silent:
            self._keep_memory(node, now_s=now_s)
        self._ended_s = {
            key: at_s
            for key, at_s in self._ended_s.items()
            if now_s - at_s < ENDED_RETENTION_S
        }

    def _keep_memory(self, node, *, now_s):
        """Uncount the jobs of a silent node except for their memory."""
        for job_id in self.running(node):
            key = node, job_id
            if key in self._silent:
                continue
            self._silent.add(key)
            job = self.jobs[key]
            for part in job.parts:
                self.workloads[part.replica].keep_memory(job, part, now_s=now_s)

    def running(self, node):
        """Return the ids of a node's jobs in flight."""
        return self._by_node.get(node, frozenset())

    def reconcile(self, node, running, *, now_s):
        """Remove jobs that a node no longer runs and whose ``Ended`` message was lost.

        Otherwise the replica would look busy until the deadline of the request, and
        would get less work than it can do.

        Parameters
        ----------
        node : str
            Node that sent the list.
        running : collection of str
            Ids of all its jobs in flight.
        now_s : float
            Current time.

        Returns
        -------
        int
            Number of jobs removed.
        """
        finished = [
            job_id
            for job_id in self.running(node)
            if job_id not in running
            and now_s - self.jobs[node, job_id].started_s > RECONCILE_AGE_S
        ]
        for job_id in finished:
            self.end(node, job_id, now_s=now_s)
        return len(finished)

    def backlog_s(self, replica, *, now_s):
        """Return the seconds of prefill that are left at a replica."""
        found = self.workloads.get(replica)
        return max(0.0, found.busy_until_s - now_s) if found else 0.0

    def unread(self, replica, *, now_s):
        """Return the prompts and parts that a replica hasn't read yet."""
        found = self.workloads.get(replica)
        return found.list_unread(now_s=now_s) if found else []

    def workload(self, replica) -> ReplicaWorkload:
        """Return the workload of a replica."""
        return self.workloads.get(replica) or EMPTY_WORKLOAD

    def starts_within(self, replica, window_s, *, now_s):
        """Return the number of requests that all nodes sent to a replica in a window.

        Starts are kept for ``START_WINDOW_S``, so a longer window counts no more.
        """
        found = self.workloads.get(replica)
        if found is None:
            return 0
        while found.starts and now_s - found.starts[0] > START_WINDOW_S:
            found.starts.popleft()
        return sum(1 for at_s in found.starts if now_s - at_s <= window_s)

    def starts_per_s(self, *, now_s):
        """Return the request rate of all nodes: the higher of two windows.

        The short window is needed when all callers return at once: most of the last
        second is then still empty, and its rate would be too low.
        """
        self._drop_old_starts(now_s=now_s)
        begins_s = now_s - BURST_WINDOW_S
        times_s = (at_s for at_s, _ in reversed(self._starts))
        burst = sum(1 for _ in takewhile(begins_s.__lt__, times_s))
        return max(len(self._starts) / START_WINDOW_S, burst / BURST_WINDOW_S)

    def count_starts(self, node, *, unknown_s, now_s):
        """Return the number of recent starts of one node, and of all nodes.

        The other nodes don't know of this node's latest starts yet. If it counted them,
        each node would overestimate its own part.

        Parameters
        ----------
        node : str
            The node.
        unknown_s : float
            Time in which its latest starts aren't counted.
        now_s : float
            Current time.

        Returns
        -------
        own, total : int
            Starts within the last ``START_WINDOW_S`` seconds.
        """
        self._drop_old_starts(now_s=now_s)
        begins_s = now_s - unknown_s
        latest = takewhile(lambda row: row[0] > begins_s, reversed(self._starts))
        unknown = sum(one == node for _, one in latest)
        return self._starts_by_node[node] - unknown, len(self._starts) - unknown

    def _drop_old_starts(self, *, now_s):
        """Forget the starts before the window."""
        while self._starts and now_s - self._starts[0][0] > START_WINDOW_S:
            _, node = self._starts.popleft()
            self._starts_by_node[node] -= 1
            if not self._starts_by_node[node]:
                del self._starts_by_node[node]

    def drop_absent(self, present, *, now_s):
        """Drop the workload of removed replicas that have no jobs in flight.

        Parameters
        ----------
        present : collection of str
            Replicas that still exist.
        now_s : float
            Current time.
        """
        busy = {part.replica for job in self.jobs.values() for part in job.parts}
        for replica in set(self.workloads) - busy - set(present):
            starts = self.workloads[replica].starts
            if not starts or now_s - starts[-1] > REPLICA_RETENTION_S:
                del self.workloads[replica]
