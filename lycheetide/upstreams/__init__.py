"""Calls to upstreams, which are model engines and services, over HTTP."""

from lycheetide.upstreams._client import make_http_client
from lycheetide.upstreams._engine import (
    EngineCall,
    fetch_boot_id_and_holdings,
    fetch_holdings,
    fetch_report,
    release_holding,
    reserve_memory,
    send_segment,
    stream_answer,
)
from lycheetide.upstreams._errors import (
    UpstreamBrokenError,
    UpstreamConnectError,
    UpstreamError,
    UpstreamRefusedError,
    UpstreamTimeoutError,
)
from lycheetide.upstreams._service import ServiceAnswer, ServiceCall, call_service
from lycheetide.upstreams._silence import SilenceTimer, run_until_unneeded

__all__ = [
    "EngineCall",
    "ServiceAnswer",
    "ServiceCall",
    "SilenceTimer",
    "UpstreamBrokenError",
    "UpstreamConnectError",
    "UpstreamError",
    "UpstreamRefusedError",
    "UpstreamTimeoutError",
    "call_service",
    "fetch_boot_id_and_holdings",
    "fetch_holdings",
    "fetch_report",
    "make_http_client",
    "release_holding",
    "reserve_memory",
    "run_until_unneeded",
    "send_segment",
    "stream_answer",
]
