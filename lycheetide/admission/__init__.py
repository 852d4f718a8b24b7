"""Decide in which order requests get capacity that is short, and which are refused.

The functions do no I/O: they depend only on their arguments, such as the requests that
wait at all nodes and the current time.
"""

from lycheetide.admission._activation import Activation, find_activation
from lycheetide.admission._errors import InvalidMessage
from lycheetide.admission._kinds import count_readers
from lycheetide.admission._messages import (
    make_deferred_message,
    make_waiting_message,
    make_withdrawal_message,
    read_deferred_message,
    read_waiting_message,
)
from lycheetide.admission._queue import (
    ENTRY_LIFETIME_S,
    RENEWAL_INTERVAL_S,
    AdmissionQueue,
)
from lycheetide.admission._returns import (
    KEPT_S,
    DeferredRequest,
    ReturnTable,
    make_return_key,
)
from lycheetide.admission._shares import (
    USAGE_WINDOW_S,
    CustomerUsage,
    estimate_capacity_s,
    find_share_s,
)
from lycheetide.admission._types import NOBODY_AHEAD, Ahead, KindDemand, WaitingRequest
from lycheetide.admission._wait import (
    Supply,
    WaitEstimate,
    assess_wait,
    has_turn,
    measure_supply,
)

__all__ = [
    "ENTRY_LIFETIME_S",
    "KEPT_S",
    "NOBODY_AHEAD",
    "RENEWAL_INTERVAL_S",
    "USAGE_WINDOW_S",
    "Activation",
    "AdmissionQueue",
    "Ahead",
    "CustomerUsage",
    "DeferredRequest",
    "InvalidMessage",
    "KindDemand",
    "ReturnTable",
    "Supply",
    "WaitEstimate",
    "WaitingRequest",
    "assess_wait",
    "count_readers",
    "estimate_capacity_s",
    "find_activation",
    "find_share_s",
    "has_turn",
    "make_deferred_message",
    "make_return_key",
    "make_waiting_message",
    "make_withdrawal_message",
    "measure_supply",
    "read_deferred_message",
    "read_waiting_message",
]
