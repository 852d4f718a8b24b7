"""The evidence that a node has of the members, and its age.

Evidence is dated by the time at which this node sent its question, not by the time at
which it read the answer. After a freeze, a node finds answers in its sockets that look
new but are as old as the freeze. If they were dated when read, the node would act on a
lease that expired during the freeze, and two owners would grant permits at the same
time.
"""

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from lycheetide.membership._view import Member


class CellSummary(msgspec.Struct, frozen=True, array_like=True):
    """The load of a cell, as its owner reports it to other nodes.

    Parameters
    ----------
    cell : str
        The name of the cell.
    waiting_tokens, running_tokens : int
        The prompt tokens that are queued for a replica, and those that were granted
        but are not prefilled yet.
    short_tokens : int
        Those tokens of both kinds that belong to short prompts.
    tokens_per_s : float
        The total prefill rate of the open replicas.
    free_requests : int
        The number of further requests that the open replicas can be granted.
    """

    cell: str
    waiting_tokens: int
    running_tokens: int
    short_tokens: int
    tokens_per_s: float
    free_requests: int


class MemberRow(msgspec.Struct, frozen=True, array_like=True):
    """The status of one member, as reported by itself or passed on by another one.

    Parameters
    ----------
    member : Member
        The member that the status is of.
    age_ms : int
        The maximum age of the status, measured by the member that sends the row.
    state : str
        The state of the member in the node state chart.
    view_number, settled_number, config_version : int
        The newest view known to the member, the newest view it knows to be settled, and
        the version of the configuration that it has in force.
    cells : tuple of CellSummary
        The cells that the member owns.
    deposed : tuple of str
        Ids of the members of its view that it has deposed: it no longer counts towards
        their majority.
    """

    member: Member
    age_ms: int
    state: str
    view_number: int
    settled_number: int
    config_version: int
    cells: tuple[CellSummary, ...] = ()
    deposed: tuple[str, ...] = ()


@dataclass(frozen=True)
class Evidence:
    """A row and the time, on this node's clock, from which it dates."""

    at_s: float
    row: MemberRow


def merge_rows(evidence, rows, *, asked_s):
    """Merge the rows of an answer into the evidence.

    Parameters
    ----------
    evidence : mapping of str to Evidence
        The evidence so far, by member id.
    rows : iterable of MemberRow
        The rows of the answer.
    asked_s : float
        When the question was sent.

    Returns
    -------
    dict of str to Evidence
        The newest evidence of each member.
    """
    newest_evidence = dict(evidence)
    for row in rows:
        at_s = asked_s - row.age_ms / 1000
        item = newest_evidence.get(row.member.member_id)
        if item is None or at_s > item.at_s:
            newest_evidence[row.member.member_id] = Evidence(at_s, row)
    return newest_evidence


def is_majority_heard(
    view, evidence: Mapping, *, own_id, now_s, within_s, as_owner=False
):
    """Tell whether most members of a view recently reported knowing no later one.

    Parameters
    ----------
    view : View
        The view on which this node acts.
    evidence : mapping of str to Evidence
        The latest evidence by member id.
    own_id : str
        The member id of this node, which counts itself if it is a member.
    now_s, within_s : float
        The present time, and the maximum age of evidence.
    as_owner : bool, default=False
        Whether to leave out members that have deposed this node. They count towards
        the majority that confirms the view, but not towards the one for its lease.

    Returns
    -------
    bool
        False also if the view has no members.
    """
    heard = 0
    for member in view.members:
        if member.member_id == own_id:
            heard += 1
            continue
        item = evidence.get(member.member_id)
        if item is None or item.row.view_number > view.number:
            continue
        if as_owner and own_id in item.row.deposed:
            continue
        if now_s - item.at_s <= within_s:
            heard += 1
    return heard * 2 > len(view.members)
