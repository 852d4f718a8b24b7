"""Choose the replicas that process a request.

The functions do no I/O: they depend only on their arguments, such as the known load of
the replicas and the current time.
"""

from lycheetide.placement._choose import choose_plain, choose_prompt, rank_replicas
from lycheetide.placement._cold_limits import NEWS_S, may_send, share_cold_limits
from lycheetide.placement._estimate import (
    CALLER_WAITS_S,
    caller_patience_s,
    estimate_first_event_s,
    pass_s,
    read_s,
)
from lycheetide.placement._memory import count_room, needs_sharing, share_memory
from lycheetide.placement._pack import SHORT_READ_S, count_unknown
from lycheetide.placement._retry_budget import RetryWindow
from lycheetide.placement._spread import HELPERS_MOST, ON_TIME_SHARE, spread_prompt
from lycheetide.placement._types import (
    Arrivals,
    Candidate,
    GapGroup,
    MemoryShare,
    Placement,
    Size,
    UnreadPrompt,
)

__all__ = [
    "CALLER_WAITS_S",
    "HELPERS_MOST",
    "NEWS_S",
    "ON_TIME_SHARE",
    "SHORT_READ_S",
    "Arrivals",
    "Candidate",
    "GapGroup",
    "MemoryShare",
    "Placement",
    "RetryWindow",
    "Size",
    "UnreadPrompt",
    "caller_patience_s",
    "choose_plain",
    "choose_prompt",
    "count_room",
    "count_unknown",
    "estimate_first_event_s",
    "may_send",
    "needs_sharing",
    "pass_s",
    "rank_replicas",
    "read_s",
    "share_cold_limits",
    "share_memory",
    "spread_prompt",
]
