"""Read streams of events, and check that answers are whole and their attempt's own."""

from lycheetide.streams._check import (
    Chunk,
    ChunkVerdict,
    StreamCheck,
    check_chunk,
    parse_chunk,
)
from lycheetide.streams._events import (
    BYTE_ORDER_MARK,
    Event,
    EventSplitter,
    EventTooLongError,
    find_data,
)

__all__ = [
    "BYTE_ORDER_MARK",
    "Chunk",
    "ChunkVerdict",
    "Event",
    "EventSplitter",
    "EventTooLongError",
    "StreamCheck",
    "check_chunk",
    "find_data",
    "parse_chunk",
]
