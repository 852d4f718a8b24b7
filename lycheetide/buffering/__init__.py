"""Decide what a node may hold in memory of requests and answers.

The functions do no I/O: they depend only on their arguments, such as the bytes held and
the memory that the process uses.
"""

from lycheetide.buffering._answer_budget import (
    AnswerBudget,
    compute_answer_limit_bytes,
)
from lycheetide.buffering._held_bytes import HeldBytes
from lycheetide.buffering._stages import (
    LONG_BODY_BYTES,
    MemoryGauge,
    MemoryStage,
    accepts_body,
    find_memory_stage,
)
from lycheetide.buffering._victims import SlowReader, choose_victim, is_above_bound

__all__ = [
    "LONG_BODY_BYTES",
    "AnswerBudget",
    "HeldBytes",
    "MemoryGauge",
    "MemoryStage",
    "SlowReader",
    "accepts_body",
    "choose_victim",
    "compute_answer_limit_bytes",
    "find_memory_stage",
    "is_above_bound",
]
