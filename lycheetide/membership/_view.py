"""Views: numbered lists of members, put in order by the log."""

from dataclasses import dataclass

import msgspec


class Member(msgspec.Struct, frozen=True, order=True, array_like=True):
    """One life of one host's node.

    Parameters
    ----------
    host : str
        The node's name in its settings.
    incarnation : str
        Drawn anew at each start, so that a restarted node, which remembers nothing,
        is never taken for the one that promised something.
    peer_address : str
        Where other nodes reach it.
    failure_domain : str
        Where it stands.
    """

    host: str
    incarnation: str
    peer_address: str
    failure_domain: str

    @property
    def member_id(self):
        """The host and the incarnation in one string."""
        return f"{self.host}/{self.incarnation}"


@dataclass(frozen=True)
class Host:
    """One row of the platform's list of hosts."""

    name: str
    peer_address: str
    state: str = "live"


@dataclass(frozen=True)
class View:
    """The members in force from one record of the log on.

    Parameters
    ----------
    number : int
        The record's offset plus one; 0 before the first.
    members : tuple of Member
        In order of their names.
    """

    number: int = 0
    members: tuple[Member, ...] = ()

    def find(self, member_id):
        """Return the member with this id, or None."""
        return next((m for m in self.members if m.member_id == member_id), None)


NO_VIEW = View()


def make_view_record(record_id, *, base_number, members):
    """Return a proposal for the next view as it stands on the log."""
    return {
        "kind": "view",
        "id": record_id,
        "base_number": base_number,
        "members": [msgspec.to_builtins(member) for member in sorted(members)],
    }


def make_view_snapshot_record(view):
    """Return a view as a record of its own, so that older records may expire."""
    return {
        "kind": "view_snapshot",
        "number": view.number,
        "members": [msgspec.to_builtins(member) for member in view.members],
    }


def fold_view(view, offset, record):
    """Return the view after one record: the first made from the present one wins.

    Parameters
    ----------
    view : View
        The present view.
    offset : int
        The record's place on the log.
    record : mapping
        The record as read.

    Returns
    -------
    View
        The same view where the record was made from another one.
    """
    if offset < view.number or not isinstance(record, dict):
        return view
    try:
        if record.get("kind") == "view_snapshot":
            snapshot = View(int(record["number"]), _read_members(record))
            return snapshot if snapshot.number > view.number else view
        if record.get("kind") == "view" and record["base_number"] == view.number:
            return View(offset + 1, _read_members(record))
    except (KeyError, TypeError, ValueError, msgspec.ValidationError):
        return view
    return view


def _read_members(record):
    """Decode a record's members."""
    return msgspec.convert(record["members"], tuple[Member, ...])
