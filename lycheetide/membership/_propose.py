"""Which members the next view should have."""


def propose_members(view, evidence, hosts, *, own, own_state, now_s, suspect_s):
    """Return the members that the next view should have.

    Parameters
    ----------
    view : View
        The present view.
    evidence : mapping of str to Evidence
        By member id.
    hosts : tuple of Host or None
        The platform's list; it lags, so it only shuts out hosts that it calls
        leaving. None where it was never read.
    own : Member
        This node.
    own_state : str
        This node's state.
    now_s, suspect_s : float
        The present time and how long a member may stay silent.

    Returns
    -------
    tuple of Member
        Sorted by name.
    """
    leaving = {host.name for host in hosts or () if host.state == "leaving"}
    joined = {}
    if own_state == "serving" or (own_state == "starting" and not view.members):
        joined[own.host] = own
    newest = sorted(evidence.values(), key=lambda known: known.at_s)
    for known in newest:
        member = known.row.member
        if member.member_id == own.member_id or member.host in leaving:
            continue
        if now_s - known.at_s > suspect_s:
            continue
        if known.row.state in {"leaving", "stopped"}:
            continue
        if known.row.state == "starting" and view.find(member.member_id) is None:
            # One that is a member already is only known by an old answer.
            continue
        joined[member.host] = member
    return tuple(sorted(joined.values()))


def is_proposer(view, evidence, *, own_id, now_s, suspect_s):
    """Tell whether this node is the first of those members that are heard.

    Only one node proposes at a time, as a rule; where two do, the log decides.
    """
    for member in view.members:
        if member.member_id == own_id:
            return True
        known = evidence.get(member.member_id)
        if known is not None and now_s - known.at_s <= suspect_s:
            return False
    return True
