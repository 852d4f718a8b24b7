"""The command line."""

from lycheetide.cli._main import main

__all__ = ["main"]
