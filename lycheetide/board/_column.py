"""What is known of one replica's work."""

from collections import deque
from dataclasses import dataclass, field


@dataclass
class Unread:
    """A prompt, or a part of one, that a replica hasn't read yet.

    Parameters
    ----------
    by_s : float
        When it is read, at full speed.
    due_s : float
        When its first event is wanted.
    weight : float
        How many short requests the whole prompt counts as, late by any part of it.
    """

    by_s: float
    due_s: float
    weight: float


@dataclass
class Column:
    """One replica's work.

    A replica reads parts of others' prompts before its own prompts, and the part that
    came last before those that came earlier.

    Parameters
    ----------
    busy_until_s : float
        When all reading that was sent there is done, at full speed.
    writers : int
        Requests that write their answers there, or will.
    helping : int
        Parts of others' prompts that are read there.
    kv_tokens : int
        Memory taken.
    starts : deque of float
        When the last requests were sent there; parts of others' prompts are none.
    weights : dict of float to float
        Weight of the writers, by the longest pause that their callers don't notice;
        those that have none are left out.
    unread : dict of (str, str) to Unread
        What isn't read yet, by node and job.
    """

    busy_until_s: float = 0.0
    writers: int = 0
    helping: int = 0
    kv_tokens: int = 0
    starts: deque = field(default_factory=deque)
    weights: dict[float, float] = field(default_factory=dict)
    unread: dict[tuple[str, str], Unread] = field(default_factory=dict)

    def is_idle(self, *, now_s):
        """Tell whether nothing is to be done there."""
        if self.writers or self.helping or self.kv_tokens:
            return False
        return self.busy_until_s <= now_s

    def add(self, job, part, *, now_s):
        """Add a part of a request."""
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
        """Put a part where it is read: its own prompts last, others' parts first."""
        by_s = self.busy_until_s
        if not part.writes:
            by_s = now_s + part.read_s
            for other in self.unread.values():
                if other.by_s > now_s:
                    other.by_s += part.read_s
        self.unread[job.node, job.id] = Unread(by_s, job.due_s, job.weight)

    def remove(self, job, part, *, now_s):
        """Take a part of a request away."""
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

    def stop_reading(self, job, part, *, now_s):
        """Take away what a replica hasn't read of a part, and now won't.

        Left in the sum, prompts that were tried at replicas that are gone would make
        all others look busy, and the next ones would be refused.
        """
        gone = self.unread.pop((job.node, job.id), None)
        if gone is None or gone.by_s <= now_s:
            return
        left_s = min(part.read_s, gone.by_s - now_s)
        self.busy_until_s -= left_s
        for other in self.unread.values():
            if other.by_s > gone.by_s:
                other.by_s -= left_s

    def list_unread(self, *, now_s):
        """Return what isn't read yet, and forget what is."""
        if any(one.by_s <= now_s for one in self.unread.values()):
            self.unread = {
                key: one for key, one in self.unread.items() if one.by_s > now_s
            }
        return list(self.unread.values())
