"""HTTP/1.1 client for replicas, peers and the store that reports what was sent.

Messages are parsed and serialized by ``h11``. ``httpx`` hides three facts on which the
guarantees to callers depend: whether any byte of a request was written, whether bytes
followed a complete response, and whether a response without a length ended properly
or was cut off.
"""

from lycheetide.httpclient._channel import (
    Channel,
    ChannelBroken,
    ConnectFailed,
    Outgoing,
    ResponseHead,
)
from lycheetide.httpclient._pool import ChannelPool, count_kept

__all__ = [
    "Channel",
    "ChannelBroken",
    "ChannelPool",
    "ConnectFailed",
    "Outgoing",
    "ResponseHead",
    "count_kept",
]
