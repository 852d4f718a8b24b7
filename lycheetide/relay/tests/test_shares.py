"""A node's share of a cold replica's limit, by what it placed and what it sent."""

from types import SimpleNamespace

from lycheetide import platform
from lycheetide.placement import share_cold_limits
from lycheetide.relay._place import is_open
from lycheetide.relay._state import RelayState
from lycheetide.settings import RelaySettings

LIMIT_PER_S = 20.0
SERVICE = SimpleNamespace(cold_requests_per_s=LIMIT_PER_S)
COLD = SimpleNamespace(id="r", is_cold=True)


def make_relay():
    return RelayState(
        RelaySettings("n", "munster", "cork-a", "", "", "127.0.0.1:7", "127.0.0.1:8"),
        platform,
        "n.1.1",
    )


def place_all_it_may(relay, *, now_s):
    """Place as long as the node's share allows; return how many."""
    find_allowance = share_cold_limits(relay.node, {relay.node, "o.1.1", "p.1.1"})
    placed = 0
    while is_open(relay, SERVICE, COLD, find_allowance=find_allowance, now_s=now_s):
        relay.note_placed("r")
        placed += 1
    return placed


def test_a_stalled_node_sends_no_more_than_its_share_in_a_second():
    """A node places for two seconds, stalls, and sends all of it in one.

    Counted when they were sent only, its requests passed as none until then.
    """
    relay = make_relay()
    placed = sum(place_all_it_may(relay, now_s=0.2 * step) for step in range(10))
    for _ in range(placed):
        relay.note_settled("r")
        relay.note_start("r", now_s=2.0)
    assert placed == 4
    assert place_all_it_may(relay, now_s=2.5) == 0
    assert place_all_it_may(relay, now_s=3.1) == 4


def test_a_request_that_was_not_sent_gives_its_place_back():
    """A cold replica refuses connections, and the node's share of it is used up."""
    relay = make_relay()
    for _ in range(place_all_it_may(relay, now_s=0.0)):
        relay.note_settled("r")
    assert place_all_it_may(relay, now_s=0.1) == 4
