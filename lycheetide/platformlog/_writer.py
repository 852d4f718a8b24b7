"""Group commit: records that come while an append is on its way share the next one."""

from dataclasses import dataclass, field
from typing import Any

import anyio

from lycheetide.platformlog._client import LogUnavailable

LARGEST_BATCH = 256


@dataclass
class _Waiting:
    """One record and whoever waits for its offset."""

    record: Any
    done: anyio.Event = field(default_factory=anyio.Event)
    offset: int | None = None
    error: LogUnavailable | None = None


class GroupWriter:
    """Appends to one stream, one append at a time.

    Parameters
    ----------
    log : LogClient
        The log.
    stream : str
        The stream.

    Notes
    -----
    The log takes a few hundred appends a second for the whole fleet; one append a
    record would spend that on bookings alone.
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
        """Append one record and return its offset.

        Raises
        ------
        LogUnavailable
            If the append's answer did not come; the record may stand there.
        """
        waiting = _Waiting(record)
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
        """Append what waits, for ever."""
        while True:
            if not self._waiting:
                self._changed = anyio.Event()
                await self._changed.wait()
            batch = self._waiting[:LARGEST_BATCH]
            del self._waiting[:LARGEST_BATCH]
            await self._append_batch(batch)

    async def _append_batch(self, batch):
        """Append one batch and wake those who wait."""
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
