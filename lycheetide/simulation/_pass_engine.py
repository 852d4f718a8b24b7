"""Simulated engine that works in passes, timed by the platform's formula.

In a pass, each decoding request gets as many tokens as the pass has steps. Prefill done
in the same pass makes it longer for all of them.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from lycheetide.placement import estimate_pass_s
from lycheetide.routes import EngineProfile

CHUNK_TOKENS = 2_048
"""Largest number of prompt tokens prefilled in one step, as in the platform's
engines."""


@dataclass
class PrefillTask:
    """Prefill of a prompt, or of a part of one.

    Parameters
    ----------
    remaining_s : float
        Prefill time that is left.
    is_helper_part : bool
        Whether it is a part of another engine's prompt. Such parts are prefilled before
        the engine's own prompts, the newest first.
    admission_rank : int
        Waiting prompts with a smaller number are admitted first.
    on_done : callable
        Called with the time at which the prefill is complete.
    """

    remaining_s: float
    is_helper_part: bool
    admission_rank: int
    on_done: Callable[[float], None]


@dataclass
class DecodeTask:
    """Decoding of a request's answer.

    Parameters
    ----------
    events_left : int
        Number of events that are still to be sent.
    context_tokens : int
        Length of its prompt.
    on_event : callable
        Called with the time of each event and whether it is the last.
    """

    events_left: int
    context_tokens: int
    on_event: Callable[[float, bool], None]


@dataclass
class PassEngine:
    """A simulated engine that works in passes.

    Parameters
    ----------
    engine : EngineProfile
        Its performance figures.
    slots : int
        Number of requests that it processes at once.
    pace : float
        Factor by which its passes take longer than its performance figures state.
    """

    engine: EngineProfile
    slots: int
    pace: float = 1.0
    waiting: list[PrefillTask] = field(default_factory=list)
    prefilling: list[PrefillTask] = field(default_factory=list)
    helper_parts: list[PrefillTask] = field(default_factory=list)
    writers: list[DecodeTask] = field(default_factory=list)
    held_slots: int = 0
    pass_ends_s: float | None = None
    _decoding: list[DecodeTask] = field(default_factory=list)

    def add(self, read):
        """Add a prompt or a part of one."""
        (self.helper_parts if read.is_helper_part else self.waiting).append(read)

    @property
    def is_idle(self):
        """Whether there is nothing to do."""
        return not (
            self.waiting or self.prefilling or self.helper_parts or self.writers
        )

    def begin_pass(self, now_s):
        """Begin a pass and set the time at which it ends."""
        self._admit()
        self._decoding = list(self.writers)
        steps = self.engine.steps_per_pass if self._decoding else 1
        budget_s = steps * CHUNK_TOKENS * self.engine.read_s_per_token
        prefill_s = 0.0
        for read in self.helper_parts[::-1] + self.prefilling:
            part_s = min(read.remaining_s, budget_s - prefill_s)
            read.remaining_s -= part_s
            prefill_s += part_s
        context = sum(writer.context_tokens for writer in self._decoding)
        duration_s = estimate_pass_s(self.engine, len(self._decoding), context)
        self.pass_ends_s = now_s + self.pace * (duration_s + prefill_s)

    def _admit(self):
        """Admit waiting prompts while slots are free."""
        self.waiting.sort(key=lambda read: read.admission_rank)
        busy = len(self.prefilling) + len(self.writers) + self.held_slots
        while self.waiting and busy < self.slots:
            self.prefilling.append(self.waiting.pop(0))
            busy += 1

    def end_pass(self):
        """End the pass; call back for each event and each completed prefill."""
        assert self.pass_ends_s is not None, "no pass has begun"
        now_s, self.pass_ends_s = self.pass_ends_s, None
        for writer in self._decoding:
            if writer not in self.writers:
                continue
            writer.events_left -= 1
            is_last = writer.events_left <= 0
            if is_last:
                self.writers.remove(writer)
            writer.on_event(now_s, is_last)
        for reads in (self.helper_parts, self.prefilling):
            done = [read for read in reads if read.remaining_s <= 1e-9]
            for read in done:
                reads.remove(read)
                if not read.is_helper_part:
                    # It keeps its slot until all of its parts are prefilled.
                    self.held_slots += 1
                read.on_done(now_s)

    def cancel(self, read, *, is_first):
        """Remove a prompt, or a part of one, whose caller has left."""
        for reads in (self.waiting, self.prefilling, self.helper_parts):
            if read in reads:
                reads.remove(read)
                return
        if is_first:
            self.held_slots -= 1

    def begin_decoding(self, writer):
        """Begin to decode a request whose parts have all been prefilled."""
        self.held_slots -= 1
        self.writers.append(writer)
