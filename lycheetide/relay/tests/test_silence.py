"""A silent replica is given up only if another one may take the request."""

import time

import anyio
import pytest

from lycheetide.gossip._failure_detector import SUSPECT_S
from standins.relay_deployment import RelayDeployment, make_long_timeout_config
from standins.replica import Replica, make_event

pytestmark = pytest.mark.anyio

EVENTS = 8
WHOLE_STREAM = b"".join(make_event(number) for number in range(1, EVENTS + 1))
PAUSE_S = 1.6
"""Longer than a node waits for an event before it tries another replica, and shorter
than the 2 s after which callers give up a stream."""


@pytest.fixture
def anyio_backend():
    return "asyncio"


def script_pauses(fleet, step):
    """Make the first answer of each replica pause by the given step."""
    for replica in fleet.replicas:
        replica.events, replica.next_steps = EVENTS, [step]
        replica.long_pause_s = PAUSE_S


async def report_replicas_alive(fleet):
    """Report to the first relay, as peers do, that all replicas are alive."""
    while True:
        for replica in fleet.replicas:
            fleet.relays[0].failure_detector.note_peer_report(
                replica.name, now_s=time.monotonic()
            )
        await anyio.sleep(0.1)


def exhaust_retry_budget(relay):
    """Leave a node no retry in its budget."""
    window = relay.retries("models")
    window.ratio, window.extra = 0.0, 0.0


@pytest.mark.parametrize(("replicas", "has_budget"), [(2, True), (2, False), (1, True)])
async def test_a_stream_that_may_go_nowhere_else_outlasts_a_silence(
    replicas, has_budget
):
    """A replica is silent while it reads a huge prompt, and no other one may be tried.

    Either the attempts or the retry budget are used up, or there is no other replica.
    Guards against aborting a stream whose replica would continue.
    """
    async with RelayDeployment(
        replicas=replicas, config=make_long_timeout_config()
    ) as fleet:
        script_pauses(fleet, "pause")
        if not has_budget:
            exhaust_retry_budget(fleet.relays[0])
        answer = await fleet.stream(deadline_ms=10_000)
    assert answer.content == WHOLE_STREAM


@pytest.mark.parametrize(("is_heard", "status"), [(True, 200), (False, 502)])
async def test_a_lookup_that_may_go_nowhere_else_stays_at_a_living_replica_only(
    is_heard, status
):
    """A replica answers later than the usual timeout, with the retry budget used up.

    Guards against answering 502 if peers report the replica alive and it answers before
    the deadline. A replica that no peer reports is taken for dead, and the caller is
    answered at once.
    """
    async with RelayDeployment(config=make_long_timeout_config()) as fleet:
        script_pauses(fleet, "late")
        exhaust_retry_budget(fleet.relays[0])
        async with anyio.create_task_group() as group:
            if is_heard:
                group.start_soon(report_replicas_alive, fleet)
            begun_s = time.monotonic()
            answer = await fleet.look(deadline_ms=10_000)
            took_s = time.monotonic() - begun_s
            group.cancel_scope.cancel()
    assert answer.status_code == status
    assert len(fleet.runs()) == 1
    assert is_heard or took_s < PAUSE_S


@pytest.mark.parametrize(("is_heard", "status"), [(True, 200), (False, 502)])
async def test_a_stream_that_has_not_begun_stays_at_a_living_replica_only(
    is_heard, status
):
    """A replica reads other prompts, and the stream may not go elsewhere.

    Guards against giving up a prompt at a replica that peers report alive. A node that
    gets no such report takes the replica for dead and answers the caller at once.
    """
    async with RelayDeployment(replicas=1, config=make_long_timeout_config()) as fleet:
        script_pauses(fleet, "late")
        async with anyio.create_task_group() as group:
            if is_heard:
                group.start_soon(report_replicas_alive, fleet)
            begun_s = time.monotonic()
            answer = await fleet.stream(deadline_ms=10_000)
            took_s = time.monotonic() - begun_s
            group.cancel_scope.cancel()
    assert answer.status_code == status
    assert is_heard or took_s < PAUSE_S


async def test_a_stream_that_has_begun_waits_for_a_replica_to_go_on_at():
    """A stream's replica breaks off while the registry lists no other one.

    The next replica is listed within the time that the caller waits for an event.
    """
    spare = Replica("r-spare", events=EVENTS)
    async with (
        spare.server.run(),
        RelayDeployment(replicas=1, config=make_long_timeout_config()) as fleet,
    ):
        (first,) = fleet.replicas
        first.events, first.next_steps = EVENTS, ["break"]

        async def add_spare():
            await fleet.wait_for(fleet.runs)
            await anyio.sleep(1.0)
            fleet.store.put("keyed.servers", spare.name, spare.entry())

        async with anyio.create_task_group() as group:
            group.start_soon(add_spare)
            answer = await fleet.stream(deadline_ms=10_000)
    assert answer.content == WHOLE_STREAM


async def test_a_huge_prompt_asks_replicas_for_memory_that_were_silent_before():
    """Guards against refusing huge prompts while replicas are avoided without need.

    They were suspected in a stall, have memory, and nobody else asks them for anything.
    """
    async with RelayDeployment(replicas=3) as fleet:
        (relay,) = fleet.relays
        detector = relay.failure_detector
        for replica in fleet.replicas:
            detector.suspect(replica.name, now_s=time.monotonic() - 2 * SUSPECT_S)
        answer = await fleet.stream(tokens="140000,200")
        now_s = time.monotonic()
        avoided = [
            replica.name
            for replica in fleet.replicas
            if detector.is_recovering(replica.name, now_s=now_s)
        ]
    assert answer.status_code == 200
    assert not avoided
