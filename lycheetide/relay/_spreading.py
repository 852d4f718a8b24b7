"""Tell the other nodes what this one does, with few datagrams in a large fleet.

In a small fleet each message goes to every node. In a large one that costs each node
as much as the whole fleet has work, so a message goes to one node in each failure
domain, the hub, which gathers what comes within a moment and passes it on there.
"""

import anyio

from lycheetide.board import Bundle, encode_message
from lycheetide.relay._sharing import find_hubs
from lycheetide.relay._state import read_clock

LARGE_FLEET = 24
"""Nodes from which on messages are gathered. With fewer, gathering saves less than the
time by which it makes knowledge older."""
GATHER_S = 0.012
"""How long a hub gathers. The longer, the fewer datagrams, and the later all nodes know
of one another's work; short prompts miss their targets by that first."""
TOLD_S = 0.003
"""How late a node knows of another one's work: the way between failure domains, and
what both ends take for it."""
BUNDLE_BYTES = 1_300
"""Messages in one datagram, so that it fits a frame."""


class Spreader:
    """Sends this node's messages, and gathers others' where it is a hub.

    Parameters
    ----------
    relay : RelayState
        This node.
    send : callable
        Sends bytes to an address, without waiting.
    """

    def __init__(self, relay, send):
        self.relay = relay
        self._send = send
        self._gathered = []
        self._arrived = anyio.Event()

    def tell_all(self, message):
        """Send a message to all peers that are alive; what can't be sent is lost."""
        data = encode_message(message)
        for peer in self.relay.peers.alive(now_s=read_clock()):
            self._send(data, peer.address)

    def tell_near(self, message):
        """Send a message to the living peers of this node's failure domain."""
        data = encode_message(message)
        for address in self._list_near(now_s=read_clock()):
            self._send(data, address)

    def tell(self, message):
        """Tell all peers of this node's work."""
        now_s = read_clock()
        if not is_large(self.relay, now_s=now_s):
            self.tell_all(message)
            return
        data = encode_message(Bundle(self.relay.node, (message,), spreads=True))
        for hub in find_hubs(self.relay, now_s=now_s).values():
            if hub is None:
                self.gather(message)
            else:
                self._send(data, hub.address)

    def gather(self, message):
        """Keep a message for this node's failure domain until the next bundle."""
        self._gathered.append(message)
        self._arrived.set()

    async def pass_on(self, _):
        """Send what was gathered, for ever."""
        while True:
            await self._arrived.wait()
            await anyio.sleep(GATHER_S)
            self._arrived = anyio.Event()
            messages, self._gathered = self._gathered, []
            self._pass_on(messages, now_s=read_clock())

    def _pass_on(self, messages, *, now_s):
        """Send messages to the nodes of this failure domain."""
        near = self._list_near(now_s=now_s)
        for bundle in make_bundles(self.relay.node, messages):
            data = encode_message(bundle)
            for address in near:
                self._send(data, address)

    def _list_near(self, *, now_s):
        """Return the addresses of the living peers of this node's failure domain."""
        domain = self.relay.settings.failure_domain
        return [
            peer.address
            for peer in self.relay.peers.alive(now_s=now_s)
            if peer.failure_domain == domain
        ]


def is_large(relay, *, now_s):
    """Tell whether the fleet is so large that messages are gathered."""
    return len(relay.peers.alive(now_s=now_s)) + 1 >= LARGE_FLEET


def find_told_s(relay, *, now_s):
    """Return how late this node knows of what others place.

    A link that is full, or a hub that is slow, makes it later than it has to be.
    """
    gathered_s = GATHER_S if is_large(relay, now_s=now_s) else 0.0
    return TOLD_S + gathered_s + relay.delays.mean_s()


def make_bundles(node, messages):
    """Yield messages in bundles that fit a datagram each."""
    packed: list = []
    size = 0
    for message in messages:
        length = len(encode_message(message))
        if packed and size + length > BUNDLE_BYTES:
            yield Bundle(node, tuple(packed))
            packed, size = [], 0
        packed.append(message)
        size += length
    if packed:
        yield Bundle(node, tuple(packed))
