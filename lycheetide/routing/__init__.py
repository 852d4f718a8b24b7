"""Decisions of the entry node: admission, choice of a cell, dispatch and retries."""

from lycheetide.routing._admission import (
    AdmittedRequest,
    authenticate,
    check_body_size,
    find_deadline,
    find_request_class,
)
from lycheetide.routing._cells import rank_cells
from lycheetide.routing._dispatch import check_dispatch, is_fresh
from lycheetide.routing._prompts import (
    estimate_tokens,
    make_prefix_key,
    split_prompt,
)
from lycheetide.routing._retry import RetryDecision, decide_retry

__all__ = [
    "AdmittedRequest",
    "RetryDecision",
    "authenticate",
    "check_body_size",
    "check_dispatch",
    "decide_retry",
    "estimate_tokens",
    "find_deadline",
    "find_request_class",
    "is_fresh",
    "make_prefix_key",
    "rank_cells",
    "split_prompt",
]
