"""Where service was lost, read from the saved logs of a fleet's processes."""

from lycheetide.losses._account import account_losses
from lycheetide.losses._lines import read_events
from lycheetide.losses._plot import save_plot
from lycheetide.losses._prices import (
    Prices,
    Use,
    print_prices,
    save_price_plot,
    sum_prices,
)
from lycheetide.losses._summary import print_summary, summarize
from lycheetide.losses._types import Cause, Kind, Loss, Read, Summary

__all__ = [
    "Cause",
    "Kind",
    "Loss",
    "Prices",
    "Read",
    "Summary",
    "Use",
    "account_losses",
    "print_prices",
    "print_summary",
    "read_events",
    "save_plot",
    "save_price_plot",
    "sum_prices",
    "summarize",
]
