"""Which faults come when, decided by a seed."""

import random
from dataclasses import dataclass

NODE_FAULTS = ("kill", "pause", "stop", "reload", "torn_settings", "front_reset",
               "front_delay")  # fmt: skip
REPLICA_FAULTS = ("reset", "delay", "cut_up", "cut_down", "silent", "refuse", "sick",
                  "crash", "drain", "cold")  # fmt: skip
STORE_FAULTS = ("store_busy", "store_silent", "store_slow", "store_reset",
                "store_some", "store_compact")  # fmt: skip
FLEET_FAULTS = ("configure", "revoke", "domain_out", "kill_all", "pause_most")
QUIET_FAULTS = ("quiet_one", "quiet_some", "quiet_all")
QUIET_S = (0.4, 1.75)
"""From what nodes wait for without a doubt to just below what callers wait."""
QUIET_AGAIN = 0.6
QUIET_CONFIGURED = 0.6
"""Parts of the silences that come twice, and beside changes of the configuration."""
SERIES = 0.35
"""Part of the faults that come again at once, with another target."""


@dataclass(frozen=True)
class Fault:
    """One fault.

    Parameters
    ----------
    at_s : float
        When, from the start of the run.
    kind : str
        What.
    target : int
        Which node or replica; taken modulo their number.
    lasts_s : float
        How long, where it lasts.
    """

    at_s: float
    kind: str
    target: int
    lasts_s: float


def draw_faults(seed, *, seconds, count):
    """Yield the faults of a run in order.

    Parameters
    ----------
    seed : int
        Decides all of it.
    seconds : float
        Faults begin within this time.
    count : int
        About how many.
    """
    luck = random.Random(seed)
    # Few kinds in a run, each several times, meet one another more often than all.
    groups = (NODE_FAULTS, REPLICA_FAULTS, STORE_FAULTS, FLEET_FAULTS)
    kinds = [luck.choice(group) for group in groups for _ in range(2)]
    times = sorted(luck.uniform(0.0, seconds) for _ in range(count))
    for at_s in times:
        kind = luck.choice(kinds)
        fault = Fault(at_s, kind, luck.randrange(1 << 16), luck.uniform(0.3, 3.0))
        yield fault
        if luck.random() < SERIES:
            later_s = at_s + luck.uniform(0.0, 0.5)
            yield Fault(later_s, kind, luck.randrange(1 << 16), fault.lasts_s)


def draw_quiets(seed, *, seconds, count):
    """Return times when replicas say nothing, with changes of the configuration.

    They have their own source of chance: a plan without them stays as it is.

    Parameters
    ----------
    seed, seconds, count
        As of ``draw_faults``.
    """
    luck = random.Random(f"{seed}/quiet")
    faults = []
    for _ in range(count):
        at_s = luck.uniform(0.0, seconds)
        kind = luck.choice(QUIET_FAULTS)
        target = luck.randrange(1 << 16)
        first = Fault(at_s, kind, target, luck.uniform(*QUIET_S))
        faults.append(first)
        if luck.random() < QUIET_AGAIN:
            # So soon that a stream which moved or went on meets the second as well.
            again_s = at_s + first.lasts_s + luck.uniform(0.05, 0.4)
            faults.append(Fault(again_s, kind, target, luck.uniform(*QUIET_S)))
        if luck.random() < QUIET_CONFIGURED:
            beside_s = at_s + luck.uniform(0.0, 2.5)
            faults.append(Fault(beside_s, "configure", 0, 0.0))
    return faults
