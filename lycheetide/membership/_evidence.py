"""What a node has heard of the members, and how old it is.

Evidence is dated by the moment at which this node asked, not at which it read the
answer. A node that was frozen finds answers in its sockets that look new but are as
old as the freeze; dated at reading, they would let it act on a lease that ran out
while it slept, and two owners would grant at once.
"""

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from lycheetide.membership._view import Member


class CellSummary(msgspec.Struct, frozen=True, array_like=True):
    """What an owner tells others about a cell.

    Parameters
    ----------
    cell : str
        The cell.
    waiting_tokens, running_tokens : int
        Prompt tokens that wait for a replica, and that are being read.
    short_tokens : int
        Those of either kind that belong to short prompts.
    tokens_per_s : float
        How fast the open replicas read prompts together.
    free_requests : int
        How many more requests the open replicas bear.
    """

    cell: str
    waiting_tokens: int
    running_tokens: int
    short_tokens: int
    tokens_per_s: float
    free_requests: int


class Row(msgspec.Struct, frozen=True, array_like=True):
    """What one member said, as told by itself or by another.

    Parameters
    ----------
    member : Member
        Who said it.
    age_ms : int
        How long ago, at most, counted at the teller.
    state : str
        Its state in the node's chart.
    view_number, settled_number, config_version : int
        The newest view it knows, the newest it knows to be settled, and the
        configuration that it has in force.
    cells : tuple of CellSummary
        The cells that it owns.
    deposed : tuple of str
        Members of its view whom it won't help to act as owners any more.
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
    """A row and the moment, on this node's clock, that it is dated from."""

    at_s: float
    row: Row


def merge_rows(evidence, rows, *, asked_s):
    """Return the evidence with an answer's rows taken in.

    Parameters
    ----------
    evidence : mapping of str to Evidence
        By member id.
    rows : iterable of Row
        The answer.
    asked_s : float
        When the question was sent.

    Returns
    -------
    dict of str to Evidence
        For each member, the newer of the two.
    """
    merged = dict(evidence)
    for row in rows:
        at_s = asked_s - row.age_ms / 1000
        known = merged.get(row.member.member_id)
        if known is None or at_s > known.at_s:
            merged[row.member.member_id] = Evidence(at_s, row)
    return merged


def is_majority_heard(
    view, evidence: Mapping, *, own_id, now_s, within_s, as_owner=False
):
    """Tell whether most members of a view lately knew no later one.

    Parameters
    ----------
    view : View
        The view that this node acts on.
    evidence : mapping of str to Evidence
        By member id.
    own_id : str
        This node, which counts itself if it is a member.
    now_s, within_s : float
        The present time and how old evidence may be.
    as_owner : bool, default=False
        Whether members that have deposed this node are left out: they help it to
        know what is in force, but not to act.

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
        known = evidence.get(member.member_id)
        if known is None or known.row.view_number > view.number:
            continue
        if as_owner and own_id in known.row.deposed:
            continue
        if now_s - known.at_s <= within_s:
            heard += 1
    return heard * 2 > len(view.members)
