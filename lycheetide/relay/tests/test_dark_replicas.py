"""Memory isn't held for a run whose replica has gone dark."""

import anyio
import pytest

from standins.relay_deployment import (
    ENGINE,
    RelayDeployment,
    make_long_timeout_config,
)

pytestmark = pytest.mark.anyio

FREE_S = 4.0
"""Time after the end of a run within which its memory must be free."""


@pytest.fixture
def anyio_backend():
    return "asyncio"


def make_slow_config():
    """Return a configuration under which a huge prompt is read for many seconds."""
    config = make_long_timeout_config(attempts=1)
    config["routes"][0]["goalLatencyMs"] = 2_500
    config["services"][0]["engine"] = ENGINE | {"read_per_s": 8_000.0}
    return config


@pytest.mark.parametrize("is_dark", [True, False])
async def test_memory_is_held_only_while_the_replica_of_a_prompt_answers(is_dark):
    """Guards against memory that is renewed for a run that has ended.

    A replica that answers questions is still reading, however long it is silent.
    """
    async with RelayDeployment(replicas=3, config=make_slow_config()) as fleet:
        for replica in fleet.replicas:
            replica.default_step = "silent"
        fleet.group.start_soon(
            lambda: fleet.stream(tokens="140000,200", deadline_ms=9_000)
        )
        await fleet.wait_for(fleet.received)
        (first,) = (one for one in fleet.replicas if one.received)
        others = [one for one in fleet.replicas if one is not first]
        assert any(other.tickets for other in others)
        if is_dark:
            fleet.cut(0, replicas=[first])
        with anyio.move_on_after(FREE_S) as scope:
            while any(other.tickets for other in others):
                await anyio.sleep(0.02)
        assert scope.cancelled_caught != is_dark
