"""Cluster membership: which members are alive, the current view, and cell ownership."""

from lycheetide.membership._evidence import (
    CellSummary,
    Evidence,
    MemberRow,
    is_majority_heard,
    merge_rows,
)
from lycheetide.membership._owner import choose_owner, rank_members
from lycheetide.membership._propose import propose_members
from lycheetide.membership._state import Membership
from lycheetide.membership._view import (
    NO_VIEW,
    Host,
    Member,
    View,
    fold_view,
    make_view_record,
    make_view_snapshot_record,
)

__all__ = [
    "NO_VIEW",
    "CellSummary",
    "Evidence",
    "Host",
    "Member",
    "MemberRow",
    "Membership",
    "View",
    "choose_owner",
    "fold_view",
    "is_majority_heard",
    "make_view_record",
    "make_view_snapshot_record",
    "merge_rows",
    "propose_members",
    "rank_members",
]
