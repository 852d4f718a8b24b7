"""A node that has lost its links to replicas serves its callers by way of its peers."""

from collections import defaultdict

import anyio
import pytest

from lycheetide.relay.tests.test_cold_limits import wait_for_peers
from standins.relay_deployment import RelayDeployment

pytestmark = pytest.mark.anyio

CALLER_TIMEOUT_MS = 2_000
SETTLING_S = 1.5
"""Time after the start of a cut from which on its first attempts are counted."""
CUT_S = 4.0
MIN_SERVED_SHARE = 2 / 3
"""First attempts at the nodes that are cut must be served this share as often as those
at the others."""


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def send_to_all(fleet, names=("stream", "look", "book"), *, seconds, per_s=20.0):
    """Send requests of some kinds to all nodes in turn.

    Returns
    -------
    dict of int to list of bool
        Whether each attempt was served, by node.
    """
    served = defaultdict(list)

    async def send(send_one, relay):
        response = await send_one(relay=relay, deadline_ms=CALLER_TIMEOUT_MS)
        served[relay].append(response.status_code == 200)

    kinds = [getattr(fleet, name) for name in names]
    async with anyio.create_task_group() as group:
        for number in range(round(seconds * per_s)):
            relay = number % fleet.count
            group.start_soon(send, kinds[number // fleet.count % len(kinds)], relay)
            await anyio.sleep(1 / per_s)
    return served


def compute_share(served, nodes):
    """Return the share of the attempts at some nodes that were served."""
    attempts = [one for node in nodes for one in served[node]]
    return sum(attempts) / len(attempts)


@pytest.mark.parametrize(
    ("kind", "names"),
    [
        ("silent", ("stream", "look", "book")),
        ("reset", ("stream", "look", "book")),
        ("refused", ("book",)),
    ],
)
async def test_callers_of_a_node_that_reaches_no_replica_are_served(kind, names):
    """Guards against nodes that lose all links to replicas and serve nobody.

    Callers, the store and the other nodes still reach them.
    """
    async with RelayDeployment(relays=3, replicas=4) as fleet:
        await wait_for_peers(fleet)
        await send_to_all(fleet, seconds=1.0)
        for cut_off in (0, 1):
            fleet.cut(cut_off, kind=kind)
        await send_to_all(fleet, seconds=SETTLING_S)
        served = await send_to_all(fleet, names, seconds=CUT_S - SETTLING_S)
    shares = compute_share(served, [0, 1]), compute_share(served, [2])
    assert shares[0] >= MIN_SERVED_SHARE, shares
    assert shares[1] == 1.0, shares
