"""Follow the records that operators and replicas write to the store.

While the store doesn't answer this node, it asks a peer that has newer records.
"""

import anyio

from lycheetide.exchange import StoreUnavailable
from lycheetide.relay._apply_records import apply_batch
from lycheetide.relay._peer_state import read_from_peer, wait_for_peer_ahead
from lycheetide.relay._roles import (
    is_hub,
    must_check_operator,
    must_read_registry,
    must_wait_for_operator_records,
)
from lycheetide.relay._state import read_clock

STORE_TIMEOUT_S = 1.0
"""Timeout of a call to the store. Its ordinary answers take 4 ms, slow ones 0.3 s."""
RETRY_BASE_S = 0.4
"""Pause after a failed call, at a node that reads for others."""
MAX_RETRY_S = {"operator": 1.0, "registry": 3.2}
"""Limits up to which all other nodes double their pauses. The nodes that read for
others tell them when the store is back and what it contains, so retrying more often
only adds to the load that the store has to refuse. A configuration must be in force
within 2 s and may be too large for a peer's slow link, so it is retried sooner."""
MAX_FLEET_RETRIES_PER_S = 10.0
"""Number of retried reads of the registry per second, of all nodes that don't read for
others together. The first that succeeds tells the others."""
FIRST_RETRY_S_PER_NODE = 0.04
"""First pause after a failed read of the registry, per node of the fleet."""
CONFIG_DEBOUNCE_S = 0.3
"""Pause after a configuration was read, before waiting for the next one. If many come
in quick succession, only the last one matters, and it must be in force within 2 s."""
START_PEER_WAIT_S = 0.06
"""How long a starting node waits for a peer that has newer records; seed nodes answer
within some 5 ms. If all nodes start at once, no node has any, and clients wait."""
MIN_HEDGE_S = 0.3
"""Shortest time after which a starting node repeats a read that isn't answered. The
time is drawn at random up to ``STORE_TIMEOUT_S``: of many nodes that start together in
an outage, some then ask soon after the store is back, and the others get the state from
these."""
POLL_S = 0.25
"""Interval at which a node checks whether it must wait for operator records itself."""
CHECK_SHARE = 0.4
"""Interval between two questions for new operator records, as a share of the time in
which all nodes must act on them. The rest is for a slow answer and for the way to the
other nodes."""
OVERTAKEN_S = 0.25
"""How long a read that waits at the store still has to return a record that another
read, or a peer, has returned already."""
MIN_OUTAGE_S = 1.5
"""Reads that failed for this long count as an outage, in which entries may have
expired."""


async def follow_operator(relay):
    """Follow the configuration and the closed failure domains, forever.

    A few nodes wait for these records at the store; the others fetch them from those.
    """
    store = relay.make_store_client("operator")
    await load_first_state(relay, store, "operator")
    while True:
        offset = relay.operator.offset
        if must_wait_for_operator_records(relay, now_s=read_clock()):
            # A wait that the store has lost can't be told from one without news, so the
            # store is asked to wait only after it has answered again.
            has_failed = relay.operator.failures > 0
            wait_s = 0.0 if has_failed else relay.settings.operator_wait_s
            if not await read_unless_overtaken(relay, store, wait_s=wait_s):
                await read_from_peer(relay, "operator")
        elif relay.is_behind_peers(now_s=read_clock()):
            await catch_up(relay, store)
        else:
            # Clears a notice that came while this node read from the store itself. It
            # would end every following wait at once.
            relay.operator_update = anyio.Event()
            with anyio.move_on_after(POLL_S):
                await relay.operator_update.wait()
        if 0 <= offset < relay.operator.offset:
            await anyio.sleep(CONFIG_DEBOUNCE_S)


async def read_unless_overtaken(relay, store, *, wait_s):
    """Wait for operator records; return whether the read wasn't given up."""
    async with anyio.create_task_group() as group:
        relay.operator_read_scope = group.cancel_scope
        group.start_soon(_cancel_overtaken_read, relay, group.cancel_scope)
        await read_once(relay, store, "operator", wait_s=wait_s)
        relay.operator_read_scope = None
        group.cancel_scope.cancel()
        return True
    relay.operator_read_scope = None
    return False


async def _cancel_overtaken_read(relay, scope):
    """Cancel a read that doesn't return what another read or a peer has returned.

    Its answer is lost, or the store serves only other nodes.
    """
    offset, begun_s = relay.operator.offset, read_clock()
    while True:
        relay.operator_update = anyio.Event()
        await relay.operator_update.wait()
        await anyio.sleep(OVERTAKEN_S)
        now_s = read_clock()
        if relay.operator.offset > offset or relay.is_behind_peers(now_s=now_s):
            relay.counters.add("store.overtaken.operator")
            relay.log.warning(
                "A read that waits for operator records was overtaken.",
                extra={
                    "offset": offset,
                    "waited_ms": round((now_s - begun_s) * 1e3),
                    "is_peer_ahead": relay.is_behind_peers(now_s=now_s),
                },
            )
            scope.cancel()
            return


async def check_operator(relay):
    """Ask for new operator records at an interval, forever, at one node of the fleet.

    A read that waits and whose answer is lost looks like one without news, and all
    nodes that wait may lose the same answer. An answer that is due at once can't be
    lost unnoticed, and reaches the other nodes as that of any read.
    """
    store = relay.make_store_client("check")
    interval_s = CHECK_SHARE * relay.settings.config_apply_ms / 1e3
    while True:
        await anyio.sleep(interval_s)
        while must_check_operator(relay, now_s=read_clock()):
            if await check_once(relay, store):
                break
            await anyio.sleep(relay.random.uniform(0.5, 1.5) * RETRY_BASE_S)


async def check_once(relay, store):
    """Ask for new operator records; return whether the store has answered."""
    source = relay.operator
    try:
        batch = await store.read(
            relay.adapter.OPERATOR_TOPIC,
            source.offset,
            wait_s=0.0,
            timeout_s=STORE_TIMEOUT_S,
        )
    except StoreUnavailable as error:
        record_read_failure(relay, "operator", source, error)
        return False
    now_s = read_clock()
    record_answer(relay, "operator", now_s=now_s)
    if batch.end > source.offset:
        apply_batch(relay, "operator", batch, now_s=now_s)
        relay.operator_update.set()
    source.complete_until_s = now_s
    return True


async def catch_up(relay, store):
    """Fetch newer operator records from a peer or, failing that, from the store."""
    offset = relay.operator.offset
    await read_from_peer(relay, "operator", force=False)
    if relay.operator.offset == offset:
        await read_once(relay, store, "operator", wait_s=0.0)


async def follow_registry(relay):
    """Follow the list of replicas, forever."""
    store = relay.make_store_client("registry")
    await load_first_state(relay, store, "registry")
    if relay.registry.is_reachable:
        await anyio.sleep(relay.settings.registry_interval_s)
    while True:
        now_s = read_clock()
        reads = must_read_registry(relay, now_s=now_s)
        if reads:
            await read_once(relay, store, "registry", wait_s=0.0)
        pause_s = relay.settings.registry_interval_s
        await anyio.sleep(pause_s if reads else pause_s / 2)


async def read_once(relay, store, name, *, wait_s):
    """Read new records of one topic from the store, or from a peer if that fails."""
    source = getattr(relay, name)
    topic = {
        "operator": relay.adapter.OPERATOR_TOPIC,
        "registry": relay.adapter.REGISTRY_TOPIC,
    }
    begun_s = read_clock()
    try:
        batch = await store.read(
            topic[name], source.offset, wait_s=wait_s, timeout_s=STORE_TIMEOUT_S
        )
    except StoreUnavailable as error:
        record_read_failure(relay, name, source, error)
        await read_from_peer(relay, name)
        reads_for_others = is_hub(relay, now_s=read_clock())
        nodes = len(relay.list_alive_nodes(now_s=read_clock()))
        delay_s = get_retry_delay_s(name, source.failures, reads_for_others, nodes)
        await anyio.sleep(relay.random.uniform(0.5, 1.5) * delay_s)
        return
    now_s = read_clock()
    if wait_s == 0:
        relay.metrics_exporter.observe("store_call", now_s - begun_s, kind=name)
    if name == "registry" and source.failures and relay.operator_read_scope is not None:
        # The waiting read for a configuration may have been sent while the store was
        # silent. It would never be answered, and would delay the next version.
        relay.operator_read_scope.cancel()
    record_answer(relay, name, now_s=now_s)
    apply_batch(relay, name, batch, now_s=now_s)


def get_retry_delay_s(name, failures, reads_for_others, nodes):
    """Return the mean pause after a number of consecutive failed calls, in seconds.

    All nodes of a large fleet together read the registry at most
    ``MAX_FLEET_RETRIES_PER_S`` times per second, besides the nodes that read for
    others.

    Examples
    --------
    >>> [get_retry_delay_s("registry", failures, False, 9) for failures in (1, 2, 3, 9)]
    [0.4, 0.8, 1.6, 3.2]
    >>> [get_retry_delay_s("registry", failures, False, 60) for failures in (1, 2, 9)]
    [2.4, 4.8, 6.0]
    >>> [get_retry_delay_s("operator", 9, reads, 60) for reads in (False, True)]
    [1.0, 0.4]
    """
    if reads_for_others:
        return RETRY_BASE_S
    if name == "operator":
        return min(MAX_RETRY_S[name], RETRY_BASE_S * 2 ** (failures - 1))
    base_s = max(RETRY_BASE_S, nodes * FIRST_RETRY_S_PER_NODE)
    max_s = max(MAX_RETRY_S[name], nodes / MAX_FLEET_RETRIES_PER_S)
    return min(max_s, base_s * 2 ** (failures - 1))


def was_full_outage(relay, source, *, now_s):
    """Tell whether the store was down for all nodes, and not only for this one.

    Entries of live replicas expire only while the store is down. If it served other
    nodes meanwhile, a removal is real; to ignore it would send requests to a replica
    that has left.
    """
    since_s = now_s - MIN_OUTAGE_S
    if source.offset < 0 or source.complete_until_s > since_s:
        return False
    return all(peer.registry_read_s <= since_s for peer in relay.peers.peers.values())


def record_answer(relay, name, *, now_s):
    """Record that the store has answered a read of one topic."""
    source = getattr(relay, name)
    if not source.is_reachable:
        relay.log.info("The store answers.", extra={"topic": name})
        if was_full_outage(relay, source, now_s=now_s):
            source.outage_ended_s = now_s
    source.is_reachable = True
    source.failures = 0


def record_read_failure(relay, name, source, error):
    """Record a failed read of one topic."""
    relay.counters.add(f"store.failed.{name}")
    if source.is_reachable:
        relay.log.warning(
            "The store doesn't answer.", extra={"topic": name, "cause": str(error)}
        )
    source.is_reachable = False
    source.failures += 1


async def load_first_state(relay, store, name):
    """Load one topic for the first time, from a peer or the store.

    Peers are asked before the store. Otherwise, in a rolling restart, every new node
    would list all topics at the store. In an outage the store may answer another node
    long before this one retries, and without a configuration and replicas this node
    refuses all its clients.
    """
    source = getattr(relay, name)
    with anyio.move_on_after(START_PEER_WAIT_S):
        await wait_for_peer_ahead(relay, name)
    await read_from_peer(relay, name, force=False)
    while source.offset < 0:
        async with anyio.create_task_group() as group:
            group.start_soon(_read_and_cancel, relay, store, name, group.cancel_scope)
            group.start_soon(_hedge_first_read, relay, name, group.cancel_scope)
            # A peer that has the topic but has just failed to send it gets a short
            # pause.
            await anyio.sleep(START_PEER_WAIT_S)
            await wait_for_peer_ahead(relay, name)
            group.cancel_scope.cancel()
        if source.offset < 0:
            await read_from_peer(relay, name)


async def _read_and_cancel(relay, store, name, scope):
    """Read from the store, including the pause after a failure, and cancel a scope."""
    await read_once(relay, store, name, wait_s=0.0)
    scope.cancel()


async def _hedge_first_read(relay, name, scope):
    """Read one topic on another connection if the first read isn't answered soon."""
    await anyio.sleep(relay.random.uniform(MIN_HEDGE_S, STORE_TIMEOUT_S))
    if getattr(relay, name).failures:
        return
    store = relay.make_store_client(name)
    try:
        await _read_and_cancel(relay, store, name, scope)
    finally:
        with anyio.CancelScope(shield=True):
            await store.aclose()
