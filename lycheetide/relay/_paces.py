"""Ask replicas for their pace at one node, and share the answers with the others.

A slow replica can't be told from a busy one by its silence. If it reads a part of a
prompt, the whole prompt is late, and if the prompt is then tried again elsewhere, the
fleet reads it twice. The replicas state their pace in a report, which the hub of each
failure domain asks for.
"""

import anyio

from lycheetide.exchange import DECODE_ERRORS
from lycheetide.httpclient import ChannelConnectError, ChannelError, compute_idle_limit
from lycheetide.relay._rests import record_rest
from lycheetide.relay._roles import find_hubs
from lycheetide.relay._state import read_clock

REPORT_INTERVAL_S = 1.0
"""Interval at which a hub asks each replica for its report. The reports themselves are
a few hundred ms old."""
MAX_REPORTS_PER_S = 40.0
"""Largest number of reports that one hub asks for per second; each takes it about 1 ms
of processor time."""
REPORT_TIMEOUT_S = 0.4
MAX_REPORT_BYTES = 1_000_000
MAX_PENDING_REPORTS = 8
"""Number of reports that a hub waits for at a time."""


async def follow_paces(relay):
    """Ask for the paces of the replicas that this node reports on, forever.

    While no requests arrive, nothing is asked, because every report is charged for.
    """
    while True:
        now_s = read_clock()
        is_idle = relay.job_table.starts_per_s(now_s=now_s) == 0
        replicas = [] if is_idle else list_assigned_replicas(relay, now_s=now_s)
        if replicas or relay.reported_paces:
            await ask_for_paces(relay, replicas)
        await anyio.sleep(max(REPORT_INTERVAL_S, len(replicas) / MAX_REPORTS_PER_S))


def list_assigned_replicas(relay, *, now_s):
    """Return the registry entries of the replicas that this node asks for reports.

    They are those of its failure domain if it is the hub there, and those of domains
    without a hub if it is the first of all hubs. A replica that is cold or names a
    limit isn't asked, because the request would count towards its limit, nor is one
    that rests.
    """
    hubs = find_hubs(relay, now_s=now_s)
    own_domain = relay.settings.failure_domain
    if relay.route_table is None or hubs.get(own_domain, own_domain) is not None:
        return []
    withheld = relay.list_withheld(now_s=now_s)
    is_first = all(hub is None or relay.place < hub.place for hub in hubs.values())
    return [
        replica.entry
        for service in relay.route_table.services.values()
        if service.engine is not None
        for replica in relay.replicas.usable(
            service.name, now_s=now_s, closed=relay.closed
        )
        if not replica.is_cold(now_s=now_s)
        and replica.entry.id not in withheld
        and relay.find_named_limit(replica.entry.id) is None
        and (
            replica.entry.failure_domain == own_domain
            or (is_first and replica.entry.failure_domain not in hubs)
        )
    ]


async def ask_for_paces(relay, replicas):
    """Ask replicas for their paces, and announce those that are slow.

    A replica that has stopped being slow is announced as well, once. If any replica has
    become slow or stopped being slow, all nodes are told at once.
    """
    paces: dict[str, float] = {}
    limiter = anyio.CapacityLimiter(MAX_PENDING_REPORTS)
    async with anyio.create_task_group() as group:
        for entry in replicas:
            group.start_soon(_ask_replica, relay, entry, limiter, paces)
    now_s = read_clock()
    was_slow = {replica for replica, pace in relay.reported_paces if pace > 1.0}
    changed = [
        replica
        for replica, pace in paces.items()
        if relay.paces.note(replica, pace, now_s=now_s)
    ]
    relay.reported_paces = tuple(
        (replica, relay.paces.pace(replica, now_s=now_s))
        for replica in sorted(paces)
        if replica in was_slow or relay.paces.pace(replica, now_s=now_s) > 1.0
    )
    if changed:
        relay.log.info(
            "The pace of replicas has changed.",
            extra={"paces": {replica: round(paces[replica], 2) for replica in changed}},
        )
        relay.trigger_heartbeat(to_all=True)


async def _ask_replica(relay, entry, limiter, paces):
    """Ask one replica for its report and enter its pace into a dict.

    A replica that doesn't answer is left out. Whether it serves requests is judged by
    the requests themselves.
    """
    outgoing = relay.adapter.encode_report_request(entry)
    service = relay.route_table.services[entry.service]
    nodes = len(relay.list_alive_nodes(now_s=read_clock()))
    async with limiter:
        relay.used.add("reports")
        try:
            head, body = await relay.pool.call(
                entry.address,
                outgoing,
                timeout_s=REPORT_TIMEOUT_S,
                read_clock=read_clock,
                max_idle=compute_idle_limit(service.max_connections, nodes),
                max_bytes=MAX_REPORT_BYTES,
            )
            if head.status == 503:
                record_rest(relay, entry, relay.adapter.decode_answer(head).rest_s)
            if head.status == 200:
                paces[entry.id] = relay.adapter.decode_report(body).pace
        except (ChannelConnectError, ChannelError, *DECODE_ERRORS):
            relay.counters.add("reports.failed")
