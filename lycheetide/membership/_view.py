"""Views: numbered lists of members, ordered by the log."""

from dataclasses import dataclass

import msgspec


class Member(msgspec.Struct, frozen=True, order=True, array_like=True):
    """One run of the node on a host, from its start to its end.

    Parameters
    ----------
    host : str
        The name of the node in its settings.
    incarnation : str
        Generated at each start. A restarted node has lost its state, so it must not be
        mistaken for the earlier run, whose promises it doesn't know.
    peer_address : str
        The address at which other nodes reach it.
    failure_domain : str
        The failure domain in which it runs.
    """

    host: str
    incarnation: str
    peer_address: str
    failure_domain: str

    @property
    def member_id(self):
        """The host and the incarnation, joined by a slash."""
        return f"{self.host}/{self.incarnation}"


@dataclass(frozen=True)
class Host:
    """A host in the platform's list of hosts."""

    name: str
    peer_address: str
    state: str = "live"


@dataclass(frozen=True)
class View:
    """The list of members in force as of one record of the log.

    Parameters
    ----------
    number : int
        The offset of the record plus one; 0 for the view before the first record.
    members : tuple of Member
        Sorted by name.
    """

    number: int = 0
    members: tuple[Member, ...] = ()

    def find(self, member_id):
        """Return the member with this id, or None."""
        return next((m for m in self.members if m.member_id == member_id), None)


NO_VIEW = View()


def make_view_record(record_id, *, base_number, members):
    """Return a log record that proposes the next view."""
    return {
        "kind": "view",
        "id": record_id,
        "base_number": base_number,
        "members": [msgspec.to_builtins(member) for member in sorted(members)],
    }


def make_view_snapshot_record(view):
    """Return a log record that holds a whole view, so that older records may expire."""
    return {
        "kind": "view_snapshot",
        "number": view.number,
        "members": [msgspec.to_builtins(member) for member in view.members],
    }


def fold_view(view, offset, record):
    """Apply one log record to a view.

    Of the proposals that are based on the same view, the first one on the log wins.

    Parameters
    ----------
    view : View
        The present view.
    offset : int
        The offset of the record on the log.
    record : mapping
        The record as read.

    Returns
    -------
    View
        The next view, or ``view`` itself if the record is based on another view or is
        malformed.
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
    """Decode the members of a record."""
    return msgspec.convert(record["members"], tuple[Member, ...])
