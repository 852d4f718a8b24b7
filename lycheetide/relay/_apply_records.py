"""Apply records read from the store or received from a peer to this node's state."""

import logging

from lycheetide.exchange import DECODE_ERRORS
from lycheetide.relay._roles import (
    decode_change_message,
    is_hub,
    is_registry_reader,
    make_change_messages,
)

STARTUP_S = 2.0
"""How long after its start a node may still take itself for the only one."""
PEERS_SETTLED_S = 0.5
"""A node counts its peers as known if no new one was heard for this long."""
MAX_RECORDS_KEPT = 30_000
"""Records kept per topic before those of removed keys are dropped; more than twice the
number of replicas of the largest fleet that the design covers."""


def apply_batch(relay, name, batch, *, now_s, complete_until_s=None):
    """Apply the records of one read.

    Parameters
    ----------
    relay : RelayState
        State of this node.
    name : str
        Topic, "operator" or "registry".
    batch : RecordBatch
        Records that were read.
    now_s : float
        Current time.
    complete_until_s : float or None
        Time at which the store returned them; None for now.
    """
    source = getattr(relay, name)
    is_first = source.offset < 0
    source.complete_until_s = max(
        source.complete_until_s, now_s if complete_until_s is None else complete_until_s
    )
    newer = [
        record
        for record in batch.records
        if record.key not in source.records
        or record.offset > source.records[record.key].offset
    ]
    for record in newer:
        source.records[record.key] = record
    if name == "operator":
        apply_operator_records(relay, newer, batch)
    else:
        listed = batch.records if batch.is_listing else newer
        applied = apply_registry_records(relay, listed, batch, now_s=now_s)
        log_replica_changes(
            relay, applied, is_first=is_first, is_read=complete_until_s is None
        )
        drop_removed_records(source)
        if is_first:
            relay.trigger_heartbeat(to_all=is_hub(relay, now_s=now_s))
        if applied and complete_until_s is None and not is_first:
            broadcast_changes(relay, applied, now_s=now_s)
    source.offset = max(source.offset, batch.end)


def apply_operator_records(relay, records, batch):
    """Activate a newer configuration, and close or reopen failure domains."""
    closed = set(relay.closed)
    if batch.is_listing and batch.end >= relay.operator.offset:
        present = {record.key for record in batch.records}
        relay.operator.records = {
            key: record
            for key, record in relay.operator.records.items()
            if key in present or record.offset >= batch.end
        }
        closed = set()
        records = list(relay.operator.records.values())
    for record, routing, domain in decode_readable_records(relay, records):
        if domain is not None:
            (closed.discard if record.value is None else closed.add)(domain)
        elif (
            relay.route_table is None
            or routing.version > relay.route_table.routing.version
        ):
            relay.apply_routing(routing)
            relay.log.info(
                "A configuration is in force.",
                extra={"version": routing.version, "offset": record.offset,
                       "routes": len(routing.routes)},
            )  # fmt: skip
    if closed != relay.closed:
        relay.closed = frozenset(closed)
        relay.log.info(
            "The set of closed failure domains changed.",
            extra={"domains": sorted(closed)},
        )
    relay.trigger_heartbeat()


def decode_readable_records(relay, records):
    """Yield decoded operator records; an unreadable one is counted and skipped."""
    for record in sorted(records, key=lambda one: one.offset):
        try:
            yield from relay.adapter.decode_operator_records([record])
        except DECODE_ERRORS as error:
            relay.counters.add("config.broken")
            relay.log.error(
                "A configuration record can't be decoded; it is skipped.",
                extra={"offset": record.offset, "cause": str(error)},
            )


def apply_registry_records(relay, records, batch, *, now_s):
    """Update the replicas, and return the changes that had an effect."""
    services = relay.route_table.services if relay.route_table else ()
    skipped: list[str] = []
    changes = list(
        relay.adapter.decode_registry_records(
            records, services=services, skipped=skipped
        )
    )
    for line in skipped:
        relay.counters.add("registry.skipped")
        relay.log.info("An entry of the registry is skipped.", extra={"entry": line})
    outage_ended_s = relay.registry.outage_ended_s
    if batch.is_listing:
        applied = relay.replicas.apply_listing(
            changes, batch.end, now_s=now_s, outage_ended_s=outage_ended_s
        )
    else:
        applied = relay.replicas.apply(
            changes, now_s=now_s, outage_ended_s=outage_ended_s
        )
        relay.replicas.end = max(relay.replicas.end, batch.end)
    return applied


def log_replica_changes(relay, changes, *, is_first, is_read):
    """Log changes of replicas.

    One line per replica at each node would grow quadratically with the fleet, so nodes
    that received a change from a peer log it at debug level.
    """
    if is_first:
        relay.log.info(
            "The initial list of replicas was loaded.", extra={"count": len(changes)}
        )
        return
    level = logging.INFO if is_read else logging.DEBUG
    for change in changes:
        entry = change.entry
        relay.log.log(
            level,
            "A replica changed.",
            extra={"replica": change.id, "offset": change.offset,
                   "state": "gone" if entry is None
                   else "draining" if entry.is_draining else "ready",
                   "cold_ms": 0 if entry is None else round(entry.cold_s * 1e3)},
        )  # fmt: skip


def drop_removed_records(source):
    """Drop the records of removed keys once there are too many records."""
    if len(source.records) > MAX_RECORDS_KEPT:
        source.records = {
            key: record
            for key, record in source.records.items()
            if record.value is not None
        }


def broadcast_changes(relay, changes, *, now_s):
    """Broadcast changes that this node has read from the registry.

    The registry reader broadcasts to all nodes. Another hub sends them to its failure
    domain, since every domain has a hub, and all other nodes send nothing. A node that
    has just started, and is still discovering peers or takes itself for the only one,
    sends nothing either: otherwise each of 195 starting nodes would send every replica
    to all others and saturate every link.
    """
    if is_starting(relay, now_s=now_s):
        return
    if is_registry_reader(relay, now_s=now_s):
        broadcast = relay.broadcast_change
    elif is_hub(relay, now_s=now_s):
        broadcast = relay.broadcast_to_domain
    else:
        return
    for message in make_change_messages(relay, changes, now_s=now_s):
        broadcast(message)


def is_starting(relay, *, now_s):
    """Tell whether this node has just started and is still discovering its peers."""
    is_new = now_s - relay.started_s < STARTUP_S
    return is_new and now_s - relay.peers.last_new_peer_s < PEERS_SETTLED_S


def record_outage_end(relay, age_s, *, now_s):
    """Record that a peer saw the registry recover from an outage for all nodes."""
    if age_s >= 0:
        known_s = relay.registry.outage_ended_s
        told_s = now_s - age_s
        relay.registry.outage_ended_s = (
            told_s if known_s is None else max(known_s, told_s)
        )


def apply_peer_changes(relay, message, *, now_s):
    """Apply changes of replicas that a peer has read."""
    record_outage_end(relay, message.returned_age_s, now_s=now_s)
    batch = decode_change_message(message)
    apply_batch(
        relay,
        "registry",
        batch,
        now_s=now_s,
        complete_until_s=relay.registry.complete_until_s,
    )
