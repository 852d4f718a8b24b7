"""HTTP/1.1 client for replicas, peers and the store that reports what was sent.

Messages are parsed and serialized by ``h11``. ``httpx`` hides three facts on which the
guarantees to callers depend: whether any byte of a request was written, whether bytes
followed a complete response, and whether a response without a length ended properly
or was cut off.
"""

from lycheetide.httpclient._channel import (
    Channel,
    ChannelConnectError,
    ChannelError,
    OutgoingRequest,
    ResponseHead,
    set_socket_options,
)
from lycheetide.httpclient._pool import ChannelPool, compute_idle_limit

__all__ = [
    "Channel",
    "ChannelConnectError",
    "ChannelError",
    "ChannelPool",
    "OutgoingRequest",
    "ResponseHead",
    "compute_idle_limit",
    "set_socket_options",
]
