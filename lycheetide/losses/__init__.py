"""Find failed and late requests, and resource usage, in a fleet's saved logs."""

from lycheetide.losses._detection import detect_losses
from lycheetide.losses._log_reader import read_events
from lycheetide.losses._plot import save_loss_plot
from lycheetide.losses._summary import format_summary, summarize
from lycheetide.losses._types import Loss, LossCause, LossKind, PrefillPart, Summary
from lycheetide.losses._usage import (
    FleetUsage,
    NodeUsage,
    format_usage,
    save_usage_plot,
    sum_usage,
)

__all__ = [
    "FleetUsage",
    "Loss",
    "LossCause",
    "LossKind",
    "NodeUsage",
    "PrefillPart",
    "Summary",
    "detect_losses",
    "format_summary",
    "format_usage",
    "read_events",
    "save_loss_plot",
    "save_usage_plot",
    "sum_usage",
    "summarize",
]
