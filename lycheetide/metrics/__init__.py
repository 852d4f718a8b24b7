"""Counters by statsd, histograms by prometheus-client, logs by python-json-logger."""

from lycheetide.metrics._counters import Counters, make_statsd
from lycheetide.metrics._explain import Explanations, Step
from lycheetide.metrics._logs import PARTS, get_log, set_up_logs

__all__ = [
    "PARTS",
    "Counters",
    "Explanations",
    "Step",
    "get_log",
    "make_statsd",
    "set_up_logs",
]
