"""Follow what operators and replicas write into the store.

A peer that knows more is asked where the store doesn't answer this node.
"""

import anyio

from lycheetide.exchange import StoreUnavailable
from lycheetide.relay._peer_state import read_from_peer, wait_for_knowing
from lycheetide.relay._sharing import is_hub, must_read, waits_for_operators
from lycheetide.relay._state import read_clock
from lycheetide.relay._take import take

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
LOOK_S = 0.25
"""Pause after which a node looks whether it has to wait for operators' records now."""
OUTAGE_S = 1.5
"""Reads that failed for so long were an outage, in which entries may have lapsed."""


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
