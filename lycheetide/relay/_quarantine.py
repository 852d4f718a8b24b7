"""Keep prompts that crash replicas from the replicas."""

from contextlib import contextmanager

import msgspec

from lycheetide.gossip import Quarantined
from lycheetide.relay._outcomes import Cause, Refusal
from lycheetide.relay._state import read_clock

RETRY_DELAY_S = 60.0
"""Delay in the Retry-After header: nothing short of an operator makes the prompt
servable, so its caller should rather give up than try again."""


def find_quarantine(relay, call):
    """Return the quarantine that keeps a call from replicas, or None."""
    return relay.quarantine.table.find(call.parts)


def check_quarantine(relay, call, *, now_s):
    """Refuse a call whose prompt crashes replicas.

    Raises
    ------
    Refusal
        If it is in quarantine.
    """
    entry = find_quarantine(relay, call)
    if entry is None:
        return
    if relay.quarantine.table.renew(entry, now_s=now_s):
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
    """Cancel a call as soon as its prompt is quarantined, until it has begun."""
    if not call.parts:
        yield
        return
    running = relay.quarantine.running
    running[id(call)] = call, scope
    try:
        yield
    finally:
        del running[id(call)]


def cancel_quarantined(relay):
    """Cancel the running calls whose prompts are in quarantine.

    A replica that is still reading such a prompt stops before it begins to write. A
    call that has received an event at any replica isn't cancelled: its parts are sound.
    """
    for call, scope in list(relay.quarantine.running.values()):
        if not call.is_written and find_quarantine(relay, call) is not None:
            call.is_quarantined = True
            scope.cancel()


def note_written(relay, call):
    """Record that a replica writes an answer to a call."""
    if not call.parts or call.is_written:
        return
    call.is_written = True
    state = relay.quarantine
    now_s = read_clock()
    *shared, own = call.parts
    parts = [*shared, own] if state.evidence.is_suspect(own) else shared
    state.evidence.note_written(parts, now_s=now_s)
    if not len(state.table):
        return
    changed = [
        entry
        for part in call.parts
        for entry in state.table.clear_part(part, now_s=now_s)
    ]
    if changed:
        record_entries(relay, changed, why="a replica has written on it")
        announce_entries(relay, changed)


def announce_entries(relay, entries):
    """Tell all nodes of quarantines."""
    for entry in entries:
        row = msgspec.structs.astuple(entry)
        relay.broadcast_work(Quarantined(relay.node, (row,)))


def record_entries(relay, entries, *, why):
    """Log and count changes of quarantines, and apply them to running calls."""
    for entry in entries:
        change = "lifted" if entry.is_lifted else "imposed"
        relay.counters.add(f"quarantine.{change}")
        relay.log.warning(
            "A quarantine of prompts has changed.",
            extra={"quarantine": entry.name, "change": change, "why": why,
                   "version": entry.version, "crashes": entry.crashes,
                   "parts": [part.hex() for part in entry.parts]},
        )  # fmt: skip
    cancel_quarantined(relay)
