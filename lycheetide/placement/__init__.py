"""Choose the replicas that process a request.

The functions do no I/O: they depend only on their arguments, such as the known load of
the replicas and the current time.
"""

from lycheetide.placement._choose import place_prompt, rank_replicas
from lycheetide.placement._cold_limits import (
    PROPAGATION_DELAY_S,
    find_send_share,
    may_send,
    share_cold_limits,
)
from lycheetide.placement._distances import find_longest_delay_s, find_round_trips
from lycheetide.placement._estimate import (
    MIN_CALLER_PATIENCE_S,
    caller_patience_s,
    estimate_first_event_s,
    estimate_pass_s,
    estimate_prefill_s,
)
from lycheetide.placement._memory import (
    MAX_MEMORY_SHARE,
    count_reservable_tokens,
    needs_several_replicas,
    share_memory,
)
from lycheetide.placement._named_limits import LimitShare, share_named_limit
from lycheetide.placement._pack import (
    RESERVED_SLOTS,
    SHORT_PREFILL_S,
    estimate_unknown_requests,
)
from lycheetide.placement._plain import (
    estimate_plain_wait_s,
    place_plain_request,
    prefer_other_domains,
)
from lycheetide.placement._replica_memory import (
    MAX_QUEUED_REQUESTS,
    estimate_margin_tokens,
    list_open_replicas,
)
from lycheetide.placement._retry_budget import RetryWindow
from lycheetide.placement._ring import make_step_counter
from lycheetide.placement._service_times import ServiceTimes
from lycheetide.placement._spread import MAX_HELPERS, ON_TIME_SHARE, spread_prompt
from lycheetide.placement._types import (
    Arrivals,
    Candidate,
    DecodingGroup,
    MemoryShare,
    PendingPrefill,
    Placement,
    RequestSize,
)

__all__ = [
    "MAX_HELPERS",
    "MAX_MEMORY_SHARE",
    "MAX_QUEUED_REQUESTS",
    "MIN_CALLER_PATIENCE_S",
    "ON_TIME_SHARE",
    "PROPAGATION_DELAY_S",
    "RESERVED_SLOTS",
    "SHORT_PREFILL_S",
    "Arrivals",
    "Candidate",
    "DecodingGroup",
    "LimitShare",
    "MemoryShare",
    "PendingPrefill",
    "Placement",
    "RequestSize",
    "RetryWindow",
    "ServiceTimes",
    "caller_patience_s",
    "count_reservable_tokens",
    "estimate_first_event_s",
    "estimate_margin_tokens",
    "estimate_pass_s",
    "estimate_plain_wait_s",
    "estimate_prefill_s",
    "estimate_unknown_requests",
    "find_longest_delay_s",
    "find_round_trips",
    "find_send_share",
    "list_open_replicas",
    "make_step_counter",
    "may_send",
    "needs_several_replicas",
    "place_plain_request",
    "place_prompt",
    "prefer_other_domains",
    "rank_replicas",
    "share_cold_limits",
    "share_memory",
    "share_named_limit",
    "spread_prompt",
]
