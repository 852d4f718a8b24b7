"""Adapter for the users' platform: names, formats and calls, without any decisions.

Incoming data is decoded once into the types of this project; outgoing data is encoded
here from such types.
"""

from lycheetide.platform._config import decode_operator_records
from lycheetide.platform._contracts import has_contended_capacity
from lycheetide.platform._orders import encode_release, encode_reserve
from lycheetide.platform._registry import decode_registry_records
from lycheetide.platform._reports import (
    decode_report,
    encode_health_request,
    encode_report_request,
)
from lycheetide.platform._requests import (
    READY_PATH,
    decode_answer,
    decode_request,
    encode_attempt,
    encode_node_response_headers,
    filter_response_headers,
    list_content_fields,
)
from lycheetide.platform._store import (
    NODES_TOPIC,
    OPERATOR_TOPIC,
    QUARANTINE_TOPIC,
    REGISTRY_TOPIC,
    StoreClient,
)

__all__ = [
    "NODES_TOPIC",
    "OPERATOR_TOPIC",
    "QUARANTINE_TOPIC",
    "READY_PATH",
    "REGISTRY_TOPIC",
    "StoreClient",
    "decode_answer",
    "decode_operator_records",
    "decode_registry_records",
    "decode_report",
    "decode_request",
    "encode_attempt",
    "encode_health_request",
    "encode_node_response_headers",
    "encode_release",
    "encode_report_request",
    "encode_reserve",
    "filter_response_headers",
    "has_contended_capacity",
    "list_content_fields",
]
