"""One engine that batches continuously, step by step, in virtual time."""

from collections import OrderedDict
from dataclasses import dataclass

CHUNK_TOKENS = 4_096
DECODE_BASE_S = 0.008
DECODE_EACH_S = 0.0002
CONTEXT_S_PER_TOKEN = 5e-9
"""How much longer a step takes for each token of context that it reads."""

PREFIX_SHARE = 0.2
"""The share of the memory that cached prefixes may fill."""


@dataclass
class Job:
    """One request, or one segment of a spanning one, at an engine.

    Parameters
    ----------
    request_id : str
        The request.
    priority : int
        0 is read first.
    prompt_tokens, answer_tokens : int
        Its size; a segment that is not the head has no answer.
    prefix_key : str
        What of it may be cached.
    """

    request_id: str
    priority: int
    prompt_tokens: int
    answer_tokens: int
    prefix_key: str = ""
    order: int = 0
    unread_tokens: float = 0.0
    unsent_tokens: int = 0
    first_s: float | None = None
    cached_tokens: int = 0

    @property
    def total_tokens(self):
        """The memory that it holds."""
        return self.prompt_tokens + self.answer_tokens


class EngineModel:
    """The state of one engine.

    Parameters
    ----------
    name : str
        The replica.
    tokens_per_s : float
        How fast it reads prompts.
    kv_capacity_tokens : int
        Its memory.
    honours_priority : bool
        Whether it reads prompts of a smaller priority number first.
    """

    def __init__(
        self, name, *, tokens_per_s, kv_capacity_tokens, honours_priority=True
    ):
        self.name = name
        self.tokens_per_s = tokens_per_s
        self.kv_capacity_tokens = kv_capacity_tokens
        self.honours_priority = honours_priority
        self.waiting = []
        self.reading = []
        self.sending = []
        self.used_tokens = 0
        self.prefixes = OrderedDict()
        self.boot = 0
        self.is_stepping = False
        self.orders = 0

    def add(self, job):
        """Take a job; it waits while there is not enough memory."""
        self.orders += 1
        job.order = self.orders
        self.waiting.append(job)
        self._admit()

    def _admit(self):
        """Let waiting jobs in, in order, as far as the memory goes."""
        self.waiting.sort(key=self._rank)
        while self.waiting:
            job = self.waiting[0]
            if self.used_tokens + job.total_tokens > self.kv_capacity_tokens:
                return
            self.waiting.pop(0)
            self.used_tokens += job.total_tokens
            job.cached_tokens = min(
                self.prefixes.get(job.prefix_key, 0), job.prompt_tokens - 1
            )
            job.unread_tokens = job.prompt_tokens - job.cached_tokens
            self.reading.append(job)

    def _rank(self, job):
        """Return the order in which prompts are read."""
        return (job.priority if self.honours_priority else 0, job.order)

    def step(self):
        """Plan one step.

        Returns
        -------
        float or None
            How long it takes; None if there is nothing to do.
        """
        if not self.reading and not self.sending:
            return None
        budget = CHUNK_TOKENS
        read = 0.0
        for job in sorted(self.reading, key=self._rank):
            part = min(budget, job.unread_tokens)
            job.unread_tokens -= part
            budget -= part
            read += part
            if budget <= 0:
                break
        context = sum(job.total_tokens for job in self.sending)
        took_s = read / self.tokens_per_s + context * CONTEXT_S_PER_TOKEN
        if self.sending:
            took_s += DECODE_BASE_S + DECODE_EACH_S * len(self.sending)
        return max(took_s, 1e-4)

    def finish_step(self, now_s):
        """End a step.

        Returns
        -------
        started, ended : list of Job
            Jobs whose prompt has been read, and jobs that are done.
        """
        ended = []
        for job in self.sending:
            job.unsent_tokens -= 1
            if job.unsent_tokens <= 0:
                ended.append(job)
        started = [job for job in self.reading if job.unread_tokens <= 0]
        for job in started:
            self.reading.remove(job)
            job.first_s = now_s
            job.unsent_tokens = job.answer_tokens - 1
            self._remember(job)
            if job.unsent_tokens > 0:
                self.sending.append(job)
            elif job.answer_tokens:
                ended.append(job)
        for job in ended:
            self.release(job)
        return started, ended

    def release(self, job):
        """Give an admitted job's memory back."""
        for jobs in (self.sending, self.reading):
            if job in jobs:
                jobs.remove(job)
        self.used_tokens -= job.total_tokens
        self._admit()

    def cancel(self, job):
        """Forget a job, whether it was admitted or not."""
        if job in self.waiting:
            self.waiting.remove(job)
        else:
            self.release(job)

    def _remember(self, job):
        """Cache the prompt's prefix; the oldest ones make room."""
        if not job.prefix_key:
            return
        self.prefixes[job.prefix_key] = job.prompt_tokens
        self.prefixes.move_to_end(job.prefix_key)
        room = PREFIX_SHARE * self.kv_capacity_tokens
        while sum(self.prefixes.values()) > room and len(self.prefixes) > 1:
            self.prefixes.popitem(last=False)

    def unread_tokens(self):
        """Sum the prompt tokens that are still to be read."""
        waiting = sum(job.prompt_tokens for job in self.waiting)
        return waiting + sum(job.unread_tokens for job in self.reading)

    def running(self):
        """Count the jobs."""
        return len(self.waiting) + len(self.reading) + len(self.sending)
