"""Keep prompts that crash engines from the engines; the nodes tell each other."""

import anyio

from lycheetide.gossip import Life
from lycheetide.metrics import get_logger
from lycheetide.node._presence import (
    apply_present_rows,
    has_ended,
    hash_prompt_text,
    make_process,
    report_crash,
)
from lycheetide.node._state import read_clock
from lycheetide.outcomes import NotRunError, Reason
from lycheetide.peers import CrashRow
from lycheetide.quarantine import CrashSample, hash_parts
from lycheetide.routing import make_prefix_key
from lycheetide.upstreams import UpstreamBrokenError

RETRY_AFTER_S = 60.0
"""Nothing short of a repaired engine makes the prompt servable."""
CONFIRM_S = 0.3
HEARTBEATS_TO_OBJECT = 3
"""Heartbeats in which peers have told what they know of a crash."""
SHARED_S = 30.0
"""How long a crash is told to peers: several rounds of heartbeats."""
MAX_ROWS = 16
"""Crashes in one reply to a heartbeat."""

log = get_logger("prompt")


def hash_prompt(customer, prompt):
    """Return the hashes of a prompt's beginning, which others share, and of its text.

    Parameters
    ----------
    customer : str
        Name of the customer; customers don't share prefixes.
    prompt : Prompt
        The prompt.
    """
    prefix_key = make_prefix_key(customer, prompt.model, prompt.text)
    return hash_parts(prompt.model, (prefix_key, f"{customer}/{prompt.text}"))


def check_prompt(node, parts):
    """Refuse a prompt that crashes engines.

    Raises
    ------
    NotRunError
        If it is in quarantine.
    """
    if node.quarantine.table.find(parts) is not None:
        node.counters.add("quarantine.refused")
        raise NotRunError(
            Reason.QUARANTINED,
            "the prompt has crashed engines",
            retry_after_s=RETRY_AFTER_S,
        )


def note_first_token(node, run):
    """Record that an engine has begun to write an answer to a prompt."""
    now_s = read_clock()
    run.presence.begun_s = now_s
    evidence = node.quarantine.evidence
    is_suspect = evidence.is_suspect(run.parts[1])
    evidence.note_written(run.parts if is_suspect else run.parts[:1], now_s=now_s)


async def note_broken_attempt(node, run, upstream, boot_id, error):
    """Check whether an engine crashed while it worked on a prompt.

    The next attempt waits for that, at most ``CONFIRM_S``.

    Parameters
    ----------
    node : NodeState
        This node.
    run : PromptRun
        The prompt.
    upstream : Upstream
        The engine.
    boot_id : str
        The process that accepted the prompt.
    error : UpstreamError
        How the attempt ended.
    """
    if isinstance(error, UpstreamBrokenError) and boot_id:
        with anyio.move_on_after(CONFIRM_S):
            await confirm_crash(node, run, upstream, boot_id)


async def confirm_crash(node, run, upstream, boot_id):
    """Take note of a crash if the engine's process has ended."""
    at_s = read_clock()
    process = make_process(upstream, boot_id)
    if not await has_ended(node, process, upstream):
        return
    report_crash(node, process, at_s=at_s)
    if not run.has_token:
        prompt = hash_prompt_text(run.parts)
        sample = CrashSample(process, prompt, frozenset(run.parts), at_s, read_clock())
        node.quarantine.evidence.note_crash(sample)
    look_for_culprits(node)


def look_for_culprits(node):
    """Quarantine the parts that are found at fault."""
    state = node.quarantine
    now_s = read_clock()
    culprits = state.evidence.find_culprits(
        state.table.list_active(),
        replicas=len(node.fleet.upstreams),
        objection_s=0.0,
        now_s=now_s,
        explained=state.requests.list_explained(),
    )
    known = [*state.table.list_active(), *(parts for parts, _ in culprits)]
    culprits += state.presence.find_culprits(
        known,
        objection_s=HEARTBEATS_TO_OBJECT * node.settings.heartbeat_interval_s,
        now_s=now_s,
        explained=state.requests.list_explained(),
    )
    for parts, crashes in culprits:
        entry = state.table.impose(parts, crashes=crashes, now_s=now_s)
        node.counters.add("quarantine.imposed")
        log.warning(
            "Prompts are in quarantine.",
            extra={"quarantine": entry.name, "crashes": crashes},
        )
    if culprits:
        cancel_quarantined(node)


def cancel_quarantined(node):
    """Cancel the running prompts that are in quarantine.

    Their engines may crash at any token, and break off the answers of all others.
    """
    for run, scope in list(node.quarantine.running.values()):
        if node.quarantine.table.find(run.parts) is not None:
            run.is_quarantined = True
            scope.cancel()


def make_crash_rows(node, *, now_s):
    """Return the recent crashes that peers are told."""
    samples = node.quarantine.evidence.list_samples(since_s=now_s - SHARED_S)
    return tuple(
        CrashRow(
            sample.life.replica,
            sample.prompt,
            tuple(sorted(sample.parts)),
            round(1e3 * (now_s - sample.at_s)),
        )
        for sample in samples[-MAX_ROWS:]
    )


def apply_reply(node, reply, *, asked_s, now_s):
    """Apply what a peer has replied about crashes and quarantines."""
    state = node.quarantine
    for row in reply.crashes:
        at_s = asked_s - row.age_ms / 1e3
        state.evidence.note_crash(
            CrashSample(Life(row.process, 0), row.prompt, frozenset(row.parts), at_s,
                        now_s)
        )  # fmt: skip
    apply_present_rows(node, reply, asked_s=asked_s, now_s=now_s)
    if any([state.table.merge(entry, now_s=now_s) for entry in reply.quarantines]):
        cancel_quarantined(node)
    if state.presence.is_settling(now_s=now_s) or reply.crashes:
        look_for_culprits(node)
    state.drop_outdated(now_s=now_s)
    state.table.expire(now_s=now_s)
