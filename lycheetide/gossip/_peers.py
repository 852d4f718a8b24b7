"""Table of the other nodes, with the state that each last reported."""

from dataclasses import dataclass

import xxhash

PEER_TIMEOUT_S = 3.0
"""A peer silent for this long counts as dead: it gets no messages but heartbeats, and
no share of what the nodes divide among themselves."""
PEER_RETENTION_S = 30.0
"""A peer silent for this long is no longer sent heartbeats and is dropped from the
table."""
INDIRECT_REPORT_AGE_S = 0.5
"""Age assumed for a peer's report that it heard from another node: slightly more than
the interval between that node's heartbeats to it."""


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
    last_heard_s : float
        Time of its last heartbeat.
    operator_offset, registry_offset : int
        Offsets in that heartbeat.
    registry_read_s : float
        Time at which its copy of the registry was up to date, on this node's clock.
    is_leaving : bool
        Whether it is about to stop.
    order : int
        Hash that orders the nodes, from ``order_node``.
    link_mbps : int
        Bandwidth of its network link, in Mbit/s; 0 if unknown.
    is_store_reachable : bool
        Whether its last request to the store succeeded.
    tunnel_port : int
        Port at which it carries connections to replicas for others; 0 if it doesn't.
    tunnels : int
        Number of connections that it carries.
    is_cut_off : bool
        Whether it has lost its own paths to all replicas.
    memory_stage : int
        How near it is to the limit of its memory; 0 for not near.
    is_overloaded : bool
        Whether it gets more work than its processor can do.
    """

    node: str
    address: str
    failure_domain: str = ""
    last_heard_s: float = float("-inf")
    operator_offset: int = -1
    registry_offset: int = -1
    registry_read_s: float = float("-inf")
    is_leaving: bool = False
    order: int = 0
    link_mbps: int = 0
    is_store_reachable: bool = True
    tunnel_port: int = 0
    tunnels: int = 0
    is_cut_off: bool = False
    memory_stage: int = 0
    is_overloaded: bool = False

    @property
    def tunnel_address(self):
        """Address at which it carries connections to replicas for others."""
        return f"{self.address.rpartition(':')[0]}:{self.tunnel_port}"

    @property
    def place(self):
        """Sort key for the choice of hubs: fastest network link first, then by hash."""
        return -self.link_mbps, self.order


class PeerTable:
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
    last_new_peer_s : float
        Time of the last heartbeat that was the first of its node.
    """

    def __init__(self, own_address, *, fleet=""):
        self.own_address = own_address
        self.fleet = fleet
        self.peers: dict[str, Peer] = {}
        self.last_new_peer_s = float("-inf")
        self._added_s: dict[str, float] = {}
        self._indirectly_heard_s: dict[int, float] = {}
        self._known_nodes: set[str] = set()
        self._gone_since_s: dict[str, float] = {}
        self._replaced: set[str] = set()

    def add_address(self, address, *, now_s):
        """Add an address at which a node may run."""
        if address == self.own_address or address in self.peers:
            return
        self.peers[address] = Peer("", address)
        self._added_s[address] = now_s

    def is_peer(self, node):
        """Return whether a node has sent this one a heartbeat."""
        return node in self._known_nodes

    def hear(self, heartbeat, *, now_s):
        """Record a peer's heartbeat; return whether it is the first of this start."""
        known = self.peers.get(heartbeat.address) or Peer("", heartbeat.address)
        is_new = known.node != heartbeat.node
        self.peers[heartbeat.address] = Peer(
            node=heartbeat.node,
            address=heartbeat.address,
            failure_domain=heartbeat.failure_domain,
            last_heard_s=now_s,
            operator_offset=heartbeat.operator_offset,
            registry_offset=heartbeat.registry_offset,
            registry_read_s=now_s - heartbeat.registry_age_s,
            is_leaving=heartbeat.is_leaving,
            order=order_node(heartbeat.node) if is_new else known.order,
            link_mbps=heartbeat.link_mbps,
            is_store_reachable=heartbeat.is_store_reachable,
            tunnel_port=heartbeat.tunnel_port,
            tunnels=heartbeat.tunnels,
            is_cut_off=heartbeat.is_cut_off,
            memory_stage=heartbeat.memory_stage,
            is_overloaded=heartbeat.is_overloaded,
        )
        if is_new:
            self.last_new_peer_s = now_s
            if known.node:
                self._gone_since_s[known.node] = now_s
                self._replaced.add(known.node)
            self._known_nodes.discard(known.node)
            self._known_nodes.add(heartbeat.node)
        return is_new

    def hear_indirectly(self, orders, *, now_s):
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
            if now_s - peer.last_heard_s < within_s
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

    def list_silent(self, *, now_s):
        """Return the dead peers whose process may still run, cut off from this node.

        A peer that was replaced at its address by its next start has certainly ended.
        """
        dead = self.list_dead(now_s=now_s)
        self._replaced &= self._gone_since_s.keys()
        return dead - self._replaced

    def list_unheard(self):
        """Return the addresses at which no node has been heard from yet."""
        return [peer.address for peer in self.peers.values() if not peer.node]

    def list_heard_directly(self, *, now_s, within_s):
        """Return the peers that this node itself heard from recently."""
        return [
            peer for peer in self.peers.values() if now_s - peer.last_heard_s < within_s
        ]

    def targets(self, *, now_s):
        """Return the addresses to greet: peers that are alive or may come back."""
        for address, peer in list(self.peers.items()):
            since_s = max(peer.last_heard_s, self._added_s.get(address, now_s))
            if now_s - since_s > PEER_RETENTION_S:
                del self.peers[address]
                self._added_s.pop(address, None)
                self._indirectly_heard_s.pop(peer.order, None)
                self._known_nodes.discard(peer.node)
                if peer.node:
                    self._gone_since_s[peer.node] = now_s
        return list(self.peers)
