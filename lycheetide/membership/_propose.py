"""Choice of the members of the next view."""


def propose_members(view, evidence, hosts, *, own, own_state, now_s, suspect_s):
    """Return the members that the next view should have.

    Parameters
    ----------
    view : View
        The present view.
    evidence : mapping of str to Evidence
        The latest evidence by member id.
    hosts : tuple of Host or None
        The platform's list of hosts. It lags, so it is only used to exclude hosts that
        it lists as leaving. None if it was never read.
    own : Member
        This node.
    own_state : str
        The state of this node.
    now_s, suspect_s : float
        The present time, and how long a member may be silent before it is left out.

    Returns
    -------
    tuple of Member
        Sorted by name.
    """
    leaving = {host.name for host in hosts or () if host.state == "leaving"}
    members_by_host = {}
    if own_state == "serving" or (own_state == "starting" and not view.members):
        members_by_host[own.host] = own
    oldest_first = sorted(evidence.values(), key=lambda item: item.at_s)
    for item in oldest_first:
        member = item.row.member
        if member.member_id == own.member_id or member.host in leaving:
            continue
        if now_s - item.at_s > suspect_s:
            continue
        if item.row.state in {"leaving", "stopped"}:
            continue
        if item.row.state == "starting" and view.find(member.member_id) is None:
            # A node in this state joins later. For one that is a member already, the
            # state comes from an outdated answer.
            continue
        members_by_host[member.host] = member
    return tuple(sorted(members_by_host.values()))


def is_proposer(view, evidence, *, own_id, now_s, suspect_s):
    """Tell whether this node is the first of the members that aren't silent.

    So usually only one node proposes a view at a time; if two do, the log decides.
    """
    for member in view.members:
        if member.member_id == own_id:
            return True
        item = evidence.get(member.member_id)
        if item is not None and now_s - item.at_s <= suspect_s:
            return False
    return True
