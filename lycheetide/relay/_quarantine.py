"""Keep requests that crash replicas from the replicas."""

from contextlib import contextmanager

import anyio

from lycheetide.gossip import PartsWritten, Quarantined
from lycheetide.quarantine import AFTERMATH_S, Verdict
from lycheetide.relay._fingerprints import find_fingerprint, find_head_prefix
from lycheetide.relay._outcomes import Cause, Refusal
from lycheetide.relay._presence import note_survived
from lycheetide.relay._state import read_clock

RETRY_DELAY_S = 60.0
"""Delay in the Retry-After header: nothing short of an operator makes the request
servable, so its caller should rather give up than try again."""
UNSETTLED_RETRY_DELAY_S = 1.0
MAX_SETTLING_S = 0.5
"""How long a call waits until it is known whether replicas have crashed under it."""
SETTLING_POLL_S = 0.01


def find_quarantine(relay, call):
    """Return the quarantine that keeps a call from replicas, or None."""
    table = relay.quarantine.table
    entry = table.find(call.parts)
    if entry is None and is_suspect(relay, call):
        entry = table.find((find_fingerprint(relay, call),))
    return entry


def is_suspect(relay, call):
    """Tell whether a call may be one that replicas broke off, by its head alone."""
    state = relay.quarantine
    if not state.has_suspect_requests():
        return False
    return state.is_suspect_prefix(find_head_prefix(relay, call))


def judge_call(relay, call):
    """Return what the replicas that broke off a call before say about it."""
    if not is_suspect(relay, call):
        return Verdict.SEND
    request = find_fingerprint(relay, call)
    return relay.quarantine.requests.judge(request, now_s=read_clock())


def is_quarantined(relay, call):
    """Tell whether a call is kept from replicas."""
    if find_quarantine(relay, call) is not None:
        return True
    return judge_call(relay, call) is Verdict.REFUSE


def is_unsettled(relay, call):
    """Tell whether a call must wait until it is known which replicas have crashed."""
    return judge_call(relay, call) is Verdict.WAIT


def note_generation(relay, call, replica):
    """Record that a call is sent to a replica after all breaks that are known now."""
    if is_suspect(relay, call):
        request = find_fingerprint(relay, call)
        generation = relay.quarantine.requests.find_generation(request)
        call.generations[replica] = generation


async def wait_until_settled(relay, call):
    """Wait while it isn't known whether too many replicas have crashed under a call.

    Returns
    -------
    bool
        Whether it is known now.
    """
    until_s = read_clock() + MAX_SETTLING_S
    while is_unsettled(relay, call):
        if read_clock() >= until_s:
            return False
        await anyio.sleep(SETTLING_POLL_S)
    return True


def make_unsettled_refusal(relay, call):
    """Return the refusal of a call that may have crashed too many replicas."""
    relay.counters.add("quarantine.unsettled")
    if call.may_have_run or call.sent:
        return Refusal(502, Cause.UNSETTLED)
    return Refusal(503, Cause.UNSETTLED, retry_after_s=UNSETTLED_RETRY_DELAY_S)


def check_quarantine(relay, call, *, now_s):
    """Refuse a call that crashes replicas.

    Raises
    ------
    Refusal
        If it is in quarantine.
    """
    entry = find_quarantine(relay, call)
    if entry is None and judge_call(relay, call) is not Verdict.REFUSE:
        return
    if entry is not None and relay.quarantine.table.renew(entry, now_s=now_s):
        announce_entries(relay, [entry])
    raise make_quarantine_refusal(relay, call)


def make_quarantine_refusal(relay, call):
    """Return the refusal of a call whose prompt is in quarantine."""
    relay.counters.add("quarantine.refused")
    if call.may_have_run or call.sent:
        return Refusal(502, Cause.QUARANTINED)
    return Refusal(503, Cause.QUARANTINED, retry_after_s=RETRY_DELAY_S)


@contextmanager
def cancelled_by_quarantine(relay, call, scope):
    """Cancel a call as soon as it is quarantined, until it has begun.

    One that may not be repeated is left to end: its caller can't ask again.
    """
    if not call.parts and not call.route.is_repeatable:
        yield
        return
    running = relay.quarantine.running
    running[id(call)] = call, scope
    try:
        yield
    finally:
        del running[id(call)]


def cancel_quarantined(relay):
    """Cancel the running calls that are in quarantine.

    A replica that is still reading such a prompt stops before it begins to write. One
    that has begun may crash at any event: the call ends, rather than the answers of all
    other callers there. A call that has gone on for longer than any at which a replica
    crashed is left to end, and lifts the quarantine if its answer is whole.
    """
    now_s = read_clock()
    for call, scope in list(relay.quarantine.running.values()):
        if is_quarantined(relay, call) and not has_outlived(relay, call, now_s=now_s):
            call.is_quarantined = True
            scope.cancel()


def has_outlived(relay, call, *, now_s):
    """Tell whether a call's answer has gone on for longer than any that crashed."""
    entry = relay.quarantine.table.find(call.parts)
    begun = [one.begun_s for one in call.presences.values() if one.is_writing]
    if entry is None or not begun:
        return False
    return now_s - min(begun) > relay.quarantine.presence.find_longest_s(entry.parts)


def note_written(relay, call):
    """Record that a replica has begun to write an answer to a call."""
    if not call.parts:
        return
    call.is_written = True
    state = relay.quarantine
    now_s = read_clock()
    *shared, own = call.parts
    parts = [*shared, own] if state.evidence.is_suspect(own) else shared
    cleared = sum(state.evidence.is_suspect(part) for part in parts)
    relay.counters.add("quarantine.cleared", cleared)
    state.evidence.note_written(parts, now_s=now_s)


def note_answered(relay, call, replica):
    """Record that a replica has answered a call whole: it may be sent again.

    An event alone proves nothing, neither of a request nor of the parts of a prompt:
    the replica may crash later.
    """
    note_survived(relay, call, replica)
    active = relay.quarantine.table.list_active()
    if any(not parts.isdisjoint(call.parts) for parts in active):
        relay.tasks.start_soon(clear_later, relay, call, replica)
    if not is_suspect(relay, call):
        return
    request = find_fingerprint(relay, call)
    relay.quarantine.requests.forget(request)
    relay.broadcast_work(PartsWritten(relay.node, ((request, 0),)))
    lifted = relay.quarantine.table.lift([request], now_s=read_clock())
    if lifted is not None:
        record_entries(relay, [lifted], why="a replica has answered it")
        announce_entries(relay, [lifted])


async def clear_later(relay, call, replica):
    """Lift the quarantine of parts once a replica has survived an answer to them."""
    presence = call.presences[replica]
    if presence.is_resumed:
        return
    await anyio.sleep(AFTERMATH_S)
    state = relay.quarantine
    if presence.life in state.crashed_s or presence.life in state.checks:
        return
    now_s = read_clock()
    changed = [
        entry
        for part in call.parts
        for entry in state.table.clear_part(part, now_s=now_s)
    ]
    if changed:
        record_entries(relay, changed, why="a replica has survived an answer")
        announce_entries(relay, changed)


def announce_entries(relay, entries):
    """Tell all nodes of quarantines."""
    for entry in entries:
        row = entry.parts, entry.version, entry.is_lifted, entry.crashes
        relay.broadcast_work(Quarantined(relay.node, (row,), entry.until_ms))


def record_entries(relay, entries, *, why):
    """Log and count changes of quarantines, and apply them to running calls."""
    for entry in entries:
        if entry.is_request and entry.is_lifted:
            relay.quarantine.requests.forget(entry.parts[0])
        change = "lifted" if entry.is_lifted else "imposed"
        relay.counters.add(f"quarantine.{change}")
        relay.log.warning(
            "A quarantine has changed.",
            extra={"quarantine": entry.name, "change": change, "why": why,
                   "kind": "request" if entry.is_request else "parts",
                   "version": entry.version, "crashes": entry.crashes,
                   "parts": [part.hex() for part in entry.parts]},
        )  # fmt: skip
    cancel_quarantined(relay)
