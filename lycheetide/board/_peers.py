"""The other nodes, as far as they were heard from."""

from dataclasses import dataclass

import xxhash

SILENT_S = 3.0
"""A peer that said nothing for so long is left out of shares and messages' targets."""
FORGET_S = 30.0
"""A peer that said nothing for so long is no longer greeted."""
VOUCHED_AGE_S = 0.5
"""How old a peer's word is that another one was heard: somewhat more than the pause
between two greetings to it."""


def order_node(node):
    """Return a node's place in an order that changes with each start of it."""
    return xxhash.xxh32_intdigest(node.encode())


@dataclass(frozen=True)
class Peer:
    """Another node.

    Parameters
    ----------
    node : str
        Its name and start; empty until it was heard from.
    address : str
        Where it takes datagrams and calls.
    failure_domain : str
        Where it stands.
    heard_s : float
        When it was last heard.
    operator_offset, registry_offset : int
        What it knew then.
    registry_read_s : float
        When its knowledge of the registry was fresh, on this node's clock.
    is_leaving : bool
        Whether it is about to stop.
    order : int
        Its place among the nodes.
    link_mbps : int
        How wide its link is, in Mbit/s; 0 where it isn't known.
    reads_store : bool
        Whether the store served it when it last asked.
    """

    node: str
    address: str
    failure_domain: str = ""
    heard_s: float = float("-inf")
    operator_offset: int = -1
    registry_offset: int = -1
    registry_read_s: float = float("-inf")
    is_leaving: bool = False
    order: int = 0
    link_mbps: int = 0
    reads_store: bool = True

    @property
    def place(self):
        """Orders nodes by who works for others first: the widest link, then by hash."""
        return -self.link_mbps, self.order


class Peers:
    """The peers by address.

    Parameters
    ----------
    own_address : str
        This node's own, which is never a peer.
    fleet : str
        The store that this node reads; nodes that read another are no peers.

    Attributes
    ----------
    grown_s : float
        When a new one was last heard.
    """

    def __init__(self, own_address, *, fleet=""):
        self.own_address = own_address
        self.fleet = fleet
        self.peers: dict[str, Peer] = {}
        self.grown_s = float("-inf")
        self._greeted_s: dict[str, float] = {}
        self._vouched_s: dict[int, float] = {}
        self._names: set[str] = set()
        self._gone_s: dict[str, float] = {}

    def learn(self, address, *, now_s):
        """Note an address where a node may be."""
        if address == self.own_address or address in self.peers:
            return
        self.peers[address] = Peer("", address)
        self._greeted_s[address] = now_s

    def is_peer(self, node):
        """Tell whether a node has greeted this one."""
        return node in self._names

    def hear(self, hello, *, now_s):
        """Note a peer's greeting; tell whether it is a new start of a node."""
        known = self.peers.get(hello.address) or Peer("", hello.address)
        is_new = known.node != hello.node
        self.peers[hello.address] = Peer(
            node=hello.node,
            address=hello.address,
            failure_domain=hello.failure_domain,
            heard_s=now_s,
            operator_offset=hello.operator_offset,
            registry_offset=hello.registry_offset,
            registry_read_s=now_s - hello.registry_age_s,
            is_leaving=hello.is_leaving,
            order=order_node(hello.node) if is_new else known.order,
            link_mbps=hello.link_mbps,
            reads_store=hello.reads_store,
        )
        if is_new:
            self.grown_s = now_s
            if known.node:
                self._gone_s[known.node] = now_s
            self._names.discard(known.node)
            self._names.add(hello.node)
        return is_new

    def vouch(self, orders, *, now_s):
        """Note that a peer has heard others just now, which greet this node rarely.

        Only what a peer heard itself may be given here: nodes that passed on one
        another's word would keep a dead one alive for ever.
        """
        for order in orders:
            self._vouched_s[order] = now_s - VOUCHED_AGE_S

    def alive(self, *, now_s, within_s=SILENT_S):
        """Return the peers that were heard lately, by this node or by one it trusts."""
        vouched_s = self._vouched_s
        return [
            peer
            for peer in self.peers.values()
            if now_s - peer.heard_s < within_s
            or (peer.node and now_s - vouched_s.get(peer.order, -1e9) < within_s)
        ]

    def list_dead(self, *, now_s):
        """Return the names of the peers that were heard once, and not lately.

        A node that has started anew at its address is another one; the old one is dead.
        """
        living = {peer.node for peer in self.alive(now_s=now_s)}
        self._gone_s = {
            node: at_s for node, at_s in self._gone_s.items() if now_s - at_s < FORGET_S
        }
        return (self._names - living).union(self._gone_s)

    def list_unheard(self):
        """Return the addresses where a node may be that was never heard."""
        return [peer.address for peer in self.peers.values() if not peer.node]

    def heard_directly(self, *, now_s, within_s):
        """Return the peers that this node itself heard lately."""
        return [peer for peer in self.peers.values() if now_s - peer.heard_s < within_s]

    def targets(self, *, now_s):
        """Return the addresses to greet: peers that live or may come back."""
        for address, peer in list(self.peers.items()):
            since_s = max(peer.heard_s, self._greeted_s.get(address, now_s))
            if now_s - since_s > FORGET_S:
                del self.peers[address]
                self._greeted_s.pop(address, None)
                self._vouched_s.pop(peer.order, None)
                self._names.discard(peer.node)
                if peer.node:
                    self._gone_s[peer.node] = now_s
        return list(self.peers)
