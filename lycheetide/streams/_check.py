"""Check every chunk for its attempt, its sequence number and the end mark.

Answers come late and crossed: a connection that was given up on may still deliver,
and an engine may send one request's tokens on another's stream. Without this check a
caller would read a rival's tokens or a gap, and not notice; so a chunk that is not
exactly the next one of this attempt is dropped and counted, and only an end mark at
the expected place makes an answer whole.
"""

from dataclasses import dataclass
from enum import StrEnum

import msgspec


@dataclass(frozen=True)
class Chunk:
    """One chunk as an engine sends it."""

    attempt_id: str
    seq: int
    text: str = ""
    end: bool = False


class ChunkVerdict(StrEnum):
    """What to do with a chunk."""

    DELIVER = "deliver"
    DROP_CROSSED = "drop_crossed"
    DROP_DUPLICATE = "drop_duplicate"
    GAP = "gap"
    END = "end"
    SHORT = "short"


@dataclass(frozen=True)
class StreamCheck:
    """How far one request's answer has come.

    Parameters
    ----------
    attempt_id : str
        The attempt that may deliver now.
    next_seq : int
        The token that comes next.
    """

    attempt_id: str
    next_seq: int = 0


def parse_chunk(data):
    """Read a chunk.

    Raises
    ------
    msgspec.MsgspecError
        If it is none.
    """
    return msgspec.json.decode(data, type=Chunk)


def check_chunk(check, chunk):
    """Judge one chunk.

    Parameters
    ----------
    check : StreamCheck
        How far the answer has come.
    chunk : Chunk
        What came.

    Returns
    -------
    check : StreamCheck
        How far it is afterwards.
    verdict : ChunkVerdict
        What to do with the chunk.

    Examples
    --------
    >>> check, verdict = check_chunk(StreamCheck("a1"), Chunk("a1", 0, "Hello"))
    >>> verdict.value, check.next_seq
    ('deliver', 1)
    """
    if chunk.attempt_id != check.attempt_id:
        return check, ChunkVerdict.DROP_CROSSED
    if chunk.end:
        whole = chunk.seq == check.next_seq
        return check, ChunkVerdict.END if whole else ChunkVerdict.SHORT
    if chunk.seq < check.next_seq:
        return check, ChunkVerdict.DROP_DUPLICATE
    if chunk.seq > check.next_seq:
        return check, ChunkVerdict.GAP
    return StreamCheck(check.attempt_id, check.next_seq + 1), ChunkVerdict.DELIVER
