"""Table of the other nodes, with the state that each last reported."""

from dataclasses import dataclass

import xxhash

PEER_TIMEOUT_S = 3.0
"""A peer silent for this long counts as dead: it gets no messages but greetings, and no
share of what the nodes divide among themselves."""
PEER_RETENTION_S = 30.0
"""A peer silent for this long is no longer greeted and is dropped from the table."""
INDIRECT_REPORT_AGE_S = 0.5
"""Age assumed for a peer's report that it heard from another node: slightly more than
the interval between that node's greetings to it."""


def order_node(node):
    """Return a hash that orders nodes; it changes with each start of a node."""
    return xxhash.xxh32_intdigest(node.encode())


@dataclass(frozen=True)
class Peer:
    """Another node.

    Parameters
    ----------
    node : str
        Name of the node, with its start; empty until it was heard from.
    address : str
        Address at which it takes datagrams and calls.
    failure_domain : str
        Failure domain in which it runs.
    heard_s : float
        Time of its last greeting.
    operator_offset, registry_offset : int
        Offsets that this greeting gave.
    registry_read_s : float
        Time at which its copy of the registry was up to date, on this node's clock.
    is_leaving : bool
        Whether it is about to stop.
    order : int
        Hash that orders the nodes, from ``order_node``.
    link_mbps : int
        Bandwidth of its network link, in Mbit/s; 0 if unknown.
    reads_store : bool
        Whether its last request to the store succeeded.
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
        """Sort key for the choice of hubs: fastest network link first, then by hash."""
        return -self.link_mbps, self.order


class Peers:
    """Table of peers by address.

    Parameters
    ----------
    own_address : str
        Address of this node, which is never a peer.
    fleet : str
        Address of the store that this node reads; nodes that read another store are
        not peers.

    Attributes
    ----------
    grown_s : float
        Time of the last first greeting of a node.
    """

    def __init__(self, own_address, *, fleet=""):
        self.own_address = own_address
        self.fleet = fleet
        self.peers: dict[str, Peer] = {}
        self.grown_s = float("-inf")
        self._added_s: dict[str, float] = {}
        self._indirectly_heard_s: dict[int, float] = {}
        self._known_nodes: set[str] = set()
        self._gone_since_s: dict[str, float] = {}

    def learn(self, address, *, now_s):
        """Add an address at which a node may run."""
        if address == self.own_address or address in self.peers:
            return
        self.peers[address] = Peer("", address)
        self._added_s[address] = now_s

    def is_peer(self, node):
        """Return whether a node has greeted this one."""
        return node in self._known_nodes

    def hear(self, hello, *, now_s):
        """Record a peer's greeting; return whether it is the first of this start."""
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
                self._gone_since_s[known.node] = now_s
            self._known_nodes.discard(known.node)
            self._known_nodes.add(hello.node)
        return is_new

    def vouch(self, orders, *, now_s):
        """Record that a peer has just heard from nodes that rarely greet this one.

        Only nodes that the peer heard from directly may be given here. If indirect
        reports were reported on, nodes would keep a dead one alive for ever.
        """
        for order in orders:
            self._indirectly_heard_s[order] = now_s - INDIRECT_REPORT_AGE_S

    def alive(self, *, now_s, within_s=PEER_TIMEOUT_S):
        """Return the peers that this node or a peer of it heard from recently."""
        indirectly_heard_s = self._indirectly_heard_s
        return [
            peer
            for peer in self.peers.values()
            if now_s - peer.heard_s < within_s
            or (
                peer.node
                and now_s - indirectly_heard_s.get(peer.order, -1e9) < within_s
            )
        ]

    def list_dead(self, *, now_s):
        """Return the names of the peers that were heard from once, but not recently.

        A node that has restarted at its address counts as a new one, and its previous
        start as dead.
        """
        living = {peer.node for peer in self.alive(now_s=now_s)}
        self._gone_since_s = {
            node: at_s
            for node, at_s in self._gone_since_s.items()
            if now_s - at_s < PEER_RETENTION_S
        }
        return (self._known_nodes - living).union(self._gone_since_s)

    def list_unheard(self):
        """Return the addresses at which no node has been heard from yet."""
        return [peer.address for peer in self.peers.values() if not peer.node]

    def heard_directly(self, *, now_s, within_s):
        """Return the peers that this node itself heard from recently."""
        return [peer for peer in self.peers.values() if now_s - peer.heard_s < within_s]

    def targets(self, *, now_s):
        """Return the addresses to greet: peers that are alive or may come back."""
        for address, peer in list(self.peers.items()):
            since_s = max(peer.heard_s, self._added_s.get(address, now_s))
            if now_s - since_s > PEER_RETENTION_S:
                del self.peers[address]
                self._added_s.pop(address, None)
                self._indirectly_heard_s.pop(peer.order, None)
                self._known_nodes.discard(peer.node)
                if peer.node:
                    self._gone_since_s[peer.node] = now_s
        return list(self.peers)
