"""Read answers within the limit of what a node may hold of all of them together."""

from contextlib import contextmanager

import anyio

from lycheetide.httpclient import ChannelError

MIN_COUNTED_BYTES = 65_536
"""Size from which on the beginning of an event counts; nearly all are shorter."""


class HeldAnswer:
    """Reads the answers to one call, which are held until the call has ended.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    """

    def __init__(self, relay):
        self._relay = relay
        self._scope: anyio.CancelScope | None = None
        self._is_given_up = False

    async def read(self, channel, *, timeout_s, more=None):
        """Return the whole body of an answer.

        Raises
        ------
        ChannelError
            If it isn't whole, or was given up for the memory of the node.
        """
        answers = self._relay.memory.answers
        try:
            with anyio.CancelScope() as self._scope:
                body = await channel.read_all(
                    timeout_s=timeout_s, more=more, note_read=self._count
                )
                answers.finish(self)
                return body
            raise self._make_error(channel)
        finally:
            answers.drop(self)

    def count_event(self, channel, size):
        """Count the beginning of an event, of which the end hasn't arrived yet.

        Raises
        ------
        ChannelError
            If the answer is given up.
        """
        self._relay.memory.answers.drop(self)
        if size >= MIN_COUNTED_BYTES:
            self._count(size)
        if self._is_given_up:
            raise self._make_error(channel)

    def give_up(self):
        """End the reading of the answer."""
        self._is_given_up = True
        if self._scope is not None:
            self._scope.cancel()

    def _count(self, size):
        """Count bytes that were read, and give up the longest answer if need be."""
        longest = self._relay.memory.answers.add(self, size)
        if longest is not None:
            longest.give_up()

    def _make_error(self, channel):
        """Count and log that the answer was given up; return the error."""
        self._relay.counters.add("memory.answers_given_up")
        self._relay.log.warning(
            "An answer is given up to free memory.",
            extra={
                "address": channel.address,
                "held_bytes": self._relay.memory.answers.total,
            },
        )
        return ChannelError(f"{channel.address}: the answer is too long for this node")


@contextmanager
def hold_answer(relay):
    """Yield a reader of the answers to a call, whose bytes count until the end."""
    held = HeldAnswer(relay)
    try:
        yield held
    finally:
        relay.memory.answers.release(held)
