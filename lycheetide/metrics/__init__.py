"""Counters by statsd, histograms by prometheus-client, logs by python-json-logger."""

from lycheetide.metrics._counters import Counters, make_statsd
from lycheetide.metrics._explain import Explanations, Step
from lycheetide.metrics._logs import PARTS, get_log, set_up_logs
from lycheetide.metrics._process import read_process_age_s
from lycheetide.metrics._timeline import (
    HIDDEN,
    find_cause,
    read_lines,
    sort_lines,
)

__all__ = [
    "HIDDEN",
    "PARTS",
    "Counters",
    "Explanations",
    "Step",
    "find_cause",
    "get_log",
    "make_statsd",
    "read_lines",
    "read_process_age_s",
    "set_up_logs",
    "sort_lines",
]
