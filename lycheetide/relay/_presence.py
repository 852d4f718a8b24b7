"""Know which prompts are at hand at each replica, and report them when it crashes."""

from contextlib import contextmanager
from dataclasses import dataclass

import anyio

from lycheetide.gossip import CrashReport, Life, PresentRow, hash_name
from lycheetide.quarantine import AFTERMATH_S, FRESH_S, PresentPrompt
from lycheetide.relay._outcomes import AttemptFailed, Cause
from lycheetide.relay._state import make_life, read_clock

RETENTION_S = 10.0
"""How long a prompt is remembered after its answer: longer than the proof of a crash
takes."""
UNHEARD_S = 1.0
"""Time after an answer in which its replica may have crashed unnoticed."""
BREAK_SPREAD_S = 0.05
"""How long after the first break of a replica's answers the others are noticed. What
was sent later met a replica that was gone."""
MAX_ENDED = 64
"""Prompts that are remembered for each replica after their answers."""
MAX_REPORTED = 32
"""Prompts that a node reports of one crash."""
MAX_PARTS_PER_MESSAGE = 48
MIN_OBJECTION_S = 0.05
"""Shortest time that the nodes have to object to a suspicion."""
OBJECTION_S_PER_NODE = 0.002
"""The same for each node of a larger fleet: few of those who know better then answer
before they hear of another's objection."""
MAX_OBJECTION_S = 0.5
NEVER_S = float("-inf")
KNOWN_TO_PEERS_S = 1.0
"""What clears a part isn't told again if the last told is at most this much older."""


@dataclass(eq=False)
class Presence:
    """A prompt at one replica.

    Parameters
    ----------
    life : Life
        The start of the replica.
    address : str
        Its address.
    prompt : int
        64-bit hash of its own part.
    parts : tuple of bytes
        Hashes of its parts.
    is_resumed : bool
        Whether its answer begins after an event that the caller has.
    sent_s, begun_s, ended_s : float or None
        When it was sent, when its first event arrived, and when the attempt ended.
    is_broken : bool
        Whether its replica broke it off.
    """

    life: Life
    address: str
    prompt: int
    parts: tuple[bytes, ...]
    is_resumed: bool
    sent_s: float | None = None
    begun_s: float | None = None
    ended_s: float | None = None
    is_broken: bool = False

    @property
    def is_writing(self):
        """Whether the replica has begun to write, and the attempt hasn't ended."""
        return self.begun_s is not None and self.ended_s is None


@contextmanager
def present(relay, call, replica, *, is_resumed):
    """Remember that a replica has a prompt at hand, until it has survived the answer.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    call : Call
        The request.
    replica : RegistryEntry
        The replica that it is sent to.
    is_resumed : bool
        Whether a part of the answer has arrived before.
    """
    if not call.parts:
        yield
        return
    life = make_life(replica)
    presence = Presence(life, replica.address, call.prompt_hash, call.parts, is_resumed)
    present_here = relay.quarantine.present.setdefault(life, [])
    present_here.append(presence)
    call.presences[replica.id] = presence
    is_unrun = False
    try:
        yield
    except AttemptFailed as failure:
        presence.is_broken = failure.cause is Cause.BROKEN
        is_unrun = not failure.may_have_run
        raise
    finally:
        if presence.ended_s is None:
            presence.ended_s = read_clock()
        if (is_unrun or presence.sent_s is None) and presence in present_here:
            present_here.remove(presence)
        del present_here[: count_dispensable(present_here)]


def count_dispensable(presences):
    """Return how many of the oldest prompts at a replica needn't be remembered."""
    excess = max(0, len(presences) - MAX_ENDED)
    ended = (one.ended_s is not None for one in presences[:excess])
    return next((place for place, is_ended in enumerate(ended) if not is_ended), excess)


def note_sent(call, replica):
    """Record that a call is sent to a replica now."""
    presence = call.presences.get(replica)
    if presence is not None and presence.sent_s is None:
        presence.sent_s = read_clock()


def note_begun(call, replica):
    """Record that a replica has begun to write an answer to a call."""
    presence = call.presences.get(replica)
    if presence is not None and presence.begun_s is None:
        presence.begun_s = read_clock()


def note_survived(relay, call, replica):
    """Record that a replica has answered a call whole.

    The end of a resumed answer is no whole answer: a replica may crash at an event that
    came before.
    """
    presence = call.presences.get(replica)
    if presence is None:
        return
    presence.ended_s = now_s = read_clock()
    if presence.is_resumed:
        return
    evidence = relay.quarantine.presence
    *shared, own = call.parts
    parts = [*shared, own] if evidence.is_suspect(own) else shared
    evidence.note_survived(parts, presence.life, at_s=now_s)


def is_at_hand(presence, *, heard_s, now_s):
    """Tell whether a replica may crash, or may have crashed, for a prompt.

    Parameters
    ----------
    presence : Presence
        The prompt.
    heard_s : float
        When the replica was last heard from.
    now_s : float
        The time in question.
    """
    if presence.sent_s is None or presence.sent_s > now_s:
        return False
    if presence.ended_s is None or presence.ended_s > now_s:
        return True
    is_unproven = heard_s < presence.ended_s + AFTERMATH_S
    return is_unproven and now_s - presence.ended_s < UNHEARD_S


def is_fresh(presence, *, now_s):
    """Tell whether the answer hasn't begun, has just begun, or has ended."""
    is_young = presence.begun_s is None or now_s - presence.begun_s < FRESH_S
    is_over = presence.ended_s is not None and presence.ended_s <= now_s
    return is_young or is_over


def list_accused(relay, life, *, at_s):
    """Return the prompts that this node had at a replica when it crashed.

    Fresh ones come first, then those that began last.
    """
    present_here = relay.quarantine.present.get(life, ())
    heard_s = min(at_s, relay.failure_detector.last_answer_s(life.replica))
    if any(one.is_broken and one.begun_s is not None for one in present_here):
        # An answer that was being written tells the time of the crash.
        heard_s = at_s
    rows = []
    for one in present_here:
        if one.sent_s is None or one.sent_s > at_s + BREAK_SPREAD_S:
            continue
        is_ended = one.ended_s is not None and not one.is_broken
        if one.is_broken or is_at_hand(
            one, heard_s=heard_s, now_s=at_s + BREAK_SPREAD_S
        ):
            age_s = -1.0 if one.begun_s is None else max(0.0, at_s - one.begun_s)
            prompt = PresentPrompt(one.prompt, frozenset(one.parts), age_s, is_ended)
            rows.append(prompt)
    rows.sort(key=lambda one: (not one.is_fresh, one.age_s))
    return rows[:MAX_REPORTED]


def find_present(relay, parts, *, but, at_s):
    """Return the replicas at which this node had parts at hand at a time.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    parts : set of bytes
        Hashes of the parts.
    but : Life
        A replica that doesn't count.
    at_s : float
        The time.

    Returns
    -------
    dict of bytes to (set of int, set of int)
        Hashes of the ids of the replicas with a fresh prompt, and of the others.
    """
    found: dict[bytes, tuple[set[int], set[int]]] = {
        part: (set(), set()) for part in parts
    }
    state = relay.quarantine
    for life, presences in state.present.items():
        if life == but or life in state.crashed_s:
            continue
        name = hash_name(life.replica)
        heard_s = relay.failure_detector.last_answer_s(life.replica)
        for one in presences:
            if is_at_hand(one, heard_s=heard_s, now_s=at_s):
                place = 0 if is_fresh(one, now_s=at_s) else 1
                for part in parts.intersection(one.parts):
                    found[part][place].add(name)
    return found


def count_alive(relay, life):
    """Return how many replicas of a service could have crashed, a certain one included.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    life : Life
        The start of the replica that crashed.
    """
    known = relay.replicas.replicas
    service = known[life.replica].entry.service if life.replica in known else None
    alive = [
        one
        for one in known.values()
        if service in (None, one.entry.service)
        and one.removed_from_s is None
        and make_life(one.entry) not in relay.quarantine.crashed_s
    ]
    return len(alive) + 1


def make_presence_rows(prompts):
    """Yield the rows of messages about prompts, a few at a time."""
    batch: list[PresentRow] = []
    size = 0
    for one in prompts:
        parts = sorted(one.parts)
        for first in range(0, len(parts), MAX_PARTS_PER_MESSAGE):
            some = tuple(parts[first : first + MAX_PARTS_PER_MESSAGE])
            if size + len(some) > MAX_PARTS_PER_MESSAGE:
                yield tuple(batch)
                batch, size = [], 0
            age_ms = -1 if one.age_s < 0.0 else round(1e3 * one.age_s)
            batch.append(PresentRow(one.prompt, some, age_ms, one.is_ended))
            size += len(some)
    if batch:
        yield tuple(batch)


def read_presence_rows(rows):
    """Return the prompts that the rows of a message describe."""
    return [
        PresentPrompt(row.prompt, frozenset(row.parts), row.age_ms / 1e3, row.is_ended)
        for row in rows
    ]


def receive_present(relay, life, prompts, *, at_s, now_s):
    """Record prompts that were at a replica when it crashed, and answer about them.

    Other nodes are told which of the parts replicas have survived, and which replicas
    have the others at hand at this node.
    """
    state = relay.quarantine
    alive = count_alive(relay, life)
    state.presence.note_crash(life, prompts, alive=alive, at_s=at_s, now_s=now_s)
    parts = frozenset().union(*(one.parts for one in prompts))
    elsewhere = find_present(relay, parts, but=life, at_s=at_s)
    relay.tasks.start_soon(answer_later, relay, life, elsewhere, at_s)


def report_present(relay, life, *, at_s, now_s):
    """Tell all nodes which prompts this one had at a replica when it crashed.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    life : Life
        The start of the replica.
    at_s, now_s : float
        When it crashed, and current time.
    """
    prompts = list_accused(relay, life, at_s=at_s)
    relay.quarantine.present.pop(life, None)
    if not prompts:
        return
    age_ms = round(1e3 * (now_s - at_s))
    for rows in make_presence_rows(prompts):
        message = CrashReport(
            relay.node, life.replica, life.born_ms, age_ms, (), present=rows
        )
        relay.broadcast_work(message)
    receive_present(relay, life, prompts, at_s=at_s, now_s=now_s)


def drop_present(relay, *, now_s):
    """Forget prompts that replicas have survived, or that no proof can concern."""
    present_at = relay.quarantine.present
    for life, presences in list(present_at.items()):
        presences[:] = [
            one
            for one in presences
            if one.ended_s is None or now_s - one.ended_s < RETENTION_S
        ]
        if not presences:
            del present_at[life]


async def answer_later(relay, life, elsewhere, at_s):
    """Tell the others what they don't know of some parts, after a random delay."""
    await anyio.sleep(relay.random.uniform(0.0, find_objection_s(relay)))
    evidence = relay.quarantine.presence
    told_s = relay.quarantine.told_survived_s
    survived, rows = [], []
    for part, (fresh, others) in elsewhere.items():
        found = evidence.find_survived(part)
        if (
            found is not None
            and found[1] > told_s.get(part, NEVER_S) + KNOWN_TO_PEERS_S
        ):
            told_s[part] = found[1]
            age_ms = round(1e3 * (read_clock() - found[1]))
            survived.append((part, age_ms, found[0].replica, found[0].born_ms))
        if found is not None and found[1] >= at_s:
            continue
        known_fresh, known = evidence.list_elsewhere(life, part)
        new_fresh, new = fresh - known_fresh, others - known - fresh
        if evidence.is_widespread(life, len(known_fresh)):
            continue
        evidence.note_elsewhere(life, part, fresh, others)
        if new_fresh or new:
            rows.append((part, tuple(sorted(new_fresh)), tuple(sorted(new))))
    for first in range(0, max(len(survived), len(rows)), MAX_PARTS_PER_MESSAGE):
        last = first + MAX_PARTS_PER_MESSAGE
        message = CrashReport(
            relay.node, life.replica, life.born_ms, 0, (), is_confirmed=False,
            survived=tuple(survived[first:last]), elsewhere=tuple(rows[first:last]),
        )  # fmt: skip
        relay.broadcast_work(message)


def receive_answers(relay, report, *, now_s):
    """Record what another node tells of the parts that were present at a crash."""
    evidence = relay.quarantine.presence
    told_s = relay.quarantine.told_survived_s
    for part, age_ms, replica, born_ms in report.survived:
        at_s = now_s - max(0, age_ms) / 1e3
        relay.counters.add("quarantine.survivals")
        told_s[part] = max(at_s, told_s.get(part, NEVER_S))
        life = Life(replica, born_ms)
        if life not in relay.quarantine.crashed_s:
            evidence.note_survived([part], life, at_s=at_s)
    crashed = Life(report.replica, report.born_ms)
    for part, fresh, others in report.elsewhere:
        evidence.note_elsewhere(crashed, part, fresh, others)


def find_objection_s(relay):
    """Return the longest delay of an objection, in seconds."""
    nodes = len(relay.list_alive_nodes(now_s=read_clock()))
    return min(MAX_OBJECTION_S, max(MIN_OBJECTION_S, OBJECTION_S_PER_NODE * nodes))
