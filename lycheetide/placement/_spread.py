"""Read a long prompt in parts, at as little harm to others as its own target allows.

Each part lengthens one pass of its replica, so all that write there pause for as long.
Read by many replicas a prompt is early, and every replica stands still for a moment;
read by few it is later, and the others are free. Which is better depends on how long
the parts are beside the pauses that writers bear, and on the replicas that are left for
what comes meanwhile. So every number of readers is priced, in the weight of the
requests that would be late, and the cheapest is taken.
"""

from dataclasses import dataclass

from lycheetide.placement._estimate import pass_s, read_s
from lycheetide.placement._pack import SLOTS_KEPT
from lycheetide.placement._queue import has_memory, slot_wait_s, wait_s
from lycheetide.placement._tickets import needs_sharing, share_memory
from lycheetide.placement._types import Arrivals, Candidate, Placement, Size

HELPERS_MOST = 16
"""What a replica accepts in one request."""
READERS = (1, 2, 3, 4, 5, 6, 8, 10, 13, 17)
"""Numbers of replicas that are priced; between them the price changes little."""
SOON = 0.7
"""Part of the target up to which a first event isn't at risk; the rest is for what
isn't foreseen."""
LATE = 0.75
"""Part of its worth that a request loses by being late."""
HURRY = 0.1
"""Price of a target's length of waiting, as a part of the prompt's weight: what is
answered sooner is out of the way of others, and is lost to fewer failures."""
READER_COST = 0.01
"""Price of one more reader, in weight: it may be gone, or slower than is known."""
GAP_SHARE = 0.8
"""Part of the pause that its callers bear that a replica's reading may fill."""
CALM = 0.4
"""Part of the shortest target for which a replica may read before it counts as blocked
for short prompts."""


@dataclass(frozen=True)
class Wanted:
    """What a long prompt needs.

    Parameters
    ----------
    size : Size
        The prompt.
    whole_s : float
        Its reading, at one replica.
    target_s, left_s : float
        The time within which its first event is wanted, and what is left of that.
    patience_s : float
        When its caller leaves without one.
    """

    size: Size
    whole_s: float
    target_s: float
    left_s: float
    patience_s: float

    def worth(self, expected_s):
        """Return what a first event at a time is worth to its caller, in weight."""
        if expected_s >= self.patience_s:
            return 0.0
        return self.size.weight * (1.0 - LATE * self._risk(expected_s))

    def own_cost(self, expected_s):
        """Return what a first event at a time costs its own caller, in weight."""
        hurry = HURRY * min(expected_s, self.patience_s) / self.target_s
        return self.size.weight * (1.0 + hurry) - self.worth(expected_s)

    def _risk(self, expected_s):
        """Return how likely a first event expected by then comes late."""
        if expected_s >= self.left_s:
            return 1.0
        return max(0.0, (expected_s / self.left_s - SOON) / (1.0 - SOON))


@dataclass(frozen=True)
class _Open:
    """A replica as it is before a part of the prompt is read there.

    Parameters
    ----------
    candidate : Candidate
        Which.
    wait_s : float
        Until it begins.
    pause_s : float
        How long its writers pause without the part.
    harmed : float
        Weight of those that notice that pause already.
    """

    candidate: Candidate
    wait_s: float
    pause_s: float
    harmed: float


@dataclass(frozen=True)
class _Reader:
    """A replica, and what it would cost to read a part there.

    Parameters
    ----------
    open : _Open
        Which.
    harm : float
        Weight of the requests there that the reading makes late.
    cost : float
        That, and what the wait costs the prompt itself.
    """

    open: _Open
    harm: float
    cost: float

    @property
    def candidate(self):
        """The replica."""
        return self.open.candidate


def spread_prompt(
    engine,
    size,
    candidates,
    *,
    target_s,
    left_s=None,
    patience_s=float("inf"),
    arrivals=Arrivals(),  # noqa: B008
    helpers_most=HELPERS_MOST,
):
    """Return where a long prompt goes, or None where its memory is not to be had.

    Parameters
    ----------
    engine : Engine
        The service's figures.
    size : Size
        The prompt.
    candidates : sequence of Candidate
        Replicas that may take part.
    target_s : float
        The time within which its first event is wanted.
    left_s : float or None
        What is left of that; None for all of it.
    patience_s : float
        When its caller leaves without one.
    arrivals : Arrivals
        What comes to the service meanwhile.
    helpers_most : int
        How many replicas may take part besides the first.

    Returns
    -------
    Placement or None
    """
    if not candidates:
        return None
    wanted = Wanted(
        size,
        read_s(engine, size.prompt_tokens),
        target_s,
        target_s if left_s is None else left_s,
        patience_s,
    )
    if needs_sharing(engine, size.tokens):
        # Without others there is no memory for it, whoever refused it before.
        helpers_most = HELPERS_MOST
    most = min(helpers_most + 1, len(candidates))
    counts = [count for count in READERS if count < most] + [most]
    replicas = [_look_at(engine, one) for one in candidates]
    plans = (_plan(engine, wanted, replicas, arrivals, count) for count in counts)
    found = [plan for plan in plans if plan is not None]
    if not found:
        return None
    _, placement = min(found, key=lambda plan: plan[0])
    return placement


def _look_at(engine, candidate):
    """Return a replica as it is now."""
    pause_s = pass_s(engine, candidate.writers, candidate.kv_tokens)
    pause_s += candidate.backlog_s
    return _Open(
        candidate,
        wait_s(engine, candidate),
        pause_s,
        candidate.disturbed_weight(pause_s / GAP_SHARE),
    )


def _plan(engine, wanted, replicas, arrivals, count):
    """Return the cost and the placement of reading by a number of replicas, or None."""
    part_s = wanted.whole_s / count
    readers = _price_all(wanted, replicas, part_s)
    team = _choose_team(engine, wanted.size, readers, count)
    if team is None:
        return None
    first, others, holders = team
    begins_s = max(
        slot_wait_s(engine, first.candidate, wanted.size),
        first.open.wait_s,
        *(reader.open.wait_s for reader in others),
    )
    writing_s = pass_s(engine, first.candidate.writers + 1, wanted.size.tokens)
    expected_s = begins_s + part_s + writing_s
    harm = LATE * (
        first.harm
        + sum(reader.harm for reader in others)
        + _count_blocked(replicas, (first, *others), arrivals, part_s)
    )
    held = {share.replica.id for share in holders}
    helpers = tuple(
        reader.candidate for reader in others if reader.candidate.id not in held
    )
    placement = Placement(
        first.candidate,
        helpers,
        expected_s,
        part_s,
        holders,
        begins_s,
        harm,
        wanted.worth(expected_s),
    )
    return harm + wanted.own_cost(expected_s) + READER_COST * count, placement


def _price_all(wanted, replicas, part_s):
    """Return replicas with what it costs to read a part there, the cheapest first.

    Writers that pause too long already, for what was sent there before, lose nothing
    more; so long prompts gather where others are being read.
    """
    own_costs: dict[float, float] = {}
    readers = []
    for replica in replicas:
        candidate = replica.candidate
        harm = 0.0
        if candidate.writing:
            noticed_s = (replica.pause_s + part_s) / GAP_SHARE
            harm = candidate.disturbed_weight(noticed_s) - replica.harmed
        if candidate.unread:
            harm += candidate.overtaken_weight(part_s)
        own_cost = own_costs.get(replica.wait_s)
        if own_cost is None:
            own_cost = wanted.own_cost(replica.wait_s + part_s)
            own_costs[replica.wait_s] = own_cost
        readers.append(_Reader(replica, harm, LATE * harm + own_cost))
    readers.sort(key=lambda reader: (reader.cost, -reader.candidate.rank))
    return readers


def _choose_team(engine, size, readers, count):
    """Return the first reader, the others, and who holds memory, or None.

    Parameters
    ----------
    engine : Engine
        The service's figures.
    size : Size
        The prompt.
    readers : list of _Reader
        The cheapest first.
    count : int
        How many take part.
    """
    if needs_sharing(engine, size.tokens):
        team = _choose_holders(engine, size, readers, count)
        if team is not None:
            return team
    fitting = (one for one in readers if has_memory(engine, size, one.candidate))
    first = next(fitting, None)
    if first is None:
        return None
    able = [one for one in readers if one is not first and one.candidate.may_help]
    if len(able) < count - 1:
        return None
    return first, able[: count - 1], ()


def _choose_holders(engine, size, readers, count):
    """Return a team that holds a prompt's memory together, or None."""
    able = [one for one in readers if one.candidate.may_help][:count]
    if len(able) < count:
        return None
    first, holders = share_memory(engine, size.tokens, [one.candidate for one in able])
    if first is None:
        return None
    by_id = {one.candidate.id: one for one in able}
    own = by_id.pop(first.id)
    return own, list(by_id.values()), holders


def _count_blocked(replicas, readers, arrivals, part_s):
    """Return how many arrivals find no replica in time while a prompt is read.

    Each replica ends requests at the rate at which it got them, so those that are not
    reading take their own share of what comes, and fill the slots that are free.
    """
    calm_s = CALM * arrivals.target_s
    busy_s = part_s + sum(one.candidate.backlog_s for one in readers) / len(readers)
    if busy_s <= calm_s:
        return 0.0
    reading = {reader.candidate.id for reader in readers}
    everyone = [replica.candidate for replica in replicas]
    open_now = [
        one for one in everyone if one.id not in reading and one.backlog_s <= calm_s
    ]
    writers = sum(one.writers for one in everyone)
    open_writers = sum(one.writers for one in open_now)
    free = sum(max(0, one.slots - SLOTS_KEPT - one.writers) for one in open_now)
    share = open_writers / writers if writers else len(open_now) / len(everyone)
    return max(0.0, arrivals.per_s * (busy_s - calm_s) * (1.0 - share) - free)
