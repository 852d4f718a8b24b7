"""All nodes together keep a replica's limit when one of them is late."""

import time

import pytest

from lycheetide.board import Started
from lycheetide.board._messages import Part
from lycheetide.relay._place import list_candidates
from lycheetide.relay._serve import make_call
from standins.relayed import HOST, KEY, Relayed

pytestmark = pytest.mark.anyio

USABLE = 12
"""Requests a second that nodes send to a replica that bears 20."""


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def wait_for_peers(fleet):
    """Wait until all nodes know one another."""
    others = len(fleet.relays) - 1
    await fleet.wait_for(
        lambda: all(
            len(relay.peers.alive(now_s=0.0)) == others for relay in fleet.relays
        )
    )


def make_lookup(relay):
    """Return a lookup as a node takes it from a caller."""
    request = relay.adapter.decode_request(
        method="GET",
        target=b"/look/a",
        headers=[
            (b"host", HOST.encode()),
            (b"lycheetide-attempt-id", b"0" * 16),
            (b"lycheetide-credential", KEY.encode()),
        ],
        now_s=time.monotonic(),
    )
    return make_call(relay, request, b"")


async def test_a_node_whose_loop_stalled_hears_the_others_before_it_chooses():
    """A node stalls while another one sends a replica all that it bears.

    It chooses places before its loop reads what it was told, and takes the whole limit
    once more.
    """
    async with Relayed(relays=2) as fleet:
        await wait_for_peers(fleet)
        first, stalled = fleet.relays
        for number in range(USABLE):
            parts = (Part("r-0", 0.0),)
            first.tell_work(Started(first.node, f"x{number}", parts, lasts_ms=500))
        # Nothing was awaited since, so nobody has read a message yet.
        open_now, usable = list_candidates(stalled, make_lookup(stalled))
    assert {one.id for one in usable} == {"r-0", "r-1"}
    assert {one.id for one in open_now} == {"r-1"}
