"""Find the part of prompts that makes replicas crash.

A replica that crashes has many requests at hand, and some are always just beginning.
One crash therefore accuses every part of their prompts. A part that crashes each
replica differs in two ways: it takes part in one crash after the other, and no request
with it ever receives an event.
"""

from collections import Counter, OrderedDict, defaultdict
from dataclasses import dataclass, replace

from lycheetide.gossip import Life

MIN_CRASHES = 4
"""Crashes since a part was last written on that make it a culprit."""
MIN_PROMPTS = 2
"""Different prompts among them: one unlucky prompt proves nothing about its parts."""
MIN_CRASHES_OF_ONE_PROMPT = 5
"""Crashes that suffice if all were those of one prompt, repeated by its caller."""
MIN_NARROWING_CRASHES = 2
"""Further crashes that narrow down a set of parts which is quarantined together."""
JOINT_CRASHES_S = 0.03
"""Replicas that crash within this time of each other have a cause in common, such as a
failure of their hosts, and count as one crash."""
MIN_WEIGHT = 2.0
"""Crashes of a culprit, times its share of all crashes since its first one: four of
eight, six of eighteen. Where replicas are killed one after the other, each part is in
some of the crashes."""
MAX_PROMPTS_PER_CRASH = 2
"""Prompts with a part at each crash, above which the part may be in most prompts. It is
then no culprit before ``WRITTEN_S`` since its first crash."""
MAX_CRASHED_SHARE = 0.5
"""Share of all replicas that have crashed since then, with the same effect: where few
replicas are left to write, that none has written on a part proves nothing."""
WRITTEN_S = 2.0
"""How long a part is no culprit after a request with it has received an event."""
MAX_JOINT_PARTS = 16
"""Parts that are quarantined together, so that a set fits a datagram."""
SETTLING_S = 4.0
"""How long after the last news of a crash a part may still turn out as a culprit."""
RETENTION_S = 600.0
"""How long crashes are remembered."""
MAX_SAMPLES = 256
MAX_SAMPLE_PARTS = 8_192
"""Most parts of all remembered crashes together."""
MAX_WRITTEN = 4_096
"""Parts of which the last event is remembered. Popular ones are renewed all the time; a
part that was displaced counts as never written on."""
NEVER_S = float("-inf")


@dataclass(frozen=True)
class CrashSample:
    """A request that had received no event when its replica crashed.

    Parameters
    ----------
    life : Life
        The start of the replica that crashed.
    prompt : int
        64-bit hash of the prompt's own last part.
    parts : frozenset of bytes
        Hashes of all parts of the prompt.
    at_s : float
        Time of the crash.
    known_s : float
        Time at which this node learnt of it.
    """

    life: Life
    prompt: int
    parts: frozenset[bytes]
    at_s: float
    known_s: float


def count_crashes(samples):
    """Return the number of separate crashes of some samples.

    Crashes of different replicas within ``JOINT_CRASHES_S`` count as one, unless a
    prompt was beginning at both: it was sent to the second after the first had ended.
    """
    first_s: dict[Life, float] = {}
    prompts: dict[Life, set[int]] = defaultdict(set)
    for sample in samples:
        first_s[sample.life] = min(sample.at_s, first_s.get(sample.life, sample.at_s))
        prompts[sample.life].add(sample.prompt)
    ordered = sorted(first_s.items(), key=lambda item: item[1])
    return count_separate((at_s, prompts[life]) for life, at_s in ordered)


def count_separate(crashes):
    """Return the number of separate crashes, as ``count_crashes`` does.

    Parameters
    ----------
    crashes : iterable of (float, collection of int)
        The time of each replica's crash, in their order, and the prompts at hand there.
    """
    count = 0
    last_s = NEVER_S
    begun: set[int] = set()
    for at_s, prompts in crashes:
        if at_s - last_s >= JOINT_CRASHES_S or not begun.isdisjoint(prompts):
            count += 1
            last_s = at_s
            begun = set()
        begun.update(prompts)
    return count


class CrashEvidence:
    """Crashes of replicas, and the parts of prompts that replicas have written on.

    Parameters
    ----------
    min_crashes : int, default=MIN_CRASHES
        Crashes that make a part a culprit.
    """

    def __init__(self, *, min_crashes=MIN_CRASHES):
        self._min_crashes = min_crashes
        self._samples: OrderedDict[tuple[Life, int], CrashSample] = OrderedDict()
        self._sample_parts = 0
        self._suspect_parts: dict[bytes, int] = defaultdict(int)
        self._written_s: OrderedDict[bytes, float] = OrderedDict()
        self.last_news_s = NEVER_S

    def note_written(self, parts, *, now_s):
        """Record that a request with some parts has received an event.

        Parameters
        ----------
        parts : iterable of bytes
            Hashes of the parts.
        now_s : float
            When it did.
        """
        for part in parts:
            self._written_s[part] = max(now_s, self._written_s.get(part, now_s))
            self._written_s.move_to_end(part)
        while len(self._written_s) > MAX_WRITTEN:
            self._written_s.popitem(last=False)

    def last_written_s(self, part):
        """Return when a request with a part last received an event; -inf for never."""
        return self._written_s.get(part, NEVER_S)

    def list_samples(self, *, since_s):
        """Return the crashes since a time, the last that were learnt of at the end."""
        return [one for one in self._samples.values() if one.at_s >= since_s]

    def is_suspect(self, part):
        """Tell whether a part takes part in a remembered crash."""
        return part in self._suspect_parts

    def note_crash(self, sample):
        """Record a request that was beginning when its replica crashed.

        A long list of parts comes in several pieces, which are put together; a piece
        that comes twice changes nothing.
        """
        key = sample.life, sample.prompt
        known = self._samples.get(key)
        if known is not None:
            if sample.parts <= known.parts:
                return
            self._drop(key)
            sample = replace(known, parts=known.parts | sample.parts)
        self._samples[key] = sample
        self._sample_parts += len(sample.parts)
        for part in sample.parts:
            self._suspect_parts[part] += 1
        self.last_news_s = max(self.last_news_s, sample.known_s)
        while len(self._samples) > MAX_SAMPLES or (
            self._sample_parts > MAX_SAMPLE_PARTS and len(self._samples) > 1
        ):
            self._drop(next(iter(self._samples)))

    def _drop(self, key):
        """Forget one sample."""
        sample = self._samples.pop(key)
        self._sample_parts -= len(sample.parts)
        for part in sample.parts:
            self._suspect_parts[part] -= 1
            if not self._suspect_parts[part]:
                del self._suspect_parts[part]

    def is_settling(self, *, now_s):
        """Tell whether a part may turn out as a culprit without further news."""
        return now_s - self.last_news_s < SETTLING_S

    def drop_outdated(self, *, now_s):
        """Forget crashes that are long past."""
        for key, sample in list(self._samples.items()):
            if now_s - sample.at_s > RETENTION_S:
                self._drop(key)

    def find_culprits(
        self, quarantined, *, replicas, objection_s, now_s, explained=frozenset()
    ):
        """Return the parts that make replicas crash, by what is known.

        Parameters
        ----------
        quarantined : iterable of frozenset of bytes
            Sets of parts that are already known to; a crash of a prompt that contains
            such a set says nothing about its other parts.
        replicas : int
            Number of replicas.
        objection_s : float
            Time that other nodes have to report that a replica has written on a part.
        now_s : float
            Current time.
        explained : set of Life
            Starts of replicas that ended under a request with earlier crashes. There,
            only prompts that were beginning at several crashes accuse their parts.

        Returns
        -------
        list of (frozenset of bytes, int)
            Sets of parts, each with its number of crashes. A set has several parts if
            these have occurred only together, so that it isn't known which of them is
            at fault.
        """
        known = list(quarantined)
        crashes = Counter(sample.prompt for sample in self._samples.values())
        accusing = [
            sample
            for sample in self._samples.values()
            if sample.life not in explained or crashes[sample.prompt] > 1
        ]
        found: list[tuple[frozenset[bytes], int]] = []
        while True:
            culprit = self._find_culprit(
                known, accusing, replicas=replicas, objection_s=objection_s, now_s=now_s
            )
            if culprit is None:
                return found
            found.append(culprit)
            known.append(culprit[0])

    def _find_culprit(self, known, accusing, *, replicas, objection_s, now_s):
        """Return the set of parts with most crashes, or None if there is no culprit."""
        suspects = self._list_suspects(known, accusing)
        counts = {
            part: suspect.crashes
            for part, suspect in suspects.items()
            if suspect.is_culprit
            and suspect.crashes**2
            >= MIN_WEIGHT * self._count_since(suspect, known, accusing)
            and now_s - suspect.first_s >= self._find_min_age_s(suspect, replicas)
            and now_s - self.last_written_s(part) >= WRITTEN_S
            and now_s - suspect.known_s >= objection_s
        }
        if not counts:
            return None
        worst = max(counts, key=lambda part: (counts[part], part))
        shared = frozenset.intersection(
            *(sample.parts for sample in suspects[worst].samples)
        )
        joint = [part for part in shared if part in counts]
        unwritten = [part for part in joint if self.last_written_s(part) == NEVER_S]
        if not unwritten:
            # Of parts that were sound before, the one unused for longest.
            joint.sort(key=lambda part: (self.last_written_s(part), part))
            return frozenset(joint[:1]), counts[worst]
        return frozenset(sorted(unwritten)[:MAX_JOINT_PARTS]), counts[worst]

    def _count_since(self, suspect, known, accusing):
        """Return the number of all crashes since the first one of a suspect.

        Crashes that have another cause count only if they count against it.
        """
        return count_crashes(
            sample
            for sample in accusing
            if sample.at_s >= suspect.first_s
            and (
                sample in suspect.samples
                or not any(parts <= sample.parts for parts in known)
            )
        )

    def _find_min_age_s(self, suspect, replicas):
        """Return the time since its first crash before which a part is no culprit."""
        crashed = {
            sample.life
            for sample in self._samples.values()
            if sample.at_s >= suspect.first_s
        }
        is_common = len(suspect.samples) > MAX_PROMPTS_PER_CRASH * suspect.crashes
        is_collapse = len(crashed) >= MAX_CRASHED_SHARE * replicas
        return WRITTEN_S if is_common or is_collapse else 0.0

    def _list_suspects(self, known, accusing):
        """Return what speaks against each part, by part."""
        samples: dict[bytes, list[CrashSample]] = defaultdict(list)
        fresh: dict[bytes, list[CrashSample]] = defaultdict(list)
        for sample in accusing:
            is_explained = any(parts <= sample.parts for parts in known)
            for part in sample.parts:
                if sample.at_s <= self.last_written_s(part):
                    continue
                samples[part].append(sample)
                if not is_explained:
                    fresh[part].append(sample)
        joined = frozenset().union(*(parts for parts in known if len(parts) > 1))
        return {
            part: Suspect.make(
                samples[part],
                fresh[part],
                is_joined=part in joined,
                min_crashes=self._min_crashes,
            )
            for part in fresh
        }


@dataclass(frozen=True)
class Suspect:
    """What speaks against one part of prompts.

    Parameters
    ----------
    samples : tuple of CrashSample
        Crashes that count against it.
    crashes : int
        Number of separate crashes among them.
    is_culprit : bool
        Whether they suffice.
    known_s : float
        When this node learnt of the first.
    """

    samples: tuple[CrashSample, ...]
    crashes: int
    is_culprit: bool
    known_s: float

    @property
    def first_s(self):
        """Time of the first crash."""
        return min(sample.at_s for sample in self.samples)

    @classmethod
    def make(cls, samples, fresh, *, is_joined, min_crashes):
        """Weigh the crashes of one part.

        Parameters
        ----------
        samples : list of CrashSample
            All of its crashes since it was last written on.
        fresh : list of CrashSample
            Those among them that no known set of parts explains.
        is_joined : bool
            Whether it is a member of a set that is quarantined together.
        min_crashes : int
            Crashes that suffice.
        """
        counted = tuple(samples if is_joined else fresh)
        crashes = count_crashes(counted)
        is_enough = crashes >= min_crashes
        if is_joined:
            is_enough = is_enough and count_crashes(fresh) >= MIN_NARROWING_CRASHES
        prompts = len({sample.prompt for sample in counted})
        is_varied = prompts >= MIN_PROMPTS or crashes >= MIN_CRASHES_OF_ONE_PROMPT
        known_s = min(sample.known_s for sample in counted)
        return cls(counted, crashes, is_enough and is_varied, known_s)
