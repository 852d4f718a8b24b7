"""Keep a request under which several upstreams have ended from all others.

Each break is told to the other nodes at once: the caller's next try comes to another
node within tenths of a second.
"""

from dataclasses import dataclass, replace

import anyio

from lycheetide.gossip import Life, hash_name
from lycheetide.metrics import get_logger
from lycheetide.node._state import read_clock
from lycheetide.outcomes import NotRunError, Reason
from lycheetide.peers import BreakReply, BreakReport, BreakRow, PeerUnreachable
from lycheetide.quarantine import (
    PENDING_S,
    Verdict,
    hash_request_head,
    make_break,
    make_fingerprint,
)
from lycheetide.upstreams import (
    UpstreamBrokenError,
    UpstreamConnectError,
    UpstreamError,
    UpstreamTimeoutError,
    fetch_report,
)

RETRY_AFTER_S = 60.0
"""Nothing short of a repaired upstream makes the request servable."""
UNSETTLED_RETRY_AFTER_S = 1.0
MAX_SETTLING_S = 0.5
SETTLING_POLL_S = 0.01
CONFIRM_INTERVAL_S = 0.2
MAX_PEERS_TOLD = 16
"""Peers that are told of a break at once; the others learn it from heartbeats."""
TELL_TIMEOUT_S = 1.0
SHARED_S = 30.0
"""How long a break is told in heartbeats."""
MAX_ROWS = 32

log = get_logger("prompt")


@dataclass
class CallName:
    """What names a call to the other nodes.

    Parameters
    ----------
    request : bytes
        Fingerprint of the request.
    call : int
        Hash of the call's id.
    since_s, deadline_s : float
        When it was received, and until when its caller waits.
    generation : int
        Generation of its latest attempt, as in ``quarantine.Break``.
    """

    request: bytes = b""
    call: int = 0
    since_s: float = 0.0
    deadline_s: float = 0.0
    generation: int = 1


def name_call(admitted, fields, body):
    """Return the name of a call; its fingerprint is the same in each try of its caller.

    Parameters
    ----------
    admitted : AdmittedRequest
        The admitted request.
    fields : sequence of str
        What is asked for, besides the body.
    body : bytes
        The body.
    """
    head = hash_request_head(admitted.customer.name, [one.encode() for one in fields])
    request = make_fingerprint(head, body)
    call = hash_name(admitted.request_id)
    return CallName(request, call, read_clock(), admitted.deadline_s)


async def check_request(node, name):
    """Refuse a request that crashes upstreams, or may have crashed too many.

    Raises
    ------
    NotRunError
        If it must not be sent to an upstream.
    """
    requests = node.quarantine.requests
    until_s = read_clock() + MAX_SETTLING_S
    while True:
        now_s = read_clock()
        verdict = requests.judge(name.request, now_s=now_s)
        if verdict is Verdict.SEND:
            return
        if verdict is Verdict.REFUSE or now_s >= until_s:
            break
        await anyio.sleep(SETTLING_POLL_S)
    is_refused = verdict is Verdict.REFUSE
    node.counters.add("quarantine.refused")
    raise NotRunError(
        Reason.QUARANTINED,
        "the request has crashed upstreams",
        retry_after_s=RETRY_AFTER_S if is_refused else UNSETTLED_RETRY_AFTER_S,
    )


def may_send(node, name):
    """Tell whether a call may still be sent, after it has waited for a permit.

    Its next attempt follows all breaks that are known now.
    """
    requests = node.quarantine.requests
    name.generation = requests.find_generation(name.request)
    return requests.judge(name.request, now_s=read_clock()) is Verdict.SEND


def note_broken_request(node, name, upstream, boot_id, error):
    """Record that an attempt broke off, and check whether its upstream has ended.

    Parameters
    ----------
    node : NodeState
        This node.
    name : CallName
        The call.
    upstream : Upstream or None
        The upstream; None if it has been removed from the fleet.
    boot_id : str
        The process that accepted the request; empty if that isn't known.
    error : UpstreamError
        How the attempt ended.
    """
    is_silent = isinstance(error, UpstreamTimeoutError)
    is_lost = is_silent or isinstance(error, UpstreamBrokenError)
    if not is_lost or upstream is None:
        return
    process = f"{upstream.name}/{boot_id or name.generation}"
    now_s = read_clock()
    took_ms = round(1e3 * (now_s - name.since_s))
    left_ms = max(0, round(1e3 * (name.deadline_s - now_s)))
    row = BreakRow(
        process, name.request, name.generation, name.call, took_ms, left_ms, 0
    )
    node.quarantine.requests.note_break(
        name.request, Life(process, 0), make_break(row, at_s=now_s, is_silent=is_silent)
    )
    if not is_silent:
        tell_peers(node, row)
    node.tasks.start_soon(confirm_break, node, row, upstream, boot_id)


async def confirm_break(node, row, upstream, boot_id):
    """Find out whether an upstream's process has ended, and tell the others."""
    broken_s = read_clock()
    life = Life(row.process, 0)
    requests = node.quarantine.requests
    while read_clock() - broken_s < PENDING_S:
        try:
            report = await fetch_report(node.http, upstream)
        except UpstreamConnectError:
            break
        except UpstreamError:
            await anyio.sleep(CONFIRM_INTERVAL_S)
            continue
        if boot_id and report.boot_id != boot_id:
            break
        requests.note_alive(life)
        return
    else:
        return
    age_ms = round(1e3 * (read_clock() - broken_s))
    row = replace(row, age_ms=age_ms, is_crash=True)
    apply_breaks(node, [row], now_s=read_clock())
    tell_peers(node, row)


def note_answered_request(node, name):
    """Record that an upstream has answered a request whole: it may be sent again."""
    node.quarantine.requests.forget(name.request)


def tell_peers(node, row):
    """Tell other nodes of a break at once."""
    own = node.settings.peer_address
    addresses = [
        member.peer_address
        for member in node.membership.view.members
        if member.peer_address != own
    ]
    for address in addresses[:MAX_PEERS_TOLD]:
        node.tasks.start_soon(_tell_peer, node, address, BreakReport((row,)))


async def _tell_peer(node, address, report):
    """Tell one node of breaks; it may learn them from heartbeats as well."""
    try:
        await node.peers.call(
            address, "report_breaks", report, timeout_s=TELL_TIMEOUT_S
        )
    except PeerUnreachable:
        node.counters.add("quarantine.unreached")


async def receive_breaks(node, report):
    """Handle the report of another node."""
    apply_breaks(node, report.breaks, now_s=read_clock())
    return BreakReply()


def apply_breaks(node, rows, *, now_s):
    """Record breaks of requests that this node or another one has seen."""
    requests = node.quarantine.requests
    for row in rows:
        life = Life(row.process, 0)
        at_s = now_s - row.age_ms / 1e3
        was_culprit = requests.is_culprit(row.request)
        requests.note_break(row.request, life, make_break(row, at_s=at_s))
        if row.is_crash:
            requests.note_crash(life, at_s=at_s)
        if requests.is_culprit(row.request) and not was_culprit:
            node.counters.add("quarantine.imposed")
            log.warning(
                "A request is in quarantine.", extra={"content": row.request.hex()}
            )


def make_break_rows(node, *, now_s):
    """Return the recent crashes under requests that peers are told in heartbeats."""
    rows = node.quarantine.requests.list_crashes(since_s=now_s - SHARED_S)
    return tuple(
        BreakRow(
            life.replica,
            request,
            one.generation,
            one.call,
            round(1e3 * (one.at_s - one.since_s)),
            round(1e3 * (one.expires_s - one.at_s)),
            round(1e3 * (now_s - one.at_s)),
            True,
        )
        for request, life, one in rows[-MAX_ROWS:]
    )
