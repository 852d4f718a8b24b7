"""Read the registry at one node and share what it reads.

Replicas write all the time, so every read brings something, and each is paid for. One
node reads; it tells the others of each change at once. They compare what they know by a
digest in every greeting, and fetch all of it where a message was lost. Each failure
domain has a node that reads for itself where it hears of nobody's fresh knowledge, and
where that one hears of none either, every node does.
"""

from lycheetide.board import Changed, Peer
from lycheetide.exchange import Batch, Record

FRESH_S = 1.1
"""Knowledge older than this is read anew by a node that works for others: a greeting in
0.3 s, a read in 0.5 s, and one lost datagram; replicas that leave are to get no work
after 2 s."""
FRESH_ALONE_S = 1.5
"""The same for all others, which hear of that node's read before."""
OPERATOR_READERS = 3
"""Nodes that wait for operators' records in a fleet of one failure domain."""
DIFFERS_S = 0.15
"""Digests that differ for so long aren't about to agree by a message on its way."""
HUB_SILENT_S = 1.2
"""A node that greets each 0.3 s and wasn't heard for so long works for nobody."""
MESSAGE_BYTES = 1_100
"""Records in one message, so that it fits a datagram."""


def find_hubs(relay, *, now_s):
    """Return the node of each failure domain that works for the others there.

    It waits for operators' records, and in a large fleet it gathers what nodes tell.
    What it passes on would fill a small link, so a node with the widest one is taken.
    Nodes may disagree for a moment; then one message more is sent, or a read.

    Parameters
    ----------
    relay : RelayState
        This node.
    now_s : float
        The present time.

    Returns
    -------
    dict of str to Peer or None
        By failure domain; None for this node itself.
    """
    hubs: dict[str, Peer | None] = {}
    places: dict[str, tuple[int, int]] = {}
    if not relay.is_leaving:
        domain = relay.settings.failure_domain
        hubs[domain], places[domain] = None, relay.place
    for peer in relay.peers.alive(now_s=now_s, within_s=HUB_SILENT_S):
        domain = peer.failure_domain
        if peer.is_leaving or (domain in places and peer.place >= places[domain]):
            continue
        hubs[domain], places[domain] = peer, peer.place
    return hubs


def is_hub(relay, *, now_s):
    """Tell whether this node works for the others of its failure domain."""
    return find_hubs(relay, now_s=now_s).get(relay.settings.failure_domain) is None


def is_reader(relay, *, now_s):
    """Tell whether this node reads the registry for the whole fleet.

    It is the first of the nodes that work for others whose own reads work. Nodes may
    disagree for a moment; then there is a read more, or knowledge grows old and is read
    by the next one.
    """
    hubs = find_hubs(relay, now_s=now_s)
    if hubs.get(relay.settings.failure_domain) is not None or relay.is_leaving:
        return False
    return not relay.registry.failures and all(
        relay.place < hub.place
        for hub in hubs.values()
        if hub is not None and hub.reads_store
    )


def waits_for_operators(relay, *, now_s):
    """Tell whether this node waits at the store for operators' next record.

    The nodes that work for others do, and with them the first ones of the fleet, so
    that there are several: what operators wrote must be in force within 2 s, also while
    one of them is frozen or cut off. All others hear of it from them.
    """
    if is_hub(relay, now_s=now_s):
        return True
    before = sum(
        peer.place < relay.place
        for peer in relay.peers.alive(now_s=now_s, within_s=HUB_SILENT_S)
        if not peer.is_leaving and peer.reads_store
    )
    return before < OPERATOR_READERS


def must_read(relay, *, now_s):
    """Tell whether this node has to read the registry itself now."""
    source = relay.registry
    if source.offset < 0 or is_reader(relay, now_s=now_s):
        return True
    age_s = now_s - source.read_s
    return age_s > (FRESH_S if is_hub(relay, now_s=now_s) else FRESH_ALONE_S)


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
