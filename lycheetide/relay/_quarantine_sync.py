"""Bring the quarantines of all nodes and those in the store into agreement."""

import anyio

from lycheetide.exchange import DECODE_ERRORS, StoreUnavailable
from lycheetide.gossip import CrashReport, PartsWritten, Quarantined
from lycheetide.httpclient import ChannelConnectError, ChannelError, OutgoingRequest
from lycheetide.quarantine import QuarantineEntry, decode_entries, encode_entries
from lycheetide.relay._crash_checks import clear_living
from lycheetide.relay._crash_reports import (
    look_for_culprits,
    look_for_ended,
    receive_crash_report,
    receive_written_parts,
)
from lycheetide.relay._presence import drop_present
from lycheetide.relay._quarantine import announce_entries, record_entries
from lycheetide.relay._quarantine_store import (
    delete_quarantine,
    read_quarantines,
    write_quarantine,
)
from lycheetide.relay._roles import is_hub, is_registry_reader
from lycheetide.relay._state import read_clock, read_unix_ms

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


def receive_entries(relay, entries, *, why, now_s):
    """Merge quarantines that another node or the store has told."""
    unix_ms = read_unix_ms()
    entries = [one for one in entries if not 0 < one.until_ms <= unix_ms]
    news = [one for one in entries if relay.quarantine.table.merge(one, now_s=now_s)]
    if news:
        record_entries(relay, news, why=why)


def receive_quarantine_message(relay, message, *, now_s):
    """Process a message about crashes or quarantines."""
    match message:
        case CrashReport():
            receive_crash_report(relay, message, now_s=now_s)
        case PartsWritten():
            receive_written_parts(relay, message, now_s=now_s)
        case Quarantined():
            entries = [
                QuarantineEntry(*row, until_ms=message.until_ms)
                for row in message.entries
                if row[0]
            ]
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
    except (ChannelConnectError, ChannelError, *DECODE_ERRORS) as error:
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
    if state.evidence.is_settling(now_s=now_s) or state.presence.is_settling(
        now_s=now_s
    ):
        look_for_culprits(relay, now_s=now_s)
    clear_living(relay)
    look_for_ended(relay)
    state.drop_outdated(now_s=now_s)
    drop_present(relay, now_s=now_s)
    state.table.drop_ended(unix_ms=read_unix_ms())
    lifted = state.table.expire(now_s=now_s)
    if lifted:
        record_entries(relay, lifted, why="it has refused nothing for long")
        announce_entries(relay, lifted)


def must_poll(relay, *, now_s):
    """Tell whether this node reads the store for what an operator has changed."""
    state = relay.quarantine
    is_any_active = any(not one.is_lifted for one in state.table.list_entries())
    if not is_any_active or now_s - state.polled_s < STORE_POLL_S:
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
