"""Send nothing more to replicas whose answers say that they leave."""

from lycheetide.gossip import Doubted
from lycheetide.relay._state import make_life, read_clock

PEER_PREFERENCE_S = 10.0
"""How long other nodes prefer other replicas: longer than the registry takes to list
the replica as leaving, unless the store is out."""


def record_leaving(relay, entry):
    """Record that a replica says that it leaves, and tell the other nodes.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    entry : RegistryEntry
        The replica as registered when the request was sent.
    """
    life = make_life(entry)
    is_new = life not in relay.leaving
    relay.leaving[life] = read_clock()
    if not is_new:
        return
    relay.broadcast_work(
        Doubted(relay.node, entry.id, entry.born_ms, round(PEER_PREFERENCE_S * 1e3))
    )
    relay.counters.add("replicas.said_they_leave")
    relay.log.info("A replica says that it leaves.", extra={"replica": entry.id})
