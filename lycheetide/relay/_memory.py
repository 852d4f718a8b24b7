"""Keep a node below the limit of its memory."""

from lycheetide.buffering import (
    AnswerBudget,
    HeldBytes,
    MemoryGauge,
    MemoryStage,
    accepts_body,
    choose_victim,
    compute_answer_limit_bytes,
    find_memory_stage,
    is_above_bound,
)
from lycheetide.metrics import read_resident_bytes, release_free_memory
from lycheetide.relay._outcomes import Cause, Refusal, StreamAborted

MEMORY_RETRY_S = 1.0
"""Delay in the Retry-After header of a request refused for lack of memory. Callers that
keep up free their memory sooner, and those that don't are aborted."""
RELEASE_INTERVAL_S = 1.0
"""Shortest time between two calls by which the allocator returns its free memory. One
took 25 ms after 150 MB were freed, otherwise 4 ms, in which the node does nothing."""
PEAK_STEP_BYTES = 65_536
"""Rise of the peak of held bytes from which on it is counted: each count is a datagram
to statsd."""
MAX_RETRY_SHARE = 1 / 3
"""Longest such delay, as a share of the caller's remaining time."""


class NodeMemory:
    """What a node holds in memory for its callers.

    Parameters
    ----------
    memory_mb : float
        Memory that the process may use; 0 if it is unknown.

    Attributes
    ----------
    held : HeldBytes
        Bytes of request bodies and of responses.
    gauge : MemoryGauge
        Estimates the memory of the process.
    stage : MemoryStage
        How near the node is to its limit.
    replies : dict
        Each ``BufferedReply`` by its key.
    answers : AnswerBudget
        Bytes of answers that aren't passed on as they arrive, by ``HeldAnswer``.
    """

    def __init__(self, memory_mb=0.0):
        self.held = HeldBytes()
        self.gauge = MemoryGauge(read_resident_bytes)
        self.stage = MemoryStage.NORMAL
        self.replies = {}
        self.answers = AnswerBudget(compute_answer_limit_bytes(memory_mb))
        self.released_s = float("-inf")
        self.reported_peak_bytes = 0
        self._key_count = 0

    def make_key(self):
        """Return a key for one request; callers may repeat the ids of attempts."""
        self._key_count += 1
        return self._key_count


def update_memory(relay, *, now_s):
    """Update the stage of a node, and abort slow readers if that is necessary.

    Returns
    -------
    MemoryStage
    """
    memory, limit_bytes = relay.memory, relay.activation.held_limit_bytes
    if limit_bytes <= 0 and memory.stage is MemoryStage.NORMAL:
        return memory.stage

    def find_stage(previous):
        used_bytes = memory.gauge.estimate(memory.held.total, now_s=now_s)
        return find_memory_stage(
            memory.held.total, used_bytes, limit_bytes, previous=previous
        )

    stage = find_stage(memory.stage)
    if stage > 0 and now_s - memory.released_s >= RELEASE_INTERVAL_S:
        # Otherwise a node would stay at this stage although its memory is free.
        memory.released_s = now_s
        release_free_memory()
        memory.gauge.reset()
        stage = find_stage(memory.stage)
    if stage is not memory.stage:
        _change_stage(relay, stage, now_s=now_s)
    # Without the hysteresis: no more is aborted than the threshold demands.
    while find_stage(MemoryStage.NORMAL) is MemoryStage.ABORT_SLOWEST:
        if not _abort_slowest(relay, memory.replies.values(), now_s=now_s):
            break
    rise = memory.held.peak - memory.reported_peak_bytes
    if rise >= PEAK_STEP_BYTES:
        relay.counters.add("memory.held_peak_bytes", rise)
        memory.reported_peak_bytes = memory.held.peak
    return stage


def update_customer(relay, customer, *, now_s):
    """Abort slow readers of a customer whose responses take more than its share."""
    memory, limit_bytes = relay.memory, relay.activation.held_limit_bytes
    while is_above_bound(memory.held.count_customer(customer), limit_bytes):
        replies = [
            reply for reply in memory.replies.values() if reply.customer == customer
        ]
        # Bodies of requests count for the node's stages only.
        held_bytes = sum(reply.held_bytes for reply in replies)
        if not is_above_bound(held_bytes, limit_bytes):
            return
        if not _abort_slowest(relay, replies, now_s=now_s):
            return


def _change_stage(relay, stage, *, now_s):
    """Record and log another stage, and tell all peers."""
    held_bytes = relay.memory.held.total
    relay.log.info(
        "The stage of this node's memory has changed.",
        extra={
            "stage": stage.name,
            "previous": relay.memory.stage.name,
            "held_bytes": held_bytes,
            "used_bytes": relay.memory.gauge.estimate(held_bytes, now_s=now_s),
            "limit_bytes": relay.activation.held_limit_bytes,
        },
    )
    relay.memory.stage = stage
    relay.trigger_heartbeat(to_all=True)


def _abort_slowest(relay, replies, *, now_s):
    """Abort the slowest of several readers; return whether there was one."""
    key = choose_victim([reply.describe(now_s=now_s) for reply in replies])
    if key is None:
        return False
    reply = relay.memory.replies[key]
    relay.counters.add("memory.aborted")
    relay.log.info(
        "A slow reader is aborted to free memory.",
        extra={
            "request": reply.request_id,
            "customer": reply.customer,
            "held_bytes": reply.held_bytes,
            "whole": reply.is_complete,
        },
    )
    reply.abort(StreamAborted("the caller reads too slowly for the node's memory"))
    return True


def make_memory_refusal(relay, request, *, now_s):
    """Return the refusal of a request for lack of memory; it hasn't run."""
    relay.counters.add("memory.refused")
    retry_after_s = MEMORY_RETRY_S
    if request.time_left_s is not None:
        left_s = request.received_s + request.time_left_s - now_s
        retry_after_s = min(retry_after_s, max(0.0, left_s * MAX_RETRY_SHARE))
    return Refusal(503, Cause.NODE_MEMORY, retry_after_s=retry_after_s)


class HeldBody:
    """Counts the body of a request while it is held, from its first byte.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    request : CallerRequest
        The request.
    declared_bytes : int
        Declared size of its body; 0 if it isn't declared.
    """

    def __init__(self, relay, request, declared_bytes):
        self._relay = relay
        self._request = request
        self._declared_bytes = declared_bytes
        self._key = relay.memory.make_key()
        self._customer = ""
        self._size = 0

    def check(self, *, now_s):
        """Check that the node accepts the request, before its body is read.

        Raises
        ------
        Refusal
            If it doesn't.
        """
        if self._relay.activation.held_limit_bytes <= 0:
            return
        stage = update_memory(self._relay, now_s=now_s)
        if stage >= MemoryStage.NO_REQUESTS or not accepts_body(
            stage, self._declared_bytes
        ):
            raise make_memory_refusal(self._relay, self._request, now_s=now_s)

    def add(self, size, *, now_s):
        """Count bytes that were received.

        Raises
        ------
        Refusal
            If the body has become too long for the stage of the node. A short body that
            has begun is still accepted at any stage.
        """
        self._size += size
        self._relay.memory.held.hold(self._customer, self._key, size)
        if self._relay.activation.held_limit_bytes <= 0:
            return
        stage = update_memory(self._relay, now_s=now_s)
        if not accepts_body(stage, self._size):
            raise make_memory_refusal(self._relay, self._request, now_s=now_s)

    def assign(self, customer):
        """Count the body for its customer, once that is known."""
        self.release()
        self._customer = customer
        self._relay.memory.held.hold(customer, self._key, self._size)

    def release(self):
        """Stop counting the body."""
        self._relay.memory.held.release(self._customer, self._key)
