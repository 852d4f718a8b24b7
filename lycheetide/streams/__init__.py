"""Check that an answer is complete and belongs to its own attempt."""

from lycheetide.streams._check import (
    Chunk,
    ChunkVerdict,
    StreamCheck,
    check_chunk,
    parse_chunk,
)

__all__ = ["Chunk", "ChunkVerdict", "StreamCheck", "check_chunk", "parse_chunk"]
