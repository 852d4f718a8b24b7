"""Find out whether a replica is at fault for its silence, or the path to it."""

from dataclasses import dataclass
from enum import Enum, auto

from lycheetide.httpclient import ChannelConnectError
from lycheetide.relay._dial import CONNECT_TIMEOUT_S, connect_replica
from lycheetide.relay._state import read_clock


class Fault(Enum):
    """What is at fault when a replica doesn't answer."""

    REPLICA = auto()
    PATH = auto()
    UNKNOWN = auto()


async def find_fault(relay, replica, via):
    """Open another connection to a replica by the path that met silence.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    replica : str
        Id of the replica.
    via : str
        The path: address of the peer that carries the connection, empty for a direct
        one.

    Returns
    -------
    Fault
        The replica's if that path works, or if no path works though a peer reaches
        other replicas; the path's if only another path works.
    """
    known = relay.replicas.replicas.get(replica)
    if known is None:
        return Fault.UNKNOWN
    relay.paths.note_check(known.entry.address, now_s=read_clock())
    try:
        channel = await connect_replica(
            relay, known.entry.address, timeout_s=CONNECT_TIMEOUT_S, first_via=via
        )
    except ChannelConnectError as error:
        log_check(relay, replica, via, is_connected=False, cause=str(error))
        return Fault.REPLICA if error.is_confirmed else Fault.UNKNOWN
    await channel.aclose()
    log_check(relay, replica, via, is_connected=True, cause=channel.via)
    return Fault.REPLICA if channel.via == via else Fault.PATH


def log_check(relay, replica, via, *, is_connected, cause):
    """Log whether a replica that broke off or is silent accepts a new connection."""
    relay.log.info(
        "The path to a replica was checked.",
        extra={"replica": replica, "via": via, "is_connected": is_connected,
               "cause": cause},
    )  # fmt: skip


@dataclass
class PathCheck:
    """A check of the path to a silent replica.

    Parameters
    ----------
    begun_s : float
        When it began.
    messages : list of Suspected or Doubted
        What the nodes are told if the replica is at fault.
    """

    begun_s: float
    messages: list


def has_lost_path(relay, replica, via, *, now_s):
    """Tell whether a request was sent to a replica on a direct path that is lost."""
    known = relay.replicas.replicas.get(replica)
    if via or known is None:
        return False
    entry = known.entry
    since_s = relay.paths.lost_since_s(entry.address, entry.failure_domain, now_s=now_s)
    return since_s is not None


def start_path_check(relay, replica, via, *messages):
    """Tell all nodes of a replica's failure, unless the path to it is at fault.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    replica : str
        Id of the replica.
    via : str
        The path, as in ``find_fault``.
    *messages : Suspected or Doubted
        What the nodes are told.
    """
    running = relay.path_checks.get(replica)
    if running is not None:
        running.messages.extend(messages)
        return
    check = relay.path_checks[replica] = PathCheck(read_clock(), list(messages))
    relay.tasks.start_soon(_run_check, relay, replica, via, check)


async def _run_check(relay, replica, via, check):
    """Check a path and act on what is found."""
    try:
        fault = await find_fault(relay, replica, via)
    finally:
        del relay.path_checks[replica]
    relay.counters.add(f"path_checks.{fault.name.lower()}")
    if fault is Fault.PATH:
        relay.failure_detector.forgive(replica)
    elif fault is Fault.REPLICA:
        for message in check.messages:
            relay.broadcast_work(message)
