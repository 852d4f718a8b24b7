"""The membership state of a node: its views and evidence, without any I/O."""

import itertools

from lycheetide.membership._evidence import MemberRow, is_majority_heard, merge_rows
from lycheetide.membership._failover import FailoverTracker
from lycheetide.membership._owner import choose_owner, rank_members
from lycheetide.membership._propose import is_proposer, propose_members
from lycheetide.membership._view import NO_VIEW, fold_view

ABANDON_LEASES = 10
"""After this many leases, a view whose members are all silent counts as expired."""

EVIDENCE_RETENTION_S = 60.0


class Membership:
    """The views and the evidence of members that one node has.

    Parameters
    ----------
    own : Member
        This node.
    lease_s : float
        The duration of an owner's lease: how old the evidence may be on which it acts.
    suspect_s : float
        How long a member may be silent before it is left out of the next view.

    Notes
    -----
    An owner acts only if, within the last ``lease_s``, most members of its view
    reported that they know no later view. A later owner waits until most members of the
    earlier view know the later one, and then for another ``lease_s``. Any two
    majorities share a member, so the two owners never act at the same time, whatever
    the host list says. No record of the log is needed while a view is in force, so an
    outage of the log doesn't stop owners.

    A view is settled once no owner of an earlier view can act any more.
    """

    def __init__(self, own, *, lease_s, suspect_s):
        self.own = own
        self.lease_s = lease_s
        self.suspect_s = suspect_s
        self.evidence = {}
        self.views = [NO_VIEW]
        self.settled_number = 0
        self.majority_informed_s = {}
        self._owner_cache = {}
        self.failover = FailoverTracker(own_id=own.member_id, lease_s=lease_s)
        self.view_applied_s = {}

    @property
    def view(self):
        """The newest view known to this node."""
        return self.views[-1]

    def apply_record(self, offset, record, *, now_s):
        """Apply one record of the log; return whether the view changed."""
        view = fold_view(self.view, offset, record)
        if view is self.view:
            return False
        self.apply_view(view, now_s=now_s)
        return True

    def apply_view(self, view, *, now_s):
        """Apply a view that the log has accepted, read there or received from a peer.

        Returns whether the view is newer than the present one.
        """
        if view.number <= self.view.number:
            return False
        if self.view.number == 0:
            self.settled_number = view.number
        self.views.append(view)
        self._owner_cache = {}
        self.failover.reset()
        self.view_applied_s[view.number] = now_s
        return True

    def apply_rows(self, rows, *, asked_s, now_s):
        """Merge the rows of a peer's answer into the evidence."""
        self.evidence = merge_rows(self.evidence, rows, asked_s=asked_s)
        self.evidence = {
            member_id: item
            for member_id, item in self.evidence.items()
            if now_s - item.at_s <= EVIDENCE_RETENTION_S
        }
        reported_number = max((row.settled_number for row in rows), default=0)
        if reported_number <= self.view.number:
            self.settled_number = max(self.settled_number, reported_number)
        self.update_settled_view(now_s=now_s)

    def depose_silent(self, *, now_s, silent_s):
        """Depose the members that have been silent for longer than ``silent_s``."""
        self.failover.depose_silent(
            self.view, self.evidence, now_s=now_s, silent_s=silent_s
        )

    def update_settled_view(self, *, now_s):
        """Update which views have expired and which members can't act as owners."""
        if self.failover.update_expired(self.view, self.evidence, now_s=now_s):
            self._owner_cache = {}
        views = [v for v in self.views if v.number >= self.settled_number]
        for earlier, later in itertools.pairwise(views):
            if not self._has_expired(earlier, later, now_s):
                break
            self.settled_number = later.number
        self.views = [v for v in self.views if v.number >= self.settled_number]

    def _has_expired(self, earlier, later, now_s):
        """Tell whether no owner can act on the view ``earlier`` any more."""
        since_s = self.view_applied_s.get(later.number, now_s)
        if now_s - since_s > ABANDON_LEASES * self.lease_s:
            return True
        informed = sum(
            self._knows_view(member, later.number) for member in earlier.members
        )
        if informed * 2 <= len(earlier.members):
            return False
        informed_since_s = self.majority_informed_s.setdefault(later.number, now_s)
        return now_s - informed_since_s > self.lease_s

    def _knows_view(self, member, number):
        """Tell whether a member has reported this view or a later one."""
        if member.member_id == self.own.member_id:
            return True
        item = self.evidence.get(member.member_id)
        return item is not None and item.row.view_number >= number

    def holds_lease(self, *, now_s):
        """Tell whether this node may act as an owner."""
        if self.view.find(self.own.member_id) is None:
            return False
        return self.is_majority_heard(now_s=now_s, as_owner=True)

    def is_majority_heard(self, *, now_s, as_owner=False):
        """Tell whether most members recently reported that they know no later view."""
        return is_majority_heard(
            self.view,
            self.evidence,
            own_id=self.own.member_id,
            now_s=now_s,
            within_s=self.lease_s,
            as_owner=as_owner,
        )

    def find_owner(self, cell):
        """Return the owner of a cell in the newest view, or None."""
        if cell not in self._owner_cache:
            self._owner_cache[cell] = choose_owner(
                cell, self.view, excluded=self.failover.out
            )
        return self._owner_cache[cell]

    def find_earlier_owners(self, cell):
        """Return the members that may have owned a cell before its present owner.

        These are its owners in the views since the settled one, and the members of the
        present view that are ranked before its present owner.
        """
        owners = [choose_owner(cell, view) for view in self.views[:-1]]
        owners.extend(self._find_skipped_owners(cell))
        current_owner = self.find_owner(cell)
        return {m.member_id: m for m in owners if m is not None and m != current_owner}

    def _find_skipped_owners(self, cell):
        """Yield the members of the view that are ranked before the present owner."""
        current_owner = self.find_owner(cell)
        for member in rank_members(cell, self.view.members):
            if member == current_owner:
                return
            yield member

    def is_settled(self):
        """Tell whether no owner of an earlier view can still act."""
        return self.settled_number == self.view.number

    def make_rows(self, *, state, config_version, cells, now_s):
        """Yield the rows sent to a peer: this node's own and its recent evidence."""
        own = MemberRow(
            self.own, 0, state, self.view.number, self.settled_number, config_version,
            tuple(cells), tuple(sorted(self.failover.deposed)),
        )  # fmt: skip
        yield own
        for item in self.evidence.values():
            age_ms = int((now_s - item.at_s) * 1000) + 1
            if age_ms > 1000 * max(self.lease_s, self.suspect_s):
                continue
            row = item.row
            yield MemberRow(
                row.member, age_ms, row.state, row.view_number, row.settled_number,
                row.config_version, row.cells, row.deposed,
            )  # fmt: skip

    def propose(self, hosts, *, own_state, now_s):
        """Return the next view's members, or None if there is nothing to propose."""
        heard = self.is_majority_heard(now_s=now_s)
        if self.view.members and not heard and not self._is_abandoned(now_s):
            # Otherwise, a node that is cut off from its peers but not from the log
            # would remove all others from the view and take over every cell.
            return None
        if not is_proposer(
            self.view, self.evidence,
            own_id=self.own.member_id, now_s=now_s, suspect_s=self.suspect_s,
        ):  # fmt: skip
            return None
        members = propose_members(
            self.view, self.evidence, hosts,
            own=self.own, own_state=own_state, now_s=now_s, suspect_s=self.suspect_s,
        )  # fmt: skip
        if not members or members == self.view.members:
            return None
        return members

    def _is_abandoned(self, now_s):
        """Tell whether most members have been silent for ``ABANDON_LEASES`` leases."""
        limit_s = ABANDON_LEASES * self.lease_s
        since_s = self.view_applied_s.get(self.view.number, now_s)
        return now_s - since_s > limit_s and not is_majority_heard(
            self.view,
            self.evidence,
            own_id=self.own.member_id,
            now_s=now_s,
            within_s=limit_s,
        )

    def find_newest_config(self):
        """Return the highest reported configuration version and a member with it."""
        newest = max(
            self.evidence.values(),
            key=lambda item: item.row.config_version,
            default=None,
        )
        if newest is None:
            return 0, None
        return newest.row.config_version, newest.row.member
