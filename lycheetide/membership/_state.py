"""The node's own knowledge of members and views, without any input or output."""

import itertools

from lycheetide.membership._deputies import Deputies
from lycheetide.membership._evidence import Row, is_majority_heard, merge_rows
from lycheetide.membership._owner import choose_owner, rank_members
from lycheetide.membership._propose import is_proposer, propose_members
from lycheetide.membership._view import NO_VIEW, fold_view

ABANDON_LEASES = 10
"""After so many leases a view whose members are all silent counts as run out."""

FORGET_S = 60.0


class Membership:
    """Views and evidence at one node.

    Parameters
    ----------
    own : Member
        This node.
    lease_s : float
        How long evidence lets an owner act.
    suspect_s : float
        How long a member may stay silent before it is left out of the next view.

    Notes
    -----
    An owner acts only while, within ``lease_s``, most members of its view told it
    that they know no later view. A later owner waits until most members of the
    earlier view know the later one, and then ``lease_s`` more. Two majorities share
    a member, so the two never act at once, whatever the host list says. No record
    of the log is needed while a view stands, so an outage of the log stops no owner.
    """

    def __init__(self, own, *, lease_s, suspect_s):
        self.own = own
        self.lease_s = lease_s
        self.suspect_s = suspect_s
        self.evidence = {}
        self.views = [NO_VIEW]
        self.settled_number = 0
        self.settling_since_s = {}
        self._owners = {}
        self.deputies = Deputies(own_id=own.member_id, lease_s=lease_s)
        self.view_since_s = {}

    @property
    def view(self):
        """The newest view that this node has read."""
        return self.views[-1]

    def take_record(self, offset, record, *, now_s):
        """Fold one record of the log; return whether the view changed."""
        view = fold_view(self.view, offset, record)
        if view is self.view:
            return False
        self.take_view(view, now_s=now_s)
        return True

    def take_view(self, view, *, now_s):
        """Take a view that the log has accepted, read there or told by a peer."""
        if view.number <= self.view.number:
            return False
        if self.view.number == 0:
            self.settled_number = view.number
        self.views.append(view)
        self._owners = {}
        self.deputies.begin_view()
        self.view_since_s[view.number] = now_s
        return True

    def take_rows(self, rows, *, asked_s, now_s):
        """Take in a peer's answer."""
        self.evidence = merge_rows(self.evidence, rows, asked_s=asked_s)
        self.evidence = {
            member_id: known
            for member_id, known in self.evidence.items()
            if now_s - known.at_s <= FORGET_S
        }
        told = max((row.settled_number for row in rows), default=0)
        if told <= self.view.number:
            self.settled_number = max(self.settled_number, told)
        self.settle(now_s=now_s)

    def depose_silent(self, *, now_s, silent_s):
        """Stop helping members that were silent for long to act as owners."""
        self.deputies.depose_silent(
            self.view, self.evidence, now_s=now_s, silent_s=silent_s
        )

    def settle(self, *, now_s):
        """Find out how far earlier views have run out, and who stands in for whom."""
        if self.deputies.refresh(self.view, self.evidence, now_s=now_s):
            self._owners = {}
        views = [v for v in self.views if v.number >= self.settled_number]
        for earlier, later in itertools.pairwise(views):
            if not self._has_run_out(earlier, later, now_s):
                break
            self.settled_number = later.number
        self.views = [v for v in self.views if v.number >= self.settled_number]

    def _has_run_out(self, earlier, later, now_s):
        """Tell whether no owner can still act on ``earlier``."""
        since_s = self.view_since_s.get(later.number, now_s)
        if now_s - since_s > ABANDON_LEASES * self.lease_s:
            return True
        knowing = sum(self._knows(member, later.number) for member in earlier.members)
        if knowing * 2 <= len(earlier.members):
            return False
        began_s = self.settling_since_s.setdefault(later.number, now_s)
        return now_s - began_s > self.lease_s

    def _knows(self, member, number):
        """Tell whether a member is known to know a view."""
        if member.member_id == self.own.member_id:
            return True
        known = self.evidence.get(member.member_id)
        return known is not None and known.row.view_number >= number

    def is_acting(self, *, now_s):
        """Tell whether this node may act as an owner."""
        if self.view.find(self.own.member_id) is None:
            return False
        return self.is_majority_heard(now_s=now_s, as_owner=True)

    def is_majority_heard(self, *, now_s, as_owner=False):
        """Tell whether most members are lately heard, none with a later view."""
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
        if cell not in self._owners:
            self._owners[cell] = choose_owner(
                cell, self.view, without=self.deputies.out
            )
        return self._owners[cell]

    def find_earlier_owners(self, cell):
        """Return the members that may have owned a cell since the settled view."""
        owners = [choose_owner(cell, view) for view in self.views[:-1]]
        owners.extend(self._find_deposed_owners(cell))
        present = self.find_owner(cell)
        return {m.member_id: m for m in owners if m is not None and m != present}

    def _find_deposed_owners(self, cell):
        """Yield those members of the view that come before the present owner."""
        present = self.find_owner(cell)
        for member in rank_members(cell, self.view.members):
            if member == present:
                return
            yield member

    def is_settled(self):
        """Tell whether no owner of an earlier view can still act."""
        return self.settled_number == self.view.number

    def make_rows(self, *, state, config_version, cells, now_s):
        """Return what this node tells a peer: itself and what it has heard."""
        own = Row(
            self.own, 0, state, self.view.number, self.settled_number, config_version,
            tuple(cells), tuple(sorted(self.deputies.deposed)),
        )  # fmt: skip
        yield own
        for known in self.evidence.values():
            age_ms = int((now_s - known.at_s) * 1000) + 1
            if age_ms > 1000 * max(self.lease_s, self.suspect_s):
                continue
            row = known.row
            yield Row(
                row.member, age_ms, row.state, row.view_number, row.settled_number,
                row.config_version, row.cells, row.deposed,
            )  # fmt: skip

    def propose(self, hosts, *, own_state, now_s):
        """Return the next view's members, or None if there is nothing to propose."""
        heard = self.is_majority_heard(now_s=now_s)
        if self.view.members and not heard and not self._is_deserted(now_s):
            # A node cut off from its peers, but not from the log, would otherwise
            # throw all the others out of the view and take over every cell.
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

    def _is_deserted(self, now_s):
        """Tell whether most members have been silent for very long."""
        limit_s = ABANDON_LEASES * self.lease_s
        since_s = self.view_since_s.get(self.view.number, now_s)
        return now_s - since_s > limit_s and not is_majority_heard(
            self.view,
            self.evidence,
            own_id=self.own.member_id,
            now_s=now_s,
            within_s=limit_s,
        )

    def newest_config(self):
        """Return the highest configuration version heard and who has it."""
        best = max(
            self.evidence.values(),
            key=lambda known: known.row.config_version,
            default=None,
        )
        if best is None:
            return 0, None
        return best.row.config_version, best.row.member
