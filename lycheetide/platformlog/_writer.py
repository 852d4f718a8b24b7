"""Group commit: records that arrive during an append share the next append."""

from dataclasses import dataclass, field
from typing import Any

import anyio

from lycheetide.platformlog._client import LogUnavailable

MAX_BATCH_RECORDS = 256


@dataclass
class _WaitingRecord:
    """A record to append, and the event that reports its offset or error."""

    record: Any
    done: anyio.Event = field(default_factory=anyio.Event)
    offset: int | None = None
    error: LogUnavailable | None = None


class GroupWriter:
    """Appends records to one stream in batches, with one append at a time.

    Parameters
    ----------
    log : LogClient
        The log service.
    stream : str
        Name of the stream.

    Attributes
    ----------
    next_offset : int
        Lower bound of the end of the stream, raised by each append. Readers of the
        stream may raise it, too.
    appends, records : int
        Number of successful appends, and of the records in them.

    Notes
    -----
    The log sustains a few hundred appends per second for the whole fleet. One append
    per record would use that up for bookings alone.
    """

    def __init__(self, log, stream):
        self.log = log
        self.stream = stream
        self.next_offset = 0
        self.appends = 0
        self.records = 0
        self._waiting = []
        self._changed = anyio.Event()

    async def append(self, record):
        """Append a record with the next batch and return its offset.

        Raises
        ------
        LogUnavailable
            If the append got no valid answer; the record may be on the log.
        """
        waiting = _WaitingRecord(record)
        self._waiting.append(waiting)
        self._changed.set()
        try:
            await waiting.done.wait()
        finally:
            if waiting in self._waiting:
                self._waiting.remove(waiting)
        if waiting.error is not None:
            raise waiting.error
        return waiting.offset

    async def run(self):
        """Append waiting records, for ever."""
        while True:
            if not self._waiting:
                self._changed = anyio.Event()
                await self._changed.wait()
            batch = self._waiting[:MAX_BATCH_RECORDS]
            del self._waiting[:MAX_BATCH_RECORDS]
            await self._append_batch(batch)

    async def _append_batch(self, batch):
        """Append one batch and notify its waiting callers."""
        try:
            first = await self.log.append(
                self.stream, [waiting.record for waiting in batch]
            )
            self.appends += 1
            self.records += len(batch)
            self.next_offset = max(self.next_offset, first + len(batch))
            for index, waiting in enumerate(batch):
                waiting.offset = first + index
        except LogUnavailable as error:
            for waiting in batch:
                waiting.error = error
        for waiting in batch:
            waiting.done.set()
