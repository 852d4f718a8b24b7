"""Split a stream of server-sent events into whole events.

The format, ``text/event-stream``, is that of the HTML standard: a line ends with CR LF,
LF or CR, and an empty line ends an event.
"""

import re
from collections.abc import Iterator
from dataclasses import dataclass

MAX_EVENT_BYTES = 1_048_576
"""Longest event; a replica that sends more without an end sends no events."""
MAX_NUMBER_DIGITS = 18
"""Longest id that is taken as a number."""
BYTE_ORDER_MARK = b"\xef\xbb\xbf"

# Atomic, as a CR LF must not be taken for two line ends.
_LINE_END = rb"(?>\r\n|\n|\r)"
_END_OF_LINE = re.compile(_LINE_END)
_END_OF_EVENT = re.compile(_LINE_END + _LINE_END)
_LINE_START = re.compile(rb"[^\r\n]")


class EventTooLongError(ValueError):
    """Bytes of a stream that go on without the end of an event."""


@dataclass(frozen=True)
class Event:
    """One event of a stream.

    Parameters
    ----------
    data : bytes
        All lines of the event as they were sent, with the empty line that ends it, and
        with the line ends before it that belong to no event.
    id : bytes
        The id of the event; empty if it has none.
    """

    data: bytes
    id: bytes

    @property
    def number(self):
        """The id as a number, or None if it isn't one."""
        is_number = self.id.isdigit() and len(self.id) <= MAX_NUMBER_DIGITS
        return int(self.id) if is_number else None


class EventSplitter:
    r"""Buffers bytes of a stream and returns whole events.

    The events don't depend on where the bytes are cut. An event whose empty line ends
    with CR is returned at once; if a LF follows, it becomes the first byte of the next
    event, and all bytes together remain as they were sent.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> list(splitter.split(b"id: 1\ndata: a\n\nid: 2"))
    [Event(data=b'id: 1\ndata: a\n\n', id=b'1')]
    >>> splitter.rest, splitter.is_within_event
    (b'id: 2', True)
    >>> list(splitter.split(b"\r\n\r"))
    [Event(data=b'id: 2\r\n\r', id=b'2')]
    >>> list(splitter.split(b"\n")), splitter.rest, splitter.is_within_event
    ([], b'\n', False)
    """

    def __init__(self):
        self._buffer = bytearray()
        self._searched = 0

    @property
    def rest(self):
        """Bytes after the last whole event."""
        return bytes(self._buffer)

    @property
    def rest_bytes(self):
        """Number of bytes after the last whole event."""
        return len(self._buffer)

    @property
    def is_within_event(self):
        """Whether the bytes after the last whole event are part of another one."""
        return bool(self.rest.removeprefix(BYTE_ORDER_MARK).strip())

    def split(self, data: bytes) -> Iterator[Event]:
        """Add bytes to the buffer and yield the events that are now whole.

        Raises
        ------
        EventTooLongError
            If an event is longer than ``MAX_EVENT_BYTES``.
        """
        self._buffer += data
        while (end := self._find_end()) > 0:
            event = bytes(self._buffer[:end])
            del self._buffer[:end]
            self._searched = 0
            yield Event(event, find_id(event))
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLongError(
                f"{len(self._buffer)} bytes without the end of an event"
            )

    def _find_end(self):
        """Return the length of the first whole event in the buffer, 0 if none is."""
        begin = self._searched
        if begin == 0:
            start = _LINE_START.search(self._buffer)
            if start is None:
                return 0
            begin = start.start()
        match = _END_OF_EVENT.search(self._buffer, begin)
        if match is not None:
            return match.end()
        # The last line end may be part of the end of the event, and have two bytes.
        self._searched = max(begin, len(self._buffer) - 2)
        return 0


def read_fields(event: bytes) -> Iterator[tuple[bytes, bytes]]:
    r"""Yield the name and the value of each field of an event.

    Examples
    --------
    >>> list(read_fields(b": a comment\rid: 12\r\ndata:x\ndata\n\n"))
    [(b'id', b'12'), (b'data', b'x'), (b'data', b'')]
    """
    for line in _END_OF_LINE.split(event.removeprefix(BYTE_ORDER_MARK)):
        name, _, value = line.partition(b":")
        if name:
            yield name, value.removeprefix(b" ")


def find_id(event: bytes) -> bytes:
    r"""Return the id of an event, the last one if it has several; empty for none.

    Examples
    --------
    >>> find_id(b"id: 12\r\ndata: x\r\n\r\n")
    b'12'
    """
    ids = [value.strip() for name, value in read_fields(event) if name == b"id"]
    return ids[-1] if ids else b""


def find_data(event: bytes) -> bytes | None:
    r"""Return the data of an event, with its lines joined; None if it has none.

    Examples
    --------
    >>> find_data(b"data: a\r\ndata: b\r\n\r\n")
    b'a\nb'
    """
    lines = [value for name, value in read_fields(event) if name == b"data"]
    return b"\n".join(lines) if lines else None
