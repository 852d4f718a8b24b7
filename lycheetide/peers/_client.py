"""Client for calls to other nodes over gRPC, with the library's retries turned off."""

import asyncio

import anyio
import anyio.lowlevel
import grpc

from lycheetide.peers._codec import encode, make_decoder
from lycheetide.peers._messages import METHODS

SERVICE = "lycheetide.Peer"
MAX_MESSAGE_BYTES = 32_000_000
CHANNEL_OPTIONS = (
    ("grpc.enable_retries", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 500),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.use_local_subchannel_pool", 1),
)


class PeerUnreachable(Exception):
    """A peer did not answer in time; it may have executed the call all the same."""


class PeerClient:
    """Calls other nodes, over one channel for each address.

    Attributes
    ----------
    counts : dict of str to int
        Number of calls made, by method.
    """

    def __init__(self):
        self._channels = {}
        self._stubs = {}
        self.counts = dict.fromkeys(METHODS, 0)

    async def call(self, address, name, request, *, timeout_s):
        """Make one call.

        Parameters
        ----------
        address : str
            "ip:port" of the peer.
        name : str
            Name of the method, a key of ``METHODS``.
        request : object
            Request of the method's type.
        timeout_s : float
            How long to wait. A timeout is necessary since a frozen peer keeps its
            connections open: waiting for the connection to break would take for ever.

        Returns
        -------
        object
            Reply of the method's type.

        Raises
        ------
        PeerUnreachable
            If there is no answer.
        """
        self.counts[name] += 1
        method = self._get_stub(address, name)
        try:
            return await method(request, timeout=timeout_s)
        except grpc.aio.AioRpcError as error:
            raise PeerUnreachable(
                f"{name} at {address}: {error.code().name}"
            ) from error
        except asyncio.CancelledError:
            # gRPC raises a CancelledError of its own instead of the one it received.
            # An anyio cancel scope does not recognize it, so a deadline that passed
            # during a call ended the whole task silently, and callers got an empty
            # answer. The checkpoint raises the scope's own cancellation, if any.
            await anyio.lowlevel.checkpoint()
            raise PeerUnreachable(f"{name} at {address}: cancelled") from None

    def _get_stub(self, address, name):
        """Return the stub of a method at an address, creating it on first use."""
        method = self._stubs.get((address, name))
        if method is None:
            if address not in self._channels:
                self._channels[address] = grpc.aio.insecure_channel(
                    address, options=CHANNEL_OPTIONS
                )
            _, reply_type = METHODS[name]
            method = self._channels[address].unary_unary(
                f"/{SERVICE}/{name}",
                request_serializer=encode,
                response_deserializer=make_decoder(reply_type),
            )
            self._stubs[address, name] = method
        return method

    async def close_except(self, addresses):
        """Close the channels to all addresses except the given ones."""
        for address in set(self._channels) - set(addresses):
            channel = self._channels.pop(address)
            self._stubs = {k: v for k, v in self._stubs.items() if k[0] != address}
            await channel.close()

    async def close(self):
        """Close all channels."""
        await self.close_except(())
