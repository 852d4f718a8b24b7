"""Record what responses and failed attempts show about the health of replicas."""

import math

from lycheetide.gossip import PEER_REPORT_AGE_S, Doubted, Suspected
from lycheetide.relay._crash_reports import check_unproven, note_broken
from lycheetide.relay._fingerprints import find_fingerprint
from lycheetide.relay._leaving import record_leaving
from lycheetide.relay._named_limits import record_named_limit
from lycheetide.relay._outcomes import Cause
from lycheetide.relay._path_checks import has_lost_path, start_path_check
from lycheetide.relay._rests import record_rest
from lycheetide.relay._state import read_clock

MAX_PARTS_LOGGED = 8
MAX_PART_NAME_CHARACTERS = 40


def suspect(relay, replica, why):
    """Suspect a replica, so that this node and all others avoid it for a while."""
    if suspect_here(relay, replica, why):
        relay.broadcast_work(Suspected(relay.node, replica))


def suspect_here(relay, replica, why):
    """Suspect a replica at this node alone; return whether that is news.

    A replica that is already suspected was reported and logged when that began.
    """
    if not relay.failure_detector.suspect(replica, now_s=read_clock()):
        return False
    relay.counters.add("replicas.suspected")
    relay.log.info("A replica is suspected.", extra={"replica": replica, "why": why})
    return True


def suspect_silent(relay, replica, via, why):
    """Suspect a replica that sent nothing; the others hear of it once it is at fault.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    replica : str
        Id of the replica.
    via : str
        Path of the request that met silence, as in ``Call.paths``.
    why : str
        Reason for the log.
    """
    if has_lost_path(relay, replica, via, now_s=read_clock()):
        return
    if suspect_here(relay, replica, why):
        start_path_check(relay, replica, via, Suspected(relay.node, replica))


def record_unreached(relay, replica, error):
    """Record that no path to a replica could be found.

    If no peer could say whether it reaches the replica, this node's own path may be at
    fault, and the others are told nothing.
    """
    if error.is_confirmed:
        suspect(relay, replica, "no connection")
    else:
        suspect_here(relay, replica, "no connection")
    check_unproven(relay, replica, "")


def doubt(relay, replica, via):
    """Mark a replica that broke off a response as second choice, at all nodes.

    Replicas that die at the same time break off streams at many nodes. If each node
    kept its observations to itself, streams would move from one dead replica to the
    next. A node that has lost its own path tells the others nothing.
    """
    if relay.failure_detector.doubt(replica, now_s=read_clock()):
        start_path_check(relay, replica, via, Doubted(relay.node, replica))
        relay.counters.add("replicas.doubted")


def check_silent_path(relay, replica, via, *, since_s):
    """Check the path to a replica that has sent nothing since a request was sent to it.

    Returns
    -------
    bool
        Whether a check was started; not if one is running, or if this node received
        something from the replica meanwhile.
    """
    known = relay.replicas.replicas.get(replica)
    if known is None or replica in relay.path_checks:
        return False
    last_check_s = relay.paths.last_check_s(known.entry.address)
    last_received_s = relay.paths.last_received_s(known.entry.address)
    if max(last_received_s, last_check_s) > since_s:
        return False
    start_path_check(relay, replica, via)
    return True


def record_response(relay, entry, answer, *, sent_s):
    """Record what a response head shows about its replica and about others.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    entry : RegistryEntry
        The replica as registered when the request was sent.
    answer : ReplicaResponse
        The head of the response.
    sent_s : float
        When the request was sent.
    """
    now_s = read_clock()
    relay.failure_detector.hear(entry.id, now_s=now_s)
    if not answer.is_other_replica:
        record_named_limit(relay, entry, answer, sent_s=sent_s, now_s=now_s)
        record_rest(relay, entry, answer.rest_s)
        if answer.is_leaving:
            record_leaving(relay, entry)
    if answer.is_unstarted and answer.at_fault:
        for known in list(relay.replicas.replicas.values()):
            if answer.at_fault in (known.entry.id, known.entry.address):
                suspect(relay, known.entry.id, "another replica waited for it")


def record_failed_attempt(relay, call, placement, failure, *, events=0):
    """Record a failed attempt.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    call : Call
        The request.
    placement : Placement
        The replicas that took part.
    failure : AttemptFailed
        How it failed.
    events : int, default=0
        Number of whole events of a stream that this attempt received.
    """
    call.may_have_run = call.may_have_run or failure.may_have_run
    is_helped = bool(placement.helpers or placement.holders)
    is_lost = failure.may_have_run and failure.cause in {Cause.BROKEN, Cause.SILENT}
    via = call.paths.get(placement.first.id, "")
    if failure.cause is Cause.REFUSED and is_helped and not failure.names_helper:
        # Which helper was at fault isn't known, so the next attempt uses none.
        call.helpers_refused = True
    if failure.cause is Cause.REFUSED and not failure.may_have_run:
        call.record_refusal(placement.first.id, now_s=read_clock())
    if failure.cause in {Cause.LIMITED, Cause.RESTING, Cause.LEAVING}:
        call.tried.discard(placement.first.id)
    note_broken(relay, call, placement.first.id, via, failure, events=events)
    if failure.cause is Cause.BROKEN:
        doubt(relay, placement.first.id, via)
    if failure.cause is Cause.SILENT:
        suspect_silent(relay, placement.first.id, via, "silent")
    if failure.cause is Cause.OTHER_REPLICA:
        # Nothing was sent to the intended replica: it is gone and its address was
        # reused, or it has restarted. The attempt isn't counted, since two of these in
        # a row would leave a request without attempts while healthy replicas have
        # capacity.
        call.sent -= 1
        suspect(relay, placement.first.id, "another replica answers there")
    relay.counters.add(f"attempts_failed.{failure.cause}")
    if is_known_to_answer_peers(relay, placement.first.id, now_s=read_clock()):
        relay.counters.add("attempts_failed.answers_peers")
    relay.log.info(
        "An attempt failed.",
        extra={
            "request": call.request.attempt_id,
            "replica": placement.first.id,
            "cause": str(failure.cause),
            "detail": str(failure),
            "may_have_run": call.may_have_run,
            "sent": call.sent,
            "is_kept": failure.is_kept,
            "events": events,
            "parts": list_part_names(call.request),
            "content": find_fingerprint(relay, call).hex() if is_lost else "",
            **make_health_fields(relay, placement.first.id, now_s=read_clock()),
        },
    )


def list_part_names(request):
    """Return the ids of the parts that a prompt shares, shortened for the log."""
    shared = request.shared_parts[:MAX_PARTS_LOGGED]
    return [part[:MAX_PART_NAME_CHARACTERS] for part in shared]


def is_known_to_answer_peers(relay, replica, *, now_s):
    """Tell whether a peer has an answer of a replica newer than those of this node."""
    detector = relay.failure_detector
    reported_s = detector.last_report_s(replica)
    is_recent = now_s - reported_s < PEER_REPORT_AGE_S
    return is_recent and reported_s > detector.last_answer_s(replica)


def make_health_fields(relay, replica, *, now_s):
    """Return the log fields that describe a replica's health, in ms.

    Returns
    -------
    dict
        ``answered_ms``: time since the replica last answered this node, and
        ``reported_ms``: time since a peer last reported an answer, each omitted if
        there was none; ``reads_ms``: time for which it will still be reading prompts.
    """
    detector = relay.failure_detector
    fields = {"reads_ms": round(relay.job_table.backlog_s(replica, now_s=now_s) * 1e3)}
    for name, at_s in (
        ("answered_ms", detector.last_answer_s(replica)),
        ("reported_ms", detector.last_report_s(replica)),
    ):
        if math.isfinite(at_s):
            fields[name] = round((now_s - at_s) * 1e3)
    return fields
