"""Server for the calls of other nodes over gRPC."""

import grpc

from lycheetide.peers._client import MAX_MESSAGE_BYTES, SERVICE
from lycheetide.peers._codec import encode, make_decoder
from lycheetide.peers._messages import METHODS


def make_server(handlers, *, address):
    """Return a server that has not been started yet.

    Parameters
    ----------
    handlers : mapping of str to callable
        For each method, a coroutine function that takes a request and returns a reply.
    address : str
        "ip:port" to listen on.

    Returns
    -------
    grpc.aio.Server
        The caller has to start and stop it.
    """
    server = grpc.aio.server(
        options=(
            ("grpc.so_reuseport", 0),
            ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
            ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
        )
    )
    methods = {
        name: grpc.unary_unary_rpc_method_handler(
            _make_handler(handlers[name]),
            request_deserializer=make_decoder(request_type),
            response_serializer=encode,
        )
        for name, (request_type, _) in METHODS.items()
    }
    generic = grpc.method_handlers_generic_handler(SERVICE, methods)
    server.add_generic_rpc_handlers((generic,))
    server.add_insecure_port(address)
    return server


def _make_handler(handler):
    """Adapt a handler to gRPC, which also passes a context."""

    async def handle(request, context):
        return await handler(request)

    return handle
