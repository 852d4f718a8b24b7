"""Execute one soak run."""

import random
import time
from dataclasses import dataclass
from functools import partial

import anyio

from lycheetide.platform import QUARANTINE_TOPIC
from lycheetide.quarantine import decode_entries
from lycheetide.tasks import TICK_S, StallDetector
from soak.callers import (
    BAD_CALLER_COUNT,
    BAD_PART,
    CALL_KINDS,
    CALL_KINDS_WITH_PATIENT,
    CALLER_COUNT,
    SMALL_CALL_KINDS,
    UPLOAD_CALLER_NAME,
    is_fatal,
    run_bad_caller,
    run_caller,
    run_fatal_caller,
    run_upload_caller,
)
from soak.checks import RunRecord, find_violations
from soak.deployment import PATIENT_TIMEOUT_MS, STOP_NOTICE_S, STOP_S, Deployment
from soak.faults import FaultInjector
from soak.schedule import (
    generate_bursts,
    generate_demands,
    generate_faults,
    generate_link_cuts,
    generate_losses,
    generate_oddities,
    generate_silences,
)

FAULT_PHASE_S = 10.0
FAULT_COUNT = 14
QUIET_COUNT = 6
DEMAND_COUNT = 6
LINK_CUT_COUNT = 3
BURST_COUNT = 1
LOSS_COUNT = 2
ODDITY_COUNT = 4
UPLOAD_CALLER_COUNT = 2
FATAL_CALLER_COUNT = 2
FRAMINGS = ("chunks", "close", "chunks-close")
LINE_ENDS = ((b"\n",), (b"\r\n",), (b"\r",), (b"\r\n", b"\n"))
MAX_CUTS = 3
"""Largest number of random places at which an event is cut into pieces."""
LAST_BYTE_SHARE = 0.5
"""Share of events that are cut before their last byte too."""
MOMENTS = ("request", "head", "events")
PART_MOMENTS = ("any", "first", "head", "last", "events", "end")
PART_CRASH_DELAY_S = 0.02
RECOVERY_S = 6.0
"""Time after the last fault from which on every attempt must succeed."""
CALM_S = 3.0
RELEASE_WAIT_S = 4.5
"""Time after the last request within which all reservations must be released."""


@dataclass(frozen=True)
class RunResult:
    """Outcome of a run.

    Parameters
    ----------
    seed : int
        Seed of the run.
    broken : list of str
        Violated guarantees, one line each.
    attempts, served : int
        Number of attempts, and of those with a complete 2xx response.
    faults : list of str
        Faults that were injected.
    folder : str
        Folder with the logs of the nodes.
    stalls : list of (float, float)
        Stalls of this process, which runs the callers, replicas and proxies: the end,
        relative to the start of the run, and the length. Times recorded during a stall
        are late.
    """

    seed: int
    broken: list
    attempts: int
    served: int
    faults: list
    folder: str
    stalls: list


async def run_soak(
    seed,
    *,
    seconds=FAULT_PHASE_S,
    count=FAULT_COUNT,
    nodes=4,
    quiets=0,
    demands=0,
    link_cuts=0,
    bursts=0,
    losses=0,
    oddities=0,
    has_bad_part=False,
    has_fatal_requests=False,
):
    """Execute one run and check its guarantees.

    Parameters
    ----------
    seed : int
        Determines the faults and the behaviour of callers.
    seconds : float
        Period in which faults start.
    count : int
        Number of faults, without the repeated ones.
    nodes : int
        Number of nodes.
    quiets : int
        Number of silences of replicas in addition to the other faults, without the
        repeated ones.
    demands : int
        Number of demands that replicas make in their answers, likewise.
    link_cuts : int
        Number of cuts between nodes and replicas, likewise.
    bursts : int
        Number of times in which nearly all new connections go to one node.
    losses : int
        Number of losses of the store's answers, likewise.
    oddities : int
        Number of faults in which replicas, or another writer, send what makes no sense.
        With them, some callers send long requests.
    has_bad_part : bool
        Whether callers send prompts with a part that crashes replicas while there are
        faults. Replicas then end their streams in different ways.
    has_fatal_requests : bool
        Whether callers send requests meanwhile that end each replica, at different
        moments of the answer.
    """
    schedule = list(generate_faults(seed, seconds=seconds, count=count))
    more = [
        fault
        for generate, number in (
            (generate_silences, quiets), (generate_demands, demands),
            (generate_link_cuts, link_cuts), (generate_bursts, bursts),
            (generate_losses, losses), (generate_oddities, oddities),
        )
        for fault in generate(seed, seconds=seconds, count=number)
    ]  # fmt: skip
    schedule += more
    if more:
        schedule.sort(key=lambda fault: fault.at_s)
    kinds, stop_s = CALL_KINDS, STOP_S
    if quiets:
        kinds, stop_s = (
            CALL_KINDS_WITH_PATIENT,
            STOP_NOTICE_S + PATIENT_TIMEOUT_MS / 1e3 + 0.5,
        )
    attempts: list = []
    stalls: list = []

    def start_callers(group, names, kinds):
        for name in names:
            rng = random.Random(f"{seed}/{name}")
            group.start_soon(run_caller, deployment, attempts, rng, name, kinds)

    async with Deployment(nodes=nodes, stop_s=stop_s) as deployment:
        vary_events(deployment, seed)
        faults = FaultInjector(deployment)
        async with anyio.create_task_group() as callers:
            callers.start_soon(_record_stalls, stalls)
            start_callers(callers, range(CALLER_COUNT), kinds)
            async with anyio.create_task_group() as more_callers:
                if demands:
                    # Without more calls, few replicas get more than they ask for. They
                    # end with the faults, as the fleet isn't sized for them.
                    names = range(CALLER_COUNT, 2 * CALLER_COUNT)
                    start_callers(more_callers, names, SMALL_CALL_KINDS)
                for name in range(UPLOAD_CALLER_COUNT if oddities else 0):
                    rng = random.Random(f"{seed}/upload/{name}")
                    more_callers.start_soon(
                        run_upload_caller, deployment, attempts, rng,
                        UPLOAD_CALLER_NAME + name,
                    )  # fmt: skip
                if has_bad_part:
                    add_bad_part(deployment)
                    for name in range(BAD_CALLER_COUNT):
                        rng = random.Random(f"{seed}/bad/{name}")
                        more_callers.start_soon(
                            run_bad_caller, deployment, attempts, rng,
                            2 * CALLER_COUNT + name,
                        )  # fmt: skip
                if has_fatal_requests:
                    add_fatal_requests(deployment)
                    for name in range(FATAL_CALLER_COUNT):
                        rng = random.Random(f"{seed}/fatal/{name}")
                        more_callers.start_soon(
                            run_fatal_caller, deployment, attempts, rng,
                            2 * CALLER_COUNT + BAD_CALLER_COUNT + name,
                        )  # fmt: skip
                await _inject_faults(faults, schedule)
                more_callers.cancel_scope.cancel()
            await anyio.sleep(RECOVERY_S)
            calm_s = time.monotonic()
            await anyio.sleep(CALM_S)
            callers.cancel_scope.cancel()
        await anyio.sleep(RELEASE_WAIT_S)
        record = RunRecord(
            attempts, deployment.replicas, faults, deployment.own_exits, calm_s,
            list_quarantined(deployment.store),
            count_quarantined_requests(deployment.store),
        )  # fmt: skip
        broken = list(find_violations(record))
        attempts = [
            attempt for attempt in attempts if attempt.kind not in ("bad", "fatal")
        ]
        served = sum(attempt.is_successful for attempt in attempts)
        shown = [f"{one.at_s:.1f} {one.kind} {one.target % 64}" for one in schedule]
        folder = str(deployment.folder)
    return RunResult(seed, broken, len(attempts), served, shown, folder, stalls)


def vary_events(deployment, seed):
    """Let replicas end their lines in different ways, and cut their events anywhere."""
    for index, replica in enumerate(deployment.replicas):
        replica.line_ends = LINE_ENDS[(seed + index) % len(LINE_ENDS)]
        replica.draw_cuts = partial(
            draw_cuts, random.Random(f"{seed}/cuts/{replica.name}")
        )


def draw_cuts(rng, event):
    """Return up to ``MAX_CUTS`` places in an event, often that before its last byte."""
    places = {rng.randrange(1, len(event)) for _ in range(rng.randint(0, MAX_CUTS))}
    if rng.random() < LAST_BYTE_SHARE:
        places.add(len(event) - 1)
    return sorted(places)


def add_bad_part(deployment):
    """Let replicas crash on a part, at various moments; their streams end variously."""
    for index, replica in enumerate(deployment.replicas):
        replica.crash_part = BAD_PART
        replica.crash_moment = PART_MOMENTS[index % len(PART_MOMENTS)]
        replica.crash_delay_s = PART_CRASH_DELAY_S
        replica.framing = FRAMINGS[index % len(FRAMINGS)]


def add_fatal_requests(deployment):
    """Let replicas crash on some requests, each at another moment of the answer."""
    for index, replica in enumerate(deployment.replicas):
        replica.crash_on = is_fatal
        replica.crash_moment = MOMENTS[index % len(MOMENTS)]


def list_quarantined(store):
    """Return the sets of parts that the store names as in quarantine."""
    newest = store.topic(QUARANTINE_TOPIC).newest()
    values = [value for _, value in newest.values() if value]
    entries = [entry for value in values for entry in decode_entries(value)]
    return [
        frozenset(entry.parts)
        for entry in entries
        if not entry.is_lifted and not entry.is_request
    ]


def count_quarantined_requests(store):
    """Return the number of requests that the store has ever named."""
    names = {
        key
        for key, value in store.topic(QUARANTINE_TOPIC).records
        if value and any(entry.is_request for entry in decode_entries(value))
    }
    return len(names)


async def _record_stalls(stalls):
    """Record stalls of this process until cancelled."""
    started_s = time.monotonic()
    stall_detector = StallDetector()
    while True:
        now_s = time.monotonic()
        stalled_s = stall_detector.tick(now_s=now_s)
        if stalled_s:
            stalls.append((round(now_s - started_s, 1), round(stalled_s, 2)))
        await anyio.sleep(TICK_S)


async def _inject_faults(faults, schedule):
    """Inject the faults of a schedule and wait until the last one has ended."""
    started_s = time.monotonic()
    async with anyio.create_task_group() as group:
        for fault in schedule:
            await anyio.sleep(max(0.0, started_s + fault.at_s - time.monotonic()))
            group.start_soon(faults.inject, fault)
