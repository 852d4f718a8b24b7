"""Keep to the limits that replicas name in their answers."""

from lycheetide.gossip import NO_LIMIT
from lycheetide.placement import make_step_counter, share_named_limit
from lycheetide.relay._broadcast import is_large_fleet
from lycheetide.relay._roles import find_hubs, is_hub
from lycheetide.relay._state import make_life

CONFIRMATION_INTERVAL_S = 4.0
"""Age of its latest answer after which a replica that names a limit is preferred for
one request: it may have stopped naming one, and other replicas may rank higher."""


def record_named_limit(relay, entry, answer, *, sent_s, now_s):
    """Record the limit that a replica names in an answer, or that it names none.

    A refusal that names no limit doesn't end one: only an answer to a request that ran
    shows that the replica takes work again.
    """
    limit_per_s = answer.limit_per_s
    if limit_per_s is None or (limit_per_s == NO_LIMIT and not answer.is_sealed):
        return
    life = make_life(entry)
    if not relay.limits.hear(life, limit_per_s, sent_s=sent_s, now_s=now_s):
        return
    is_limited = limit_per_s < NO_LIMIT
    relay.counters.add("limits.named" if is_limited else "limits.ended")
    relay.log.info(
        "A replica names a limit." if is_limited else "A replica names no limit now.",
        extra={"replica": entry.id}
        | ({"limit_per_s": limit_per_s} if is_limited else {}),
    )
    announce_limits(relay, now_s=now_s)


def merge_limits(relay, heartbeat, *, now_s):
    """Record what another node reports of the limits that replicas name.

    In a large fleet the hub of a failure domain passes on what is new. What another hub
    reports has reached all nodes already.
    """
    has_news = [relay.limits.merge(report, now_s=now_s) for report in heartbeat.limits]
    if not any(has_news) or not is_large_fleet(relay, now_s=now_s):
        return
    hubs = find_hubs(relay, now_s=now_s)
    is_own_hub = hubs.get(relay.settings.failure_domain) is None
    others = {hub.address for hub in hubs.values() if hub is not None}
    if is_own_hub and heartbeat.address not in others:
        relay.trigger_heartbeat(to_all=True)


def announce_limits(relay, *, now_s):
    """Tell the other nodes at once; in a large fleet, through the hub."""
    is_small_fleet = not is_large_fleet(relay, now_s=now_s)
    relay.trigger_heartbeat(to_all=is_small_fleet or is_hub(relay, now_s=now_s))


def list_unconfirmed(relay, candidates, *, now_s):
    """Return the candidates whose limit no answer has confirmed for a while.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    candidates : list of Candidate
        Replicas that this node may send a request to.
    now_s : float
        The present time.
    """
    return [
        one
        for one in candidates
        if one.is_limited
        and now_s - relay.find_named_limit(one.id).heard_s > CONFIRMATION_INTERVAL_S
    ]


def make_opening_finder(relay, living, *, now_s):
    """Return a function that finds when a limit leaves room for one more request.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    living : set of str
        Names of all live nodes, including this one.
    now_s : float
        The present time.

    Returns
    -------
    callable
        Called with a replica's id, and optionally with ``with_placed``, whether
        requests that are about to be sent count as sent (by default they do). Returns
        how long this node may send no request to the replica, in seconds: 0 if it may
        now, infinity if it has no share of the limit at present.
    """
    count_steps = make_step_counter(relay.node, living)

    def find_opening_s(replica, *, with_placed=True):
        known = relay.find_named_limit(replica)
        if known is None:
            return 0.0
        share = share_named_limit(
            known.limit_per_s,
            steps=count_steps(replica),
            nodes=len(living),
            silent_s=now_s - known.heard_s,
        )
        if share.requests == 0:
            return float("inf")
        sent_s = relay.list_own_starts(replica, share.window_s, now_s=now_s)
        placed = relay.count_placed(replica) if with_placed else 0
        excess = len(sent_s) + placed - share.requests
        if excess < 0:
            return 0.0
        if excess >= len(sent_s):
            return share.window_s
        return sent_s[excess] + share.window_s - now_s

    return find_opening_s


def may_still_send(relay, replica, *, now_s):
    """Tell whether a request that was placed at a replica may be sent to it now.

    The replica may have named a limit since it was chosen.
    """
    if relay.find_named_limit(replica) is None:
        return True
    living = relay.list_alive_nodes(now_s=now_s)
    find_opening_s = make_opening_finder(relay, living, now_s=now_s)
    return find_opening_s(replica, with_placed=False) <= 0.0
