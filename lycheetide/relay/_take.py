"""Take in what the store or a peer tells of operators' records and of replicas."""

import logging

import msgspec

from lycheetide.relay._sharing import decode_changes, is_hub, is_reader, make_changes
from lycheetide.routes import RouteTable

STARTING_S = 2.0
"""How long after its start a node may take itself for the only one."""
SETTLED_S = 0.5
"""Where no new peer came for so long it knows them."""
REMOVED_KEPT = 30_000
"""Records kept of one topic before those of removed keys are dropped; more than twice
the replicas of the largest fleet that we design for."""


def take(relay, name, batch, *, now_s, read_s=None):
    """Take in what a read brought.

    Parameters
    ----------
    relay : RelayState
        This node.
    name : str
        "operator" or "registry".
    batch : Batch
        What was read.
    now_s : float
        The present time.
    read_s : float or None
        When the store said so; None for now.
    """
    source = getattr(relay, name)
    is_first = source.offset < 0
    source.read_s = max(source.read_s, now_s if read_s is None else read_s)
    newer = [
        record
        for record in batch.records
        if record.key not in source.records
        or record.offset > source.records[record.key].offset
    ]
    for record in newer:
        source.records[record.key] = record
    if name == "operator":
        take_operator(relay, newer, batch)
    else:
        listed = batch.records if batch.is_listing else newer
        taken = take_registry(relay, listed, batch, now_s=now_s)
        log_changes(relay, taken, is_first=is_first, is_read=read_s is None)
        forget_removed(source)
        if taken and read_s is None and not is_first:
            tell_changes(relay, taken, now_s=now_s)
    source.offset = max(source.offset, batch.end)


def take_operator(relay, records, batch):
    """Put a newer configuration in force, and take domains out or back in."""
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
    for record, routing, domain in decode_operator(relay, records):
        if domain is not None:
            (closed.discard if record.value is None else closed.add)(domain)
        elif relay.table is None or routing.version > relay.table.routing.version:
            relay.table = RouteTable(routing)
            relay.log.info(
                "A configuration is in force.",
                extra={"version": routing.version, "offset": record.offset,
                       "routes": len(routing.routes)},
            )  # fmt: skip
    if closed != relay.closed:
        relay.closed = frozenset(closed)
        relay.log.info("Failure domains are out.", extra={"domains": sorted(closed)})
    relay.tell_news()


def decode_operator(relay, records):
    """Yield what operators' records say; a broken one is counted and left out."""
    for record in sorted(records, key=lambda one: one.offset):
        try:
            yield from relay.adapter.decode_operator_records([record])
        except msgspec.MsgspecError as error:
            relay.counters.add("config.broken")
            relay.log.error(
                "A configuration can't be read.",
                extra={"offset": record.offset, "cause": str(error)},
            )


def take_registry(relay, records, batch, *, now_s):
    """Take replicas in; return the changes that mattered."""
    services = relay.table.services if relay.table else ()
    skipped: list[str] = []
    changes = list(
        relay.adapter.decode_registry_records(
            records, services=services, skipped=skipped
        )
    )
    for line in skipped:
        relay.counters.add("registry.skipped")
        relay.log.info("An entry of the registry is skipped.", extra={"entry": line})
    returned_s = relay.registry.returned_s
    if batch.is_listing:
        taken = relay.replicas.list_all(
            changes, batch.end, now_s=now_s, returned_s=returned_s
        )
    else:
        taken = relay.replicas.apply(changes, now_s=now_s, returned_s=returned_s)
        relay.replicas.end = max(relay.replicas.end, batch.end)
    return taken


def log_changes(relay, changes, *, is_first, is_read):
    """Log what is new of replicas.

    A line for each replica at each node would grow with the square of a fleet, so those
    that only heard of a change log it at the level for debugging.
    """
    if is_first:
        relay.log.info("The replicas are known.", extra={"count": len(changes)})
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


def forget_removed(source):
    """Drop the records of removed keys once they are many."""
    if len(source.records) > REMOVED_KEPT:
        source.records = {
            key: record
            for key, record in source.records.items()
            if record.value is not None
        }


def tell_changes(relay, changes, *, now_s):
    """Tell others of changes that this node has read.

    The node that reads for all tells all. Another hub tells its failure domain, since
    every domain has one, and all others tell nobody. Nor does a node that has just
    started and still comes to know its peers, or takes itself for the only one: each of
    195 nodes that start would tell all others of each replica, and fill every link.
    """
    if is_starting(relay, now_s=now_s):
        return
    if is_reader(relay, now_s=now_s):
        tell = relay.tell_change
    elif is_hub(relay, now_s=now_s):
        tell = relay.tell_near
    else:
        return
    for message in make_changes(relay, changes, now_s=now_s):
        tell(message)


def is_starting(relay, *, now_s):
    """Tell whether this node has just started and still comes to know its peers."""
    is_new = now_s - relay.started_s < STARTING_S
    return is_new and now_s - relay.peers.grown_s < SETTLED_S


def note_return(relay, age_s, *, now_s):
    """Take over when a peer saw the registry return from an outage for all."""
    if age_s >= 0:
        known_s = relay.registry.returned_s
        told_s = now_s - age_s
        relay.registry.returned_s = told_s if known_s is None else max(known_s, told_s)


def take_changes(relay, message, *, now_s):
    """Take in what a peer has read of replicas."""
    note_return(relay, message.returned_age_s, now_s=now_s)
    batch = decode_changes(message)
    take(relay, "registry", batch, now_s=now_s, read_s=relay.registry.read_s)
