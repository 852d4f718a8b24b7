"""The protocol of tunnels: connections to replicas that a peer carries.

The node asks with one message, and the peer answers with one byte. After that the bytes
for the replica follow as they are. Those of the replica come in frames, each with its
length before it, and an empty frame tells that the replica has closed its connection.
If the connection to the peer ends without one, the answer may be cut off: a peer that
dies closes its connections as if they were complete.
"""

from dataclasses import dataclass
from enum import IntEnum

import anyio
import msgspec

from lycheetide.httpclient import Channel, ChannelConnectError

LENGTH_BYTES = 4
MAX_REQUEST_BYTES = 512
RECEIVE_BYTES = 65_536


class TunnelAnswer(IntEnum):
    """Answer to a request for a tunnel."""

    OPEN = 1
    UNREACHED = 2
    """The peer doesn't reach this replica, and has just reached others."""
    CUT_OFF = 3
    """The peer doesn't reach this replica, and perhaps no other."""
    REFUSED = 4


@dataclass
class TunnelService:
    """The tunnels that a node carries for its peers.

    Parameters
    ----------
    port : int
        Port at which it takes requests; 0 if it takes none.
    count : int
        Number of tunnels that are open or being opened.
    """

    port: int = 0
    count: int = 0


class TunnelDeclined(ChannelConnectError):
    """A peer has answered that it opens no tunnel.

    Parameters
    ----------
    message : str
        What happened.
    answer : TunnelAnswer
        The answer.
    """

    def __init__(self, message, answer):
        super().__init__(message, is_confirmed=answer is TunnelAnswer.UNREACHED)


class TunnelRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request for a connection to a replica.

    Parameters
    ----------
    fleet : str
        Address of the store that the sender reads.
    node : str
        Name of the sender, with its start.
    address : str
        Address of the replica.
    """

    fleet: str
    node: str
    address: str


_decoder = msgspec.msgpack.Decoder(TunnelRequest)
_encoder = msgspec.msgpack.Encoder()


def encode_frame(data):
    """Return bytes with their length before them."""
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


def encode_end():
    """Return the frame that tells that the replica has closed its connection."""
    return encode_frame(b"")


def encode_request(request):
    """Return the message of a request."""
    return encode_frame(_encoder.encode(request))


async def read_request(stream):
    """Read a request from a new connection.

    Raises
    ------
    msgspec.MsgspecError
        If it is not a valid request.
    anyio.EndOfStream, anyio.BrokenResourceError
        If the connection ends before it is complete.
    """
    data = b""
    while len(data) < LENGTH_BYTES or len(data) < LENGTH_BYTES + _read_length(data):
        if len(data) >= LENGTH_BYTES and _read_length(data) > MAX_REQUEST_BYTES:
            raise msgspec.DecodeError(f"a request of {_read_length(data)} bytes")
        data += await stream.receive(MAX_REQUEST_BYTES)
    return _decoder.decode(data[LENGTH_BYTES : LENGTH_BYTES + _read_length(data)])


def _read_length(data):
    """Return the length that a frame begins with."""
    return int.from_bytes(data[:LENGTH_BYTES], "big")


class TunnelStream:
    """A connection to a replica that a peer carries, as a stream of its bytes.

    Parameters
    ----------
    stream : anyio.abc.SocketStream
        The connection to the peer, after the answer to the request.
    """

    def __init__(self, stream):
        self._stream = stream
        self._received = bytearray()

    @property
    def has_pending(self):
        """Whether bytes were received that are no complete frame."""
        return bool(self._received)

    def extra(self, attribute):
        """Return an attribute of the connection to the peer."""
        return self._stream.extra(attribute)

    async def send(self, data):
        """Send bytes to the replica."""
        await self._stream.send(data)

    async def receive(self, max_bytes=RECEIVE_BYTES):
        """Return the bytes of the frames that have arrived, waiting for the first.

        Raises
        ------
        anyio.EndOfStream
            If the replica has closed its connection.
        anyio.BrokenResourceError
            If the connection to the peer ended before.
        """
        while True:
            data, has_ended = self._take_frames()
            if data:
                return data
            if has_ended:
                raise anyio.EndOfStream
            try:
                self._received += await self._stream.receive(max_bytes)
            except anyio.EndOfStream:
                raise anyio.BrokenResourceError from None

    def _take_frames(self):
        """Return the bytes of all complete frames, and whether the end is next."""
        parts = []
        at = 0
        while len(self._received) >= at + LENGTH_BYTES:
            begin = at + LENGTH_BYTES
            end = begin + _read_length(self._received[at:begin])
            if end == begin:
                break
            if len(self._received) < end:
                break
            parts.append(bytes(self._received[begin:end]))
            at = end
        del self._received[:at]
        has_ended = bytes(self._received[:LENGTH_BYTES]) == bytes(LENGTH_BYTES)
        return b"".join(parts), has_ended

    async def aclose(self):
        """Close the connection; the peer then closes that to the replica."""
        await self._stream.aclose()


class TunnelChannel(Channel):
    """An HTTP connection through a tunnel.

    Parameters
    ----------
    stream : TunnelStream
        The tunnel.
    address : str
        Address of the replica.
    via : str
        Address of the peer.
    """

    def __init__(self, stream, address, *, via):
        super().__init__(stream, address)
        self.via = via

    def is_alive(self):
        """Return whether the connection can be reused."""
        return not self.stream.has_pending and super().is_alive()
