"""Serving layer for language-model prompts of very different lengths."""

from lycheetide._version import __version__

__all__ = ["__version__"]
