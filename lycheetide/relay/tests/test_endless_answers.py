"""Answers without end take neither a node's memory nor the service of other callers."""

import tracemalloc

import anyio
import httpx
import pytest

from lycheetide.relay.tests.test_answers import WHOLE_STREAM
from standins.relay_deployment import RelayDeployment
from standins.replica import ENDLESS

pytestmark = pytest.mark.anyio

MEMORY_MB = 60.0
CALLERS = 20
LOAD_S = 2.0
ALL_STEPS = ("endless-head", "endless", *ENDLESS)


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def ask_for_endless(fleet, path):
    """Ask again and again for answers that never end."""
    while True:
        send = fleet.stream if "stream" in path else fleet.look
        try:
            answer = await send(path=path, deadline_ms=1_500)
        except httpx.HTTPError:
            continue
        is_sound = b"answers" in answer.content or answer.content == WHOLE_STREAM
        assert is_sound or answer.status_code >= 500


@pytest.mark.parametrize("step", ALL_STEPS)
async def test_answers_without_end_leave_room_for_others(step):
    """Guards against bytes of many answers that together are more than the memory.

    A lookup beside them is served by a replica that isn't faulty.
    """
    async with RelayDeployment(replicas=3, memory_mb=MEMORY_MB) as fleet:
        faulty = fleet.replicas[1:]
        for replica in faulty:
            replica.default_step = step
        statuses = []
        tracemalloc.start()
        begin_bytes, _ = tracemalloc.get_traced_memory()
        async with anyio.create_task_group() as group:
            for number in range(CALLERS):
                path = "/stream-once/s" if number % 2 else "/look/endless"
                group.start_soon(ask_for_endless, fleet, path)
            with anyio.move_on_after(LOAD_S):
                while True:
                    statuses.append((await fleet.book(deadline_ms=1_500)).status_code)
                    await anyio.sleep(0.05)
            group.cancel_scope.cancel()
        _, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        (relay,) = fleet.relays
        await fleet.wait_for(lambda: relay.active == 0)
        assert relay.memory.answers.total == 0
    assert peak_bytes - begin_bytes < MEMORY_MB * 1e6
    assert statuses.count(200) > 0
