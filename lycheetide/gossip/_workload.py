"""Workload of one replica."""

from collections import deque
from dataclasses import dataclass, field


@dataclass
class UnreadPart:
    """A prompt, or a part of one, that a replica hasn't read yet.

    Parameters
    ----------
    read_by_s : float
        Expected end of its prefill.
    due_s : float
        Target time of the first event of its request.
    weight : float
        Weight of the whole prompt, as a number of short requests: it is late as soon
        as any part of it is.
    """

    read_by_s: float
    due_s: float
    weight: float


@dataclass
class ReplicaWorkload:
    """Work that was sent to one replica.

    A replica reads helper parts, which are parts of prompts that another replica
    answers, before its own prompts. Of several helper parts it reads the latest first.

    Parameters
    ----------
    busy_until_s : float
        Expected end of all prefill that was sent there.
    writers : int
        Number of requests that write their answers there, now or later.
    helping : int
        Number of helper parts.
    kv_tokens : int
        Size of the KV cache in use, in tokens.
    starts : deque of float
        Times at which the latest requests were sent there; helper parts don't count.
    weights : dict of float to float
        Total weight of the writers, by the longest gap between events that their
        callers don't notice; writers without such a limit are left out.
    unread : dict of (str, str) to UnreadPart
        Prompts and parts that are not read yet, by node and job.
    """

    busy_until_s: float = 0.0
    writers: int = 0
    helping: int = 0
    kv_tokens: int = 0
    starts: deque = field(default_factory=deque)
    weights: dict[float, float] = field(default_factory=dict)
    unread: dict[tuple[str, str], UnreadPart] = field(default_factory=dict)

    def is_idle(self, *, now_s):
        """Return whether the replica has no work."""
        if self.writers or self.helping or self.kv_tokens:
            return False
        return self.busy_until_s <= now_s

    def add(self, job, part, *, now_s):
        """Add the part of a job that this replica does."""
        self.busy_until_s = max(self.busy_until_s, now_s) + part.read_s
        self.kv_tokens += part.kv_tokens
        self._add_unread(job, part, now_s=now_s)
        if not part.writes:
            self.helping += 1
            return
        self.starts.append(now_s)
        self.writers += 1
        if job.gap_s > 0:
            self.weights[job.gap_s] = self.weights.get(job.gap_s, 0.0) + job.weight

    def _add_unread(self, job, part, *, now_s):
        """Insert a part in reading order: helper parts first, own prompts last."""
        read_by_s = self.busy_until_s
        if not part.writes:
            read_by_s = now_s + part.read_s
            for other in self.unread.values():
                if other.read_by_s > now_s:
                    other.read_by_s += part.read_s
        self.unread[job.node, job.id] = UnreadPart(read_by_s, job.due_s, job.weight)

    def remove(self, job, part, *, now_s):
        """Remove the part of a job that this replica does."""
        self.kv_tokens -= part.kv_tokens
        self.stop_reading(job, part, now_s=now_s)
        if not part.writes:
            self.helping -= 1
            return
        self.writers -= 1
        if job.gap_s > 0:
            self.weights[job.gap_s] -= job.weight
        if self.writers == 0:
            self.weights.clear()
            if self.helping == 0:
                self.busy_until_s = now_s

    def keep_memory(self, job, part, *, now_s):
        """Remove the part of a job, but count its memory until ``free_memory``."""
        self.remove(job, part, now_s=now_s)
        self.kv_tokens += part.kv_tokens

    def free_memory(self, part):
        """Uncount the memory of a part of which nothing else is counted."""
        self.kv_tokens -= part.kv_tokens

    def stop_reading(self, job, part, *, now_s):
        """Remove the rest of a part's prefill, which the replica won't do any more.

        When a prompt is tried at replicas that have failed, each attempt also sends
        parts to replicas that live. If these parts still counted after the attempt,
        the living replicas would look busy and the next prompts would be refused.
        """
        gone = self.unread.pop((job.node, job.id), None)
        if gone is None or gone.read_by_s <= now_s:
            return
        left_s = min(part.read_s, gone.read_by_s - now_s)
        self.busy_until_s -= left_s
        for other in self.unread.values():
            if other.read_by_s > gone.read_by_s:
                other.read_by_s -= left_s

    def list_unread(self, *, now_s):
        """Return the parts that are not read yet, and drop the others."""
        if any(unread.read_by_s <= now_s for unread in self.unread.values()):
            self.unread = {
                key: unread
                for key, unread in self.unread.items()
                if unread.read_by_s > now_s
            }
        return list(self.unread.values())
