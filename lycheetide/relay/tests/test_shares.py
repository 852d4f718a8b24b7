"""A node's share of a cold replica's limit counts requests placed and requests sent."""

from types import SimpleNamespace

from lycheetide import platform
from lycheetide.placement import share_cold_limits
from lycheetide.relay._selection import is_within_cold_limit
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


def place_until_refused(relay, *, now_s):
    """Place requests until the node's share is used up; return their number."""
    find_allowance = share_cold_limits(relay.node, {relay.node, "o.1.1", "p.1.1"})
    placed = 0
    while is_within_cold_limit(
        relay, SERVICE, COLD, find_allowance=find_allowance, now_s=now_s
    ):
        relay.record_placed("r")
        placed += 1
    return placed


def test_a_stalled_node_sends_no_more_than_its_share_in_a_second():
    """Guards against requests that are counted only when they are sent.

    A node places requests for two seconds, stalls, and sends all of them within one.
    Until then none of them counted towards its share.
    """
    relay = make_relay()
    placed = sum(place_until_refused(relay, now_s=0.2 * step) for step in range(10))
    for _ in range(placed):
        relay.record_placement_ended("r")
        relay.record_sent("r", now_s=2.0)
    assert placed == 4
    assert place_until_refused(relay, now_s=2.5) == 0
    assert place_until_refused(relay, now_s=3.1) == 4


def test_a_request_that_was_not_sent_frees_its_share():
    """Guards against requests that use up a share though they weren't sent.

    A cold replica refuses connections, so none of the placed requests reaches it.
    """
    relay = make_relay()
    for _ in range(place_until_refused(relay, now_s=0.0)):
        relay.record_placement_ended("r")
    assert place_until_refused(relay, now_s=0.1) == 4
