"""Call other nodes over gRPC; nothing is ever sent twice by the library."""

import asyncio

import anyio
import anyio.lowlevel
import grpc

from lycheetide.peers._codec import encode, make_decoder
from lycheetide.peers._messages import CALLS

SERVICE = "lycheetide.Peer"
LARGEST_MESSAGE_BYTES = 32_000_000
CHANNEL_OPTIONS = (
    ("grpc.enable_retries", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 500),
    ("grpc.max_receive_message_length", LARGEST_MESSAGE_BYTES),
    ("grpc.max_send_message_length", LARGEST_MESSAGE_BYTES),
    ("grpc.use_local_subchannel_pool", 1),
)


class PeerUnreached(Exception):
    """A peer did not answer in time; it may have taken the call all the same."""


class PeerClient:
    """Channels to other nodes, one an address."""

    def __init__(self):
        self._channels = {}
        self._calls = {}
        self.counts = dict.fromkeys(CALLS, 0)

    async def call(self, address, name, request, *, timeout_s):
        """Make one call.

        Parameters
        ----------
        address : str
            "ip:port" of the peer.
        name : str
            A key of ``CALLS``.
        request : object
            The call's request.
        timeout_s : float
            How long to wait; a frozen peer keeps its connections open, so waiting
            for the connection to break would be waiting for ever.

        Raises
        ------
        PeerUnreached
            If there is no answer.
        """
        self.counts[name] += 1
        method = self._get_method(address, name)
        try:
            return await method(request, timeout=timeout_s)
        except grpc.aio.AioRpcError as error:
            raise PeerUnreached(f"{name} at {address}: {error.code().name}") from error
        except asyncio.CancelledError:
            # The library raises a cancellation of its own instead of passing on the
            # one that it got. A cancel scope does not know it, so a deadline that fell
            # into a call ended the whole task without a word, and callers got an
            # empty answer. The checkpoint raises the scope's own one, if there is one.
            await anyio.lowlevel.checkpoint()
            raise PeerUnreached(f"{name} at {address}: cancelled") from None

    def _get_method(self, address, name):
        """Return the stub of one call, made once."""
        method = self._calls.get((address, name))
        if method is None:
            if address not in self._channels:
                self._channels[address] = grpc.aio.insecure_channel(
                    address, options=CHANNEL_OPTIONS
                )
            _, reply_type = CALLS[name]
            method = self._channels[address].unary_unary(
                f"/{SERVICE}/{name}",
                request_serializer=encode,
                response_deserializer=make_decoder(reply_type),
            )
            self._calls[address, name] = method
        return method

    async def forget(self, addresses):
        """Close the channels to all but these addresses."""
        for address in set(self._channels) - set(addresses):
            channel = self._channels.pop(address)
            self._calls = {k: v for k, v in self._calls.items() if k[0] != address}
            await channel.close()

    async def close(self):
        """Close all channels."""
        await self.forget(())
