"""All nodes together respect the limit that a replica names in its answers."""

import time

import anyio
import pytest

from standins.relay_deployment import RelayDeployment

pytestmark = pytest.mark.anyio

WINDOW_S = 4.0
SETTLING_S = 3.0
"""Time after which the limit binds all nodes that were told."""


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def send_lookups(fleet, *, seconds, per_s):
    """Send lookups to all nodes in turn; return the statuses of the answers."""
    statuses = []

    async def send(relay):
        response = await fleet.look(relay=relay)
        statuses.append(response.status_code)

    until_s = time.monotonic() + seconds
    async with anyio.create_task_group() as group:
        number = 0
        while time.monotonic() < until_s:
            group.start_soon(send, number % len(fleet.relays))
            number += 1
            await anyio.sleep(1 / per_s)
    return statuses


def count_most(times, *, window_s, since_s):
    """Return the largest number of requests in any window after a time."""
    late = [at_s for at_s in times if at_s >= since_s]
    return max(
        (sum(from_s <= at_s < from_s + window_s for at_s in late) for from_s in late),
        default=0,
    )


async def test_a_replica_gets_no_more_than_the_limit_that_it_names():
    """Guards against nodes that send on as before when a replica names a limit."""
    async with RelayDeployment(relays=3, replicas=3) as fleet:
        named_s = time.monotonic()
        fleet.replicas[0].limit = "1.5"
        statuses = await send_lookups(fleet, seconds=8.0, per_s=15.0)
        received = fleet.replicas[0].received_times
        most = count_most(received, window_s=WINDOW_S, since_s=named_s + SETTLING_S)
        others = [len(replica.received) for replica in fleet.replicas[1:]]
    assert most <= 1.5 * 1.5 * WINDOW_S + 5
    assert set(statuses) == {200}
    assert len(received) >= 4
    assert min(others) > 30
