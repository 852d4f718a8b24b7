"""Know which prompts are at hand at each engine, and tell peers when it crashes."""

from dataclasses import dataclass

import anyio

from lycheetide.gossip import Life, hash_name
from lycheetide.node._state import read_clock
from lycheetide.peers import PresentCrash, PresentPart
from lycheetide.quarantine import (
    AFTERMATH_S,
    FRESH_S,
    CrashCheck,
    PresentPrompt,
)
from lycheetide.upstreams import (
    UpstreamBrokenError,
    UpstreamConnectError,
    UpstreamError,
    fetch_report,
)

PROOF_DELAY_S = 1.0
"""How long after an answer its engine is asked whether it still runs."""
MAX_PRESENT = 64
"""Prompts that are remembered for each process of an engine."""
MAX_PROCESSES = 512
SHARED_S = 30.0
"""How long a crash is told to peers: several rounds of heartbeats."""
MAX_ROWS = 16
"""Crashes in one reply to a heartbeat, and prompts of each."""


@dataclass(eq=False)
class Presence:
    """A prompt at the process of an engine.

    Parameters
    ----------
    parts : tuple of (bytes, bytes)
        Hashes of its beginning and of its text.
    is_resumed : bool
        Whether its answer begins after a token that the caller has.
    process : Life or None
        The process; None before it has accepted the prompt.
    sent_s, begun_s, ended_s : float or None
        When it was accepted, when its first token arrived, and when the attempt ended.
    is_broken : bool
        Whether the engine broke it off.
    """

    parts: tuple[bytes, bytes]
    is_resumed: bool
    process: Life | None = None
    sent_s: float | None = None
    begun_s: float | None = None
    ended_s: float | None = None
    is_broken: bool = False


def make_process(upstream, boot_id):
    """Return the identity of the process of an engine."""
    return Life(f"{upstream.name}/{boot_id}", 0)


def hash_prompt_text(parts):
    """Return the 64-bit hash by which a prompt is known, from those of its parts."""
    return int.from_bytes(parts[1][:8], "big")


def note_accepted(node, presence, upstream, boot_id):
    """Record that the process of an engine has accepted a prompt."""
    present = node.quarantine.present
    presence.process = make_process(upstream, boot_id)
    presence.sent_s = read_clock()
    rows = present.setdefault(presence.process, [])
    rows.append(presence)
    del rows[:-MAX_PRESENT]
    while len(present) > MAX_PROCESSES:
        del present[next(iter(present))]


def note_ended(node, presence, upstream, error):
    """Record the end of an attempt, and let its engine be asked whether it still runs.

    Parameters
    ----------
    node : NodeState
        This node.
    presence : Presence
        The attempt.
    upstream : Upstream
        The engine.
    error : Exception or None
        How the attempt failed; None if its answer is whole.
    """
    presence.ended_s = now_s = read_clock()
    presence.is_broken = isinstance(error, UpstreamBrokenError)
    process = presence.process
    if process is None or presence.is_broken:
        return
    if error is None and not presence.is_resumed:
        evidence = node.quarantine.presence
        evidence.note_survived(presence.parts, process, at_s=now_s)
    if process not in node.quarantine.checks:
        node.quarantine.checks[process] = CrashCheck()
        node.tasks.start_soon(prove_survival, node, process, upstream)


async def prove_survival(node, process, upstream):
    """Find out whether an engine goes on after its answers."""
    try:
        await anyio.sleep(PROOF_DELAY_S)
        asked_s = read_clock()
        if await has_ended(node, process, upstream):
            report_crash(node, process, at_s=asked_s)
            return
    finally:
        node.quarantine.checks.pop(process, None)
    lift_survived(node, process)


async def has_ended(node, process, upstream):
    """Tell whether a process of an engine has ended."""
    try:
        report = await fetch_report(node.http, upstream)
    except UpstreamConnectError:
        return True
    except UpstreamError:
        return False
    return make_process(upstream, report.boot_id) != process


def lift_survived(node, process):
    """Lift the quarantines of parts of which an engine has survived answers."""
    table = node.quarantine.table
    now_s = read_clock()
    for one in node.quarantine.present.get(process, ()):
        is_proven = one.ended_s is not None and now_s - one.ended_s > AFTERMATH_S
        if is_proven and not one.is_broken and not one.is_resumed:
            for part in one.parts:
                table.clear_part(part, now_s=now_s)


def list_accused(node, process, *, at_s):
    """Return the prompts that this node had at a process when it ended."""
    rows = node.quarantine.present.get(process, ())
    since_s = at_s - AFTERMATH_S
    if not any(one.is_broken or one.ended_s is None for one in rows):
        # It ended unnoticed, soon after its last answer.
        since_s = max((one.ended_s for one in rows), default=at_s) - AFTERMATH_S
    accused = [
        PresentPrompt(
            hash_prompt_text(one.parts),
            frozenset(one.parts),
            -1.0 if one.begun_s is None else max(0.0, at_s - one.begun_s),
            one.ended_s is not None and not one.is_broken,
        )
        for one in rows
        if one.ended_s is None or one.ended_s >= since_s
    ]
    accused.sort(key=lambda one: (not one.is_fresh, one.age_s))
    return accused[:MAX_ROWS]


def find_elsewhere(node, process, part, *, at_s):
    """Return the other engines at which this node had a part at hand at a time.

    Returns
    -------
    fresh, others : set of int
        Hashes of their processes: those with a prompt that has just begun or ended, and
        those with another one.
    """
    fresh: set[int] = set()
    others: set[int] = set()
    for one, rows in node.quarantine.present.items():
        if one == process or one in node.quarantine.crashed_s:
            continue
        for row in rows:
            is_over = row.ended_s is not None and row.ended_s <= at_s
            is_past = is_over and at_s - row.ended_s > AFTERMATH_S
            if part not in row.parts or is_past or row.sent_s > at_s:
                continue
            is_young = row.begun_s is None or at_s - row.begun_s < FRESH_S
            (fresh if is_over or is_young else others).add(hash_name(one.replica))
    return fresh, others


def report_crash(node, process, *, at_s):
    """Take note of a crash and of all prompts that were at hand there."""
    state = node.quarantine
    if process in state.crashed_s:
        return
    state.crashed_s[process] = at_s
    node.counters.add("quarantine.crashes")
    prompts = list_accused(node, process, at_s=at_s)
    receive_present(node, process, prompts, at_s=at_s, now_s=read_clock())
    state.present.pop(process, None)


def receive_present(node, process, prompts, *, at_s, now_s):
    """Record prompts that were at a process when it ended, and what is elsewhere."""
    if not prompts:
        return
    state = node.quarantine
    state.crashed_s.setdefault(process, at_s)
    ended = {one.replica.partition("/")[0] for one in state.crashed_s}
    alive = len(set(node.fleet.upstreams) - ended) + 1
    is_new = state.presence.note_crash(
        process, prompts, alive=alive, at_s=at_s, now_s=now_s
    )
    if not is_new:
        return
    for part in frozenset().union(*(one.parts for one in prompts)):
        found = find_elsewhere(node, process, part, at_s=at_s)
        state.presence.note_elsewhere(process, part, *found)


def make_present_rows(node, *, now_s):
    """Return the recent crashes that peers are told, and what is known of their parts.

    Returns
    -------
    crashes : tuple of PresentCrash
    parts : tuple of PresentPart
    """
    evidence = node.quarantine.presence
    recent = evidence.list_crashes(since_s=now_s - SHARED_S)[-MAX_ROWS:]
    crashes = tuple(
        PresentCrash(
            process.replica,
            round(1e3 * (now_s - at_s)),
            tuple(
                (one.prompt, tuple(sorted(one.parts)), round(1e3 * one.age_s),
                 one.is_ended)
                for one in prompts
            ),
        )
        for process, at_s, prompts in recent
    )  # fmt: skip
    rows = []
    for process, _, prompts in recent:
        for part in sorted(frozenset().union(*(one.parts for one in prompts))):
            fresh, known = evidence.list_elsewhere(process, part)
            found = evidence.find_survived(part)
            survivor, age_ms = "", 0
            if found is not None:
                survivor, age_ms = found[0].replica, round(1e3 * (now_s - found[1]))
            others = tuple(sorted(known - fresh))
            if fresh or others or survivor:
                rows.append(
                    PresentPart(process.replica, part, tuple(sorted(fresh)), others,
                                survivor, age_ms)
                )  # fmt: skip
    return crashes, tuple(rows)


def apply_present_rows(node, reply, *, asked_s, now_s):
    """Apply what a peer has replied about crashes and the parts that were present."""
    evidence = node.quarantine.presence
    for row in reply.present:
        prompts = [
            PresentPrompt(prompt, frozenset(parts), age_ms / 1e3, is_ended)
            for prompt, parts, age_ms, is_ended in row.prompts
        ]
        process = Life(row.process, 0)
        at_s = asked_s - row.age_ms / 1e3
        receive_present(node, process, prompts, at_s=at_s, now_s=now_s)
    for row in reply.parts:
        evidence.note_elsewhere(Life(row.process, 0), row.part, row.fresh, row.others)
        survivor = Life(row.survivor, 0)
        if row.survivor and survivor not in node.quarantine.crashed_s:
            at_s = asked_s - row.survived_age_ms / 1e3
            evidence.note_survived([row.part], survivor, at_s=at_s)
