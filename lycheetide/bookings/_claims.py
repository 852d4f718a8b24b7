"""Determine from the records on the log which node may run a key.

The first claim that was not released wins, and no other node ever takes a claim over.
So a node that was frozen between its claim and its dispatch is safe: it either still
runs the key, as the only node, or releases its claim by a record.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any


class KeyStatus(StrEnum):
    """Status of a key according to the log, as seen from one claim.

    ``MINE`` means that the claim is the first valid one, ``ELSEWHERE`` that another
    node's claim is. ``RECORDED`` keys have an answer on the log. ``OTHER_BODY`` means
    that the key was used with another body, and ``EXPIRED`` that the log may have
    dropped records of the key. ``NOT_FOUND`` keys have no valid claim.
    """

    MINE = "mine"
    RECORDED = "recorded"
    ELSEWHERE = "elsewhere"
    OTHER_BODY = "other_body"
    EXPIRED = "expired"
    NOT_FOUND = "not_found"


@dataclass(frozen=True)
class Claim:
    """A node's claim to run a key.

    Parameters
    ----------
    claim_id : str
        Unique id, by which an append whose response was lost is looked up.
    key : str
        The idempotency key.
    member_id : str
        The node that claims the key.
    body_hash : str
        Hash of service, operation and body.
    """

    claim_id: str
    key: str
    member_id: str
    body_hash: str


@dataclass(frozen=True)
class OutcomeRecord:
    """The upstream's answer to the run of a key.

    Parameters
    ----------
    key : str
        The idempotency key.
    claim_id : str
        Id of the claim under which the key ran.
    body_hash : str
        Hash of service, operation and body.
    status : int
        HTTP status of the answer.
    body : object
        Decoded body of the answer.
    """

    key: str
    claim_id: str
    body_hash: str
    status: int
    body: Any


@dataclass(frozen=True)
class ClaimDecision:
    """What the log says about a key, and whether this node may run it.

    Parameters
    ----------
    key_status : KeyStatus
        Status of the key according to the records.
    fencing_number : int
        Offset of this node's claim plus one, for upstreams that check fencing numbers.
    holder_id : str
        The member whose claim is valid.
    outcome : OutcomeRecord or None
        The recorded answer.
    """

    key_status: KeyStatus
    fencing_number: int = 0
    holder_id: str = ""
    outcome: OutcomeRecord | None = None


def make_claim_record(claim):
    """Return the log record of a claim."""
    return {
        "kind": "claim",
        "id": claim.claim_id,
        "key": claim.key,
        "member": claim.member_id,
        "body_hash": claim.body_hash,
    }


def make_release_record(claim):
    """Return the log record that releases a claim before anything was sent."""
    return {"kind": "release", "id": claim.claim_id, "key": claim.key}


def make_outcome_record(outcome):
    """Return the log record of an outcome."""
    return {
        "kind": "outcome",
        "id": outcome.claim_id,
        "key": outcome.key,
        "body_hash": outcome.body_hash,
        "status": outcome.status,
        "body": outcome.body,
    }


def resolve_claim(records, claim, *, issue_offset, first_retained):
    """Determine the status of a key and whether a claim permits running it.

    Parameters
    ----------
    records : iterable of (int, record)
        All records from ``issue_offset`` on, in order. Records after the claim may be
        among them.
    claim : Claim
        The claim to evaluate. It need not be among the records.
    issue_offset : int
        Offset of the log at which the key was issued, from the key.
    first_retained : int
        Offset of the oldest record that the log still retained when it was read.

    Returns
    -------
    ClaimDecision
        The key may run only if its status is ``KeyStatus.MINE``.
    """
    if first_retained > issue_offset:
        return ClaimDecision(KeyStatus.EXPIRED)
    claims = []
    released = set()
    outcome = None
    for offset, record in records:
        if not isinstance(record, dict) or record.get("key") != claim.key:
            continue
        kind = record.get("kind")
        if kind == "claim":
            claims.append((offset, record))
        elif kind == "release":
            released.add(record["id"])
        elif kind == "outcome" and outcome is None:
            outcome = record
    if outcome is not None:
        return _make_outcome_decision(outcome, claim)
    active = [(o, r) for o, r in claims if r["id"] not in released]
    if not active:
        return ClaimDecision(KeyStatus.NOT_FOUND)
    offset, first = active[0]
    if first["id"] == claim.claim_id:
        return ClaimDecision(KeyStatus.MINE, offset + 1, claim.member_id)
    if first["body_hash"] != claim.body_hash:
        return ClaimDecision(KeyStatus.OTHER_BODY, holder_id=first["member"])
    return ClaimDecision(KeyStatus.ELSEWHERE, holder_id=first["member"])


def _make_outcome_decision(record, claim):
    """Return the decision for a recorded answer; it may belong to another body."""
    if record["body_hash"] != claim.body_hash:
        return ClaimDecision(KeyStatus.OTHER_BODY)
    outcome = OutcomeRecord(
        record["key"], record["id"], record["body_hash"], record["status"],
        record["body"],
    )  # fmt: skip
    return ClaimDecision(KeyStatus.RECORDED, outcome=outcome)
