"""Send prompts of mixed lengths to nodes and report what came back."""

from lycheetide.load._drive import Outcome, run_load
from lycheetide.load._mix import PlannedRequest, plan_requests
from lycheetide.load._report import make_report, print_table, save_plot

__all__ = [
    "Outcome",
    "PlannedRequest",
    "make_report",
    "plan_requests",
    "print_table",
    "run_load",
    "save_plot",
]
