"""Rendezvous hashing: which member owns a cell."""

import xxhash


def rank_members(cell, members):
    """Return the members, the owner first.

    Parameters
    ----------
    cell : str
        The cell's name.
    members : iterable of Member
        The members of a view.

    Returns
    -------
    list of Member
        By descending weight; a member that leaves moves only its own cells.
    """

    def weight(member):
        return xxhash.xxh3_64_intdigest(f"{cell}\0{member.member_id}".encode())

    return sorted(members, key=weight, reverse=True)


def choose_owner(cell, view, *, without=frozenset()):
    """Return the member that owns ``cell`` in ``view``, or None.

    Parameters
    ----------
    cell : str
        The cell's name.
    view : View
        The members.
    without : set of str
        Ids of members that can't act any more; the next in order stands in.
    """
    present = (m for m in view.members if m.member_id not in without)
    ranked = rank_members(cell, present)
    return ranked[0] if ranked else None
