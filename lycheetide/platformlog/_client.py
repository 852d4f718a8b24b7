"""HTTP client of the log service and of the host list."""

from dataclasses import dataclass
from typing import Any

import httpx
import msgspec

from lycheetide.exchange import DECODE_ERRORS
from lycheetide.membership import Host

MAX_READ_RECORDS = 1000
RESPONSE_TIMEOUT_S = 3.0


class LogUnavailable(Exception):
    """The log gave no valid answer; an append may have taken effect anyway."""


@dataclass(frozen=True)
class LogBatch:
    """Result of a read.

    Parameters
    ----------
    first_retained : int
        Offset of the oldest record that the log retains.
    next_offset : int
        Offset that the next record will get.
    records : tuple of (int, record)
        Offsets and records, in order.
    """

    first_retained: int
    next_offset: int
    records: tuple[tuple[int, Any], ...]


class LogClient:
    """Client of the log service.

    Parameters
    ----------
    http : httpx.AsyncClient
        The HTTP client to use. Its transport must not retry.
    url : str
        Base URL of the log service.
    """

    def __init__(self, http, url):
        self.http = http
        self.url = url

    async def read(self, stream, offset, *, wait_s=0.0, limit=MAX_READ_RECORDS):
        """Read records from ``offset`` on, and wait up to ``wait_s`` for the first one.

        Raises
        ------
        LogUnavailable
            If there is no valid answer.
        """
        params = {"from": offset, "wait_s": wait_s, "limit": limit}
        try:
            response = await self.http.get(
                f"{self.url}/streams/{stream}/records",
                params=params,
                timeout=RESPONSE_TIMEOUT_S + wait_s,
            )
            response.raise_for_status()
            body = msgspec.json.decode(response.content)
            records = tuple((row["offset"], row["value"]) for row in body["records"])
            return LogBatch(body["first_retained"], body["next_offset"], records)
        except (httpx.HTTPError, *DECODE_ERRORS, KeyError) as error:
            raise LogUnavailable(
                f"reading stream {stream} failed: {error!r}"
            ) from error

    async def read_all(self, stream, offset):
        """Read all records from ``offset`` to the end.

        Returns
        -------
        LogBatch
            Its ``first_retained`` is that of the last read, so that records which the
            log dropped in the meantime are noticed.
        """
        records: list[tuple[int, Any]] = []
        position = offset
        while True:
            batch = await self.read(stream, position)
            records.extend(batch.records)
            position = batch.records[-1][0] + 1 if batch.records else position
            if not batch.records or position >= batch.next_offset:
                return LogBatch(batch.first_retained, batch.next_offset, tuple(records))

    async def append(self, stream, records):
        """Append records in one call and return the offset of the first one.

        Raises
        ------
        LogUnavailable
            If there is no valid answer; the records may or may not be on the log.
        """
        try:
            response = await self.http.post(
                f"{self.url}/streams/{stream}/records",
                content=msgspec.json.encode({"records": records}),
                headers={"content-type": "application/json"},
                timeout=RESPONSE_TIMEOUT_S,
            )
            response.raise_for_status()
            return msgspec.json.decode(response.content)["first_offset"]
        except (httpx.HTTPError, *DECODE_ERRORS, KeyError) as error:
            raise LogUnavailable(
                f"appending to stream {stream} failed: {error!r}"
            ) from error


async def read_hosts(http, url):
    """Read the host list of the platform.

    Returns
    -------
    tuple of Host
        The hosts as the platform knows them; the list lags behind the actual state.

    Raises
    ------
    LogUnavailable
        If there is no valid answer.
    """
    try:
        response = await http.get(f"{url}/hosts", timeout=RESPONSE_TIMEOUT_S)
        response.raise_for_status()
        rows = msgspec.json.decode(response.content)["hosts"]
        return msgspec.convert(rows, tuple[Host, ...])
    except (httpx.HTTPError, *DECODE_ERRORS, KeyError) as error:
        raise LogUnavailable(f"reading the host list failed: {error!r}") from error
