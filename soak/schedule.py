"""Fault schedules, generated from a seed."""

import random
from dataclasses import dataclass

NODE_FAULTS = ("kill", "pause", "stop", "reload", "torn_settings", "front_reset",
               "front_delay")  # fmt: skip
REPLICA_FAULTS = ("reset", "delay", "cut_up", "cut_down", "silent", "refuse", "sick",
                  "crash", "drain", "cold")  # fmt: skip
STORE_FAULTS = ("store_busy", "store_silent", "store_slow", "store_reset",
                "store_some", "store_compact")  # fmt: skip
FLEET_FAULTS = ("configure", "revoke", "domain_out", "kill_all", "pause_most")
DEMAND_FAULTS = ("limit", "limit", "rest", "leave")
DEMAND_RANGE_S = (4.0, 11.0)
"""From a short need to one that lasts longer than it takes for all rules to apply."""
DEMAND_REPEAT_SHARE = 0.5
"""Fraction of the demands that another replica makes at nearly the same time."""
LINK_FAULTS = ("links_one", "links_most", "links_most", "links_domain")
LINK_RANGE_S = (2.5, 6.0)
"""From a cut that is hardly noticed before it ends to one that outlasts all rests."""
LINK_REPEAT_SHARE = 0.4
"""Fraction of the cuts that come back soon after they have ended."""
ODD_FAULTS = ("endless", "early", "odd_entry", "odd_entry")
LOSS_FAULTS = ("lost_waits", "lost_waits", "lost_answers")
LOSS_CHANGES = ("revoke", "domain_out", "configure")
LOSS_RANGE_S = (0.3, 2.5)
LOSS_REPEAT_SHARE = 0.5
"""Fraction of the losses that come back soon after they have ended."""
SILENCE_FAULTS = ("quiet_one", "quiet_some", "quiet_all")
SILENCE_RANGE_S = (0.4, 1.75)
"""From a gap that nodes always wait out to just below the timeout of callers."""
SECOND_SILENCE_SHARE = 0.6
CONFIGURE_SHARE = 0.6
"""Fractions of the silences that are repeated, and that have a configuration change
nearby."""
REPEAT_SHARE = 0.35
"""Fraction of the faults that are repeated within 0.5 s, with another target."""


@dataclass(frozen=True)
class Fault:
    """One scheduled fault.

    Parameters
    ----------
    at_s : float
        Start, relative to the start of the run.
    kind : str
        Kind of fault, one of the names above.
    target : int
        Index of the node or replica, modulo their number.
    duration_s : float
        Duration, for kinds that have one.
    """

    at_s: float
    kind: str
    target: int
    duration_s: float


def generate_faults(seed, *, seconds, count):
    """Yield the faults of a run, ordered by their start but for repeats.

    Parameters
    ----------
    seed : int
        Determines the whole schedule.
    seconds : float
        Period in which faults start.
    count : int
        Number of faults, without the repeated ones.
    """
    rng = random.Random(seed)
    # A few kinds that each occur several times overlap more often than many kinds.
    groups = (NODE_FAULTS, REPLICA_FAULTS, STORE_FAULTS, FLEET_FAULTS)
    kinds = [rng.choice(group) for group in groups for _ in range(2)]
    times = sorted(rng.uniform(0.0, seconds) for _ in range(count))
    for at_s in times:
        kind = rng.choice(kinds)
        fault = Fault(at_s, kind, rng.randrange(1 << 16), rng.uniform(0.3, 3.0))
        yield fault
        if rng.random() < REPEAT_SHARE:
            later_s = at_s + rng.uniform(0.0, 0.5)
            yield Fault(later_s, kind, rng.randrange(1 << 16), fault.duration_s)


def generate_silences(seed, *, seconds, count):
    """Return silences of replicas, some with a configuration change nearby.

    They use a separate random generator, so the other faults of a seed are the same
    with and without them.

    Parameters
    ----------
    seed, seconds, count
        As in ``generate_faults``.
    """
    rng = random.Random(f"{seed}/quiet")
    faults = []
    for _ in range(count):
        at_s = rng.uniform(0.0, seconds)
        kind = rng.choice(SILENCE_FAULTS)
        target = rng.randrange(1 << 16)
        first = Fault(at_s, kind, target, rng.uniform(*SILENCE_RANGE_S))
        faults.append(first)
        if rng.random() < SECOND_SILENCE_SHARE:
            # Soon enough that a stream which moved or continued meets the second too.
            again_s = at_s + first.duration_s + rng.uniform(0.05, 0.4)
            faults.append(Fault(again_s, kind, target, rng.uniform(*SILENCE_RANGE_S)))
        if rng.random() < CONFIGURE_SHARE:
            beside_s = at_s + rng.uniform(0.0, 2.5)
            faults.append(Fault(beside_s, "configure", 0, 0.0))
    return faults


def generate_link_cuts(seed, *, seconds, count):
    """Return cuts between nodes and replicas, some of which come back soon.

    They use a separate random generator, as silences do.

    Parameters
    ----------
    seed, seconds, count
        As in ``generate_faults``.
    """
    rng = random.Random(f"{seed}/links")
    faults = []
    for _ in range(count):
        at_s = rng.uniform(0.0, seconds)
        kind = rng.choice(LINK_FAULTS)
        target = rng.randrange(1 << 16)
        first = Fault(at_s, kind, target, rng.uniform(*LINK_RANGE_S))
        faults.append(first)
        if rng.random() < LINK_REPEAT_SHARE:
            again_s = at_s + first.duration_s + rng.uniform(0.1, 1.0)
            faults.append(Fault(again_s, kind, target, rng.uniform(0.5, 2.0)))
    return faults


def generate_losses(seed, *, seconds, count):
    """Return losses of the store's answers, each with an operator's change meanwhile.

    They use a separate random generator, as silences do.

    Parameters
    ----------
    seed, seconds, count
        As in ``generate_faults``.
    """
    rng = random.Random(f"{seed}/losses")
    faults = []
    for _ in range(count):
        at_s = rng.uniform(0.0, seconds)
        kind = rng.choice(LOSS_FAULTS)
        duration_s = rng.uniform(*LOSS_RANGE_S)
        faults.append(Fault(at_s, kind, 0, duration_s))
        beside_s = at_s + rng.uniform(0.0, duration_s)
        change = rng.choice(LOSS_CHANGES)
        faults.append(Fault(beside_s, change, rng.randrange(1 << 16), 1.0))
        if rng.random() < LOSS_REPEAT_SHARE:
            again_s = at_s + duration_s + rng.uniform(0.1, 2.0)
            faults.append(Fault(again_s, kind, 0, rng.uniform(*LOSS_RANGE_S)))
    return faults


def generate_oddities(seed, *, seconds, count):
    """Return faults in which replicas, or another writer, send what makes no sense.

    They use a separate random generator, as silences do.

    Parameters
    ----------
    seed, seconds, count
        As in ``generate_faults``.
    """
    rng = random.Random(f"{seed}/oddities")
    return [
        Fault(
            rng.uniform(0.0, seconds),
            rng.choice(ODD_FAULTS),
            rng.randrange(1 << 16),
            rng.uniform(0.3, 3.0),
        )
        for _ in range(count)
    ]


def generate_bursts(seed, *, seconds, count):
    """Return times in which nearly all new connections go to one node.

    They use a separate random generator, as silences do.

    Parameters
    ----------
    seed, seconds, count
        As in ``generate_faults``.
    """
    rng = random.Random(f"{seed}/bursts")
    return [
        Fault(rng.uniform(0.0, seconds), "burst", rng.randrange(1 << 16), rng.random())
        for _ in range(count)
    ]


def generate_demands(seed, *, seconds, count):
    """Return demands that replicas make in their answers, some at the same time.

    They use a separate random generator, as silences do.

    Parameters
    ----------
    seed, seconds, count
        As in ``generate_faults``.
    """
    rng = random.Random(f"{seed}/demands")
    faults = []
    for _ in range(count):
        at_s = rng.uniform(0.0, seconds)
        kind = rng.choice(DEMAND_FAULTS)
        duration_s = rng.uniform(*DEMAND_RANGE_S)
        faults.append(Fault(at_s, kind, rng.randrange(1 << 16), duration_s))
        if rng.random() < DEMAND_REPEAT_SHARE:
            beside_s = at_s + rng.uniform(0.0, 0.5)
            faults.append(Fault(beside_s, kind, rng.randrange(1 << 16), duration_s))
    return faults
