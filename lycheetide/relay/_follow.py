"""Follow what operators and replicas write into the store.

A peer that knows more is asked where the store doesn't answer this node.
"""

import logging

import anyio
import msgspec

from lycheetide.exchange import Batch, StoreUnavailable
from lycheetide.httpclient import ChannelBroken, ConnectFailed, Outgoing
from lycheetide.relay._sharing import (
    decode_changes,
    is_hub,
    is_reader,
    make_changes,
    must_read,
    waits_for_operators,
)
from lycheetide.relay._state import read_clock
from lycheetide.routes import RouteTable

CALL_S = 1.0
"""How long the store may take; its ordinary answers take 4 ms, slow ones 0.3 s."""
RETRY_S = 0.4
"""Pause after a call that failed, at a node that reads for others."""
LONGEST_RETRY_S = {"operator": 1.0, "registry": 3.2}
"""Pauses up to which the others double theirs. They hear from those when the store is
back, and of what it says, so asking more often only adds to what it has to refuse. A
configuration is due within 2 s and may be too large for a peer's slow link, so it is
asked for sooner."""
GATHER_CHANGES_S = 0.3
"""Pause after a configuration was read, before the next one is waited for. Where many
come in quick succession only the last one matters, and it is due within 2 s."""
START_ASK_S = 0.06
"""How long a node that starts waits for a peer that knows more than it; seeds answer
within some 5 ms. Where all nodes start at once nobody knows, and callers wait."""
START_LOOK_S = 0.01
LOOK_S = 0.25
"""Pause after which a node looks whether it has to wait for operators' records now."""
GIVEN_S = 0.3
"""How long a node's link may be full with what it gives its peers of one topic. What is
larger they read from the store, each over its own link."""
LINK_MBPS = 1_000.0
"""Taken for the width of a link that isn't known."""
OUTAGE_S = 1.5
"""Reads that failed for so long were an outage, in which entries may have lapsed."""
STARTING_S = 2.0
"""How long after its start a node may take itself for the only one."""
SETTLED_S = 0.5
"""Where no new peer came for so long it knows them."""
PEER_CALL_S = 1.0
REMOVED_KEPT = 30_000
"""Records kept of one topic before those of removed keys are dropped; more than twice
the replicas of the largest fleet that we design for."""

STATE_TARGETS = {"operator": b"/v1/operator", "registry": b"/v1/registry"}
INSISTS = b"?whole"
"""Behind a target: the one who asks has nobody else to ask."""


async def follow_operator(relay):
    """Follow the configuration and the failure domains taken out, for ever.

    Some nodes wait for them at the store; the others take over what those know.
    """
    store = relay.make_store("operator")
    await begin(relay, store, "operator")
    while True:
        offset = relay.operator.offset
        if waits_for_operators(relay, now_s=read_clock()):
            # A wait that the store has forgotten can't be told from one in vain, so it
            # is asked to wait only once it answers.
            has_failed = relay.operator.failures > 0
            wait_s = 0.0 if has_failed else relay.settings.operator_wait_s
            with anyio.CancelScope() as relay.operator_read:
                await read_once(relay, store, "operator", wait_s=wait_s)
            was_cancelled = relay.operator_read.cancelled_caught
            relay.operator_read = None
            if was_cancelled:
                await read_from_peer(relay, "operator")
        elif relay.lags_behind(now_s=read_clock()):
            await catch_up(relay, store)
        else:
            # News that came while this node read for itself would end each wait.
            relay.operator_news = anyio.Event()
            with anyio.move_on_after(LOOK_S):
                await relay.operator_news.wait()
        if 0 <= offset < relay.operator.offset:
            await anyio.sleep(GATHER_CHANGES_S)


async def catch_up(relay, store):
    """Take over what operators wrote: from a peer, or else from the store."""
    offset = relay.operator.offset
    await read_from_peer(relay, "operator", insists=False)
    if relay.operator.offset == offset:
        await read_once(relay, store, "operator", wait_s=0.0)


async def follow_registry(relay):
    """Follow the list of replicas, for ever."""
    store = relay.make_store("registry")
    await begin(relay, store, "registry")
    if relay.registry.is_reachable:
        await anyio.sleep(relay.settings.registry_interval_s)
    while True:
        now_s = read_clock()
        reads = must_read(relay, now_s=now_s)
        if reads:
            await read_once(relay, store, "registry", wait_s=0.0)
        pause_s = relay.settings.registry_interval_s
        await anyio.sleep(pause_s if reads else pause_s / 2)


async def read_once(relay, store, name, *, wait_s):
    """Read what is new from the store, or else from a peer."""
    source = getattr(relay, name)
    topic = {"operator": relay.adapter.OPERATOR, "registry": relay.adapter.REGISTRY}
    begun_s = read_clock()
    try:
        batch = await store.read(
            topic[name], source.offset, wait_s=wait_s, timeout_s=CALL_S
        )
    except StoreUnavailable as error:
        note_failure(relay, name, source, error)
        await read_from_peer(relay, name)
        reads_for_others = is_hub(relay, now_s=read_clock())
        await anyio.sleep(find_pause_s(name, source.failures, reads_for_others))
        return
    now_s = read_clock()
    if wait_s == 0:
        relay.exposition.observe("store_call", now_s - begun_s, kind=name)
    if not source.is_reachable:
        relay.log.info("The store answers.", extra={"topic": name})
        if was_out_for_all(relay, source, now_s=now_s):
            source.returned_s = now_s
    if name == "registry" and source.failures and relay.operator_read is not None:
        # The read that waits for a configuration may have gone out while the store said
        # nothing. It is never answered, and would hold the next version back.
        relay.operator_read.cancel()
    source.is_reachable = True
    source.failures = 0
    take(relay, name, batch, now_s=now_s)


def find_pause_s(name, failures, reads_for_others):
    """Return the pause after so many calls in a row that failed.

    Examples
    --------
    >>> [find_pause_s("registry", failures, False) for failures in (1, 2, 3, 9)]
    [0.4, 0.8, 1.6, 3.2]
    >>> find_pause_s("operator", 9, False), find_pause_s("operator", 9, True)
    (1.0, 0.4)
    """
    if reads_for_others:
        return RETRY_S
    return min(LONGEST_RETRY_S[name], RETRY_S * 2 ** (failures - 1))


def was_out_for_all(relay, source, *, now_s):
    """Tell whether the store was out, and not only for this node.

    Entries of living replicas lapse only while the store is away. Where it served
    others meanwhile, a removal is real; to doubt it would send work to a replica that
    has left.
    """
    since_s = now_s - OUTAGE_S
    if source.offset < 0 or source.read_s > since_s:
        return False
    return all(peer.registry_read_s <= since_s for peer in relay.peers.peers.values())


def note_failure(relay, name, source, error):
    """Note a read that failed."""
    relay.counters.add(f"store.failed.{name}")
    if source.is_reachable:
        relay.log.warning(
            "The store doesn't answer.", extra={"topic": name, "cause": str(error)}
        )
    source.is_reachable = False
    source.failures += 1


def take(relay, name, batch, *, now_s, read_s=None):
    """Take in what a read brought.

    Parameters
    ----------
    relay : RelayState
        This node.
    name : str
        "operator" or "registry".
    batch : Batch
        What was read.
    now_s : float
        The present time.
    read_s : float or None
        When the store said so; None for now.
    """
    source = getattr(relay, name)
    is_first = source.offset < 0
    source.read_s = max(source.read_s, now_s if read_s is None else read_s)
    newer = [
        record
        for record in batch.records
        if record.key not in source.records
        or record.offset > source.records[record.key].offset
    ]
    for record in newer:
        source.records[record.key] = record
    if name == "operator":
        take_operator(relay, newer, batch)
    else:
        listed = batch.records if batch.is_listing else newer
        taken = take_registry(relay, listed, batch, now_s=now_s)
        log_changes(relay, taken, is_first=is_first, is_read=read_s is None)
        forget_removed(source)
        if taken and read_s is None and not is_first:
            tell_changes(relay, taken, now_s=now_s)
    source.offset = max(source.offset, batch.end)


def tell_changes(relay, changes, *, now_s):
    """Tell others of changes that this node has read.

    The node that reads for all tells all. Another hub tells its failure domain, since
    every domain has one, and all others tell nobody. Nor does a node that has just
    started and still comes to know its peers, or takes itself for the only one: each of
    195 nodes that start would tell all others of each replica, and fill every link.
    """
    if is_starting(relay, now_s=now_s):
        return
    if is_reader(relay, now_s=now_s):
        tell = relay.tell_change
    elif is_hub(relay, now_s=now_s):
        tell = relay.tell_near
    else:
        return
    for message in make_changes(relay, changes, now_s=now_s):
        tell(message)


def is_starting(relay, *, now_s):
    """Tell whether this node has just started and still comes to know its peers."""
    is_new = now_s - relay.started_s < STARTING_S
    return is_new and now_s - relay.peers.grown_s < SETTLED_S


def forget_removed(source):
    """Drop the records of removed keys once they are many."""
    if len(source.records) > REMOVED_KEPT:
        source.records = {
            key: record
            for key, record in source.records.items()
            if record.value is not None
        }


def take_operator(relay, records, batch):
    """Put a newer configuration in force, and take domains out or back in."""
    closed = set(relay.closed)
    if batch.is_listing and batch.end >= relay.operator.offset:
        present = {record.key for record in batch.records}
        relay.operator.records = {
            key: record
            for key, record in relay.operator.records.items()
            if key in present or record.offset >= batch.end
        }
        closed = set()
        records = list(relay.operator.records.values())
    for record, routing, domain in decode_operator(relay, records):
        if domain is not None:
            (closed.discard if record.value is None else closed.add)(domain)
        elif relay.table is None or routing.version > relay.table.routing.version:
            relay.table = RouteTable(routing)
            relay.log.info(
                "A configuration is in force.",
                extra={"version": routing.version, "offset": record.offset,
                       "routes": len(routing.routes)},
            )  # fmt: skip
    if closed != relay.closed:
        relay.closed = frozenset(closed)
        relay.log.info("Failure domains are out.", extra={"domains": sorted(closed)})
    relay.tell_news()


def decode_operator(relay, records):
    """Yield what operators' records say; a broken one is counted and left out."""
    for record in sorted(records, key=lambda one: one.offset):
        try:
            yield from relay.adapter.decode_operator_records([record])
        except msgspec.MsgspecError as error:
            relay.counters.add("config.broken")
            relay.log.error(
                "A configuration can't be read.",
                extra={"offset": record.offset, "cause": str(error)},
            )


def take_registry(relay, records, batch, *, now_s):
    """Take replicas in; return the changes that mattered."""
    services = relay.table.services if relay.table else ()
    skipped: list[str] = []
    changes = list(
        relay.adapter.decode_registry_records(
            records, services=services, skipped=skipped
        )
    )
    for line in skipped:
        relay.counters.add("registry.skipped")
        relay.log.info("An entry of the registry is skipped.", extra={"entry": line})
    returned_s = relay.registry.returned_s
    if batch.is_listing:
        taken = relay.replicas.list_all(
            changes, batch.end, now_s=now_s, returned_s=returned_s
        )
    else:
        taken = relay.replicas.apply(changes, now_s=now_s, returned_s=returned_s)
        relay.replicas.end = max(relay.replicas.end, batch.end)
    return taken


def log_changes(relay, changes, *, is_first, is_read):
    """Log what is new of replicas.

    A line for each replica at each node would grow with the square of a fleet, so those
    that only heard of a change log it at the level for debugging.
    """
    if is_first:
        relay.log.info("The replicas are known.", extra={"count": len(changes)})
        return
    level = logging.INFO if is_read else logging.DEBUG
    for change in changes:
        entry = change.entry
        relay.log.log(
            level,
            "A replica changed.",
            extra={"replica": change.id, "offset": change.offset,
                   "state": "gone" if entry is None
                   else "draining" if entry.is_draining else "ready",
                   "cold_ms": 0 if entry is None else round(entry.cold_s * 1e3)},
        )  # fmt: skip


def note_return(relay, age_s, *, now_s):
    """Take over when a peer saw the registry return from an outage for all."""
    if age_s >= 0:
        known_s = relay.registry.returned_s
        told_s = now_s - age_s
        relay.registry.returned_s = told_s if known_s is None else max(known_s, told_s)


def take_changes(relay, message, *, now_s):
    """Take in what a peer has read of replicas."""
    note_return(relay, message.returned_age_s, now_s=now_s)
    batch = decode_changes(message)
    take(relay, "registry", batch, now_s=now_s, read_s=relay.registry.read_s)


async def fetch_registry(relay, address):
    """Fetch all that a peer knows of replicas; a message from it was lost."""
    relay.counters.add("peers.fetched.registry")
    await read_whole(relay, "registry", address)


async def begin(relay, store, name):
    """Learn one topic for the first time, from whoever knows it first.

    Peers are asked before the store: a fleet whose nodes are replaced one after the
    other would list all topics there for each of them. In an outage the store may
    answer another node long before this one asks again, and without a configuration
    and replicas this one refuses all its callers.
    """
    source = getattr(relay, name)
    with anyio.move_on_after(START_ASK_S):
        await wait_for_knowing(relay, name)
    await read_from_peer(relay, name, insists=False)
    while source.offset < 0:
        async with anyio.create_task_group() as group:
            group.start_soon(_read_and_end, relay, store, name, group.cancel_scope)
            # A peer that knows, and was just asked in vain, is given a moment.
            await anyio.sleep(START_ASK_S)
            await wait_for_knowing(relay, name)
            group.cancel_scope.cancel()
        if source.offset < 0:
            await read_from_peer(relay, name)


async def _read_and_end(relay, store, name, scope):
    """Read from the store, with the pause after a failure, and end a scope."""
    await read_once(relay, store, name, wait_s=0.0)
    scope.cancel()


async def wait_for_knowing(relay, name):
    """Wait until a peer knows more of one topic than this node."""
    while find_knowing(relay, name) is None:
        await anyio.sleep(START_LOOK_S)


async def read_from_peer(relay, name, *, insists=True):
    """Ask a peer that knows more than this node.

    Parameters
    ----------
    relay : RelayState
        This node.
    name : str
        Which topic.
    insists : bool
        Whether the store doesn't serve this node, so that the peer has to give what is
        large too.
    """
    peer = find_knowing(relay, name)
    if peer is not None:
        await read_whole(relay, name, peer.address, insists=insists)


def find_knowing(relay, name):
    """Return the peer that knows most of one topic, or None where none knows more."""
    offset = f"{name}_offset"
    known = getattr(relay, name).offset
    domain = relay.settings.failure_domain
    return max(
        (
            peer
            for peer in relay.peers.alive(now_s=read_clock())
            if getattr(peer, offset) > known
        ),
        key=lambda peer: (getattr(peer, offset), peer.failure_domain == domain),
        default=None,
    )


async def read_whole(relay, name, address, *, insists=True):
    """Take in all that a peer knows of one topic."""
    peer = relay.peers.peers.get(address)
    known_s = float("-inf") if peer is None else peer.registry_read_s
    try:
        target = STATE_TARGETS[name] + (INSISTS if insists else b"")
        batch = await fetch_state(relay, address, target)
    except (ConnectFailed, ChannelBroken, msgspec.MsgspecError) as error:
        relay.log.info(
            "A peer gave no state.", extra={"peer": address, "cause": str(error)}
        )
        return
    relay.counters.add(f"peers.gave.{name}")
    read_s = getattr(relay, name).read_s
    if name == "registry" and batch.end >= relay.registry.offset:
        read_s = max(read_s, known_s)
    take(relay, name, batch, now_s=read_clock(), read_s=read_s)


async def fetch_state(relay, address, target):
    """Return all that a peer knows of one topic."""
    outgoing = Outgoing(b"GET", target, ((b"Host", address.encode()),))
    head, data = await relay.pool.call(
        address, outgoing, timeout_s=PEER_CALL_S, read_clock=read_clock
    )
    if head.status != 200:
        raise ChannelBroken(f"{address}: status {head.status}")
    return msgspec.msgpack.decode(data, type=Batch)


def find_largest_given(relay):
    """Return how many bytes this node gives each of its peers that can ask the store.

    All of its failure domain ask at one moment, when the configuration changes.
    """
    domain = relay.settings.failure_domain
    near = sum(
        peer.failure_domain == domain for peer in relay.peers.alive(now_s=read_clock())
    )
    link_mbps = relay.settings.link_mbps or LINK_MBPS
    return GIVEN_S * link_mbps * 1e6 / 8 / max(1, near)


def make_peer_app(relay):
    """Return the application that gives peers what this node knows."""

    async def peer_app(scope, receive, send):
        if scope["type"] != "http":
            return
        names = {path.decode(): name for name, path in STATE_TARGETS.items()}
        name = names.get(scope["path"])
        status, body = 404, b""
        if name is not None:
            source = getattr(relay, name)
            batch = Batch(tuple(source.records.values()), source.offset, True)
            status, body = 200, msgspec.msgpack.encode(batch)
            insists = scope["query_string"] == INSISTS[1:]
            if not insists and len(body) > find_largest_given(relay):
                status, body = 503, b""
        headers = [(b"content-length", str(len(body)).encode())]
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": body})

    return peer_app
