"""Read and append streams of the log service over HTTP."""

from dataclasses import dataclass
from typing import Any

import httpx
import msgspec

from lycheetide.membership import Host

READ_LIMIT = 1000
ANSWER_S = 3.0


class LogUnavailable(Exception):
    """The log did not answer; an append may have taken effect all the same."""


@dataclass(frozen=True)
class LogBatch:
    """What one read gave.

    Parameters
    ----------
    first_retained, next_offset : int
        The oldest record kept, and the offset that the next one will get.
    records : tuple of (int, record)
        In order.
    """

    first_retained: int
    next_offset: int
    records: tuple[tuple[int, Any], ...]


class LogClient:
    """One log service.

    Parameters
    ----------
    http : httpx.AsyncClient
        The connections; the client's transport must not retry.
    url : str
        Where the log is.
    """

    def __init__(self, http, url):
        self.http = http
        self.url = url

    async def read(self, stream, offset, *, wait_s=0.0, limit=READ_LIMIT):
        """Read records from ``offset`` on, waiting up to ``wait_s`` for the first.

        Raises
        ------
        LogUnavailable
            If there is no usable answer.
        """
        params = {"from": offset, "wait_s": wait_s, "limit": limit}
        try:
            response = await self.http.get(
                f"{self.url}/streams/{stream}/records",
                params=params,
                timeout=ANSWER_S + wait_s,
            )
            response.raise_for_status()
            body = msgspec.json.decode(response.content)
            records = tuple((row["offset"], row["value"]) for row in body["records"])
            return LogBatch(body["first_retained"], body["next_offset"], records)
        except (httpx.HTTPError, msgspec.MsgspecError, KeyError) as error:
            raise LogUnavailable(f"reading {stream}: {error!r}") from error

    async def read_all(self, stream, offset):
        """Read every record from ``offset`` to the end.

        Returns
        -------
        LogBatch
            With the oldest record kept as it was after the last read, so that
            records dropped meanwhile are noticed.
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
        """Append records in one call and return the first one's offset.

        Raises
        ------
        LogUnavailable
            If there is no usable answer; the records may stand on the log or not.
        """
        try:
            response = await self.http.post(
                f"{self.url}/streams/{stream}/records",
                content=msgspec.json.encode({"records": records}),
                headers={"content-type": "application/json"},
                timeout=ANSWER_S,
            )
            response.raise_for_status()
            return msgspec.json.decode(response.content)["first_offset"]
        except (httpx.HTTPError, msgspec.MsgspecError, KeyError) as error:
            raise LogUnavailable(f"appending to {stream}: {error!r}") from error


async def read_hosts(http, url):
    """Read the platform's list of hosts.

    Returns
    -------
    tuple of Host
        As the platform sees them; it lags.
    """
    try:
        response = await http.get(f"{url}/hosts", timeout=ANSWER_S)
        response.raise_for_status()
        rows = msgspec.json.decode(response.content)["hosts"]
        return msgspec.convert(rows, tuple[Host, ...])
    except (httpx.HTTPError, msgspec.MsgspecError, KeyError) as error:
        raise LogUnavailable(f"reading the host list: {error!r}") from error
