"""Tell the other nodes what this one does, and hear from them."""

import socket

import anyio
import msgspec

from lycheetide.board import (
    Changed,
    Ended,
    Hello,
    Job,
    Started,
    Suspected,
    decode_message,
    encode_message,
)
from lycheetide.exchange import StoreUnavailable
from lycheetide.relay._follow import fetch_registry, note_return, take_changes
from lycheetide.relay._sharing import compare, is_reader, tell_return
from lycheetide.relay._state import read_clock

HELLO_S = 0.3
"""Pause between greetings in a small fleet, and of nodes that read for others."""
HELLO_S_PER_NODE = 0.012
"""Pause between greetings for each node of a large one: 80 greetings a second come in
at most, about half a percent of a core."""
HEARD_MOST = 24
"""Replicas named in one greeting, so that it fits one datagram."""
PEERS_MOST = 40
"""Addresses in one reply; three datagrams tell a fleet of a hundred."""
EXPIRE_S = 0.5
DISCOVER_RETRY_S = 2.0


class Gossip:
    """The datagram socket of a node.

    Parameters
    ----------
    relay : RelayState
        This node.
    listener : anyio.abc.UDPSocket
        Bound to the peers' address.
    """

    def __init__(self, relay, listener):
        self.relay = relay
        self.listener = listener
        self._sender = make_sender(relay.settings.peer_address)
        self._heard = set()
        self._news = anyio.Event()

    def tell(self, message):
        """Send a message to all peers that are alive; what can't be sent is lost."""
        now_s = read_clock()
        data = encode_message(message)
        for peer in self.relay.peers.alive(now_s=now_s):
            self.send(data, peer.address)

    def send(self, data, address):
        """Send one datagram without waiting; one that doesn't go out is counted."""
        host, _, port = address.rpartition(":")
        try:
            self._sender.sendto(data, (host, int(port)))
        except OSError:
            self.relay.counters.add("peers.unsent_datagram")

    def tell_news(self):
        """Greet all peers soon, since this node knows something new."""
        self._news.set()

    async def greet(self, _):
        """Greet all peers again and again."""
        while True:
            now_s = read_clock()
            targets = self.relay.peers.targets(now_s=now_s)
            data = encode_message(self.make_hello(now_s=now_s))
            for address in targets:
                self.send(data, address)
            pause_s = max(HELLO_S, HELLO_S_PER_NODE * len(targets))
            if is_reader(self.relay, now_s=now_s):
                pause_s = HELLO_S
            with anyio.move_on_after(pause_s):
                await self._news.wait()
            self._news = anyio.Event()

    def make_hello(self, *, now_s, peers=(), wants_reply=None):
        """Return a greeting."""
        relay = self.relay
        since_s = now_s - 1.0
        heard = [name for name, at_s in relay.board.heard_s.items() if at_s > since_s]
        few = not relay.peers.alive(now_s=now_s)
        return Hello(
            fleet=relay.peers.fleet,
            node=relay.node,
            address=relay.settings.peer_address,
            failure_domain=relay.settings.failure_domain,
            operator_offset=relay.operator.offset,
            registry_offset=relay.registry.offset,
            registry_age_s=min(1e6, now_s - relay.registry.read_s),
            registry_digest=relay.replicas.digest(),
            returned_age_s=tell_return(relay, now_s=now_s),
            heard=tuple(heard[:HEARD_MOST]),
            wants_reply=few if wants_reply is None else wants_reply,
            is_leaving=relay.is_leaving,
            peers=tuple(peers),
        )

    def close(self):
        """Close the sending socket."""
        self._sender.close()

    async def listen(self, _):
        """Take datagrams in, for ever."""
        async for data, _address in self.listener:
            try:
                message = decode_message(data)
            except msgspec.MsgspecError:
                self.relay.counters.add("peers.broken_datagram")
                continue
            self.take(message, now_s=read_clock())

    def take(self, message, *, now_s):
        """Take one message in."""
        board = self.relay.board
        if not self._is_ours(message):
            self.relay.counters.add("peers.strange_datagram")
            return
        match message:
            case Started(node, job, parts, lasts_s):
                board.start(Job(job, node, parts, now_s, now_s + lasts_s), now_s=now_s)
            case Ended(node, job):
                board.end(node, job, now_s=now_s)
            case Suspected(_, replica):
                board.suspect(replica, now_s=now_s)
            case Changed():
                take_changes(self.relay, message, now_s=now_s)
            case Hello():
                self._take_hello(message, now_s=now_s)

    def _is_ours(self, message):
        """Tell whether a message comes from a node of this fleet.

        Addresses are used again. A node of another fleet that was given an old one's
        would fill this fleet's board, and its configuration could be taken over.
        """
        if isinstance(message, Hello):
            return message.fleet == self.relay.peers.fleet
        return self.relay.peers.is_peer(message.node)

    def _take_hello(self, hello, *, now_s):
        """Take a greeting in, and answer it where it asks for that."""
        relay = self.relay
        if hello.node == relay.node:
            return
        is_new = relay.peers.hear(hello, now_s=now_s)
        if is_new:
            relay.log.info(
                "A peer is there.", extra={"peer": hello.node, "address": hello.address}
            )
        for replica in hello.heard:
            relay.board.hear(replica, now_s=now_s)
        for address in hello.peers:
            relay.peers.learn(address, now_s=now_s)
        note_return(relay, hello.returned_age_s, now_s=now_s)
        if compare(relay, hello, now_s=now_s):
            relay.differs_since_s = now_s
            relay.tasks.start_soon(fetch_registry, relay, hello.address)
        if hello.wants_reply or is_new:
            known = [peer.address for peer in relay.peers.alive(now_s=now_s)]
            reply = self.make_hello(
                now_s=now_s, peers=known[:PEERS_MOST], wants_reply=False
            )
            self.send(encode_message(reply), hello.address)

    async def expire(self, _):
        """Take away requests of nodes that died, and kept connections that are old.

        A read of operators' records that waits while a peer knows more is ended: the
        connection to the store has gone silent, or the store serves others only.
        """
        lagged = False
        while True:
            await anyio.sleep(EXPIRE_S)
            now_s = read_clock()
            lags = self.relay.lags_behind(now_s=now_s)
            if lags and lagged and self.relay.operator_read is not None:
                self.relay.operator_read.cancel()
            lagged = lags
            living = self.relay.living_nodes(now_s=now_s)
            self.relay.board.expire(now_s=now_s, living=living)
            await self.relay.pool.sweep(now_s=now_s)


def make_sender(address):
    """Return a socket that sends datagrams at once or not at all.

    Parameters
    ----------
    address : str
        "ip:port" of this node; the socket gets another port there.
    """
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sender.bind((address.rpartition(":")[0], 0))
    sender.setblocking(False)
    return sender


async def discover(relay):
    """Write this node's address into the store, and read the others'."""
    store = relay.make_store()
    address = relay.settings.peer_address
    for seed in relay.settings.seed_hosts:
        relay.peers.learn(f"{seed}:{address.rpartition(':')[2]}", now_s=read_clock())
    is_written = False
    while True:
        try:
            if not is_written:
                await store.append(
                    relay.adapter.NODES, address, b"1", timeout_s=DISCOVER_RETRY_S
                )
                is_written = True
            batch = await store.read(
                relay.adapter.NODES, -1, wait_s=0.0, timeout_s=DISCOVER_RETRY_S
            )
        except StoreUnavailable as error:
            relay.log.info("Peers can't be looked up.", extra={"cause": str(error)})
            await anyio.sleep(DISCOVER_RETRY_S)
            continue
        for record in batch.records:
            relay.peers.learn(record.key, now_s=read_clock())
        await store.aclose()
        relay.tell_news()
        return
