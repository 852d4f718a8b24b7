"""Read the registry at a few nodes and share what they read.

Replicas write all the time, so every read brings something, and each is paid for. One
node in each failure domain reads; it tells the others of each change at once. They
compare what they know by a digest in every greeting, and fetch all of it where a
message was lost. A node that hears of nobody's fresh knowledge reads for itself.
"""

import xxhash

from lycheetide.board import Changed
from lycheetide.exchange import Batch, Record

FRESH_S = 1.1
"""Knowledge older than this is read anew: a greeting in 0.3 s, a read in 0.5 s, and one
lost datagram; replicas that leave are to get no work after 2 s."""
DIFFERS_S = 0.15
"""Digests that differ for so long aren't about to agree by a message on its way."""
MESSAGE_BYTES = 1_100
"""Records in one message, so that it fits a datagram."""


def is_reader(relay, *, now_s):
    """Tell whether this node reads for its failure domain.

    Parameters
    ----------
    relay : RelayState
        This node.
    now_s : float
        The present time.
    """
    domain = relay.settings.failure_domain
    near = [
        peer.node
        for peer in relay.peers.alive(now_s=now_s)
        if peer.failure_domain == domain and not peer.is_leaving
    ]
    return min([*near, relay.node], key=order_nodes) == relay.node


def order_nodes(node):
    """Return a node's place in an order that changes with each start of it."""
    return xxhash.xxh32_intdigest(node.encode())


def must_read(relay, *, now_s):
    """Tell whether this node has to read the registry itself now."""
    source = relay.registry
    if source.offset < 0 or is_reader(relay, now_s=now_s):
        return True
    return now_s - source.read_s > FRESH_S


def tell_return(relay, *, now_s):
    """Return how long ago the registry was back after an outage, below 0 for never."""
    returned_s = relay.registry.returned_s
    return -1.0 if returned_s is None else now_s - returned_s


def make_changes(relay, changes, *, now_s):
    """Yield the messages that tell of changes, each small enough for a datagram."""
    returned_age_s = tell_return(relay, now_s=now_s)
    records: list[tuple[int, str, bytes | None]] = []
    size = 0
    for change in changes:
        record = relay.registry.records.get(change.id)
        value = record.value if record is not None and change.entry else None
        if records and size + len(value or b"") > MESSAGE_BYTES:
            yield Changed(relay.node, tuple(records), returned_age_s)
            records, size = [], 0
        records.append((change.offset, change.id, value))
        size += len(value or b"") + len(change.id)
    if records:
        yield Changed(relay.node, tuple(records), returned_age_s)


def decode_changes(message):
    """Return a message's records as a batch that says nothing of what lies between."""
    records = tuple(Record(*row) for row in message.records)
    return Batch(records, 0)


def compare(relay, hello, *, now_s):
    """Compare a peer's knowledge of the registry with this node's.

    Returns
    -------
    bool
        Whether all of it has to be fetched from that peer.
    """
    source = relay.registry
    read_s = now_s - hello.registry_age_s
    if source.offset < 0 or hello.registry_offset < source.offset:
        return False
    if hello.registry_digest == relay.replicas.digest():
        source.offset = max(source.offset, hello.registry_offset)
        source.read_s = max(source.read_s, read_s)
        relay.differs_since_s = None
        return False
    if read_s <= source.read_s:
        return False
    if relay.differs_since_s is None:
        relay.differs_since_s = now_s
    return now_s - relay.differs_since_s >= DIFFERS_S
