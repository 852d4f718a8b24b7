"""Find the part of prompts that makes replicas crash, at whatever moment of an answer.

That a replica has begun to write proves nothing of a prompt: its process may crash at
any event, or just after the last. What tells a part at fault from a sound one is where
it was present. Replicas that crash for another reason have it as often as all others
have; those that crash because of it always do. The log-likelihood ratio of the two
grows with each such crash, and faster the fewer other replicas had the part at hand.
An answer that a replica survives clears the parts of its prompt of all crashes before.
"""

import math
from collections import OrderedDict, defaultdict
from dataclasses import dataclass
from functools import partial

from lycheetide.gossip import Life
from lycheetide.quarantine._evidence import (
    MIN_CRASHES,
    MIN_CRASHES_OF_ONE_PROMPT,
    MIN_PROMPTS,
    NEVER_S,
    RETENTION_S,
    SETTLING_S,
    count_separate,
)

FRESH_S = 0.5
"""How long after its first event a prompt counts as one that has just begun."""
AFTERMATH_S = 0.3
"""How long a replica must go on after an answer to have survived it."""
MIN_FRESH_SCORE = 10.0
"""Log-likelihood ratio that makes a culprit of a part, if only prompts count that were
read, had just begun, or had just ended."""
MIN_SCORE = 12.0
"""The same if all prompts count that were at hand."""
MIN_SCORE_OF_MOST = 2.5
"""The same for a part that was in nearly all crashes of its time. Where most replicas
are down, the others have nearly every part at hand, and scores stay low."""
MIN_CRASHES_OF_MOST = 6
MIN_PROMPTS_OF_MOST = 3
MIN_SHARE_OF_MOST = 0.65
MAX_JOINT_PARTS = 16
MAX_LIVES = 256
MAX_HITS = 8_192
"""Most pairs of a crash and a part that was present at it."""
MAX_SURVIVED = 4_096
"""Parts of which the last survived answers are remembered."""
SURVIVALS_PER_PART = 4
"""Replicas by which a part's survived answers are remembered: any of them may turn out
to have crashed just after its answer."""
PROOF_S = 1.5
"""Time after an answer in which it may still turn out that its replica has crashed."""


@dataclass(frozen=True)
class PresentPrompt:
    """A prompt that a replica had at hand when it crashed.

    Parameters
    ----------
    prompt : int
        64-bit hash of the prompt's own last part.
    parts : frozenset of bytes
        Hashes of all parts of the prompt.
    age_s : float
        Time from the first event of its answer to the crash; below 0 if there was none.
    is_ended : bool
        Whether the answer had just ended.
    """

    prompt: int
    parts: frozenset[bytes]
    age_s: float = -1.0
    is_ended: bool = False

    @property
    def is_fresh(self):
        """Whether its answer hadn't begun, had just begun, or had just ended."""
        return self.is_ended or self.age_s < FRESH_S


@dataclass(frozen=True)
class Survivals:
    """Answers to prompts with a part that replicas have survived.

    Parameters
    ----------
    latest : tuple of (Life, float)
        The last answers of some replicas, the latest first: the start of the replica
        and the end of the answer.
    tested : (Life, float) or None
        An earlier answer of which it isn't certain yet.
    proven_s : float
        End of the last answer that is certain.
    """

    latest: tuple[tuple[Life, float], ...] = ()
    tested: tuple[Life, float] | None = None
    proven_s: float = NEVER_S

    def add(self, life, at_s):
        """Return these and one more."""
        others = [row for row in self.latest if row[0] != life]
        rows = sorted([(life, at_s), *others], key=lambda row: -row[1])
        tested, proven_s = self.tested, self.proven_s
        if tested is not None and at_s - tested[1] >= PROOF_S:
            proven_s = max(proven_s, tested[1])
            tested = None
        latest = tuple(rows[:SURVIVALS_PER_PART])
        return Survivals(latest, tested or (life, at_s), proven_s)

    def revoke(self, life, at_s):
        """Return these without what a replica that crashed may not have survived."""
        latest = tuple(
            row for row in self.latest if row[0] != life or at_s - row[1] >= PROOF_S
        )
        tested = self.tested
        if tested is not None and tested[0] == life and at_s - tested[1] < PROOF_S:
            tested = None
        return Survivals(latest, tested, self.proven_s)

    @property
    def last_s(self):
        """End of the last answer; -inf for none."""
        return max([self.proven_s, *(at_s for _, at_s in self.latest)])


@dataclass(frozen=True)
class Suspicion:
    """What the crashes at which a part was present say against it.

    Parameters
    ----------
    score : float
        Log-likelihood ratio.
    part : bytes
        Hash of the part.
    lives : tuple of Life
        The starts of replicas that count.
    crashes : int
        Number of separate crashes among them.
    """

    score: float
    part: bytes
    lives: tuple[Life, ...]
    crashes: int


def compare_likelihoods(crashes, total, shares):
    """Return the log-likelihood ratio of a part at fault against a sound one.

    Of ``total`` crashes the part was present at ``crashes``. If it is sound, each
    replica that had it at hand was as likely to crash as any other.

    Parameters
    ----------
    crashes, total : int
        Numbers of separate crashes, at least 1.
    shares : sequence of float
        For each crash at which the part was present, the share of all replicas that had
        it at hand then, above 0 and at most 1.

    Examples
    --------
    >>> round(compare_likelihoods(4, 4, [1 / 20] * 4), 1)
    12.0
    >>> compare_likelihoods(4, 8, [0.5] * 4)
    0.0
    """
    share = math.exp(sum(map(math.log, shares)) / len(shares))
    rate = min(1.0, crashes / total)
    if rate <= share:
        return 0.0
    score = crashes * math.log(rate / share)
    if rate < 1.0:
        score += (total - crashes) * math.log((1.0 - rate) / (1.0 - share))
    return score


class Timeline:
    """Crashes in their order, for counting those since a time.

    Parts of many prompts have their first crash in common, so counts are kept.

    Parameters
    ----------
    crashes : list of (float, collection of int)
        As of ``count_separate``.
    """

    def __init__(self, crashes):
        self._crashes = crashes
        self._counts: dict[float, int] = {}

    def count_since(self, since_s):
        """Return the number of separate crashes at a time and after it."""
        if since_s not in self._counts:
            self._counts[since_s] = count_separate(
                row for row in self._crashes if row[0] >= since_s
            )
        return self._counts[since_s]


class PresenceEvidence:
    """Crashes of replicas, what was at hand there, and answers that were survived."""

    def __init__(self):
        self._at_s: OrderedDict[Life, float] = OrderedDict()
        self._known_s: dict[Life, float] = {}
        self._alive: dict[Life, int] = {}
        self._prompts: dict[Life, dict[int, PresentPrompt]] = {}
        self._lives: dict[bytes, dict[Life, set[int]]] = defaultdict(dict)
        self._hits = 0
        self._crashes_of: dict[int, set[Life]] = defaultdict(set)
        self._elsewhere: dict[tuple[Life, bytes], tuple[set[int], set[int]]] = {}
        self._survived: OrderedDict[bytes, Survivals] = OrderedDict()
        self.last_news_s = NEVER_S

    def __len__(self):
        return len(self._at_s)

    def note_crash(self, life, prompts, *, alive, at_s, now_s):
        """Record prompts that a replica had at hand when it crashed.

        Parameters
        ----------
        life : Life
            The start of the replica that crashed.
        prompts : iterable of PresentPrompt
            Prompts; the parts of a long list come in several pieces.
        alive : int
            Number of replicas that could have crashed, this one included.
        at_s, now_s : float
            When it crashed, and current time.

        Returns
        -------
        bool
            Whether the crash wasn't known.
        """
        is_new = life not in self._at_s
        if is_new:
            self._at_s[life] = at_s
            self._known_s[life] = now_s
            self._alive[life] = max(1, alive)
            self._prompts[life] = {}
        known = self._prompts[life]
        for new in prompts:
            old = known.get(new.prompt)
            parts = new.parts if old is None else new.parts | old.parts
            known[new.prompt] = PresentPrompt(
                new.prompt, parts, new.age_s, new.is_ended
            )
            self._crashes_of[new.prompt].add(life)
            for part in new.parts:
                self._hits += life not in self._lives[part]
                self._lives[part].setdefault(life, set()).add(new.prompt)
                if part in self._survived:
                    left = self._survived[part].revoke(life, at_s)
                    self._survived[part] = left
        self.last_news_s = max(self.last_news_s, now_s)
        while len(self._at_s) > MAX_LIVES or (
            self._hits > MAX_HITS and len(self._at_s) > 1
        ):
            self._drop(next(iter(self._at_s)))
        return is_new

    def list_crashes(self, *, since_s):
        """Return the crashes since a time, the last that were learnt of at the end.

        Returns
        -------
        list of (Life, float, list of PresentPrompt)
            The start of each replica, when it crashed, and what it had at hand.
        """
        return [
            (life, at_s, list(self._prompts[life].values()))
            for life, at_s in self._at_s.items()
            if at_s >= since_s
        ]

    def _drop(self, life):
        """Forget a crash."""
        del self._at_s[life], self._known_s[life], self._alive[life]
        for one in self._prompts.pop(life).values():
            self._crashes_of[one.prompt].discard(life)
            if not self._crashes_of[one.prompt]:
                del self._crashes_of[one.prompt]
            for part in one.parts:
                self._elsewhere.pop((life, part), None)
                if life not in self._lives.get(part, ()):
                    continue
                self._hits -= 1
                del self._lives[part][life]
                if not self._lives[part]:
                    del self._lives[part]

    def note_elsewhere(self, life, part, fresh, others):
        """Record which other replicas had a part at hand when a replica crashed.

        Parameters
        ----------
        life : Life
            The start of the replica that crashed.
        part : bytes
            Hash of the part.
        fresh, others : iterable of int
            Hashes of their ids: those with a prompt that had just begun or ended, and
            those with another one.
        """
        if life not in self._lives.get(part, ()):
            return
        known = self._elsewhere.setdefault((life, part), (set(), set()))
        known[0].update(fresh)
        known[1].update(fresh, others)

    def list_elsewhere(self, life, part):
        """Return the replicas that had a part at hand, fresh ones and all."""
        return self._elsewhere.get((life, part), (frozenset(), frozenset()))

    def is_widespread(self, life, others):
        """Tell whether half of all replicas had something at hand at a crash.

        Parameters
        ----------
        life : Life
            The start of the replica that crashed.
        others : int
            Number of the other replicas that had it.
        """
        return others + 1 >= self._alive.get(life, 1) / 2

    def note_survived(self, parts, life, *, at_s):
        """Record that a replica has answered a prompt whole.

        That it has survived the answer is revoked if it turns out to have crashed with
        the prompt just ended.
        """
        for part in parts:
            known = self._survived.get(part, Survivals())
            self._survived[part] = known.add(life, at_s)
            self._survived.move_to_end(part)
        while len(self._survived) > MAX_SURVIVED:
            self._survived.popitem(last=False)

    def find_survived(self, part):
        """Return the last survived answer of a part.

        Returns
        -------
        tuple of (Life, float) or None
            The replica and the end of the answer; None if there is none that may be
            told to others.
        """
        return next(iter(self._survived.get(part, Survivals()).latest), None)

    def last_survived_s(self, part):
        """Return when the last survived answer of a part ended; -inf for never."""
        return self._survived.get(part, Survivals()).last_s

    def is_suspect(self, part):
        """Tell whether a part was present at a remembered crash."""
        return part in self._lives

    def is_settling(self, *, now_s):
        """Tell whether a part may turn out as a culprit without further news."""
        return now_s - self.last_news_s < SETTLING_S

    def drop_outdated(self, *, now_s):
        """Forget crashes that are long past."""
        outdated = [
            life for life, at_s in self._at_s.items() if now_s - at_s > RETENTION_S
        ]
        for life in outdated:
            self._drop(life)

    def find_longest_s(self, parts):
        """Return the longest time that a replica wrote on some parts before it crashed.

        Returns
        -------
        float
            0 if it only crashed before its first event; infinite if one crashed after
            the last event, or if none is known to have crashed.
        """
        parts = frozenset(parts)
        part = min(parts)
        ages_s = [
            math.inf if one.is_ended else max(0.0, one.age_s)
            for life in self._lives.get(part, ())
            for one in self._list_with(part, life)
            if parts <= one.parts
        ]
        return max(ages_s, default=math.inf)

    def find_culprits(self, quarantined, *, objection_s, now_s, explained=frozenset()):
        """Return the parts that make replicas crash, by what is known.

        Parameters
        ----------
        quarantined : iterable of frozenset of bytes
            Sets of parts that are already known to; a crash at which a prompt with
            such a set was present says nothing about other parts.
        objection_s : float
            Time that other nodes have, after each crash, to report answers that were
            survived, and replicas that have a part at hand.
        now_s : float
            Current time.
        explained : set of Life
            Starts of replicas that ended under a request with earlier crashes. There,
            only prompts that were present at several crashes count.

        Returns
        -------
        list of (frozenset of bytes, int)
            Sets of parts that occurred only together, each with its number of crashes.
        """
        known = list(quarantined)
        found: list[tuple[frozenset[bytes], int]] = []
        weigh = partial(
            self._list_suspicions, objection_s=objection_s, now_s=now_s,
            explained=explained,
        )  # fmt: skip
        while True:
            worst = max(
                weigh(known), key=lambda one: (one.score, one.part), default=None
            )
            if worst is None:
                return found
            parts = self._find_joint(worst)
            found.append((parts, worst.crashes))
            known.append(parts)

    def weigh(self, part):
        """Return the log-likelihood ratio of a part, by all prompts at hand."""
        lives = [
            life
            for life in self._lives.get(part, ())
            if self._at_s[life] > self.last_survived_s(part)
        ]
        if not lives:
            return 0.0
        timeline = self._make_timeline(frozenset())
        return max(
            self._score(part, some, timeline, level)[0]
            for level in (0, 1)
            if (some := self._select(part, lives, level, frozenset()))
        )

    def _list_suspicions(self, known, *, objection_s, now_s, explained):
        """Yield what suffices against parts."""
        candidates = [
            part for part, lives in self._lives.items() if len(lives) >= MIN_CRASHES
        ]
        if not candidates:
            return
        accounted = {
            life
            for life, prompts in self._prompts.items()
            if any(parts <= one.parts for parts in known for one in prompts.values())
        }
        timeline = self._make_timeline(accounted)
        for part in candidates:
            survived_s = self.last_survived_s(part)
            lives = [
                life
                for life in self._lives[part]
                if self._at_s[life] > survived_s
                and life not in accounted
                and now_s - self._known_s[life] >= objection_s
            ]
            for level, min_score in enumerate((MIN_FRESH_SCORE, MIN_SCORE)):
                some = self._select(part, lives, level, explained)
                if len(some) < MIN_CRASHES:
                    continue
                score, crashes, total = self._score(part, some, timeline, level)
                prompts = {
                    one.prompt for life in some for one in self._list_with(part, life)
                }
                if crashes < MIN_CRASHES or (
                    len(prompts) < MIN_PROMPTS and crashes < MIN_CRASHES_OF_ONE_PROMPT
                ):
                    continue
                is_in_most = (
                    level == 0
                    and crashes >= max(MIN_CRASHES_OF_MOST, MIN_SHARE_OF_MOST * total)
                    and len(prompts) >= MIN_PROMPTS_OF_MOST
                    and score >= MIN_SCORE_OF_MOST
                )
                if score >= min_score or is_in_most:
                    yield Suspicion(score, part, tuple(some), crashes)

    def _list_with(self, part, life):
        """Return the prompts with a part that were present at a crash."""
        return [self._prompts[life][prompt] for prompt in self._lives[part][life]]

    def _select(self, part, lives, level, explained):
        """Return the crashes that count against a part.

        Parameters
        ----------
        part : bytes
            Hash of the part.
        lives : list of Life
            Crashes at which it was present.
        level : int
            0 if only fresh prompts count, 1 if all do.
        explained : set of Life
            As in ``find_culprits``.
        """
        return [
            life
            for life in lives
            if any(
                (level or one.is_fresh)
                and (life not in explained or len(self._crashes_of[one.prompt]) > 1)
                for one in self._list_with(part, life)
            )
        ]

    def _make_timeline(self, accounted):
        """Return the crashes that no known part accounts for, in their order.

        Returns
        -------
        Timeline
        """
        ordered = sorted(self._at_s.items(), key=lambda item: item[1])
        return Timeline(
            [
                (at_s, self._prompts[life].keys())
                for life, at_s in ordered
                if life not in accounted
            ]
        )

    def _score(self, part, lives, timeline, level):
        """Return the score of a part, its separate crashes, and all since its first."""
        ordered = sorted((self._at_s[life], place) for place, life in enumerate(lives))
        crashes = count_separate(
            (at_s, self._lives[part][lives[place]]) for at_s, place in ordered
        )
        total = timeline.count_since(ordered[0][0])
        shares = [
            min(1.0, (len(self.list_elsewhere(life, part)[level]) + 1)
                / self._alive[life])
            for life in lives
        ]  # fmt: skip
        score = compare_likelihoods(crashes, max(total, crashes), shares)
        return score, crashes, total

    def _find_joint(self, worst):
        """Return the parts that were present wherever a culprit was."""
        shared = frozenset.intersection(
            *(
                frozenset().union(*(x.parts for x in self._list_with(worst.part, life)))
                for life in worst.lives
            )
        )
        first_s = min(self._at_s[life] for life in worst.lives)
        joint = [part for part in shared if self.last_survived_s(part) < first_s]
        new = [part for part in joint if self.last_survived_s(part) == NEVER_S]
        return frozenset(sorted(new or joint)[:MAX_JOINT_PARTS])
