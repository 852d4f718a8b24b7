"""Calls to upstreams, which are model engines and services, over HTTP."""

from lycheetide.upstreams._client import make_http_client
from lycheetide.upstreams._engine import (
    EngineCall,
    fetch_holdings,
    fetch_life,
    fetch_report,
    release_holding,
    reserve_memory,
    send_segment,
    stream_answer,
)
from lycheetide.upstreams._errors import (
    UpstreamBroke,
    UpstreamError,
    UpstreamRefused,
    UpstreamSilent,
    UpstreamUnreached,
)
from lycheetide.upstreams._service import ServiceAnswer, ServiceCall, call_service
from lycheetide.upstreams._silence import Silence, run_watched

__all__ = [
    "EngineCall",
    "ServiceAnswer",
    "ServiceCall",
    "Silence",
    "UpstreamBroke",
    "UpstreamError",
    "UpstreamRefused",
    "UpstreamSilent",
    "UpstreamUnreached",
    "call_service",
    "fetch_holdings",
    "fetch_life",
    "fetch_report",
    "make_http_client",
    "release_holding",
    "reserve_memory",
    "run_watched",
    "send_segment",
    "stream_answer",
]
