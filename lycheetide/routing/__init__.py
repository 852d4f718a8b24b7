"""Decisions of the entry node: admission, choice of a cell, dispatch and retries."""

from lycheetide.routing._admission import (
    Admitted,
    authenticate,
    check_body_size,
    find_class,
    find_deadline,
)
from lycheetide.routing._cells import rank_cells
from lycheetide.routing._dispatch import check_dispatch, is_fresh
from lycheetide.routing._prompts import (
    count_tokens,
    make_prefix_key,
    split_prompt,
)
from lycheetide.routing._retry import RetryDecision, decide_retry

__all__ = [
    "Admitted",
    "RetryDecision",
    "authenticate",
    "check_body_size",
    "check_dispatch",
    "count_tokens",
    "decide_retry",
    "find_class",
    "find_deadline",
    "is_fresh",
    "make_prefix_key",
    "rank_cells",
    "split_prompt",
]
