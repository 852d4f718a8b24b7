"""Tell the other nodes what this one does, and hear from them."""

from dataclasses import dataclass

import anyio
import msgspec

from lycheetide.board import (
    Bundle,
    Changed,
    Doubted,
    Ended,
    Hello,
    Started,
    Suspected,
    Waiting,
    Wants,
    decode_message,
    encode_message,
    make_job,
)
from lycheetide.exchange import StoreUnavailable
from lycheetide.relay._datagrams import find_kind, make_sender, receive_all
from lycheetide.relay._peer_state import fetch_registry
from lycheetide.relay._sharing import (
    compare,
    find_hubs,
    is_hub,
    is_reader,
    tell_return,
)
from lycheetide.relay._spreading import Spreader, is_large
from lycheetide.relay._state import read_clock
from lycheetide.relay._take import note_return, take_changes

HELLO_S = 0.3
"""Pause between greetings in a small fleet, and of nodes that read for others."""
HELLO_S_PER_NODE = 0.03
"""Pause between greetings for each node of a larger one. What must be known at once is
told by itself, and how fresh the registry's knowledge is by the node that reads it."""
HUB_HELLO_S_PER_NODE = 0.02
"""The same of a node that works for others; two of its greetings may be lost before it
is taken for silent."""
HUB_HELLO_S = 0.4
"""Pause between greetings to the own hub in a large fleet, which tells all the others
who lives; three may be lost before a node is taken for silent."""
OTHER_HUBS_S = 2.0
"""Pause between greetings to the hubs of other failure domains. They have to know a
node to take its messages, and hear from its own hub each second that it lives."""
RARE_HELLO_S_PER_NODE = 0.1
"""Pause between greetings to everybody in a large fleet, for each node of it: 10 come
in a second."""
HUB_TO_ALL_S = 1.0
"""Pause between a hub's greetings to everybody. A node whose own hub is cut off sees by
them, within the 1.5 s after which an outage counts, that the store serves others."""
TOGETHER_MOST = 4
"""Greetings sent at one moment; 4 kB, 3 ms of a link of 10 Mbit/s."""
APART_S = 0.004
"""Pause after them, longer than that link takes."""
LIVING_MOST = 100
"""Nodes named in one greeting; of more, others each time."""
JOBS_MOST = 40
"""Requests in flight named in one greeting; a node has that many only under a load
far above its share of the design size."""
HEARD_MOST = 24
"""Replicas named in one greeting, so that it fits one datagram."""
PEERS_MOST = 40
"""Addresses in one reply; three datagrams tell a fleet of a hundred."""
EXPIRE_S = 0.5
HEAD_BYTES = 28
"""What the network adds to each datagram."""
DISCOVER_RETRY_S = 2.0


@dataclass(frozen=True)
class GreetingPauses:
    """Pauses between two greetings, in seconds.

    Parameters
    ----------
    all_s : float
        To everybody.
    hubs_s : float
        To the hubs of all failure domains.
    close_s : float
        To those that are close.
    """

    all_s: float
    hubs_s: float
    close_s: float


class Gossip:
    """The datagram socket of a node.

    Parameters
    ----------
    relay : RelayState
        This node.
    listener : socket.socket
        Bound to the peers' address.
    """

    def __init__(self, relay, listener):
        self.relay = relay
        self.listener = listener
        self._sender = make_sender(relay.settings.peer_address)
        self.spreader = Spreader(relay, self.send)
        self._news = anyio.Event()
        self._new_peers = 0

    def send(self, data, address):
        """Send one datagram without waiting; one that doesn't go out is counted."""
        host, _, port = address.rpartition(":")
        peer = self.relay.peers.peers.get(address)
        near = self.relay.settings.failure_domain
        place = "near" if peer is not None and peer.failure_domain == near else "far"
        kind = find_kind(data)
        self.relay.used.add(f"bytes.{place}.{kind}", len(data) + HEAD_BYTES)
        try:
            self._sender.sendto(data, (host, int(port)))
        except OSError:
            self.relay.counters.add("peers.unsent_datagram")

    def tell_news(self):
        """Greet all peers soon, since this node knows something new."""
        self._news.set()

    async def greet(self, _):
        """Greet peers again and again."""
        all_greeted_s = hubs_greeted_s = float("-inf")
        while True:
            now_s = read_clock()
            addresses = self.relay.peers.targets(now_s=now_s)
            pauses = self._plan_greetings(len(addresses), now_s=now_s)
            if now_s - all_greeted_s >= pauses.all_s:
                all_greeted_s = hubs_greeted_s = now_s
            elif now_s - hubs_greeted_s >= pauses.hubs_s or self.relay.is_leaving:
                hubs_greeted_s = now_s
                addresses = self._list_hubs(now_s=now_s)
            else:
                addresses = self._list_close(now_s=now_s)
            await self._send_apart(self.make_hello(now_s=now_s), addresses)
            with anyio.move_on_after(pauses.close_s):
                await self._news.wait()
            self._news = anyio.Event()

    async def _send_apart(self, message, addresses):
        """Send a message to many, a few at a time.

        A greeting to ninety nodes at once fills a link of 10 Mbit/s for 70 ms, and
        everything else of this node waits behind it.
        """
        data = encode_message(message)
        for place, address in enumerate(addresses, 1):
            self.send(data, address)
            if place % TOGETHER_MOST == 0:
                await anyio.sleep(APART_S)

    def _plan_greetings(self, count, *, now_s):
        """Return how often to greet whom.

        In a large fleet nodes greet those that are close often, hubs of other failure
        domains now and then, and all others rarely. Its hubs tell all who lives.
        """
        reads_for_others = is_hub(self.relay, now_s=now_s)
        if is_large(self.relay, now_s=now_s):
            if reads_for_others:
                return GreetingPauses(HUB_TO_ALL_S, HELLO_S, HELLO_S)
            all_s = RARE_HELLO_S_PER_NODE * count
            return GreetingPauses(all_s, OTHER_HUBS_S, HUB_HELLO_S)
        if is_reader(self.relay, now_s=now_s):
            return GreetingPauses(0.0, 0.0, HELLO_S)
        per_node_s = HUB_HELLO_S_PER_NODE if reads_for_others else HELLO_S_PER_NODE
        return GreetingPauses(0.0, 0.0, max(HELLO_S, per_node_s * count))

    def _list_hubs(self, *, now_s):
        """Return whom to greet now and then: the hubs, and those never heard.

        When a large fleet starts, many first greetings are lost.
        """
        hubs = find_hubs(self.relay, now_s=now_s).values()
        addresses = {hub.address for hub in hubs if hub is not None}
        addresses.update(self.relay.peers.list_unheard())
        return sorted(addresses.union(self._list_close(now_s=now_s)))

    def _list_close(self, *, now_s):
        """Return whom to greet often: the own hub, and for a hub its failure domain."""
        domain = self.relay.settings.failure_domain
        hub = find_hubs(self.relay, now_s=now_s).get(domain)
        if hub is not None:
            return [hub.address]
        return sorted(
            peer.address
            for peer in self.relay.peers.peers.values()
            if peer.failure_domain == domain
        )

    def _list_living(self, *, now_s):
        """Return the nodes that this one vouches for, where it is a hub."""
        if not (is_large(self.relay, now_s=now_s) and is_hub(self.relay, now_s=now_s)):
            return ()
        heard = self.relay.peers.heard_directly(
            now_s=now_s, within_s=HUB_HELLO_S + HELLO_S
        )
        orders = [peer.order for peer in heard]
        if len(orders) > LIVING_MOST:
            orders = self.relay.random.sample(orders, LIVING_MOST)
        return tuple(orders)

    def make_hello(self, *, now_s, peers=(), wants_reply=None):
        """Return a greeting."""
        relay = self.relay
        since_s = now_s - 1.0
        heard = relay.trust.list_answered(since_s=since_s)
        few = not relay.peers.alive(now_s=now_s)
        jobs = tuple(relay.board.running(relay.node))
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
            living=() if peers else self._list_living(now_s=now_s),
            jobs=jobs if len(jobs) <= JOBS_MOST else None,
            link_mbps=round(relay.settings.link_mbps),
            reads_store=relay.reads_store,
        )

    def close(self):
        """Close the sending socket."""
        self._sender.close()

    async def listen(self, _):
        """Take datagrams in, for ever; all that are there at each wake-up."""
        while True:
            await anyio.wait_readable(self.listener)
            self.take_waiting()

    def take_waiting(self):
        """Take in the datagrams that are there.

        A node whose loop has stalled may choose a place before ``listen`` is woken up,
        and doesn't know then what the others sent meanwhile.
        """
        for data in receive_all(self.listener):
            self._take_datagram(data, now_s=read_clock())

    def _take_datagram(self, data, *, now_s):
        """Take one datagram in; a broken one is counted."""
        try:
            message = decode_message(data)
        except msgspec.MsgspecError:
            self.relay.counters.add("peers.broken_datagram")
            return
        if not self._is_ours(message):
            self.relay.counters.add("peers.strange_datagram")
            return
        self.take(message, now_s=now_s)

    def take(self, message, *, now_s):
        """Take one message in."""
        board = self.relay.board
        match message:
            case Started():
                board.start(make_job(message, now_s=now_s), now_s=now_s)
                if message.sent_ms >= 0 and message.node != self.relay.node:
                    delays = self.relay.delays
                    delays.note(message.node, message.sent_ms, now_s=now_s)
            case Ended(node, job):
                board.end(node, job, now_s=now_s)
                self.relay.memory_queue.drop(node, job)
            case Wants(node, job, number, tokens):
                waiting = Waiting(number, node, job, tokens)
                self.relay.memory_queue.note(waiting, now_s=now_s)
            case Suspected(_, replica):
                self.relay.trust.suspect(replica, now_s=now_s)
            case Doubted(_, replica):
                self.relay.trust.doubt(replica, now_s=now_s)
            case Bundle(_, messages, spreads):
                for one in messages:
                    self.take(one, now_s=now_s)
                    if spreads:
                        self.spreader.gather(one)
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
        self._new_peers += is_new
        relay.peers.vouch(hello.living, now_s=now_s)
        if hello.operator_offset > relay.operator.offset:
            relay.operator_news.set()
        if hello.jobs is not None:
            lost = relay.board.settle(hello.node, frozenset(hello.jobs), now_s=now_s)
            if lost:
                relay.counters.add("peers.lost_ends", lost)
        for replica in hello.heard:
            relay.trust.hear_of(replica, now_s=now_s)
        for address in hello.peers:
            relay.peers.learn(address, now_s=now_s)
        note_return(relay, hello.returned_age_s, now_s=now_s)
        if compare(relay, hello, now_s=now_s):
            relay.differs_since_s = now_s
            relay.tasks.start_soon(fetch_registry, relay, hello.address)
        if hello.wants_reply or is_new:
            reply = self.make_hello(
                now_s=now_s, peers=self._list_known(now_s=now_s), wants_reply=False
            )
            self.send(encode_message(reply), hello.address)

    def _list_known(self, *, now_s):
        """Return the addresses that a new node is told: the hubs, and some others.

        In a large fleet only hubs tell of others. Did all do so, their answers to one
        new node would fill its link for a fifth of a second.
        """
        hubs = {
            hub.address
            for hub in find_hubs(self.relay, now_s=now_s).values()
            if hub is not None
        }
        is_close = is_hub(self.relay, now_s=now_s)
        if is_large(self.relay, now_s=now_s) and not is_close:
            return tuple(sorted(hubs))
        others = [
            peer.address
            for peer in self.relay.peers.alive(now_s=now_s)
            if peer.address not in hubs
        ]
        count = max(0, min(PEERS_MOST - len(hubs), len(others)))
        return (*sorted(hubs), *self.relay.random.sample(others, count))[:PEERS_MOST]

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
            dead = self.relay.peers.list_dead(now_s=now_s)
            self.relay.board.expire(now_s=now_s, dead=dead)
            self.relay.forget_gone(now_s=now_s)
            self.relay.delays.forget(living)
            self._log_new_peers(len(living))
            self.relay.used.log(self.relay, now_s=now_s)
            await self.relay.pool.sweep(now_s=now_s)

    def _log_new_peers(self, living):
        """Log how many peers have come; with a line each, logs grow with the square."""
        if self._new_peers:
            self.relay.log.info(
                "Peers are there.", extra={"new": self._new_peers, "living": living}
            )
            self._new_peers = 0


async def discover(relay):
    """Write this node's address into the store, and read the others'."""
    store = relay.make_store("nodes")
    address = relay.settings.peer_address
    for seed in relay.settings.seed_hosts:
        relay.peers.learn(f"{seed}:{address.rpartition(':')[2]}", now_s=read_clock())
    relay.tell_news()
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
