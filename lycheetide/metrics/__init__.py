"""Counters (statsd), histograms (prometheus-client) and logs (python-json-logger)."""

from lycheetide.metrics._counters import Counters, make_statsd_client
from lycheetide.metrics._logs import COMPONENT_PREFIXES, configure_logging, get_logger
from lycheetide.metrics._process import (
    read_process_age_s,
    read_resident_bytes,
    release_free_memory,
)
from lycheetide.metrics._request_log import (
    STANDARD_FIELDS,
    describe_outcome,
    read_request_lines,
    sort_by_time,
)
from lycheetide.metrics._request_traces import RequestTraces, TraceStep

__all__ = [
    "COMPONENT_PREFIXES",
    "STANDARD_FIELDS",
    "Counters",
    "RequestTraces",
    "TraceStep",
    "configure_logging",
    "describe_outcome",
    "get_logger",
    "make_statsd_client",
    "read_process_age_s",
    "read_request_lines",
    "read_resident_bytes",
    "release_free_memory",
    "sort_by_time",
]
