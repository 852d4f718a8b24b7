"""State charts of life cycles, defined in TOML files and interpreted here."""

from lycheetide.charts._chart import StateChart, StateChartError, load_chart

__all__ = ["StateChart", "StateChartError", "load_chart"]
