"""Leave replicas alone that have turned a request away and asked for rest."""

from lycheetide.gossip import Doubted
from lycheetide.relay._state import make_life, read_clock


def record_rest(relay, entry, rest_s):
    """Record that a replica asks this node for rest, and tell the other nodes.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    entry : RegistryEntry
        The replica as registered when the request was sent.
    rest_s : float
        Time for which it wants nothing from this node, in seconds; 0 for none.
    """
    if rest_s <= 0:
        return
    life = make_life(entry)
    if not relay.rests.ask(life, rest_s, now_s=read_clock()):
        return
    left_s = relay.rests.left_s(life, now_s=read_clock())
    relay.broadcast_work(
        Doubted(relay.node, entry.id, entry.born_ms, round(left_s * 1e3))
    )
    relay.counters.add("replicas.asked_for_rest")
    relay.log.info(
        "A replica asks for rest.",
        extra={"replica": entry.id, "rest_ms": round(left_s * 1e3)},
    )


def record_peer_doubt(relay, doubted, *, now_s):
    """Record that another node has reason to prefer other replicas to one."""
    if doubted.rest_ms <= 0:
        relay.failure_detector.doubt(doubted.replica, now_s=now_s)
        return
    relay.rests.note_peer(
        doubted.life,
        doubted.rest_ms / 1e3,
        now_s=now_s,
        draw=relay.random.random(),
    )
