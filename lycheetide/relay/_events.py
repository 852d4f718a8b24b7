"""Split a stream of server-sent events into whole events."""

from collections.abc import Iterator
from dataclasses import dataclass

END_OF_EVENT = b"\n\n"
MAX_EVENT_BYTES = 1_048_576
"""Longest event; a replica that sends more without an end sends no events."""


class EventTooLongError(ValueError):
    """Bytes of a stream that go on without the end of an event."""


@dataclass(frozen=True)
class Event:
    """One event of a stream.

    Parameters
    ----------
    data : bytes
        All lines of the event, with the empty line that ends it.
    id : bytes
        The id of the event; empty if it has none.
    """

    data: bytes
    id: bytes

    @property
    def number(self):
        """The id as a number, or None if it isn't one."""
        return int(self.id) if self.id.isdigit() else None


class EventSplitter:
    r"""Buffers bytes of a stream and returns whole events.

    Attributes
    ----------
    rest : bytes
        Bytes after the last whole event.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> list(splitter.split(b"id: 1\ndata: a\n\nid: 2"))
    [Event(data=b'id: 1\ndata: a\n\n', id=b'1')]
    >>> splitter.rest
    b'id: 2'
    """

    def __init__(self):
        self.rest = b""

    def split(self, data: bytes) -> Iterator[Event]:
        """Add bytes to the buffer and yield the events that are now whole.

        Raises
        ------
        EventTooLongError
            If an event is longer than ``MAX_EVENT_BYTES``.
        """
        self.rest += data.replace(b"\r\n", b"\n") if b"\r" in data else data
        while (end := self.rest.find(END_OF_EVENT)) >= 0:
            end += len(END_OF_EVENT)
            event, self.rest = self.rest[:end], self.rest[end:]
            yield Event(event, find_id(event))
        if len(self.rest) > MAX_EVENT_BYTES:
            raise EventTooLongError(
                f"{len(self.rest)} bytes without the end of an event"
            )


def find_id(event: bytes) -> bytes:
    r"""Return the id of an event; empty if it has none.

    Examples
    --------
    >>> find_id(b"id: 12\ndata: x\n\n")
    b'12'
    """
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            return line[3:].strip()
    return b""
