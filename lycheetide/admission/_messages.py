"""Convert between messages and what this node keeps of other nodes' requests.

Messages state times relative to when they are sent, since the nodes' clocks differ.
"""

from dataclasses import replace

from lycheetide.admission._errors import InvalidMessage
from lycheetide.admission._returns import DeferredRequest
from lycheetide.admission._types import WaitingRequest
from lycheetide.gossip import Deferred, Waiting

MAX_NUMBER = 10**12
"""Numbers are milliseconds on a monotonic clock; this is over 30 years."""
MAX_HASH = 2**32 - 1
MAX_RETURN_KEY = 2**64 - 1
MAX_ENGINE_MS = 600_000
"""The largest prompts take less than one minute."""
MAX_TOKENS = 10**8
MIN_DUE_MS, MAX_DUE_MS = -120_000, 600_000
"""Callers leave well within two minutes after their target."""
MAX_WEIGHT_HUNDREDTHS = 10**7
MAX_RETURN_MS = 120_000
"""A caller returns within a third of its remaining time."""
MAX_NAME_LENGTH = 200


def make_waiting_message(request, *, now_s, due_s=None):
    """Return the message that announces a waiting request of this node.

    ``AdmissionQueue.make_message`` calls it with the due time by which all nodes find
    the same position.

    Parameters
    ----------
    request : WaitingRequest
        The request.
    now_s : float
        Current time.
    due_s : float or None, default=None
        Due time to announce; None for that of the request.
    """
    due_s = request.due_s if due_s is None else due_s
    return Waiting(
        request.node,
        request.job,
        request.number,
        request.service,
        request.customer,
        min(MAX_ENGINE_MS, round(request.engine_s * 1e3)),
        request.tokens,
        _to_due_ms(due_s - now_s),
        max(1, round(request.weight * 100)),
    )


def read_waiting_message(message, *, now_s):
    """Return the request that a ``Waiting`` message announces.

    Raises
    ------
    InvalidMessage
        If a value is negative or implausible.
    """
    _check_name(message.node)
    _check_name(message.job)
    _check("number", message.number, 1, MAX_NUMBER)
    _check("service", message.service, 0, MAX_HASH)
    _check("customer", message.customer, 0, MAX_HASH)
    _check("engine_ms", message.engine_ms, 0, MAX_ENGINE_MS)
    _check("tokens", message.tokens, 0, MAX_TOKENS)
    _check("due_in_ms", message.due_in_ms, MIN_DUE_MS, MAX_DUE_MS)
    _check("weight", message.weight_hundredths, 1, MAX_WEIGHT_HUNDREDTHS)
    return WaitingRequest(
        message.number,
        message.node,
        message.job,
        message.service,
        message.customer,
        message.engine_ms / 1e3,
        message.tokens,
        now_s + message.due_in_ms / 1e3,
        message.weight_hundredths / 100,
    )


def make_deferred_message(node, deferred, *, now_s):
    """Return the message that announces a request refused by a node.

    Parameters
    ----------
    node : str
        Name of the node.
    deferred : DeferredRequest
        The request.
    now_s : float
        Current time.
    """
    returns_in_s = max(0.0, deferred.returns_s - now_s)
    keeps_s = max(0.0, deferred.kept_until_s - max(now_s, deferred.returns_s))
    return Deferred(
        node,
        deferred.return_key,
        deferred.number,
        _to_due_ms(deferred.due_s - now_s),
        min(MAX_RETURN_MS, round(returns_in_s * 1e3)),
        min(MAX_RETURN_MS, round(keeps_s * 1e3)),
    )


def make_withdrawal_message(node, claimed, *, now_s):
    """Return the message by which other nodes give up a place that was claimed.

    It is a ``Deferred`` message that keeps the place for no time. Parameters as in
    ``make_deferred_message``.
    """
    given_up = replace(claimed, returns_s=now_s, kept_until_s=now_s)
    return make_deferred_message(node, given_up, now_s=now_s)


def read_deferred_message(message, *, now_s):
    """Return the refused request that a ``Deferred`` message announces.

    Raises
    ------
    InvalidMessage
        If a value is negative or implausible.
    """
    _check_name(message.node)
    _check("return_key", message.return_key, 1, MAX_RETURN_KEY)
    _check("number", message.number, 1, MAX_NUMBER)
    _check("due_in_ms", message.due_in_ms, MIN_DUE_MS, MAX_DUE_MS)
    _check("returns_in_ms", message.returns_in_ms, 0, MAX_RETURN_MS)
    _check("keeps_ms", message.keeps_ms, 0, MAX_RETURN_MS)
    returns_s = now_s + message.returns_in_ms / 1e3
    return DeferredRequest(
        message.return_key,
        message.number,
        now_s + message.due_in_ms / 1e3,
        returns_s,
        returns_s + message.keeps_ms / 1e3,
    )


def _to_due_ms(due_in_s):
    """Return a time until a target in milliseconds, within the permitted range."""
    return min(MAX_DUE_MS, max(MIN_DUE_MS, round(due_in_s * 1e3)))


def _check(name, value, low, high):
    """Raise ``InvalidMessage`` unless a value is an integer within a range."""
    if not isinstance(value, int) or not low <= value <= high:
        raise InvalidMessage(f"{name} is {value!r}, not an integer in {low}..{high}")


def _check_name(name):
    """Raise ``InvalidMessage`` unless a name is a string of plausible length."""
    if not isinstance(name, str) or not 0 < len(name) <= MAX_NAME_LENGTH:
        raise InvalidMessage("the name of a node or a job is empty or too long")
