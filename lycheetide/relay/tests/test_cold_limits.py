"""All nodes together respect a replica's cold limit even if one of them is late."""

import time

import anyio
import pytest

from lycheetide.gossip import START_WINDOW_S, Started
from lycheetide.gossip._messages import JobPart
from lycheetide.relay._selection import list_candidates
from lycheetide.relay._serve import make_call
from standins.relay_deployment import API_KEY, HOST, RelayDeployment

pytestmark = pytest.mark.anyio

USABLE_PER_S = 12
"""Requests a second that nodes send to a replica whose limit is 20."""


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def wait_for_peers(fleet):
    """Wait until all nodes know each other."""
    others = len(fleet.relays) - 1
    await fleet.wait_for(
        lambda: all(
            len(relay.peers.alive(now_s=0.0)) == others for relay in fleet.relays
        )
    )


def make_lookup(relay):
    """Return a plain request as a node receives it from a client."""
    request = relay.adapter.decode_request(
        method="GET",
        target=b"/look/a",
        headers=[
            (b"host", HOST.encode()),
            (b"lycheetide-attempt-id", b"0" * 16),
            (b"lycheetide-credential", API_KEY.encode()),
        ],
        now_s=time.monotonic(),
    )
    return make_call(relay, request, b"")


async def test_a_stalled_node_reads_pending_messages_before_it_places():
    """Guards against a stalled node that uses a replica's limit a second time.

    The node stalls while another one uses up the whole limit. It then chose replicas
    before its event loop had read the messages about that.
    """
    async with RelayDeployment(relays=2) as fleet:
        await wait_for_peers(fleet)
        first, stalled = fleet.relays
        for number in range(USABLE_PER_S):
            parts = (JobPart("r-0", 0.0),)
            first.broadcast_work(
                Started(first.node, f"x{number}", parts, expires_in_ms=500)
            )
        # Nothing was awaited since, so no node has read a message yet.
        open_now, usable = list_candidates(stalled, make_lookup(stalled))
    assert {one.id for one in usable} == {"r-0", "r-1"}
    assert {one.id for one in open_now} == {"r-1"}


async def test_others_count_a_request_that_goes_out_late_in_its_own_second():
    """Guards against a request that others no longer count when it is sent.

    Connecting takes so long that the message about the placement has left the window of
    one second. The requests of two seconds would then arrive in one.
    """
    async with RelayDeployment(relays=2, replicas=1) as fleet:
        await wait_for_peers(fleet)
        late, other = fleet.relays
        sent_s = []
        open_channel, record_sent = late.pool.open, late.record_sent

        async def open_late(*args, **options):
            await anyio.sleep(0.35)
            return await open_channel(*args, **options)

        def keep_start(replica, *, now_s):
            sent_s.append(now_s)
            record_sent(replica, now_s=now_s)

        late.pool.open = open_late
        late.record_sent = keep_start
        assert (await fleet.look()).status_code == 200
        await anyio.sleep(sent_s[0] + 0.85 - time.monotonic())
        counted = other.job_table.starts_within(
            "r-0", START_WINDOW_S, now_s=time.monotonic()
        )
    assert len(sent_s) == 1
    assert counted == 1


async def test_a_request_that_is_sent_again_is_counted_again():
    """Guards against a retried request that is counted only once.

    A kept connection was closed, and the request is sent again. The replica may receive
    both, so nodes that know of only one would exceed the limit.
    """
    async with RelayDeployment(relays=2, replicas=1) as fleet:
        await wait_for_peers(fleet)
        _, other = fleet.relays
        (replica,) = fleet.replicas
        assert (await fleet.look()).status_code == 200
        replica.resets_reused_connections = True
        before = other.job_table.starts_within(
            "r-0", START_WINDOW_S, now_s=time.monotonic()
        )
        assert (await fleet.look()).status_code == 200
        await anyio.sleep(0.1)
        after = other.job_table.starts_within(
            "r-0", START_WINDOW_S, now_s=time.monotonic()
        )
    assert (before, after) == (1, 3)
