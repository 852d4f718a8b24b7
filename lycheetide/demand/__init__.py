"""Estimate how many replicas the short prompts of a service need at present.

The functions do no I/O: they depend only on their arguments, such as the placements
that all nodes have reported and the current time.
"""

from lycheetide.demand._rates import ArrivalRates, PromptClass, classify_prefill
from lycheetide.demand._reserved import count_reserved
from lycheetide.demand._table import DemandTable

__all__ = [
    "ArrivalRates",
    "DemandTable",
    "PromptClass",
    "classify_prefill",
    "count_reserved",
]
