"""Find out whether the process of a replica that broke off an answer has ended."""

import anyio

from lycheetide.httpclient import ChannelConnectError, ChannelError
from lycheetide.quarantine import PENDING_S
from lycheetide.relay._dial import CONNECT_TIMEOUT_S, connect_replica
from lycheetide.relay._state import make_life, read_clock

CONFIRM_S = 1.5
"""How long a replica that broke off is asked for a connection."""
CONFIRM_INTERVAL_S = 0.1
LATE_DATA_S = 0.1
"""Data that is read up to this time after a break may have been sent before it."""
PEER_REPORT_DELAY_S = 1.3
"""Peers report the replicas that answered within the last second, every 0.3 s."""
RESTART_S = 1.0
"""An answer within this time of a break isn't that of the next start of a replica."""
ASK_TIMEOUT_S = 0.4


async def has_crashed(relay, life, address, via, *, broken_s):
    """Tell whether the process of a replica that broke off has ended.

    A connection also breaks if it is reset on the way, or if the peer that carries it
    ends. After a process has ended, its host refuses connections, other nodes reach it
    no more either, or another process takes its place. An address may also accept
    connections for a process that is gone; then only the registry shows it, seconds
    later.
    """
    is_open = False
    while (age_s := read_clock() - broken_s) < PENDING_S:
        if life in relay.quarantine.crashed_s or has_successor(relay, life, address):
            return True
        if has_left(relay, life, broken_s):
            return True
        if is_heard_since(relay, life, broken_s):
            return False
        if not is_open and age_s < CONFIRM_S:
            try:
                channel = await connect_replica(
                    relay, address, timeout_s=CONNECT_TIMEOUT_S, first_via=via
                )
            except ChannelConnectError as error:
                if error.is_confirmed or error.is_refused:
                    return True
            else:
                is_open = True
                # The next process, or another one, may listen already.
                is_alive = await ask_process(relay, life, channel)
                if is_alive is not None:
                    return not is_alive
        await anyio.sleep(CONFIRM_INTERVAL_S)
    return False


async def ask_process(relay, life, channel):
    """Ask the process at the end of a new connection whether it is a replica's.

    Returns
    -------
    bool or None
        None if it doesn't say, or can't be asked: the request would count towards the
        limit of a cold replica, or disturb one that rests.
    """
    known = relay.replicas.replicas.get(life.replica)
    now_s = read_clock()
    try:
        if known is None or known.is_cold(now_s=now_s):
            return None
        if life.replica in relay.list_withheld(now_s=now_s):
            return None
        service = relay.route_table.services.get(known.entry.service)
        if service is None or (service.engine is None and not service.health_path):
            return None
        if service.engine is not None:
            outgoing = relay.adapter.encode_report_request(known.entry)
        else:
            path = service.health_path
            outgoing = relay.adapter.encode_health_request(known.entry, path)
        relay.used.add("reports")
        head = await channel.request(outgoing, timeout_s=ASK_TIMEOUT_S)
        return not relay.adapter.decode_answer(head).is_other_replica
    except ChannelError:
        return None
    finally:
        await channel.aclose()


def is_heard_since(relay, life, broken_s):
    """Tell whether a replica has answered this node soon after it broke off."""
    heard_s = relay.failure_detector.last_answer_s(life.replica)
    return LATE_DATA_S < heard_s - broken_s < RESTART_S


def clear_living(relay):
    """Drop the suspicion of requests whose replica has answered somebody since."""
    requests = relay.quarantine.requests
    for life, broken_s in requests.list_pending():
        reported_s = relay.failure_detector.last_report_s(life.replica)
        delay_s = reported_s - broken_s - PEER_REPORT_DELAY_S
        if is_heard_since(relay, life, broken_s) or 0.0 < delay_s < RESTART_S:
            requests.note_alive(life)


def has_successor(relay, life, address):
    """Tell whether the registry shows another process in place of a replica's."""
    known = relay.replicas.replicas.get(life.replica)
    if known is not None and make_life(known.entry) != life:
        return True
    found = relay.replicas.find_at(address)
    return found is not None and found.entry.id != life.replica


def has_left(relay, life, broken_s):
    """Tell whether a replica has left the registry, and nobody heard from it since.

    One that leaves as planned is draining before, and one that has only lost the
    registry answers somebody.
    """
    known = relay.replicas.replicas.get(life.replica)
    if known is None or known.removed_from_s is None or known.entry.is_draining:
        return False
    heard_s = relay.failure_detector.last_heard_s(life.replica)
    is_quiet = heard_s - broken_s < PEER_REPORT_DELAY_S
    return is_quiet and read_clock() >= known.removed_from_s
