"""Decide from the log's records who may run a key.

The first claim that was not released wins, and nobody ever takes a claim over. So a
node that was frozen between its claim and its dispatch does no harm: either it still
runs the key, alone, or it releases it by a record.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any


class Standing(StrEnum):
    """What the records say about a key, seen from one claim."""

    MINE = "mine"
    RECORDED = "recorded"
    ELSEWHERE = "elsewhere"
    OTHER_BODY = "other_body"
    EXPIRED = "expired"
    NOT_FOUND = "not_found"


@dataclass(frozen=True)
class Claim:
    """One node's wish to run a key.

    Parameters
    ----------
    claim_id : str
        Never used twice; an append whose answer was lost is looked up by it.
    key : str
        The key.
    member_id : str
        Who claims.
    body_hash : str
        Hash of service, operation and body.
    """

    claim_id: str
    key: str
    member_id: str
    body_hash: str


@dataclass(frozen=True)
class OutcomeRecord:
    """What the upstream answered for a key."""

    key: str
    claim_id: str
    body_hash: str
    status: int
    body: Any


@dataclass(frozen=True)
class Decision:
    """What a node may do with a key.

    Parameters
    ----------
    standing : Standing
        What the records say.
    fencing_number : int
        The own claim's offset plus one; for upstreams that check.
    holder_id : str
        The member whose claim stands.
    outcome : OutcomeRecord or None
        The recorded answer.
    """

    standing: Standing
    fencing_number: int = 0
    holder_id: str = ""
    outcome: OutcomeRecord | None = None


def make_claim_record(claim):
    """Return a claim as it stands on the log."""
    return {
        "kind": "claim",
        "id": claim.claim_id,
        "key": claim.key,
        "member": claim.member_id,
        "body_hash": claim.body_hash,
    }


def make_release_record(claim):
    """Return the record that gives a claim up before anything was sent."""
    return {"kind": "release", "id": claim.claim_id, "key": claim.key}


def make_outcome_record(outcome):
    """Return an outcome as it stands on the log."""
    return {
        "kind": "outcome",
        "id": outcome.claim_id,
        "key": outcome.key,
        "body_hash": outcome.body_hash,
        "status": outcome.status,
        "body": outcome.body,
    }


def decide(records, claim, *, birth_offset, first_retained):
    """Decide what may be done with a key.

    Parameters
    ----------
    records : iterable of (int, record)
        All records from the key's birth on, in order; later ones than the own claim
        may be among them.
    claim : Claim
        The own claim; it need not be among the records.
    birth_offset : int
        From the key.
    first_retained : int
        The offset of the oldest record that the log still had when it was read.

    Returns
    -------
    Decision
        ``MINE`` is the only one that lets the key run.
    """
    if first_retained > birth_offset:
        return Decision(Standing.EXPIRED)
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
        return _tell_outcome(outcome, claim)
    standing = [(o, r) for o, r in claims if r["id"] not in released]
    if not standing:
        return Decision(Standing.NOT_FOUND)
    offset, first = standing[0]
    if first["id"] == claim.claim_id:
        return Decision(Standing.MINE, offset + 1, claim.member_id)
    if first["body_hash"] != claim.body_hash:
        return Decision(Standing.OTHER_BODY, holder_id=first["member"])
    return Decision(Standing.ELSEWHERE, holder_id=first["member"])


def _tell_outcome(record, claim):
    """Return the recorded answer, unless it was given for another body."""
    if record["body_hash"] != claim.body_hash:
        return Decision(Standing.OTHER_BODY)
    outcome = OutcomeRecord(
        record["key"], record["id"], record["body_hash"], record["status"],
        record["body"],
    )  # fmt: skip
    return Decision(Standing.RECORDED, outcome=outcome)
