"""Serve the calls of other nodes over gRPC."""

import grpc

from lycheetide.peers._client import LARGEST_MESSAGE_BYTES, SERVICE
from lycheetide.peers._codec import encode, make_decoder
from lycheetide.peers._messages import CALLS


def make_server(handlers, *, address):
    """Return a server that is not started yet.

    Parameters
    ----------
    handlers : mapping of str to callable
        For each call, a coroutine function from request to reply.
    address : str
        "ip:port" to listen on.

    Returns
    -------
    grpc.aio.Server
        To be started and stopped by the caller.
    """
    server = grpc.aio.server(
        options=(
            ("grpc.so_reuseport", 0),
            ("grpc.max_receive_message_length", LARGEST_MESSAGE_BYTES),
            ("grpc.max_send_message_length", LARGEST_MESSAGE_BYTES),
        )
    )
    methods = {
        name: grpc.unary_unary_rpc_method_handler(
            _make_handler(handlers[name]),
            request_deserializer=make_decoder(request_type),
            response_serializer=encode,
        )
        for name, (request_type, _) in CALLS.items()
    }
    generic = grpc.method_handlers_generic_handler(SERVICE, methods)
    server.add_generic_rpc_handlers((generic,))
    server.add_insecure_port(address)
    return server


def _make_handler(handler):
    """Drop the library's context from a handler's arguments."""

    async def handle(request, context):
        return await handler(request)

    return handle
