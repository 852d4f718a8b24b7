"""Broadcast this node's work to the other nodes, with few datagrams in a large fleet.

In a small fleet each message goes to every node directly. In a large one each node
would then spend as much as the work of the whole fleet takes. There a message goes to
one node of each failure domain, the hub, which collects messages for a short time and
forwards them to its domain in bundles.
"""

import anyio

from lycheetide.gossip import Bundle, encode_message
from lycheetide.relay._roles import find_hubs
from lycheetide.relay._state import read_clock

LARGE_FLEET = 24
"""Number of nodes from which on messages are bundled. In a smaller fleet bundling saves
less than it costs by making state older."""
BUNDLE_DELAY_S = 0.012
"""How long a hub collects messages. A longer delay saves datagrams, but nodes then
learn later of each other's work, and requests with short prompts are the first to miss
their latency targets."""
PROPAGATION_S = 0.003
"""Time until a node learns of another node's work: the network between failure domains
and the processing at both ends."""
MAX_BUNDLE_BYTES = 1_300
"""Size of the messages in one datagram, so that it fits an Ethernet frame."""


class Broadcaster:
    """Broadcasts this node's messages, and forwards others' messages if it is a hub.

    Parameters
    ----------
    relay : RelayState
        State of this node.
    send : callable
        Sends bytes to an address, without blocking.
    """

    def __init__(self, relay, send):
        self.relay = relay
        self._send = send
        self._pending = []
        self._message_added = anyio.Event()

    def broadcast(self, message):
        """Send a message to all live peers; what can't be sent is lost."""
        data = encode_message(message)
        for peer in self.relay.peers.alive(now_s=read_clock()):
            self._send(data, peer.address)

    def broadcast_to_domain(self, message):
        """Send a message to the live peers of this node's failure domain."""
        data = encode_message(message)
        for address in self._list_domain_addresses(now_s=read_clock()):
            self._send(data, address)

    def broadcast_via_hubs(self, message):
        """Send a message to all peers, by way of the hubs in a large fleet."""
        now_s = read_clock()
        if not is_large_fleet(self.relay, now_s=now_s):
            self.broadcast(message)
            return
        data = encode_message(Bundle(self.relay.node, (message,), must_forward=True))
        for hub in find_hubs(self.relay, now_s=now_s).values():
            if hub is None:
                self.add_to_bundle(message)
            else:
                self._send(data, hub.address)

    def add_to_bundle(self, message):
        """Add a message to the next bundle for this node's failure domain."""
        self._pending.append(message)
        self._message_added.set()

    async def pass_on(self, _):
        """Send the collected messages in bundles, forever."""
        while True:
            await self._message_added.wait()
            await anyio.sleep(BUNDLE_DELAY_S)
            self._message_added = anyio.Event()
            messages, self._pending = self._pending, []
            self._send_bundles(messages, now_s=read_clock())

    def _send_bundles(self, messages, *, now_s):
        """Send messages to the nodes of this failure domain."""
        near = self._list_domain_addresses(now_s=now_s)
        for bundle in make_bundles(self.relay.node, messages):
            data = encode_message(bundle)
            for address in near:
                self._send(data, address)

    def _list_domain_addresses(self, *, now_s):
        """Return the addresses of the live peers of this node's failure domain."""
        domain = self.relay.settings.failure_domain
        return [
            peer.address
            for peer in self.relay.peers.alive(now_s=now_s)
            if peer.failure_domain == domain
        ]


def is_large_fleet(relay, *, now_s):
    """Tell whether the fleet is large enough for messages to be bundled."""
    return len(relay.peers.alive(now_s=now_s)) + 1 >= LARGE_FLEET


def estimate_propagation_s(relay, *, now_s):
    """Return the time until this node learns what others place, in seconds.

    The measured mean delay is included: a saturated link or a slow hub adds to it. It
    is measured from the fastest message, so the declared delay between failure domains
    isn't part of it.
    """
    bundle_delay_s = BUNDLE_DELAY_S if is_large_fleet(relay, now_s=now_s) else 0.0
    return (
        PROPAGATION_S
        + relay.longest_delay_s
        + bundle_delay_s
        + relay.message_delays.mean_s()
    )


def make_bundles(node, messages):
    """Yield bundles of the messages, each of which fits a datagram."""
    packed: list = []
    size = 0
    for message in messages:
        length = len(encode_message(message))
        if packed and size + length > MAX_BUNDLE_BYTES:
            yield Bundle(node, tuple(packed))
            packed, size = [], 0
        packed.append(message)
        size += length
    if packed:
        yield Bundle(node, tuple(packed))
