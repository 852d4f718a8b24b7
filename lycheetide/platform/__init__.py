"""How the users' platform speaks: names, formats and calls; nothing here decides.

Everything that comes in is decoded once, into types of the product whose fields say
what they hold; everything that goes out is encoded here from such types.
"""

from lycheetide.platform._config import decode_operator_records
from lycheetide.platform._orders import encode_release, encode_reserve
from lycheetide.platform._registry import decode_registry_records
from lycheetide.platform._requests import (
    READY_PATH,
    decode_answer,
    decode_request,
    encode_attempt,
    encode_own_answer,
    relayed_headers,
)
from lycheetide.platform._store import NODES, OPERATOR, REGISTRY, StoreClient

__all__ = [
    "NODES",
    "OPERATOR",
    "READY_PATH",
    "REGISTRY",
    "StoreClient",
    "decode_answer",
    "decode_operator_records",
    "decode_registry_records",
    "decode_request",
    "encode_attempt",
    "encode_own_answer",
    "encode_release",
    "encode_reserve",
    "relayed_headers",
]
