"""Life cycles as state charts, kept in TOML files and interpreted here."""

from lycheetide.charts._chart import Chart, ChartError, load_chart

__all__ = ["Chart", "ChartError", "load_chart"]
