"""Count the replicas that ended while they worked on one request.

A caller's tries come to different nodes, and each may reach several replicas. A break
of a connection is no proof of a crash, and the proof may come seconds late, when the
next tries have long arrived. So a break counts until the replica is heard from again,
but only crashes lead to a quarantine.

Callers may ask for the same at one moment, and replicas that fail together break off
all of them. So crashes count by generations: an attempt is one generation later than
all breaks of its request that were known as it was sent. A caller's tries follow one
another; where broken calls overlap, many callers ask for the same, which is blamed only
if it has part in most crashes.
"""

from collections import OrderedDict, defaultdict
from dataclasses import dataclass, replace
from enum import StrEnum

from lycheetide.gossip import Life
from lycheetide.quarantine._fingerprint import PrefixCounter

MAX_CRASHES = 3
"""Replicas that may end under one request; it is then kept from all others."""
HOLD_S = 15.0
"""How long at least, and no shorter than its callers may come again. Each further crash
multiplies it by ``HOLD_FACTOR``, so that what an application asks for again and again
costs few replicas, and what is refused wrongly is served again soon."""
HOLD_FACTOR = 4.0
MAX_HOLD_S = 900.0
CALLER_MARGIN_S = 1.0
PENDING_S = 8.0
"""How long a break may turn out to be a crash. The entry of a replica that has ended
leaves the registry within this time, at times also during an outage of the store."""
REQUEST_RETENTION_S = 1_800.0
"""How long a request and its crashes are remembered after the last one."""
SWEEP_S = 10.0
"""Interval at which requests of long ago are looked for."""
MAX_REQUESTS = 2_048
MIN_SHARED_CRASHES = 4
"""Crashes that lead to the quarantine of what several callers ask for."""
MIN_SHARED_WEIGHT = 2.0
"""Its crashes, times their share of all crashes since its first one."""
MIN_OVERLAP_S = 0.05
"""Overlap of two calls at different nodes that is no error of their times."""
MAX_CRASHES_REMEMBERED = 1_024


class Verdict(StrEnum):
    """Whether a request may be sent to one more replica."""

    SEND = "send"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True)
class Break:
    """The end of one attempt at a request, without its whole answer.

    Parameters
    ----------
    at_s : float
        When it was noticed.
    since_s : float
        When the call was received.
    expires_s : float
        Time until which its caller waits, and may try again.
    call : int
        Names the call, of which several attempts may break off.
    generation : int
        Generation of the attempt, 1 for one that follows no other.
    is_crash : bool
        Whether the replica is known to have ended.
    is_silent : bool
        Whether the replica only fell silent, which alone counts for nothing.
    """

    at_s: float
    since_s: float
    expires_s: float
    call: int = 0
    generation: int = 1
    is_crash: bool = False
    is_silent: bool = False

    def counts(self, *, now_s):
        """Tell whether it may count against a try of its caller that comes now."""
        if self.is_crash:
            return now_s < self.expires_s + CALLER_MARGIN_S
        return not self.is_silent and now_s - self.at_s < PENDING_S

    def overlaps(self, other):
        """Tell whether two calls were under way at the same time."""
        overlap_s = min(self.at_s, other.at_s) - max(self.since_s, other.since_s)
        return self.call != other.call and overlap_s > MIN_OVERLAP_S


def make_break(row, *, at_s, is_silent=False):
    """Return the break that a message between nodes describes.

    Parameters
    ----------
    row : BrokenRequest or BreakRow
        The row of the message.
    at_s : float
        When the break was noticed, on this node's clock.
    is_silent : bool, default=False
        Whether the replica only fell silent.
    """
    since_s = at_s - row.took_ms / 1e3
    expires_s = at_s + row.left_ms / 1e3
    return Break(
        at_s, since_s, expires_s, row.call, row.generation, is_silent=is_silent
    )


class RequestEvidence:
    """The replicas that broke off requests, by the fingerprint of each request.

    Parameters
    ----------
    max_crashes : int, default=MAX_CRASHES
        Replicas that may end under one request.
    """

    def __init__(self, *, max_crashes=MAX_CRASHES):
        self._max_crashes = max_crashes
        self._breaks: OrderedDict[bytes, dict[Life, Break]] = OrderedDict()
        self._requests: dict[Life, set[bytes]] = defaultdict(set)
        self._prefixes = PrefixCounter()
        self._pending_s: dict[Life, float] = {}
        self._crash_s: OrderedDict[Life, float] = OrderedDict()
        self._shared: set[bytes] = set()
        self._swept_s = float("-inf")

    def __len__(self):
        return len(self._breaks)

    def knows_prefix(self, prefix):
        """Tell whether a request whose fingerprint begins so has broken off."""
        return prefix in self._prefixes

    def find_generation(self, request):
        """Return the generation of an attempt at a request that is sent now."""
        breaks = self._breaks.get(request, {}).values()
        return 1 + max((one.generation for one in breaks), default=0)

    def note_break(self, request, life, new):
        """Record that a replica broke off a request.

        Parameters
        ----------
        request : bytes
            Fingerprint of the request.
        life : Life
            The start of the replica.
        new : Break
            The break.
        """
        breaks = self._breaks.get(request)
        if breaks is None:
            breaks = self._breaks[request] = {}
            self._prefixes.add(request)
        self._breaks.move_to_end(request)
        known = breaks.get(life)
        if any(new.overlaps(one) for one in breaks.values()):
            self._shared.add(request)
        if known is None:
            breaks[life] = new
            self._pending_s.setdefault(life, new.at_s)
        elif known.is_silent and not new.is_silent:
            breaks[life] = replace(known, is_silent=False)
        self._requests[life].add(request)
        while len(self._breaks) > MAX_REQUESTS:
            self.forget(next(iter(self._breaks)))

    def note_crash(self, life, *, at_s):
        """Record that a replica has ended; return the requests that it broke off."""
        self._pending_s.pop(life, None)
        self._crash_s.setdefault(life, at_s)
        while len(self._crash_s) > MAX_CRASHES_REMEMBERED:
            self._crash_s.popitem(last=False)
        requests = list(self._requests.get(life, ()))
        for request in requests:
            known = self._breaks[request][life]
            self._breaks[request][life] = replace(known, is_crash=True)
        return requests

    def note_alive(self, life):
        """Record that a replica didn't end: what it broke off counts no more."""
        self._pending_s.pop(life, None)
        for request in list(self._requests.get(life, ())):
            if not self._breaks[request][life].is_crash:
                self._drop(request, life)

    def forget(self, request):
        """Forget a request, because it has been answered or can't come any more."""
        for life in list(self._breaks.get(request, ())):
            self._drop(request, life)

    def _drop(self, request, life):
        """Forget one break."""
        breaks = self._breaks[request]
        del breaks[life]
        self._requests[life].discard(request)
        if not self._requests[life]:
            del self._requests[life]
        if not breaks:
            del self._breaks[request]
            self._shared.discard(request)
            self._prefixes.remove(request)

    def count_crashes(self, request):
        """Return the number of replicas that have certainly ended under a request.

        Those of one generation count once.
        """
        breaks = self._breaks.get(request, {}).values()
        return len({one.generation for one in breaks if one.is_crash})

    def is_culprit(self, request):
        """Tell whether as many replicas have ended under a request as may."""
        crashes = self.count_crashes(request)
        return crashes >= self._max_crashes and self._has_weight(request, crashes)

    def _has_weight(self, request, crashes):
        """Tell whether a request that several callers share has part in most crashes.

        That of a single caller needs no weight: a wrong blame costs nobody else.
        """
        if request not in self._shared:
            return True
        first_s = min(one.at_s for one in self._breaks[request].values())
        total = sum(at_s >= first_s for at_s in self._crash_s.values())
        is_enough = crashes >= max(MIN_SHARED_CRASHES, self._max_crashes)
        return is_enough and crashes**2 >= MIN_SHARED_WEIGHT * total

    def find_held_until_s(self, request):
        """Return until when a request is kept from replicas that crash on it."""
        crashes = [one for one in self._breaks[request].values() if one.is_crash]
        repeats = self.count_crashes(request) - self._max_crashes
        hold_s = min(MAX_HOLD_S, HOLD_S * HOLD_FACTOR**repeats)
        callers_s = max(one.expires_s for one in crashes) + CALLER_MARGIN_S
        last_s = max(one.at_s for one in crashes)
        return min(last_s + MAX_HOLD_S, max(last_s + hold_s, callers_s))

    def judge(self, request, *, now_s):
        """Decide whether a request may be sent to one more replica.

        Parameters
        ----------
        request : bytes
            Its fingerprint.
        now_s : float
            Current time.

        Returns
        -------
        Verdict
            ``WAIT`` if that depends on whether replicas that broke it off have ended.
        """
        if self.is_culprit(request) and now_s < self.find_held_until_s(request):
            return Verdict.REFUSE
        breaks = self._breaks.get(request, {}).values()
        possible = {one.generation for one in breaks if one.counts(now_s=now_s)}
        is_open = len(possible) >= self._max_crashes
        must_wait = is_open and self._has_weight(request, len(possible))
        return Verdict.WAIT if must_wait else Verdict.SEND

    def list_crashes(self, *, since_s):
        """Return the crashes since a time, those of the latest requests at the end.

        Returns
        -------
        list of (bytes, Life, Break)
            Fingerprint of the request, start of the replica, and the break.
        """
        return [
            (request, life, one)
            for request, breaks in self._breaks.items()
            for life, one in breaks.items()
            if one.is_crash and one.at_s >= since_s
        ]

    def list_explained(self):
        """Return the starts of replicas that ended under a request with earlier ones.

        Such a request is the cause, rather than what else began there.
        """
        return {
            life
            for breaks in self._breaks.values()
            for life, one in breaks.items()
            if one.is_crash and one.generation > 1
        }

    def list_pending(self):
        """Return the starts of replicas of which it isn't known whether they ended.

        Returns
        -------
        list of (Life, float)
            Each with the time of its first break.
        """
        return list(self._pending_s.items())

    def drop_outdated(self, *, now_s):
        """Forget breaks that proved to be no crash, and requests of long ago."""
        for life, at_s in self.list_pending():
            if now_s - at_s > PENDING_S:
                self.note_alive(life)
        if now_s - self._swept_s < SWEEP_S:
            return
        self._swept_s = now_s
        for request, breaks in list(self._breaks.items()):
            if now_s - max(one.at_s for one in breaks.values()) > REQUEST_RETENTION_S:
                self.forget(request)
