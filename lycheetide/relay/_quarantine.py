"""Report crashes of replicas, and keep prompts that cause them from replicas."""

from contextlib import contextmanager

import anyio
import msgspec

from lycheetide.exchange import StoreUnavailable
from lycheetide.gossip import BegunPrompt, CrashReport, Life, PartsWritten, Quarantined
from lycheetide.httpclient import ChannelConnectError, ChannelError, OutgoingRequest
from lycheetide.quarantine import (
    CrashSample,
    QuarantineEntry,
    decode_entries,
    encode_entries,
)
from lycheetide.relay._dial import CONNECT_TIMEOUT_S, connect_replica
from lycheetide.relay._outcomes import Cause, Refusal
from lycheetide.relay._quarantine_store import (
    delete_quarantine,
    read_quarantines,
    write_quarantine,
)
from lycheetide.relay._roles import is_hub, is_registry_reader
from lycheetide.relay._state import make_life, read_clock

RETRY_DELAY_S = 60.0
"""Delay in the Retry-After header: nothing short of an operator makes the prompt
servable, so its caller should rather give up than try again."""
CONFIRM_S = 1.5
"""How long a broken connection may take to prove to be a crash. The registry shows the
next start of a replica within a second."""
CONFIRM_INTERVAL_S = 0.1
MIN_OBJECTION_S = 0.05
"""Shortest time that the nodes have to object to a suspicion."""
OBJECTION_S_PER_NODE = 0.002
"""The same for each node of a larger fleet: few of those who know better then answer
before they hear of another's objection."""
MAX_OBJECTION_S = 0.5
PROPAGATION_MARGIN_S = 0.05
KNOWN_TO_PEERS_S = 1.0
"""An objection isn't repeated if the last one is at most this much older."""
MAX_PARTS_PER_MESSAGE = 48
LOOK_INTERVAL_S = 0.1
STORE_RETRY_S = 1.0
STORE_POLL_S = 5.0
"""Interval at which the store is read for quarantines that an operator has lifted, by
one node of the fleet and only while there are any."""
TAKEOVER_S = 2.0
"""How long an entry may be missing in the store before every hub writes it."""
FETCH_INTERVAL_S = 0.4
PEER_TIMEOUT_S = 1.0
LOAD_PEER_WAIT_S = 0.06
"""How long a starting node waits for a peer that has loaded the quarantines."""
QUARANTINE_TARGET = b"/v1/quarantine"


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


def note_broken(relay, call, replica, via, failure, *, events):
    """Suspect the parts of a prompt if its replica broke off before the first event.

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
    is_begun = failure.cause is Cause.BROKEN and failure.may_have_run and not events
    known = relay.replicas.replicas.get(replica)
    if not is_begun or not call.parts or known is None:
        return
    if known.entry.is_draining or known.removed_from_s is not None:
        # It has ended as planned.
        return
    state = relay.quarantine
    life = make_life(known.entry)
    begun = (call.prompt_hash, call.parts)
    if life in state.crashed_s:
        report_crash(relay, life, state.crashed_s[life], [begun])
    elif life in state.checks:
        state.checks[life].append(begun)
    else:
        state.checks[life] = [begun]
        relay.tasks.start_soon(confirm_crash, relay, life, known.entry.address, via)


async def confirm_crash(relay, life, address, via):
    """Report a crash once it is certain that the replica's process has ended."""
    broken_s = read_clock()
    state = relay.quarantine
    is_crashed = False
    try:
        is_crashed = await has_crashed(relay, life, address, via)
    finally:
        begun = state.checks.pop(life)
    relay.log.info(
        "A replica broke off while answers were beginning.",
        extra={
            "replica": life.replica,
            "is_crashed": is_crashed,
            "prompts": len(begun),
            "took_ms": round(1e3 * (read_clock() - broken_s)),
        },
    )
    if is_crashed:
        state.crashed_s[life] = broken_s
        report_crash(relay, life, broken_s, begun)


async def has_crashed(relay, life, address, via):
    """Tell whether the process of a replica that broke off has ended.

    A connection also breaks if it is reset on the way, or if the peer that carries it
    ends. After a process has ended, its host refuses connections, other nodes reach it
    no more either, or another process takes its place.
    """
    until_s = read_clock() + CONFIRM_S
    is_open = False
    while read_clock() < until_s:
        if has_successor(relay, life, address):
            return True
        if not is_open:
            try:
                channel = await connect_replica(
                    relay, address, timeout_s=CONNECT_TIMEOUT_S, first_via=via
                )
            except ChannelConnectError as error:
                if error.is_confirmed or error.is_refused:
                    return True
            else:
                # The next process may listen already; the registry will show it.
                is_open = True
                await channel.aclose()
        await anyio.sleep(CONFIRM_INTERVAL_S)
    return False


def has_successor(relay, life, address):
    """Tell whether the registry shows another process in place of a replica's."""
    known = relay.replicas.replicas.get(life.replica)
    if known is not None and make_life(known.entry) != life:
        return True
    found = relay.replicas.find_at(address)
    return found is not None and found.entry.id != life.replica


def report_crash(relay, life, at_s, begun):
    """Report a crash to all nodes, this one included.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    life : Life
        The start of the replica.
    at_s : float
        When it crashed.
    begun : list of (int, tuple of bytes)
        Hash of each prompt whose answer was beginning, with its parts.
    """
    relay.counters.add("quarantine.crashes")
    for prompt, parts in begun:
        for first in range(0, len(parts), MAX_PARTS_PER_MESSAGE):
            some = parts[first : first + MAX_PARTS_PER_MESSAGE]
            age_ms = round(1e3 * (read_clock() - at_s))
            report = CrashReport(
                relay.node, life.replica, life.born_ms, age_ms,
                (BegunPrompt(prompt, some),),
            )  # fmt: skip
            relay.broadcast_work(report)
            receive_crash_report(relay, report, now_s=read_clock())


def receive_crash_report(relay, report, *, now_s):
    """Record a crash, object if parts of its prompts are sound, look for a culprit."""
    state = relay.quarantine
    life = Life(report.replica, report.born_ms)
    at_s = now_s - max(0, report.age_ms) / 1e3
    for begun in report.prompts:
        sample = CrashSample(life, begun.prompt, frozenset(begun.parts), at_s, now_s)
        state.evidence.note_crash(sample)
        known = [part for part in begun.parts if may_object(state, part)]
        if known:
            relay.tasks.start_soon(object_later, relay, known)
    look_for_culprits(relay, now_s=now_s)


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


def find_objection_s(relay):
    """Return the longest delay of an objection, in seconds."""
    nodes = len(relay.list_alive_nodes(now_s=read_clock()))
    return min(MAX_OBJECTION_S, max(MIN_OBJECTION_S, OBJECTION_S_PER_NODE * nodes))


def receive_written_parts(relay, message, *, now_s):
    """Record that another node has received answers to prompts with some parts."""
    state = relay.quarantine
    for part, age_ms in message.parts:
        written_s = now_s - max(0, age_ms) / 1e3
        if written_s > state.evidence.last_written_s(part):
            state.evidence.note_written([part], now_s=written_s)
        state.announced_s[part] = max(written_s, state.announced_s.get(part, written_s))


def look_for_culprits(relay, *, now_s):
    """Quarantine the parts that are found at fault."""
    state = relay.quarantine
    culprits = state.evidence.find_culprits(
        state.table.list_active(),
        objection_s=find_objection_s(relay) + PROPAGATION_MARGIN_S,
        now_s=now_s,
    )
    entries = [
        state.table.impose(parts, crashes=crashes, now_s=now_s)
        for parts, crashes in culprits
    ]
    if entries:
        record_entries(relay, entries, why="replicas crash on it")
        announce_entries(relay, entries)


def announce_entries(relay, entries):
    """Tell all nodes of quarantines."""
    for entry in entries:
        row = msgspec.structs.astuple(entry)
        relay.broadcast_work(Quarantined(relay.node, (row,)))


def receive_entries(relay, entries, *, why, now_s):
    """Merge quarantines that another node or the store has told."""
    news = [one for one in entries if relay.quarantine.table.merge(one, now_s=now_s)]
    if news:
        record_entries(relay, news, why=why)


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


def receive_quarantine_message(relay, message, *, now_s):
    """Process a message about crashes or quarantines."""
    match message:
        case CrashReport():
            receive_crash_report(relay, message, now_s=now_s)
        case PartsWritten():
            receive_written_parts(relay, message, now_s=now_s)
        case Quarantined():
            entries = [QuarantineEntry(*row) for row in message.entries if row[0]]
            receive_entries(relay, entries, why="a peer has told it", now_s=now_s)


def compare_quarantines(relay, heartbeat, *, now_s):
    """Fetch a peer's quarantines if they differ from those of this node."""
    state = relay.quarantine
    if heartbeat.quarantine_digest < 0:
        return
    if heartbeat.quarantine_digest == state.table.digest():
        state.is_loaded = True
        return
    if now_s - state.fetched_s >= FETCH_INTERVAL_S:
        state.fetched_s = now_s
        relay.tasks.start_soon(fetch_quarantines, relay, heartbeat.address)


async def fetch_quarantines(relay, address):
    """Fetch the quarantines that a peer knows."""
    outgoing = OutgoingRequest(
        b"GET", QUARANTINE_TARGET, ((b"Host", address.encode()),)
    )
    try:
        head, data = await relay.peer_pool.call(
            address, outgoing, timeout_s=PEER_TIMEOUT_S, read_clock=read_clock
        )
        if head.status != 200:
            raise ChannelError(f"{address}: status {head.status}")
        entries = decode_entries(data)
    except (ChannelConnectError, ChannelError, msgspec.MsgspecError) as error:
        relay.log.info(
            "Fetching quarantines from a peer failed.",
            extra={"peer": address, "cause": str(error)},
        )
        return
    receive_entries(relay, entries, why="a peer has it", now_s=read_clock())
    relay.quarantine.is_loaded = True


def encode_quarantines(relay):
    """Return the status and body with which this node answers such a fetch."""
    state = relay.quarantine
    if not state.is_loaded:
        return 503, b""
    return 200, encode_entries(state.table.list_entries())


async def follow_quarantines(relay):
    """Load the quarantines, and keep those of the store up to date, forever."""
    store = relay.make_store_client("quarantine")
    await load_quarantines(relay, store)
    while True:
        await anyio.sleep(LOOK_INTERVAL_S)
        now_s = read_clock()
        refresh_quarantines(relay, now_s=now_s)
        if must_poll(relay, now_s=now_s):
            relay.quarantine.polled_s = now_s
            await read_stored(relay, store)
        await write_missing(relay, store, now_s=read_clock())


async def load_quarantines(relay, store):
    """Load the quarantines from a peer or, if none has them, from the store."""
    state = relay.quarantine
    await anyio.sleep(LOAD_PEER_WAIT_S)
    while not state.is_loaded:
        if await read_stored(relay, store):
            state.is_loaded = True
            return
        state.failures += 1
        await anyio.sleep(relay.random.uniform(0.5, 1.5) * STORE_RETRY_S)


async def read_stored(relay, store):
    """Read the quarantines from the store; return whether it answered."""
    try:
        entries, broken = await read_quarantines(store, relay.adapter.QUARANTINE_TOPIC)
    except StoreUnavailable as error:
        relay.log.info(
            "Reading quarantines from the store failed.", extra={"cause": str(error)}
        )
        return False
    relay.counters.add("quarantine.broken_record", len(broken))
    for entry in entries:
        relay.quarantine.stored[entry.name] = entry.order_key
    receive_entries(relay, entries, why="the store has it", now_s=read_clock())
    return True


def refresh_quarantines(relay, *, now_s):
    """Look for culprits while there is news, and let old state expire."""
    state = relay.quarantine
    if state.evidence.is_settling(now_s=now_s):
        look_for_culprits(relay, now_s=now_s)
    state.drop_outdated(now_s=now_s)
    lifted = state.table.expire(now_s=now_s)
    if lifted:
        record_entries(relay, lifted, why="it has refused nothing for long")
        announce_entries(relay, lifted)


def must_poll(relay, *, now_s):
    """Tell whether this node reads the store for what an operator has changed."""
    state = relay.quarantine
    if not state.table.list_active() or now_s - state.polled_s < STORE_POLL_S:
        return False
    return is_registry_reader(relay, now_s=now_s)


async def write_missing(relay, store, *, now_s):
    """Write the entries that the store lacks, at one node or else at all hubs."""
    state = relay.quarantine
    missing = state.list_missing()
    forgotten = state.list_forgotten()
    if not missing and not forgotten:
        state.missing_since_s = None
        return
    if state.missing_since_s is None:
        state.missing_since_s = now_s
    is_late = now_s - state.missing_since_s > TAKEOVER_S
    is_writer = is_registry_reader(relay, now_s=now_s)
    if not is_writer and not (is_late and is_hub(relay, now_s=now_s)):
        return
    topic = relay.adapter.QUARANTINE_TOPIC
    try:
        for entry in missing:
            await write_quarantine(store, topic, entry)
            state.stored[entry.name] = entry.order_key
        for name in forgotten:
            await delete_quarantine(store, topic, name)
            del state.stored[name]
    except StoreUnavailable as error:
        relay.log.info(
            "Writing a quarantine failed; retrying.", extra={"cause": str(error)}
        )
        await anyio.sleep(relay.random.uniform(0.5, 1.5) * STORE_RETRY_S)
