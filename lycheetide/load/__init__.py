"""Load generator: sends prompts of mixed lengths to nodes and reports latencies."""

from lycheetide.load._client import RequestResult, run_load
from lycheetide.load._plan import PlannedRequest, plan_requests
from lycheetide.load._report import format_report, make_report, save_latency_plot

__all__ = [
    "PlannedRequest",
    "RequestResult",
    "format_report",
    "make_report",
    "plan_requests",
    "run_load",
    "save_latency_plot",
]
