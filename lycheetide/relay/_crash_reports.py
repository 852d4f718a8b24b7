"""Find out, together with the other nodes, which requests crash replicas."""

import anyio

from lycheetide.gossip import (
    BegunPrompt,
    BrokenRequest,
    CrashReport,
    Life,
    PartsWritten,
    hash_name,
)
from lycheetide.quarantine import (
    AFTERMATH_S,
    CrashCheck,
    CrashSample,
    Verdict,
    make_break,
)
from lycheetide.relay._crash_checks import has_crashed, has_left, has_successor
from lycheetide.relay._fingerprints import find_fingerprint
from lycheetide.relay._outcomes import Cause
from lycheetide.relay._presence import (
    KNOWN_TO_PEERS_S,
    MAX_PARTS_PER_MESSAGE,
    find_objection_s,
    list_accused,
    read_presence_rows,
    receive_answers,
    receive_present,
    report_present,
)
from lycheetide.relay._quarantine import announce_entries, record_entries
from lycheetide.relay._state import make_life, read_clock, read_unix_ms

PROPAGATION_MARGIN_S = 0.05
MIN_SUPPORT = 2.0
"""Log-likelihood ratio of a part that has crashed replicas before any event."""
DEFAULT_PATIENCE_S = 30.0
"""How long a caller may try again that doesn't say how long it waits."""


def note_broken(relay, call, replica, via, failure, *, events):
    """Check a replica that broke off a call, and suspect the call if it has crashed.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    call : Call
        The request.
    replica : str
        Id of the replica.
    via : str
        Path of the attempt, as in ``Call.paths``.
    failure : AttemptFailed
        How the attempt ended.
    events : int
        Number of whole events that it received.
    """
    is_silent = failure.cause is Cause.SILENT
    is_lost = failure.may_have_run and (is_silent or failure.cause is Cause.BROKEN)
    known = relay.replicas.replicas.get(replica)
    if not is_lost or known is None or known.entry.is_draining:
        # A replica that drains has ended as planned.
        return
    state = relay.quarantine
    life = make_life(known.entry)
    now_s = read_clock()
    row = BrokenRequest(
        find_fingerprint(relay, call),
        call.generations.get(replica, 1),
        hash_name(call.request.attempt_id),
        round(1e3 * (now_s - call.request.received_s)),
        round(1e3 * find_patience_left_s(call.request, now_s=now_s)),
    )
    is_beginning = call.parts and not events and not is_silent
    begun = []
    if is_beginning and known.removed_from_s is None:
        begun.append((call.prompt_hash, call.parts))
    crashed_s = state.crashed_s.get(life)
    state.requests.note_break(
        row.request, life, make_break(row, at_s=now_s, is_silent=is_silent)
    )
    if crashed_s is not None:
        report_crash(relay, life, crashed_s, CrashCheck(begun, [row]))
        return
    if not is_silent:
        relay.broadcast_work(make_report(relay, life, now_s, requests=(row,)))
    if life not in state.checks:
        state.checks[life] = CrashCheck()
        relay.tasks.start_soon(confirm_crash, relay, life, known.entry.address, via)
    state.checks[life].written += bool(call.parts and events)
    state.checks[life].begun.extend(begun)
    state.checks[life].requests.append(row)


def find_patience_left_s(request, *, now_s):
    """Return for how long the caller of a request may still try again, in seconds."""
    if request.time_left_s is None:
        return DEFAULT_PATIENCE_S
    return max(0.0, request.received_s + request.time_left_s - now_s)


async def confirm_crash(relay, life, address, via):
    """Report a crash once it is certain that the replica's process has ended."""
    broken_s = read_clock()
    state = relay.quarantine
    is_crashed = False
    try:
        is_crashed = await has_crashed(relay, life, address, via, broken_s=broken_s)
    finally:
        check = state.checks.pop(life)
    relay.log.info(
        "A replica that broke off answers was checked.",
        extra={
            "replica": life.replica,
            "is_crashed": is_crashed,
            "prompts": len(check.begun),
            "written": check.written,
            "requests": len(check.requests),
            "took_ms": round(1e3 * (read_clock() - broken_s)),
        },
    )
    if is_crashed:
        report_crash(relay, life, state.crashed_s.get(life, broken_s), check)
        relay.counters.add("quarantine.crashes")
        relay.counters.add("quarantine.written", check.written)
    else:
        state.requests.note_alive(life)
        message = make_report(relay, life, broken_s, is_alive=True)
        relay.broadcast_work(message)


def check_unproven(relay, replica, via):
    """Check a replica that can't be reached if it may have crashed after an answer."""
    known = relay.replicas.replicas.get(replica)
    if known is None or known.entry.is_draining:
        return
    life = make_life(known.entry)
    state = relay.quarantine
    if life in state.checks or life in state.crashed_s:
        return
    if list_accused(relay, life, at_s=read_clock()):
        state.checks[life] = CrashCheck()
        relay.tasks.start_soon(confirm_crash, relay, life, known.entry.address, via)


def look_for_ended(relay):
    """Report the replicas that have ended with nobody at hand to notice it."""
    state = relay.quarantine
    for life, presences in list(state.present.items()):
        if life in state.checks or life in state.crashed_s:
            continue
        sent = [one for one in presences if one.sent_s is not None]
        if not sent:
            continue
        last_s = max(one.ended_s or one.sent_s for one in sent)
        is_gone = has_successor(relay, life, sent[-1].address)
        if (is_gone or has_left(relay, life, last_s)) and list_accused(
            relay, life, at_s=last_s + AFTERMATH_S
        ):
            relay.counters.add("quarantine.crashes")
            report_crash(relay, life, last_s + AFTERMATH_S, CrashCheck())


def make_report(
    relay, life, at_s, *, prompts=(), requests=(), is_confirmed=False, is_alive=False
):
    """Return the message that a replica has crashed, broken off, or gone on."""
    age_ms = round(1e3 * (read_clock() - at_s))
    return CrashReport(
        relay.node, life.replica, life.born_ms, age_ms, prompts, requests, is_confirmed,
        is_alive,
    )  # fmt: skip


def report_crash(relay, life, at_s, check):
    """Report a crash to all nodes, this one included.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    life : Life
        The start of the replica.
    at_s : float
        When it crashed.
    check : CrashCheck
        What it broke off.
    """
    reports = []
    for first in range(0, len(check.requests), MAX_PARTS_PER_MESSAGE):
        some = tuple(check.requests[first : first + MAX_PARTS_PER_MESSAGE])
        reports.append(make_report(relay, life, at_s, requests=some, is_confirmed=True))
    for prompt, parts in check.begun:
        for first in range(0, len(parts), MAX_PARTS_PER_MESSAGE):
            begun = BegunPrompt(prompt, parts[first : first + MAX_PARTS_PER_MESSAGE])
            reports.append(
                make_report(relay, life, at_s, prompts=(begun,), is_confirmed=True)
            )
    if not reports:
        reports.append(make_report(relay, life, at_s, is_confirmed=True))
    for report in reports:
        relay.broadcast_work(report)
        receive_crash_report(relay, report, now_s=read_clock())


def receive_crash_report(relay, report, *, now_s):
    """Record a crash, object if parts of its prompts are sound, look for a culprit."""
    state = relay.quarantine
    life = Life(report.replica, report.born_ms)
    at_s = now_s - max(0, report.age_ms) / 1e3
    if report.is_alive:
        state.requests.note_alive(life)
        return
    for row in report.requests:
        state.requests.note_break(row.request, life, make_break(row, at_s=at_s))
    receive_answers(relay, report, now_s=now_s)
    if not report.is_confirmed and life not in state.crashed_s:
        return
    state.crashed_s.setdefault(life, at_s)
    is_own = report.node == relay.node
    impose_requests(relay, state.requests.note_crash(life, at_s=at_s), is_own=is_own)
    for begun in report.prompts:
        sample = CrashSample(life, begun.prompt, frozenset(begun.parts), at_s, now_s)
        state.evidence.note_crash(sample)
        known = [part for part in begun.parts if may_object(state, part)]
        if known:
            relay.tasks.start_soon(object_later, relay, known)
    if report.present:
        prompts = read_presence_rows(report.present)
        receive_present(relay, life, prompts, at_s=at_s, now_s=now_s)
    report_present(relay, life, at_s=state.crashed_s[life], now_s=now_s)
    if report.prompts or report.present:
        look_for_culprits(relay, now_s=now_s)


def impose_requests(relay, requests, *, is_own):
    """Quarantine the requests under which too many replicas have ended.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    requests : list of bytes
        Fingerprints of the requests that a replica broke off as it crashed.
    is_own : bool
        Whether this node has found that out, and so tells the others.
    """
    state = relay.quarantine
    now_s = read_clock()
    entries = []
    for request in requests:
        if state.requests.judge(request, now_s=now_s) is not Verdict.REFUSE:
            continue
        if state.table.find((request,)) is not None:
            continue
        left_s = state.requests.find_held_until_s(request) - now_s
        entries.append(
            state.table.impose(
                [request],
                crashes=state.requests.count_crashes(request),
                now_s=now_s,
                until_ms=read_unix_ms() + round(1e3 * left_s),
            )
        )
    if entries:
        record_entries(relay, entries, why="replicas crash on it")
        if is_own:
            announce_entries(relay, entries)


def may_object(state, part):
    """Tell whether the others don't know when a part was last written on."""
    announced_s = state.announced_s.get(part, float("-inf"))
    return state.evidence.last_written_s(part) > announced_s + KNOWN_TO_PEERS_S


async def object_later(relay, parts):
    """Report that parts are sound after a random delay, unless another node does."""
    await anyio.sleep(relay.random.uniform(0.0, find_objection_s(relay)))
    state = relay.quarantine
    now_s = read_clock()
    rows = [
        (part, round(1e3 * (now_s - state.evidence.last_written_s(part))))
        for part in parts
        if may_object(state, part)
    ]
    for part, _ in rows:
        state.announced_s[part] = state.evidence.last_written_s(part)
    for first in range(0, len(rows), MAX_PARTS_PER_MESSAGE):
        some = tuple(rows[first : first + MAX_PARTS_PER_MESSAGE])
        relay.broadcast_work(PartsWritten(relay.node, some))


def receive_written_parts(relay, message, *, now_s):
    """Record that another node has received answers to prompts with some parts."""
    state = relay.quarantine
    for part, age_ms in message.parts:
        written_s = now_s - max(0, age_ms) / 1e3
        if written_s > state.evidence.last_written_s(part):
            relay.counters.add("quarantine.objections")
            state.evidence.note_written([part], now_s=written_s)
        state.announced_s[part] = max(written_s, state.announced_s.get(part, written_s))
        state.requests.forget(part)


def look_for_culprits(relay, *, now_s):
    """Quarantine the parts that are found at fault."""
    state = relay.quarantine
    objection_s = find_objection_s(relay) + PROPAGATION_MARGIN_S
    explained = state.requests.list_explained()
    culprits = state.evidence.find_culprits(
        state.table.list_active(),
        replicas=len(relay.replicas.replicas),
        objection_s=objection_s,
        now_s=now_s,
        explained=explained,
    )
    culprits = [row for row in culprits if is_supported(state, row[0])]
    known = [*state.table.list_active(), *(parts for parts, _ in culprits)]
    culprits += state.presence.find_culprits(
        known, objection_s=objection_s, now_s=now_s, explained=explained
    )
    entries = [
        state.table.impose(parts, crashes=crashes, now_s=now_s)
        for parts, crashes in culprits
    ]
    if entries:
        record_entries(relay, entries, why="replicas crash on it")
        announce_entries(relay, entries)


def is_supported(state, parts):
    """Tell whether parts are present at crashes more often than elsewhere.

    Where hardly any replica is left, each part is at all that crash.
    """
    crashes = [state.presence.weigh(part) for part in parts]
    return max(crashes) >= MIN_SUPPORT or not len(state.presence)
