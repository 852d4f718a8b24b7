"""The byte format of the store's records."""

from collections.abc import Iterator

from lycheetide.exchange import Record

LENGTH_BYTES = 4
HEAD_BYTES = 16


class BrokenRecords(Exception):
    """Bytes that are no sequence of records."""


def decode_records(data: bytes, first: int) -> Iterator[Record]:
    """Yield keyed records.

    Parameters
    ----------
    data : bytes
        Records, each behind its length.
    first : int
        Offset of the first.

    Raises
    ------
    BrokenRecords
        If a length runs past the end.

    Examples
    --------
    >>> list(decode_records(bytes([0, 0, 0, 4, 2]) + b"abc", 7))
    [Record(offset=7, key='ab', value=b'c')]
    """
    at = 0
    offset = first
    while at < len(data):
        start = at + LENGTH_BYTES
        at = start + int.from_bytes(data[at:start], "big")
        if at > len(data) or at == start:
            raise BrokenRecords(f"record {offset} ends at {at} of {len(data)} bytes")
        key_end = start + 1 + data[start]
        key = data[start + 1 : key_end].decode("utf-8", "replace")
        yield Record(offset, key, data[key_end:at] or None)
        offset += 1


def encode_record(key: str, value: bytes) -> bytes:
    """Return a keyed record behind its length."""
    name = key.encode()
    body = bytes([len(name)]) + name + value
    return len(body).to_bytes(LENGTH_BYTES, "big") + body
