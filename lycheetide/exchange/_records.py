"""Types of the records that are read from the store, a log of keyed records."""

from dataclasses import dataclass

import msgspec

DECODE_ERRORS = (
    msgspec.MsgspecError,
    ValueError,
    TypeError,
    OverflowError,
    RecursionError,
)
"""What decoding the bytes of another writer may raise, whatever they are."""


class StoreUnavailable(Exception):
    """The store gave no valid answer to a call; a write may have taken effect."""


@dataclass(frozen=True)
class Record:
    """One record of a keyed topic.

    Parameters
    ----------
    offset : int
        Offset of the record in the log.
    key : str
        Key of the record.
    value : bytes or None
        Value of the key; None if the key was removed.
    """

    offset: int
    key: str
    value: bytes | None


@dataclass(frozen=True)
class RecordBatch:
    """Result of a read.

    Parameters
    ----------
    records : tuple of Record
        The records in the order of their offsets.
    end : int
        Offset that the next record will get.
    is_listing : bool
        Whether this is a listing, the newest record of every key, and not the records
        since the last read.
    """

    records: tuple[Record, ...]
    end: int
    is_listing: bool = False
