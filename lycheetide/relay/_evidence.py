"""Note what answers and failed attempts tell of replicas."""

import math

from lycheetide.board import Doubted, Suspected
from lycheetide.relay._outcomes import Cause
from lycheetide.relay._state import read_clock


def suspect(relay, replica, why):
    """Leave a replica alone for a while, here and at all other nodes.

    One that is left alone already was told of and logged then.
    """
    if not relay.trust.suspect(replica, now_s=read_clock()):
        return
    relay.tell_work(Suspected(relay.node, replica))
    relay.counters.add("replicas.suspected")
    relay.log.info("A replica is suspected.", extra={"replica": replica, "why": why})


def doubt(relay, replica):
    """Take a replica that broke an answer off for the second choice, at all nodes.

    Replicas that die at one moment break their streams off at many nodes. Did each node
    keep to itself what it saw, streams would move from one dead replica to the next.
    """
    if relay.trust.doubt(replica, now_s=read_clock()):
        relay.tell_work(Doubted(relay.node, replica))
        relay.counters.add("replicas.doubted")


def note_answer(relay, replica, answer):
    """Take in what an answer's head tells of its replica and of others."""
    now_s = read_clock()
    relay.trust.hear(replica, now_s=now_s)
    if answer.is_unstarted and answer.at_fault:
        for known in list(relay.replicas.replicas.values()):
            if answer.at_fault in (known.entry.id, known.entry.address):
                suspect(relay, known.entry.id, "another replica waited for it")


def note_failure(relay, call, placement, failure):
    """Note how an attempt failed."""
    call.may_have_run = call.may_have_run or failure.may_have_run
    is_helped = bool(placement.helpers or placement.holders)
    if failure.cause is Cause.REFUSED and is_helped and not failure.names_helper:
        # Which of them was at fault isn't known, so all of them are left out.
        call.helpers_refused = True
    if failure.cause is Cause.REFUSED and not failure.may_have_run:
        call.note_refused(placement.first.id, now_s=read_clock())
    if failure.cause is Cause.BROKEN:
        doubt(relay, placement.first.id)
    if failure.cause is Cause.SILENT:
        suspect(relay, placement.first.id, "silent")
    if failure.cause is Cause.OTHER_REPLICA:
        # Nothing was sent to the replica that was meant: it is gone, and its address is
        # used again or it has started anew. Two of them in a row would leave a request
        # without an attempt while sound replicas have room.
        call.sent -= 1
        suspect(relay, placement.first.id, "another replica answers there")
    relay.counters.add(f"attempts_failed.{failure.cause}")
    relay.log.info(
        "An attempt failed.",
        extra={
            "request": call.request.attempt_id,
            "replica": placement.first.id,
            "cause": str(failure.cause),
            "detail": str(failure),
            "may_have_run": call.may_have_run,
            "sent": call.sent,
            **describe_evidence(relay, placement.first.id, now_s=read_clock()),
        },
    )


def describe_evidence(relay, replica, *, now_s):
    """Return what the log says of a replica's life, in ms.

    Returns
    -------
    dict
        ``heard_ms``: how long ago this node or a peer had an answer of it, left out
        where none did; ``reads_ms``: how much longer it reads prompts.
    """
    evidence = {"reads_ms": round(relay.board.backlog_s(replica, now_s=now_s) * 1e3)}
    heard_s = relay.trust.heard_s(replica)
    if math.isfinite(heard_s):
        evidence["heard_ms"] = round((now_s - heard_s) * 1e3)
    return evidence
