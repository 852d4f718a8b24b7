"""Read the registry at one node and share the result with the others.

Replicas write all the time, so every read returns records, and each read is paid for.
One node, the registry reader, reads and broadcasts each change at once. The others
compare digests of their state in every heartbeat, and fetch the whole state if a
message was lost. In each failure domain one node, the hub, reads the registry itself if
it hears of no fresh state; nodes that hear of none from their hub either read it
themselves.
"""

from lycheetide.exchange import Record, RecordBatch
from lycheetide.gossip import Peer, RegistryUpdate

HUB_MAX_AGE_S = 1.1
"""Age at which a hub reads the registry again: a heartbeat interval of 0.3 s, a read
interval of 0.5 s and one lost datagram. Leaving replicas must get no work after 2 s."""
MAX_AGE_S = 1.5
"""The same for all other nodes, which hear of the hub's read before that."""
OPERATOR_READERS = 3
"""Number of nodes that wait for operator records in a fleet of one failure domain."""
DIGEST_MISMATCH_S = 0.15
"""Digests that differ for this long won't be made equal by a message in transit."""
HUB_TIMEOUT_S = 1.2
"""Silence after which a node, which would send heartbeats every 0.3 s, is no longer a
hub."""
MAX_MESSAGE_BYTES = 1_100
"""Size of the records in one message, so that it fits a datagram."""


def find_hubs(relay, *, now_s):
    """Return the hub of each failure domain, the node that works for the others.

    A hub waits for operator records and, in a large fleet, bundles messages. Its
    messages would saturate a small link, so a node with the highest bandwidth is
    chosen. Nodes may disagree briefly, which costs one additional message or read.

    Parameters
    ----------
    relay : RelayState
        State of this node.
    now_s : float
        Current time.

    Returns
    -------
    dict of str to Peer or None
        Hub by failure domain; None for this node itself.
    """
    hubs: dict[str, Peer | None] = {}
    places: dict[str, tuple[int, int]] = {}
    if not relay.is_leaving:
        domain = relay.settings.failure_domain
        hubs[domain], places[domain] = None, relay.place
    for peer in relay.peers.alive(now_s=now_s, within_s=HUB_TIMEOUT_S):
        domain = peer.failure_domain
        if peer.is_leaving or (domain in places and peer.place >= places[domain]):
            continue
        hubs[domain], places[domain] = peer, peer.place
    return hubs


def is_hub(relay, *, now_s):
    """Tell whether this node is the hub of its failure domain."""
    return find_hubs(relay, now_s=now_s).get(relay.settings.failure_domain) is None


def is_registry_reader(relay, *, now_s):
    """Tell whether this node reads the registry for the whole fleet.

    The reader is the first hub whose own reads succeed. Nodes may disagree briefly.
    That costs one additional read, or the state becomes stale and the next hub reads.
    """
    hubs = find_hubs(relay, now_s=now_s)
    if hubs.get(relay.settings.failure_domain) is not None or relay.is_leaving:
        return False
    return not relay.registry.failures and all(
        relay.place < hub.place
        for hub in hubs.values()
        if hub is not None and hub.is_store_reachable
    )


def must_wait_for_operator_records(relay, *, now_s):
    """Tell whether this node waits at the store for the next operator record.

    All hubs do, and also the first nodes of the fleet, so that there are always
    several: operator records must be in force within 2 s, even while one of these nodes
    is frozen or cut off. All other nodes get the records from them.
    """
    if is_hub(relay, now_s=now_s):
        return True
    before = sum(
        peer.place < relay.place
        for peer in relay.peers.alive(now_s=now_s, within_s=HUB_TIMEOUT_S)
        if not peer.is_leaving and peer.is_store_reachable
    )
    return before < OPERATOR_READERS


def must_check_operator(relay, *, now_s):
    """Tell whether this node asks for new operator records besides those that wait.

    One node does, that which reads the registry. If its reads fail, the next one does.
    """
    return relay.operator.offset >= 0 and is_registry_reader(relay, now_s=now_s)


def must_read_registry(relay, *, now_s):
    """Tell whether this node must read the registry itself now."""
    source = relay.registry
    if source.offset < 0 or is_registry_reader(relay, now_s=now_s):
        return True
    age_s = now_s - source.complete_until_s
    return age_s > (HUB_MAX_AGE_S if is_hub(relay, now_s=now_s) else MAX_AGE_S)


def compute_outage_end_age_s(relay, *, now_s):
    """Return the time since the registry's last outage, below 0 if it had none."""
    outage_ended_s = relay.registry.outage_ended_s
    return -1.0 if outage_ended_s is None else now_s - outage_ended_s


def make_change_messages(relay, changes, *, now_s):
    """Yield messages with the changes, each small enough for a datagram."""
    returned_age_s = compute_outage_end_age_s(relay, now_s=now_s)
    records: list[tuple[int, str, bytes | None]] = []
    size = 0
    for change in changes:
        record = relay.registry.records.get(change.id)
        value = record.value if record is not None and change.entry else None
        if records and size + len(value or b"") > MAX_MESSAGE_BYTES:
            yield RegistryUpdate(relay.node, tuple(records), returned_age_s)
            records, size = [], 0
        records.append((change.offset, change.id, value))
        size += len(value or b"") + len(change.id)
    if records:
        yield RegistryUpdate(relay.node, tuple(records), returned_age_s)


def decode_change_message(message):
    """Return a message's records as a batch that makes no claim about other records."""
    records = tuple(Record(*row) for row in message.records)
    return RecordBatch(records, 0)


def compare_digests(relay, heartbeat, *, now_s):
    """Compare a peer's copy of the registry with this node's.

    Returns
    -------
    bool
        Whether the whole registry has to be fetched from that peer.
    """
    source = relay.registry
    complete_until_s = now_s - heartbeat.registry_age_s
    if source.offset < 0 or heartbeat.registry_offset < source.offset:
        return False
    if heartbeat.registry_digest == relay.replicas.digest():
        source.offset = max(source.offset, heartbeat.registry_offset)
        source.complete_until_s = max(source.complete_until_s, complete_until_s)
        relay.digest_differs_since_s = None
        return False
    if complete_until_s <= source.complete_until_s:
        return False
    if relay.digest_differs_since_s is None:
        relay.digest_differs_since_s = now_s
    return now_s - relay.digest_differs_since_s >= DIGEST_MISMATCH_S
