"""An engine that works in passes, in virtual time, by the platform's formula.

All that writes gets as many tokens in a pass as the pass has steps, and all that is
read meanwhile makes the pass longer for all of them.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from lycheetide.placement import pass_s
from lycheetide.routes import Engine

CHUNK_TOKENS = 2_048
"""Prompt tokens read in one step at most, as the platform's engines do."""


@dataclass
class Read:
    """A prompt, or a part of one, that an engine reads.

    Parameters
    ----------
    left_s : float
        Reading that isn't done.
    is_help : bool
        Whether it is a part of another engine's prompt; those are read first, the
        newest before the others.
    urgency : int
        The smaller, the sooner it is admitted.
    when_done : callable
        Called with the time at which it is read.
    """

    left_s: float
    is_help: bool
    urgency: int
    when_done: Callable[[float], None]


@dataclass
class Writer:
    """A request that writes its answer.

    Parameters
    ----------
    events_left : int
        Events that it has still to write.
    context_tokens : int
        Its prompt.
    when_event : callable
        Called with the time of each event, and whether it was the last.
    """

    events_left: int
    context_tokens: int
    when_event: Callable[[float, bool], None]


@dataclass
class PassEngine:
    """One engine.

    Parameters
    ----------
    engine : Engine
        Its figures.
    slots : int
        Requests that it processes at once.
    """

    engine: Engine
    slots: int
    waiting: list[Read] = field(default_factory=list)
    reading: list[Read] = field(default_factory=list)
    helping: list[Read] = field(default_factory=list)
    writers: list[Writer] = field(default_factory=list)
    parked: int = 0
    ends_s: float | None = None
    _writing: list[Writer] = field(default_factory=list)

    def add(self, read):
        """Take a prompt or a part of one."""
        (self.helping if read.is_help else self.waiting).append(read)

    @property
    def is_idle(self):
        """Whether there is nothing to do."""
        return not (self.waiting or self.reading or self.helping or self.writers)

    def begin_pass(self, now_s):
        """Begin a pass, and set when it ends."""
        self._admit()
        self._writing = list(self.writers)
        steps = self.engine.steps_per_pass if self._writing else 1
        room_s = steps * CHUNK_TOKENS * self.engine.read_s_per_token
        read_s = 0.0
        for read in self.helping[::-1] + self.reading:
            part_s = min(read.left_s, room_s - read_s)
            read.left_s -= part_s
            read_s += part_s
        context = sum(writer.context_tokens for writer in self._writing)
        took_s = pass_s(self.engine, len(self._writing), context)
        self.ends_s = now_s + took_s + read_s

    def _admit(self):
        """Let waiting prompts in while there are slots."""
        self.waiting.sort(key=lambda read: read.urgency)
        busy = len(self.reading) + len(self.writers) + self.parked
        while self.waiting and busy < self.slots:
            self.reading.append(self.waiting.pop(0))
            busy += 1

    def end_pass(self):
        """End the pass: tell of events and of prompts that have been read."""
        assert self.ends_s is not None, "no pass has begun"
        now_s, self.ends_s = self.ends_s, None
        for writer in self._writing:
            if writer not in self.writers:
                continue
            writer.events_left -= 1
            is_last = writer.events_left <= 0
            if is_last:
                self.writers.remove(writer)
            writer.when_event(now_s, is_last)
        for reads in (self.helping, self.reading):
            done = [read for read in reads if read.left_s <= 1e-9]
            for read in done:
                reads.remove(read)
                if not read.is_help:
                    # It holds its slot until all parts of it have been read.
                    self.parked += 1
                read.when_done(now_s)

    def drop(self, read, *, is_first):
        """Forget a prompt, or a part of one, whose caller has left."""
        for reads in (self.waiting, self.reading, self.helping):
            if read in reads:
                reads.remove(read)
                return
        if is_first:
            self.parked -= 1

    def begin_writing(self, writer):
        """Let a prompt that has been read, with all of its parts, write."""
        self.parked -= 1
        self.writers.append(writer)
