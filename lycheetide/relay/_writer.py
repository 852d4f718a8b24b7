"""Write to callers without making the reading from replicas wait for them."""

from collections import deque
from dataclasses import dataclass
from functools import partial
from typing import Any

import anyio

from lycheetide.buffering import SlowReader
from lycheetide.relay._memory import update_customer, update_memory
from lycheetide.relay._outcomes import CallerDisconnected, Refusal, StreamAborted
from lycheetide.relay._state import read_clock

MAX_CALLER_BYTES = 262_144
"""Bytes that are held for one caller. Beyond that the reading from the replica waits:
at 200 bytes an event, this is a response of 700 tokens that nobody reads."""
PART_BYTES = 150
"""Memory that a held event takes beside its data, for its objects: as much again as the
data of a short event."""

SLICE_BYTES = 32_768
"""Size of the slices in which a whole answer is written."""


@dataclass(frozen=True, slots=True)
class _Part:
    """A part of an answer that wasn't written yet.

    Parameters
    ----------
    size : int
        Bytes that it counts for.
    data : bytes or memoryview
        A part of the body; empty if ``write`` is given.
    write : callable or None
        Coroutine function without arguments that writes another part.
    record : callable or None
        Called with the times at which the write began and ended.
    held_since_s : float
        When it was received.
    """

    size: int
    data: bytes | memoryview
    write: Any
    record: Any
    held_since_s: float


class BufferedReply:
    """Stands for a ``Reply``, and holds what the caller doesn't read yet.

    While the caller keeps up, each part is written at once by the task that received
    it. Otherwise a writer task delivers the parts in order, and ends when none is left.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    reply : Reply
        Writes to the caller; the writer task runs in its group.
    customer : str
        Customer that the held bytes count for.
    request_id : str
        Id of the request in the log.

    Attributes
    ----------
    is_started, is_complete : bool
        Whether the head and the end of the answer were received.
    waited_until_s : float
        Until when the reading last waited for the caller.
    error : Exception or None
        Why no more can be written.
    """

    def __init__(self, relay, reply, *, customer, request_id):
        self.customer = customer
        self.request_id = request_id
        self.key = relay.memory.make_key()
        self.is_started = False
        self.is_complete = False
        self.waited_until_s = 0.0
        self.error = None
        self.scope = anyio.CancelScope()
        self._relay = relay
        self._reply = reply
        self._parts: deque[_Part] = deque()
        self._is_writing = False
        self._is_cut = False
        self._progress: anyio.Event | None = None

    @property
    def held_bytes(self):
        """Bytes held for the caller."""
        return self._relay.memory.held.count_caller(self.customer, self.key)

    def describe(self, *, now_s):
        """Return what is held for the caller."""
        behind_s = now_s - self._parts[0].held_since_s if self._parts else 0.0
        return SlowReader(
            self.key, self.customer, self.held_bytes, behind_s, self.is_complete
        )

    def note(self, **fields):
        """Add fields to the log line, as ``Reply.note``."""
        self._reply.note(**fields)

    async def start(self, status, headers, *, length=None):
        """Write the head of the answer, as ``Reply.start``."""
        self.is_started = True
        await self._pass_on(partial(self._reply.start, status, headers, length=length))

    async def write(self, data, record=None):
        """Write a part of the body, or hold it if the caller doesn't read.

        Waits only if the caller's bytes have reached ``MAX_CALLER_BYTES``.
        """
        self._check()
        size = len(data)
        if not self._parts and self._reply.has_space(size):
            started_s = read_clock()
            await self._reply.write(data)
            if record is not None:
                record(started_s, started_s)
            return
        size += PART_BYTES
        if self.held_bytes + size > MAX_CALLER_BYTES:
            while self._parts and self.held_bytes + size > MAX_CALLER_BYTES:
                await self._wait_for_progress()
            self.waited_until_s = read_clock()
        self._hold(_Part(size, data, None, record, read_clock()))

    async def end(self):
        """Mark the answer as complete; its end is written after all that is held."""
        self.is_complete = True
        await self._pass_on(self._reply.end)

    async def send_whole(self, status, headers, body):
        """Write a complete answer; it is held whole if the caller doesn't read."""
        self.is_started = self.is_complete = True
        if not self._parts and self._reply.has_space(len(body)):
            await self._reply.send_whole(status, headers, body)
            return
        await self.start(status, headers, length=len(body))
        # The server copies what it can't write at once.
        view = memoryview(body)
        for begin in range(0, len(body), SLICE_BYTES):
            part = view[begin : begin + SLICE_BYTES]
            self._hold(_Part(0, part, None, None, read_clock()))
        # The slices share the body, so all of it is held until the last is written.
        self._hold(_Part(len(body), b"", self._reply.end, None, read_clock()))

    async def flush(self):
        """Wait until all that is held has been written."""
        while self._parts:
            await self._wait_for_progress()

    def abort(self, error):
        """Drop what is held and end the request with an error."""
        self.error = self.error or error
        self._is_cut = True
        self._drop()
        self.scope.cancel()

    def close(self):
        """Drop what is held when the request has ended."""
        if self._is_cut or (self._parts and self._reply.is_started):
            # The server would otherwise keep the connection, and what it holds for it,
            # until the caller has read everything.
            self._reply.abort()
        self._drop()

    def _check(self):
        """Raise the error after which nothing more may be written."""
        if self.error is not None:
            raise self.error

    def _drop(self):
        """Free what is held."""
        self._parts.clear()
        self._relay.memory.held.release(self.customer, self.key)

    async def _pass_on(self, write):
        """Write the head or the end now if that can't block, or hold it."""
        self._check()
        if not self._parts and self._reply.has_space(0):
            await write()
        else:
            self._hold(_Part(0, b"", write, None, read_clock()))

    def _hold(self, part):
        """Let the writer write a part."""
        self._check()
        self._parts.append(part)
        if not self._is_writing:
            self._is_writing = True
            self._reply.group.start_soon(self._write_parts)
        if part.size:
            self._relay.memory.held.hold(self.customer, self.key, part.size)
            update_memory(self._relay, now_s=part.held_since_s)
            update_customer(self._relay, self.customer, now_s=part.held_since_s)

    async def _write_parts(self):
        """Write the parts that are held, in order."""
        try:
            while self._parts:
                part = self._parts[0]
                started_s = read_clock()
                if part.write is None:
                    await self._reply.write(part.data)
                else:
                    await part.write()
                if not self._parts:
                    return  # The request was aborted during the write.
                if part.record is not None:
                    part.record(started_s, read_clock())
                self._relay.memory.held.release(self.customer, self.key, part.size)
                self._parts.popleft()
                self._note_progress()
        except CallerDisconnected as error:
            self.error = self.error or error
            self.scope.cancel()
        except Exception as fault:
            # An unexpected error must end only the request in which it occurred.
            self.error = self.error or StreamAborted(repr(fault))
            self.scope.cancel()
        finally:
            self._is_writing = False

    def _note_progress(self):
        """Wake the tasks that wait for the caller."""
        if self._progress is not None:
            self._progress.set()
            self._progress = None

    async def _wait_for_progress(self):
        """Wait until the caller has read some more."""
        self._progress = self._progress or anyio.Event()
        await self._progress.wait()


async def serve_buffered_reply(relay, call, reply, serve):
    """Serve a call whose caller may read slowly.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    call : Call
        The request.
    reply : Reply
        Writes to the caller.
    serve : callable
        Coroutine function that takes the same arguments and sends the answer.
    """
    buffered = BufferedReply(
        relay,
        reply,
        customer=call.customer.name if call.customer else "",
        request_id=call.request.attempt_id,
    )
    error: Exception | None = None
    relay.memory.replies[buffered.key] = buffered
    try:
        with buffered.scope:
            try:
                await serve(relay, call, buffered)
            except (Refusal, StreamAborted, CallerDisconnected) as ended:
                error = ended
            if not isinstance(error, CallerDisconnected):
                # Also before an abort: the caller can resume after the last event that
                # it received.
                await buffered.flush()
    finally:
        del relay.memory.replies[buffered.key]
        buffered.close()
    error = buffered.error or error
    if error is not None:
        raise error
