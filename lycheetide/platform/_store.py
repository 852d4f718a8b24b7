"""Client for the platform's store."""

import base64
from dataclasses import dataclass
from urllib.parse import quote

import msgspec

from lycheetide.exchange import DECODE_ERRORS, Record, RecordBatch, StoreUnavailable
from lycheetide.httpclient import (
    Channel,
    ChannelConnectError,
    ChannelError,
    OutgoingRequest,
)
from lycheetide.platform._records import (
    BATCH_HEADER_BYTES,
    RecordFormatError,
    decode_records,
    encode_record,
)

OPERATOR_TOPIC = "keyed.op"
"""Topic of operators' records: the configuration and failure domains out of service."""
REGISTRY_TOPIC = "keyed.servers"
"""Topic of the records that replicas write about themselves."""
NODES_TOPIC = "keyed.lycheetide-nodes"
"""Topic to which the nodes of this system write their addresses."""

QUARANTINE_TOPIC = "keyed.lycheetide-quarantine"
"""Topic to which the nodes write which prompts are kept from replicas."""

MAX_READ_KB = 1_024


class _Item(msgspec.Struct, frozen=True):
    """A record in a listing."""

    key: str
    offset: int
    value: str = ""


class _Page(msgspec.Struct, frozen=True):
    """A page of a listing."""

    items: list[_Item]
    end: int
    more: bool = False


@dataclass(frozen=True)
class _StoreResponse:
    """Status and body of a response."""

    status: int
    body: bytes


class StoreClient:
    """A client with one persistent connection that carries one call at a time.

    Parameters
    ----------
    address : str
        The address of the store, "ip:port".
    note_call : callable
        Called before each call with its kind: "read", "wait", "list" or "append".
    """

    def __init__(self, address, *, note_call=lambda verb: None):
        self.address = address
        self._note_call = note_call
        self._channel = None

    async def read(self, topic, offset, *, wait_s, timeout_s) -> RecordBatch:
        """Return the records from an offset on, or a listing if they have expired.

        Parameters
        ----------
        topic : str
            A keyed topic.
        offset : int
            The offset of the first record; below 0 for a listing.
        wait_s : float
            How long the store may wait for a new record.
        timeout_s : float
            The timeout of the call, in addition to ``wait_s``.

        Raises
        ------
        StoreUnavailable
            If there was no usable response.
        """
        if offset < 0:
            return await self.list(topic, timeout_s=timeout_s)
        target = (
            f"/-/log-read?topic={topic}&part=0&from={offset}"
            f"&maxKb={MAX_READ_KB}&waitMs={int(wait_s * 1000)}"
        )
        self._note_call("wait" if wait_s else "read")
        answer = await self._call(
            "GET", target, b"", wait_s=wait_s, timeout_s=timeout_s
        )
        if answer.status == 410:
            return await self.list(topic, timeout_s=timeout_s)
        self._check(answer, target)
        if len(answer.body) < BATCH_HEADER_BYTES:
            raise StoreUnavailable(f"{target}: got {len(answer.body)} bytes")
        end = int.from_bytes(answer.body[:8], "big")
        try:
            records = tuple(decode_records(answer.body[BATCH_HEADER_BYTES:], offset))
        except RecordFormatError as error:
            raise StoreUnavailable(str(error)) from error
        next_offset = records[-1].offset + 1 if records else max(end, offset)
        return RecordBatch(records, next_offset)

    async def list(self, topic, *, timeout_s) -> RecordBatch:
        """Return the newest record of each key.

        Raises
        ------
        StoreUnavailable
            If there was no usable response.
        """
        records: list[Record] = []
        after = ""
        first_page_end = None
        while True:
            target = f"/-/log-newest?topic={topic}&part=0"
            if after:
                target += f"&after={quote(after, safe='')}"
            self._note_call("list")
            answer = await self._call("GET", target, b"", timeout_s=timeout_s)
            self._check(answer, target)
            try:
                page = msgspec.json.decode(answer.body, type=_Page)
                records.extend(_decode_item(item) for item in page.items)
            except DECODE_ERRORS as error:
                raise StoreUnavailable(f"{target}: {error}") from error
            if first_page_end is None:
                # The pages are not one consistent snapshot: records written since the
                # first page are read again, starting from the end offset of that page.
                first_page_end = page.end
            if not page.more or not page.items:
                return RecordBatch(tuple(records), first_page_end, is_listing=True)
            after = page.items[-1].key

    async def append(self, topic, key, value, *, timeout_s):
        """Append a keyed record.

        Raises
        ------
        StoreUnavailable
            If the record may not have been written.
        """
        target = f"/-/log-append?topic={topic}&part=0"
        body = encode_record(key, value)
        self._note_call("append")
        self._check(await self._call("POST", target, body, timeout_s=timeout_s), target)

    async def aclose(self):
        """Close the connection."""
        if self._channel is not None:
            channel, self._channel = self._channel, None
            await channel.aclose()

    @staticmethod
    def _check(answer, target):
        """Raise ``StoreUnavailable`` unless the response has status 200."""
        if answer.status != 200:
            raise StoreUnavailable(f"{target}: got status {answer.status}")

    async def _call(self, method, target, body, *, timeout_s, wait_s=0.0):
        """Make one call; the connection is closed if anything goes wrong.

        Only the head of the answer may take ``wait_s`` longer than ``timeout_s``.
        """
        whole = False
        try:
            if self._channel is None or not self._channel.is_alive():
                await self.aclose()
                self._channel = await Channel.connect(self.address, timeout_s=timeout_s)
            headers = [(b"Host", self.address.encode())]
            if body:
                headers.append((b"Content-Type", b"application/octet-stream"))
            outgoing = OutgoingRequest(
                method.encode(), target.encode(), tuple(headers), body
            )
            head = await self._channel.request(outgoing, timeout_s=wait_s + timeout_s)
            content = await self._channel.read_all(timeout_s=timeout_s)
            whole = self._channel.is_reusable
            return _StoreResponse(head.status, content)
        except (ChannelConnectError, ChannelError) as error:
            raise StoreUnavailable(str(error)) from error
        finally:
            if not whole:
                await self.aclose()


def _decode_item(item):
    """Convert an item of a listing to a record."""
    value = base64.b64decode(item.value) if item.value else None
    return Record(item.offset, item.key, value)
