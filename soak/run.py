"""Play one run."""

import random
import time
from dataclasses import dataclass

import anyio

from lycheetide.tasks import TICK_S, Standstill
from soak.callers import CALLERS, KINDS, PATIENT_KINDS, call_for_ever
from soak.deployment import PATIENT_MS, STOP_NOTICE_S, STOP_S, Deployment
from soak.faults import Faults
from soak.judge import Record, find_broken
from soak.plan import draw_faults, draw_quiets

FAULTS_S = 10.0
FAULTS = 14
QUIETS = 6
RECOVERY_S = 6.0
"""From the last fault until all has to be served again."""
CALM_S = 3.0
FREE_S = 4.5
"""Memory is free so long after the last request."""


@dataclass(frozen=True)
class Result:
    """What a run showed.

    Parameters
    ----------
    seed : int
        Which run.
    broken : list of str
        Promises that were broken.
    attempts, served : int
        Callers' attempts, and those with a whole good answer.
    faults : list of str
        What was played.
    folder : str
        Where the nodes' logs are.
    stalls : list of (float, float)
        When this process, which plays callers, replicas and proxies, stood still, from
        the start of the run, and for how long; what it saw then, it saw late.
    """

    seed: int
    broken: list
    attempts: int
    served: int
    faults: list
    folder: str
    stalls: list


async def play(seed, *, seconds=FAULTS_S, count=FAULTS, nodes=4, quiets=0):
    """Play one run and judge it.

    Parameters
    ----------
    seed : int
        Decides the faults, and what callers do.
    seconds : float
        Faults begin within this time.
    count : int
        About how many.
    nodes : int
        How many.
    quiets : int
        About how often replicas say nothing for a while, beside the other faults.
    """
    plan = list(draw_faults(seed, seconds=seconds, count=count))
    kinds, stop_s = KINDS, STOP_S
    if quiets:
        plan += draw_quiets(seed, seconds=seconds, count=quiets)
        plan.sort(key=lambda fault: fault.at_s)
        kinds, stop_s = PATIENT_KINDS, STOP_NOTICE_S + PATIENT_MS / 1e3 + 0.5
    attempts: list = []
    stalls: list = []
    async with Deployment(nodes=nodes, stop_s=stop_s) as deployment:
        faults = Faults(deployment)
        async with anyio.create_task_group() as callers:
            callers.start_soon(_note_stalls, stalls)
            for name in range(CALLERS):
                luck = random.Random(f"{seed}/{name}")
                callers.start_soon(
                    call_for_ever, deployment, attempts, luck, name, kinds
                )
            await _carry_out(faults, plan)
            await anyio.sleep(RECOVERY_S)
            calm_s = time.monotonic()
            await anyio.sleep(CALM_S)
            callers.cancel_scope.cancel()
        await anyio.sleep(FREE_S)
        record = Record(
            attempts, deployment.replicas, faults, deployment.own_exits, calm_s
        )
        broken = list(find_broken(record))
        served = sum(attempt.is_success for attempt in attempts)
        shown = [f"{one.at_s:.1f} {one.kind} {one.target % 64}" for one in plan]
        folder = str(deployment.folder)
    return Result(seed, broken, len(attempts), served, shown, folder, stalls)


async def _note_stalls(stalls):
    """Note when this process stands still, until it is cancelled."""
    begun_s = time.monotonic()
    standstill = Standstill()
    while True:
        now_s = time.monotonic()
        stood_s = standstill.tick(now_s=now_s)
        if stood_s:
            stalls.append((round(now_s - begun_s, 1), round(stood_s, 2)))
        await anyio.sleep(TICK_S)


async def _carry_out(faults, plan):
    """Carry a plan out, until its last fault has ended."""
    begun_s = time.monotonic()
    async with anyio.create_task_group() as group:
        for fault in plan:
            await anyio.sleep(max(0.0, begun_s + fault.at_s - time.monotonic()))
            group.start_soon(faults.carry_out, fault)
