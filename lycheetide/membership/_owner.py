"""Choice of the owner of a cell by rendezvous hashing."""

import xxhash


def rank_members(cell, members):
    """Rank the members for a cell, the owner first.

    Parameters
    ----------
    cell : str
        The name of the cell.
    members : iterable of Member
        The members of a view.

    Returns
    -------
    list of Member
        Sorted by descending weight. When a member leaves, only its own cells get
        another owner.
    """

    def weight(member):
        return xxhash.xxh3_64_intdigest(f"{cell}\0{member.member_id}".encode())

    return sorted(members, key=weight, reverse=True)


def choose_owner(cell, view, *, excluded=frozenset()):
    """Return the member that owns ``cell`` in ``view``, or None.

    Parameters
    ----------
    cell : str
        The name of the cell.
    view : View
        The view whose members may own the cell.
    excluded : set of str
        Ids of members that can't act as owners any more; the next member in the
        ranking takes over from them.
    """
    remaining = (m for m in view.members if m.member_id not in excluded)
    ranking = rank_members(cell, remaining)
    return ranking[0] if ranking else None
