"""Decide in which order requests get capacity that is short, and which are refused.

The functions do no I/O: they depend only on their arguments, such as the requests that
wait at all nodes and the current time.
"""

from lycheetide.admission._activation import Activation, find_activation

__all__ = ["Activation", "find_activation"]
