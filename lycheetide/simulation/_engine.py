"""Simulated engine with continuous batching and chunked prefill."""

from collections import OrderedDict
from dataclasses import dataclass

CHUNK_TOKENS = 4_096
DECODE_BASE_S = 0.008
DECODE_S_PER_REQUEST = 0.0002
DECODE_S_PER_CONTEXT_TOKEN = 5e-9
"""Additional time of a step for each context token of the decoding requests."""

PREFIX_CACHE_SHARE = 0.2
"""Share of the KV cache that cached prefixes may take."""


@dataclass
class EngineJob:
    """A request at an engine, or one segment of a request split over several.

    Parameters
    ----------
    request_id : str
        The request.
    priority : int
        Prompts with the smallest number are prefilled first.
    prompt_tokens, answer_tokens : int
        Its size. Only the head segment writes an answer; the others have 0 tokens.
    prefix_key : str
        Key of its prompt in the prefix cache; empty if it isn't cached.
    """

    request_id: str
    priority: int
    prompt_tokens: int
    answer_tokens: int
    prefix_key: str = ""
    order: int = 0
    pending_prefill_tokens: float = 0.0
    pending_answer_tokens: int = 0
    first_token_s: float | None = None
    cached_tokens: int = 0

    @property
    def total_tokens(self):
        """KV cache tokens that it takes."""
        return self.prompt_tokens + self.answer_tokens


class BatchingEngine:
    """A simulated engine with continuous batching.

    Parameters
    ----------
    name : str
        Name of the replica.
    tokens_per_s : float
        Prefill rate.
    kv_capacity_tokens : int
        KV cache capacity.
    honours_priority : bool
        Whether it prefills prompts with a smaller priority number first.
    """

    def __init__(
        self, name, *, tokens_per_s, kv_capacity_tokens, honours_priority=True
    ):
        self.name = name
        self.tokens_per_s = tokens_per_s
        self.kv_capacity_tokens = kv_capacity_tokens
        self.honours_priority = honours_priority
        self.waiting = []
        self.prefilling = []
        self.decoding = []
        self.used_tokens = 0
        self.prefixes = OrderedDict()
        self.boot = 0
        self.is_stepping = False
        self.last_order = 0

    def add(self, job):
        """Add a job; it waits until there is enough memory."""
        self.last_order += 1
        job.order = self.last_order
        self.waiting.append(job)
        self._admit()

    def _admit(self):
        """Admit waiting jobs in order until the next one doesn't fit into memory."""
        self.waiting.sort(key=self._sort_key)
        while self.waiting:
            job = self.waiting[0]
            if self.used_tokens + job.total_tokens > self.kv_capacity_tokens:
                return
            self.waiting.pop(0)
            self.used_tokens += job.total_tokens
            job.cached_tokens = min(
                self.prefixes.get(job.prefix_key, 0), job.prompt_tokens - 1
            )
            job.pending_prefill_tokens = job.prompt_tokens - job.cached_tokens
            self.prefilling.append(job)

    def _sort_key(self, job):
        """Return the sort key for admission and prefill."""
        return (job.priority if self.honours_priority else 0, job.order)

    def begin_step(self):
        """Begin a step.

        Returns
        -------
        float or None
            Duration of the step; None if there is nothing to do.
        """
        if not self.prefilling and not self.decoding:
            return None
        budget = CHUNK_TOKENS
        read = 0.0
        for job in sorted(self.prefilling, key=self._sort_key):
            part = min(budget, job.pending_prefill_tokens)
            job.pending_prefill_tokens -= part
            budget -= part
            read += part
            if budget <= 0:
                break
        context = sum(job.total_tokens for job in self.decoding)
        duration_s = read / self.tokens_per_s + context * DECODE_S_PER_CONTEXT_TOKEN
        if self.decoding:
            duration_s += DECODE_BASE_S + DECODE_S_PER_REQUEST * len(self.decoding)
        return max(duration_s, 1e-4)

    def finish_step(self, now_s):
        """Finish a step.

        Returns
        -------
        started, ended : list of EngineJob
            Jobs whose prefill is complete, and jobs whose answer is.
        """
        ended = []
        for job in self.decoding:
            job.pending_answer_tokens -= 1
            if job.pending_answer_tokens <= 0:
                ended.append(job)
        started = [job for job in self.prefilling if job.pending_prefill_tokens <= 0]
        for job in started:
            self.prefilling.remove(job)
            job.first_token_s = now_s
            job.pending_answer_tokens = job.answer_tokens - 1
            self._cache_prefix(job)
            if job.pending_answer_tokens > 0:
                self.decoding.append(job)
            elif job.answer_tokens:
                ended.append(job)
        for job in ended:
            self.release(job)
        return started, ended

    def release(self, job):
        """Release the memory of an admitted job."""
        for jobs in (self.decoding, self.prefilling):
            if job in jobs:
                jobs.remove(job)
        self.used_tokens -= job.total_tokens
        self._admit()

    def cancel(self, job):
        """Remove a job, whether it has been admitted or not."""
        if job in self.waiting:
            self.waiting.remove(job)
        else:
            self.release(job)

    def _cache_prefix(self, job):
        """Cache the prompt's prefix and evict the oldest ones beyond the limit."""
        if not job.prefix_key:
            return
        self.prefixes[job.prefix_key] = job.prompt_tokens
        self.prefixes.move_to_end(job.prefix_key)
        limit_tokens = PREFIX_CACHE_SHARE * self.kv_capacity_tokens
        while sum(self.prefixes.values()) > limit_tokens and len(self.prefixes) > 1:
            self.prefixes.popitem(last=False)

    def pending_prefill_tokens(self):
        """Return the number of prompt tokens that haven't been prefilled yet."""
        waiting = sum(job.prompt_tokens for job in self.waiting)
        return waiting + sum(job.pending_prefill_tokens for job in self.prefilling)

    def running(self):
        """Return the number of jobs, waiting ones included."""
        return len(self.waiting) + len(self.prefilling) + len(self.decoding)
