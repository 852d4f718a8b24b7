"""Exchange state between nodes by periodic heartbeats over UDP."""

from dataclasses import dataclass

import anyio
import msgspec

from lycheetide.exchange import DECODE_ERRORS, StoreUnavailable
from lycheetide.gossip import (
    MAX_DATAGRAM_BYTES,
    Bundle,
    CrashReport,
    Deferred,
    Doubted,
    Ended,
    Heartbeat,
    MemoryWanted,
    PartsWritten,
    Quarantined,
    RegistryUpdate,
    Started,
    Suspected,
    Waiting,
    WaitingRequest,
    decode_message,
    encode_message,
    make_job,
)
from lycheetide.relay._admission import (
    receive_admission,
    receive_end,
    record_usage,
    refresh_admission,
)
from lycheetide.relay._apply_records import apply_peer_changes, record_outage_end
from lycheetide.relay._broadcast import Broadcaster, is_large_fleet
from lycheetide.relay._datagrams import classify_datagram, make_sender, receive_all
from lycheetide.relay._memory import update_memory
from lycheetide.relay._named_limits import merge_limits
from lycheetide.relay._peer_state import fetch_registry
from lycheetide.relay._quarantine_sync import (
    compare_quarantines,
    receive_quarantine_message,
)
from lycheetide.relay._rests import record_peer_doubt
from lycheetide.relay._roles import (
    compare_digests,
    compute_outage_end_age_s,
    find_hubs,
    is_hub,
    is_registry_reader,
)
from lycheetide.relay._state import read_clock

HEARTBEAT_INTERVAL_S = 0.3
"""Interval between heartbeats in a small fleet, and of nodes that read for others."""
HEARTBEAT_INTERVAL_S_PER_NODE = 0.03
"""Interval between heartbeats per node of a larger fleet. Urgent changes have messages
of their own, and the node that reads the registry reports how fresh that state is."""
HUB_INTERVAL_S_PER_NODE = 0.02
"""The same for a hub. Two of its heartbeats may be lost before it counts as silent."""
TO_OWN_HUB_INTERVAL_S = 0.4
"""Interval between heartbeats to the node's own hub in a large fleet, which reports to
all others who is alive. Three may be lost before a node counts as silent."""
TO_OTHER_HUBS_INTERVAL_S = 2.0
"""Interval between heartbeats to the hubs of other failure domains. They must know a
node to accept its messages; its own hub tells them every second that it is alive."""
TO_ALL_INTERVAL_S_PER_NODE = 0.1
"""Interval between heartbeats to all nodes in a large fleet, per node of it, so that
each node receives 10 a second."""
HUB_TO_ALL_INTERVAL_S = 1.0
"""Interval between a hub's heartbeats to all nodes. They show a node whose own hub is
cut off that the store serves others, within the 1.5 s after which failed reads count as
an outage."""
MAX_BURST = 4
"""Heartbeats sent in one burst: 4 kB, which take 3 ms on a link of 10 Mbit/s."""
BURST_PAUSE_S = 0.004
"""Pause after a burst, longer than that link takes to send it."""
MAX_NODES_LISTED = 100
"""Nodes listed in one heartbeat. If there are more, each heartbeat lists a random
sample."""
MAX_REQUESTS_LISTED = 40
"""Requests in flight listed in one heartbeat. A node has more only under a load far
above its share of the design size."""
MAX_REPLICAS_LISTED = 24
"""Replicas listed in one heartbeat, so that it fits one datagram."""
MAX_PACES_LISTED = 16
"""Paces listed in one heartbeat. If there are more, each heartbeat lists a random
sample."""
LIMIT_REPORT_BYTES = 45
"""Upper bound of the size of one report on a limit, for ids of up to 16 characters."""
MAX_PEERS_LISTED = 40
"""Addresses in one reply; three replies cover a fleet of a hundred nodes."""
EXPIRE_INTERVAL_S = 0.5
DATAGRAM_HEADER_BYTES = 28
"""Size of the headers that the network adds to each datagram."""
DISCOVER_RETRY_S = 2.0


@dataclass(frozen=True)
class HeartbeatIntervals:
    """Intervals between heartbeats, in seconds.

    Parameters
    ----------
    all_s : float
        To all nodes.
    hubs_s : float
        To the hubs of all failure domains.
    domain_s : float
        To the node's own hub or, from a hub, to the nodes of its failure domain.
    """

    all_s: float
    hubs_s: float
    domain_s: float


class PeerMessenger:
    """Sends and receives a node's datagrams.

    Parameters
    ----------
    relay : RelayState
        State of this node.
    listener : socket.socket
        Datagram socket bound to the node's peer address.
    """

    def __init__(self, relay, listener):
        self.relay = relay
        self.listener = listener
        self._sender = make_sender(relay.settings.peer_address)
        self.broadcaster = Broadcaster(relay, self.send)
        self._heartbeat_due = anyio.Event()
        self._is_due_to_all = False
        self._new_peer_count = 0

    def send(self, data, address):
        """Send one datagram without blocking, and count it if it can't be sent."""
        host, _, port = address.rpartition(":")
        peer = self.relay.peers.peers.get(address)
        near = self.relay.settings.failure_domain
        place = "near" if peer is not None and peer.failure_domain == near else "far"
        kind = classify_datagram(data)
        self.relay.used.add(f"bytes.{place}.{kind}", len(data) + DATAGRAM_HEADER_BYTES)
        try:
            self._sender.sendto(data, (host, int(port)))
        except OSError:
            self.relay.counters.add("peers.unsent_datagram")

    def trigger_heartbeat(self, *, to_all=False):
        """Send the next heartbeat at once, since this node's state has changed.

        Parameters
        ----------
        to_all : bool, default=False
            Whether to send it to all nodes instead of those whose turn it is.
        """
        self._is_due_to_all = self._is_due_to_all or to_all
        self._heartbeat_due.set()

    async def greet(self, _):
        """Send heartbeats to peers periodically."""
        all_greeted_s = hubs_greeted_s = float("-inf")
        while True:
            now_s = read_clock()
            addresses = self.relay.peers.targets(now_s=now_s)
            intervals = self._choose_intervals(len(addresses), now_s=now_s)
            if self._is_due_to_all or now_s - all_greeted_s >= intervals.all_s:
                self._is_due_to_all = False
                all_greeted_s = hubs_greeted_s = now_s
            elif now_s - hubs_greeted_s >= intervals.hubs_s or self.relay.is_leaving:
                hubs_greeted_s = now_s
                addresses = self._list_hub_targets(now_s=now_s)
            else:
                addresses = self._list_domain_targets(now_s=now_s)
            await self._send_paced(self.make_heartbeat(now_s=now_s), addresses)
            with anyio.move_on_after(intervals.domain_s):
                await self._heartbeat_due.wait()
            self._heartbeat_due = anyio.Event()

    async def _send_paced(self, message, addresses):
        """Send a message to many addresses in paced bursts.

        Ninety heartbeats sent at once fill a link of 10 Mbit/s for 70 ms and delay
        everything else that this node sends.
        """
        data = encode_message(message)
        for place, address in enumerate(addresses, 1):
            self.send(data, address)
            if place % MAX_BURST == 0:
                await anyio.sleep(BURST_PAUSE_S)

    def _choose_intervals(self, count, *, now_s):
        """Return the intervals at which this node sends heartbeats.

        In a large fleet a node sends heartbeats often within its failure domain, less
        often to the hubs of other domains, and rarely to all others. The hubs tell all
        nodes who is alive.
        """
        reads_for_others = is_hub(self.relay, now_s=now_s)
        if is_large_fleet(self.relay, now_s=now_s):
            if reads_for_others:
                return HeartbeatIntervals(
                    HUB_TO_ALL_INTERVAL_S, HEARTBEAT_INTERVAL_S, HEARTBEAT_INTERVAL_S
                )
            all_s = TO_ALL_INTERVAL_S_PER_NODE * count
            return HeartbeatIntervals(
                all_s, TO_OTHER_HUBS_INTERVAL_S, TO_OWN_HUB_INTERVAL_S
            )
        if is_registry_reader(self.relay, now_s=now_s):
            return HeartbeatIntervals(0.0, 0.0, HEARTBEAT_INTERVAL_S)
        per_node_s = (
            HUB_INTERVAL_S_PER_NODE
            if reads_for_others
            else HEARTBEAT_INTERVAL_S_PER_NODE
        )
        return HeartbeatIntervals(
            0.0, 0.0, max(HEARTBEAT_INTERVAL_S, per_node_s * count)
        )

    def _list_hub_targets(self, *, now_s):
        """Return the targets of the less frequent heartbeats: hubs, and unheard nodes.

        Nodes never heard from are included, since many first heartbeats are lost when a
        large fleet starts.
        """
        hubs = find_hubs(self.relay, now_s=now_s).values()
        addresses = {hub.address for hub in hubs if hub is not None}
        addresses.update(self.relay.peers.list_unheard())
        return sorted(addresses.union(self._list_domain_targets(now_s=now_s)))

    def _list_domain_targets(self, *, now_s):
        """Return the targets of frequent heartbeats: the hub, or all its domain."""
        domain = self.relay.settings.failure_domain
        hub = find_hubs(self.relay, now_s=now_s).get(domain)
        if hub is not None:
            return [hub.address]
        return sorted(
            peer.address
            for peer in self.relay.peers.peers.values()
            if peer.failure_domain == domain
        )

    def _list_vouched(self, *, now_s):
        """Return the nodes that this node, as a hub, reports as alive."""
        if not (
            is_large_fleet(self.relay, now_s=now_s) and is_hub(self.relay, now_s=now_s)
        ):
            return ()
        heard = self.relay.peers.list_heard_directly(
            now_s=now_s, within_s=TO_OWN_HUB_INTERVAL_S + HEARTBEAT_INTERVAL_S
        )
        orders = [peer.order for peer in heard]
        if len(orders) > MAX_NODES_LISTED:
            orders = self.relay.random.sample(orders, MAX_NODES_LISTED)
        return tuple(orders)

    def _sample_paces(self):
        """Return the paces that this node, as a hub, reports in one heartbeat."""
        paces = self.relay.reported_paces
        if len(paces) > MAX_PACES_LISTED:
            paces = self.relay.random.sample(paces, MAX_PACES_LISTED)
        return tuple((replica, round(100 * pace)) for replica, pace in paces)

    def _sample_limits(self, heartbeat, *, now_s):
        """Return as many reports on limits as fit into the datagram of a heartbeat."""
        reports = self.relay.limits.make_reports(now_s=now_s)
        if not reports:
            return ()
        free_bytes = MAX_DATAGRAM_BYTES - len(encode_message(heartbeat))
        most = max(0, free_bytes // LIMIT_REPORT_BYTES)
        if len(reports) > most:
            reports = self.relay.random.sample(reports, most)
        return tuple(reports)

    def make_heartbeat(self, *, now_s, peers=(), wants_reply=None):
        """Return a heartbeat message with this node's state."""
        relay = self.relay
        since_s = now_s - 1.0
        heard = relay.failure_detector.list_answered(since_s=since_s)
        knows_few = not relay.peers.alive(now_s=now_s)
        jobs = tuple(relay.job_table.running(relay.node))
        overloaded_since_s = relay.stall_detector.overloaded_since_s(now_s=now_s)
        heartbeat = Heartbeat(
            fleet=relay.peers.fleet,
            node=relay.node,
            address=relay.settings.peer_address,
            failure_domain=relay.settings.failure_domain,
            operator_offset=relay.operator.offset,
            registry_offset=relay.registry.offset,
            registry_age_s=min(1e6, now_s - relay.registry.complete_until_s),
            registry_digest=relay.replicas.digest(),
            returned_age_s=compute_outage_end_age_s(relay, now_s=now_s),
            heard=tuple(heard[:MAX_REPLICAS_LISTED]),
            wants_reply=knows_few if wants_reply is None else wants_reply,
            is_leaving=relay.is_leaving,
            peers=tuple(peers),
            living=() if peers else self._list_vouched(now_s=now_s),
            jobs=jobs if len(jobs) <= MAX_REQUESTS_LISTED else None,
            link_mbps=round(relay.settings.link_mbps),
            is_store_reachable=relay.is_store_reachable,
            paces=self._sample_paces(),
            tunnel_port=relay.tunnels.port,
            tunnels=relay.tunnels.count,
            is_cut_off=relay.paths.is_cut_off(now_s=now_s),
            memory_stage=int(update_memory(relay, now_s=now_s)),
            quarantine_digest=relay.quarantine.report_digest(),
            is_overloaded=overloaded_since_s is not None,
        )
        return msgspec.structs.replace(
            heartbeat, limits=self._sample_limits(heartbeat, now_s=now_s)
        )

    def close(self):
        """Close the socket that sends."""
        self._sender.close()

    async def listen(self, _):
        """Receive datagrams forever, all that are waiting at each wake-up."""
        while True:
            await anyio.wait_readable(self.listener)
            self.receive_pending()

    def receive_pending(self):
        """Process the datagrams that are waiting in the socket.

        After a stall of the event loop a node may choose a replica before ``listen``
        runs again. It would then not know what the others sent in the meantime.
        """
        for data in receive_all(self.listener):
            self._handle_datagram(data, now_s=read_clock())

    def _handle_datagram(self, data, *, now_s):
        """Process one datagram, and count it if it can't be decoded."""
        try:
            message = decode_message(data)
        except DECODE_ERRORS:
            self.relay.counters.add("peers.broken_datagram")
            return
        if not self._is_from_this_fleet(message):
            self.relay.counters.add("peers.strange_datagram")
            return
        self.handle_message(message, now_s=now_s)

    def handle_message(self, message, *, now_s):
        """Process one message."""
        job_table = self.relay.job_table
        match message:
            case Started():
                job_table.start(make_job(message, now_s=now_s), now_s=now_s)
                record_usage(self.relay, message, now_s=now_s)
                if message.sent_ms >= 0 and message.node != self.relay.node:
                    message_delays = self.relay.message_delays
                    message_delays.note(message.node, message.sent_ms, now_s=now_s)
            case Ended(node, job):
                job_table.end(node, job, now_s=now_s)
                self.relay.memory_queue.drop(node, job)
                receive_end(self.relay, node, job)
            case Waiting() | Deferred():
                receive_admission(self.relay, message, now_s=now_s)
            case MemoryWanted(node, job, number, tokens):
                waiting = WaitingRequest(number, node, job, tokens)
                self.relay.memory_queue.note(waiting, now_s=now_s)
            case Suspected() | Doubted():
                record_peer_failure(self.relay, message, now_s=now_s)
            case CrashReport() | PartsWritten() | Quarantined():
                receive_quarantine_message(self.relay, message, now_s=now_s)
            case Bundle(_, messages, must_forward):
                for one in messages:
                    self.handle_message(one, now_s=now_s)
                    if must_forward:
                        self.broadcaster.add_to_bundle(one)
            case RegistryUpdate():
                apply_peer_changes(self.relay, message, now_s=now_s)
            case Heartbeat():
                self._handle_heartbeat(message, now_s=now_s)

    def _is_from_this_fleet(self, message):
        """Tell whether a message comes from a node of this fleet.

        Addresses are reused. A node of another fleet that received an old address would
        fill this fleet's job table with its requests, and its configuration might be
        adopted.
        """
        if isinstance(message, Heartbeat):
            return message.fleet == self.relay.peers.fleet
        return self.relay.peers.is_peer(message.node)

    def _handle_heartbeat(self, heartbeat, *, now_s):
        """Process a heartbeat, and reply if it asks for that or its sender is new."""
        relay = self.relay
        if heartbeat.node == relay.node:
            return
        self._log_memory_stage(heartbeat)
        is_new = relay.peers.hear(heartbeat, now_s=now_s)
        self._new_peer_count += is_new
        relay.peers.hear_indirectly(heartbeat.living, now_s=now_s)
        if heartbeat.is_leaving:
            relay.admission.queue.drop_nodes({heartbeat.node})
        if heartbeat.operator_offset > relay.operator.offset:
            relay.operator_update.set()
        if heartbeat.jobs is not None:
            lost = relay.job_table.reconcile(
                heartbeat.node, frozenset(heartbeat.jobs), now_s=now_s
            )
            if lost:
                relay.counters.add("peers.lost_ends", lost)
        for replica in heartbeat.heard:
            relay.failure_detector.note_peer_report(replica, now_s=now_s)
        for replica, pace_hundredths in heartbeat.paces:
            relay.paces.note(replica, pace_hundredths / 100, now_s=now_s)
        merge_limits(relay, heartbeat, now_s=now_s)
        for address in heartbeat.peers:
            relay.peers.add_address(address, now_s=now_s)
        record_outage_end(relay, heartbeat.returned_age_s, now_s=now_s)
        compare_quarantines(relay, heartbeat, now_s=now_s)
        if compare_digests(relay, heartbeat, now_s=now_s):
            relay.digest_differs_since_s = now_s
            relay.tasks.start_soon(fetch_registry, relay, heartbeat.address)
        if heartbeat.wants_reply or is_new:
            reply = self.make_heartbeat(
                now_s=now_s,
                peers=self._list_peer_addresses(now_s=now_s),
                wants_reply=False,
            )
            self.send(encode_message(reply), heartbeat.address)

    def _log_memory_stage(self, heartbeat):
        """Log once that a peer's memory has reached another stage."""
        known = self.relay.peers.peers.get(heartbeat.address)
        before = known.memory_stage if known is not None else 0
        if heartbeat.memory_stage != before:
            self.relay.log.info(
                "A peer reports another stage of its memory.",
                extra={"peer": heartbeat.node, "stage": heartbeat.memory_stage},
            )

    def _list_peer_addresses(self, *, now_s):
        """Return the addresses to send to a new node: the hubs, and a sample of others.

        In a large fleet only hubs send others' addresses. If all nodes did, their
        replies to one new node would fill its link for a fifth of a second.
        """
        hubs = {
            hub.address
            for hub in find_hubs(self.relay, now_s=now_s).values()
            if hub is not None
        }
        is_own_hub = is_hub(self.relay, now_s=now_s)
        if is_large_fleet(self.relay, now_s=now_s) and not is_own_hub:
            return tuple(sorted(hubs))
        others = [
            peer.address
            for peer in self.relay.peers.alive(now_s=now_s)
            if peer.address not in hubs
        ]
        count = max(0, min(MAX_PEERS_LISTED - len(hubs), len(others)))
        return (*sorted(hubs), *self.relay.random.sample(others, count))[
            :MAX_PEERS_LISTED
        ]

    async def expire(self, _):
        """Remove requests of dead nodes, and close old idle connections."""
        while True:
            await anyio.sleep(EXPIRE_INTERVAL_S)
            now_s = read_clock()
            living = self.relay.list_alive_nodes(now_s=now_s)
            dead = self.relay.peers.list_dead(now_s=now_s)
            silent: set[str] = set()
            if self.relay.activation.is_contended:
                silent = self.relay.peers.list_silent(now_s=now_s)
            self.relay.job_table.expire(now_s=now_s, dead=dead - silent, silent=silent)
            refresh_admission(self.relay, dead=dead, now_s=now_s)
            self.relay.drop_gone_replicas(now_s=now_s)
            self.relay.paces.drop_outdated(now_s=now_s)
            self.relay.message_delays.drop_absent(living)
            self._log_new_peers(len(living))
            self.relay.used.log(self.relay, now_s=now_s)
            for pool in (self.relay.pool, self.relay.peer_pool):
                await pool.close_expired(now_s=now_s)

    def _log_new_peers(self, living):
        """Log the number of new peers; one line per peer would grow quadratically."""
        if self._new_peer_count:
            self.relay.log.info(
                "New peers were found.",
                extra={"new": self._new_peer_count, "living": living},
            )
            self._new_peer_count = 0


def record_peer_failure(relay, message, *, now_s):
    """Record that a replica has failed to answer another node."""
    if isinstance(message, Suspected):
        relay.failure_detector.suspect(message.replica, now_s=now_s)
    else:
        record_peer_doubt(relay, message, now_s=now_s)


async def discover(relay):
    """Register this node's address in the store, and read the others' addresses."""
    store = relay.make_store_client("nodes")
    address = relay.settings.peer_address
    for seed in relay.settings.seed_hosts:
        relay.peers.add_address(
            f"{seed}:{address.rpartition(':')[2]}", now_s=read_clock()
        )
    relay.trigger_heartbeat()
    is_written = False
    while True:
        try:
            if not is_written:
                await store.append(
                    relay.adapter.NODES_TOPIC, address, b"1", timeout_s=DISCOVER_RETRY_S
                )
                is_written = True
            batch = await store.read(
                relay.adapter.NODES_TOPIC, -1, wait_s=0.0, timeout_s=DISCOVER_RETRY_S
            )
        except StoreUnavailable as error:
            relay.log.info(
                "Looking up peers in the store failed; retrying.",
                extra={"cause": str(error)},
            )
            await anyio.sleep(DISCOVER_RETRY_S)
            continue
        for record in batch.records:
            relay.peers.add_address(record.key, now_s=read_clock())
        await store.aclose()
        relay.trigger_heartbeat()
        return
