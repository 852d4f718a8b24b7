"""The binary format of records in the store."""

from collections.abc import Iterator

from lycheetide.exchange import Record

LENGTH_PREFIX_BYTES = 4
BATCH_HEADER_BYTES = 16


class RecordFormatError(Exception):
    """The bytes are not a valid sequence of records."""


def decode_records(data: bytes, first: int) -> Iterator[Record]:
    """Decode keyed records.

    Parameters
    ----------
    data : bytes
        The records, each preceded by its length.
    first : int
        The offset of the first record.

    Yields
    ------
    Record
        The records, with consecutive offsets; an empty value is decoded as None.

    Raises
    ------
    RecordFormatError
        If a record is empty or extends beyond the end of ``data``.

    Examples
    --------
    >>> list(decode_records(bytes([0, 0, 0, 4, 2]) + b"abc", 7))
    [Record(offset=7, key='ab', value=b'c')]
    """
    position = 0
    offset = first
    while position < len(data):
        start = position + LENGTH_PREFIX_BYTES
        position = start + int.from_bytes(data[position:start], "big")
        if position > len(data) or position == start:
            raise RecordFormatError(
                f"record {offset} ends at {position} of {len(data)} bytes"
            )
        key_end = start + 1 + data[start]
        key = data[start + 1 : key_end].decode("utf-8", "replace")
        yield Record(offset, key, data[key_end:position] or None)
        offset += 1


def encode_record(key: str, value: bytes) -> bytes:
    """Encode a keyed record, preceded by its length."""
    name = key.encode()
    body = bytes([len(name)]) + name + value
    return len(body).to_bytes(LENGTH_PREFIX_BYTES, "big") + body
