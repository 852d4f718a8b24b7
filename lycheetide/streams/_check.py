"""Check the attempt, the sequence number and the end mark of every chunk of an answer.

Chunks may arrive late or on the wrong stream: an abandoned connection may still
deliver, and an engine may send the tokens of one request on the stream of another.
Without this check a caller would get another request's tokens, or an answer with a gap,
and not notice. So a chunk that is not exactly the next one of its attempt is dropped
and counted, and an answer is complete only if its end mark comes at the expected
position.
"""

from dataclasses import dataclass
from enum import StrEnum

import msgspec


@dataclass(frozen=True)
class Chunk:
    """A chunk of an answer, as an engine sends it."""

    attempt_id: str
    seq: int
    text: str = ""
    end: bool = False


class ChunkVerdict(StrEnum):
    """What to do with a chunk.

    ``GAP`` means that chunks before it are missing, and ``SHORT`` that the end mark
    came at another position than expected.
    """

    DELIVER = "deliver"
    DROP_CROSSED = "drop_crossed"
    DROP_DUPLICATE = "drop_duplicate"
    GAP = "gap"
    END = "end"
    SHORT = "short"


@dataclass(frozen=True)
class StreamCheck:
    """Progress of the answer to one request.

    Parameters
    ----------
    attempt_id : str
        The attempt whose chunks are accepted.
    next_seq : int
        Sequence number of the next token, which the next chunk carries.
    """

    attempt_id: str
    next_seq: int = 0


def parse_chunk(data):
    """Decode a chunk from JSON.

    Raises
    ------
    msgspec.MsgspecError
        If the data is not a valid chunk.
    """
    return msgspec.json.decode(data, type=Chunk)


def check_chunk(check, chunk):
    """Check one chunk against the progress of the answer.

    Parameters
    ----------
    check : StreamCheck
        Progress before the chunk.
    chunk : Chunk
        The received chunk.

    Returns
    -------
    check : StreamCheck
        Progress after the chunk.
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
