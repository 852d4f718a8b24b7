"""Give peers what this node knows of the store's topics, and ask them for it."""

import anyio
import msgspec

from lycheetide.exchange import Batch
from lycheetide.httpclient import ChannelBroken, ConnectFailed, Outgoing
from lycheetide.relay._state import read_clock
from lycheetide.relay._take import take

START_LOOK_S = 0.01
GIVEN_S = 0.3
"""How long a node's link may be full with what it gives its peers of one topic. What is
larger they read from the store, each over its own link."""
LINK_MBPS = 1_000.0
"""Taken for the width of a link that isn't known."""
PEER_CALL_S = 1.0
STATE_TARGETS = {"operator": b"/v1/operator", "registry": b"/v1/registry"}
INSISTS = b"?whole"
"""Behind a target: the one who asks has nobody else to ask."""


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


async def fetch_registry(relay, address):
    """Fetch all that a peer knows of replicas; a message from it was lost."""
    relay.counters.add("peers.fetched.registry")
    await read_whole(relay, "registry", address)


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
