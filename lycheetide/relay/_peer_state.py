"""Serve this node's copies of the store's topics to peers, and fetch theirs."""

import anyio
import msgspec

from lycheetide.exchange import DECODE_ERRORS, RecordBatch
from lycheetide.httpclient import ChannelConnectError, ChannelError, OutgoingRequest
from lycheetide.relay._apply_records import apply_batch
from lycheetide.relay._quarantine_sync import QUARANTINE_TARGET, encode_quarantines
from lycheetide.relay._state import read_clock

PEER_POLL_S = 0.01
MAX_TRANSFER_S = 0.3
"""How long sending one topic to its peers may occupy a node's link. Peers read larger
topics from the store, each over its own link."""
LINK_MBPS = 1_000.0
"""Assumed bandwidth of a link if it isn't configured."""
PEER_TIMEOUT_S = 1.0
TOPIC_TARGETS = {"operator": b"/v1/operator", "registry": b"/v1/registry"}
FORCE_QUERY = b"?whole"
"""Query of a node that has no other source and needs a topic of any size."""


def find_peer_ahead(relay, name):
    """Return the peer with the newest records of a topic, None if none is ahead."""
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


async def wait_for_peer_ahead(relay, name):
    """Wait until a peer has newer records of a topic than this node."""
    while find_peer_ahead(relay, name) is None:
        await anyio.sleep(PEER_POLL_S)


async def read_from_peer(relay, name, *, force=True):
    """Fetch one topic from a peer that has newer records.

    Parameters
    ----------
    relay : RelayState
        State of this node.
    name : str
        Topic, "operator" or "registry".
    force : bool
        Whether to ask for the topic even if it is large, since the store doesn't serve
        this node.
    """
    peer = find_peer_ahead(relay, name)
    if peer is not None:
        await fetch_topic(relay, name, peer.address, force=force)


async def fetch_registry(relay, address):
    """Fetch all replicas from a peer after a message from it was lost."""
    relay.counters.add("peers.fetched.registry")
    await fetch_topic(relay, "registry", address)


async def fetch_topic(relay, name, address, *, force=True):
    """Fetch one topic from a peer and apply all its records."""
    peer = relay.peers.peers.get(address)
    known_s = float("-inf") if peer is None else peer.registry_read_s
    try:
        target = TOPIC_TARGETS[name] + (FORCE_QUERY if force else b"")
        batch = await request_topic(relay, address, target)
    except (ChannelConnectError, ChannelError, *DECODE_ERRORS) as error:
        relay.log.info(
            "Fetching state from a peer failed.",
            extra={"peer": address, "cause": str(error)},
        )
        return
    relay.counters.add(f"peers.gave.{name}")
    complete_until_s = getattr(relay, name).complete_until_s
    if name == "registry" and batch.end >= relay.registry.offset:
        complete_until_s = max(complete_until_s, known_s)
    apply_batch(
        relay, name, batch, now_s=read_clock(), complete_until_s=complete_until_s
    )


async def request_topic(relay, address, target):
    """Request all records of one topic from a peer."""
    outgoing = OutgoingRequest(b"GET", target, ((b"Host", address.encode()),))
    head, data = await relay.peer_pool.call(
        address, outgoing, timeout_s=PEER_TIMEOUT_S, read_clock=read_clock
    )
    if head.status != 200:
        raise ChannelError(f"{address}: status {head.status}")
    return msgspec.msgpack.decode(data, type=RecordBatch)


def compute_size_limit_bytes(relay):
    """Return the size limit for a topic sent to a peer that can read the store.

    All peers of the failure domain ask at the same time when the configuration changes.
    """
    domain = relay.settings.failure_domain
    near = sum(
        peer.failure_domain == domain for peer in relay.peers.alive(now_s=read_clock())
    )
    link_mbps = relay.settings.link_mbps or LINK_MBPS
    return MAX_TRANSFER_S * link_mbps * 1e6 / 8 / max(1, near)


def make_peer_app(relay):
    """Return the ASGI application that serves this node's topics to peers."""

    async def peer_app(scope, receive, send):
        if scope["type"] != "http":
            return
        names = {path.decode(): name for name, path in TOPIC_TARGETS.items()}
        name = names.get(scope["path"])
        status, body = 404, b""
        if scope["path"] == QUARANTINE_TARGET.decode():
            status, body = encode_quarantines(relay)
        if name is not None:
            source = getattr(relay, name)
            batch = RecordBatch(tuple(source.records.values()), source.offset, True)
            status, body = 200, msgspec.msgpack.encode(batch)
            force = scope["query_string"] == FORCE_QUERY[1:]
            if not force and len(body) > compute_size_limit_bytes(relay):
                status, body = 503, b""
        headers = [(b"content-length", str(len(body)).encode())]
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": body})

    return peer_app
