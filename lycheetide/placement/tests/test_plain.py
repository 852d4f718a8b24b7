"""Requests of a plain service with a replica or two in each failure domain.

The load is that of bookings of some 22 ms at replicas of six slots, in failure domains
whose round trip is 1 or 9 ms. No network is used.
"""

import dataclasses
import math

import pytest

from lycheetide.placement import (
    Candidate,
    ServiceTimes,
    estimate_plain_wait_s,
    find_longest_delay_s,
    find_round_trips,
    place_plain_request,
    prefer_other_domains,
)
from lycheetide.placement._types import CROSS_DOMAIN_PENALTY_S
from lycheetide.routes import DomainDelay

SERVICE_S = 0.022
FAR = 0.009
DELAYS = (DomainDelay("a", "b", 0.0045), DomainDelay("c", "a", 0.001))


def make_replica(domain, *, near="a", distance_s=FAR, **fields):
    is_near = domain == near
    return Candidate(
        domain, f"{domain}:80", 0, 6, is_near=is_near, failure_domain=domain,
        distance_s=0.0 if is_near else distance_s, **fields,
    )  # fmt: skip


def choose(*replicas, unknown=0.0, service_s=SERVICE_S):
    return place_plain_request(
        replicas, service_s=service_s, find_unknown=lambda _: unknown
    ).first.id


def test_near_replica_is_used_until_its_slots_are_taken():
    """Guards against a way of 9 ms to another domain for a wait that doesn't occur.

    With all slots of the near domain taken, the next one has free slots. If it has none
    either, the longer queue here is weighed against the way.
    """
    for writers in range(6):
        assert choose(make_replica("a", writers=writers), make_replica("b")) == "a"
    assert choose(make_replica("a", writers=6), make_replica("b", writers=5)) == "b"
    for writers, expected in ((7, "a"), (9, "b")):
        near, far = make_replica("a", writers=writers), make_replica("b", writers=6)
        assert choose(near, far) == expected


def test_evacuated_domain_leaves_the_nearest_of_the_others():
    """Guards against a choice that needs a near replica; the domain was evacuated."""
    others = make_replica("b"), make_replica("c", distance_s=0.002)
    assert choose(*others) == "c"
    assert place_plain_request([], service_s=SERVICE_S) is None


def test_failed_and_cold_replicas_are_used_as_before():
    """Guards against requests to a near replica that failed just now."""
    assert choose(make_replica("a", is_recovering=True), make_replica("b")) == "b"
    assert choose(make_replica("a", is_cold=True), make_replica("b")) == "b"
    full = make_replica("b", writers=6)
    assert choose(make_replica("a", is_recovering=True), full) == "a"


def test_late_news_count_as_requests_in_flight():
    """Guards against a near replica that is filled by all nodes of its domain at once.

    Of its six slots five are known to be taken, and three more requests are expected
    to be under way.
    """
    near, far = make_replica("a", writers=5), make_replica("b")
    assert choose(near, far, unknown=0.1) == "a"
    assert choose(near, far, unknown=3.0) == "b"
    # Of N unknown requests, Poisson distributed with mean 1.5, all but one wait.
    replica = make_replica("a", writers=4)
    wait_s = estimate_plain_wait_s(replica, SERVICE_S, unknown=1.5)
    assert wait_s == pytest.approx((0.5 + math.exp(-1.5)) * SERVICE_S / 6)


def test_missing_delay_leaves_the_fixed_penalty():
    """Guards against a domain that seems near because its delay wasn't declared."""
    trips = find_round_trips(DELAYS, "b")
    assert trips == {"a": FAR}
    unknown = make_replica("c", near="b", distance_s=trips.get("c"))
    assert unknown.penalty_s == CROSS_DOMAIN_PENALTY_S
    assert find_round_trips(DELAYS, "a") == {"b": FAR, "c": 0.002}
    assert find_longest_delay_s(DELAYS) == 0.0045
    assert find_longest_delay_s(()) == 0.0


def test_usual_duration_follows_the_answers_of_ten_seconds():
    """Guards against one slow answer, or an old one, that makes each wait seem long."""
    times = ServiceTimes()
    assert times.find_s("s", now_s=0.0) is None
    for place, took_s in enumerate((0.02, 0.024, 0.8)):
        times.note("s", took_s, now_s=float(place))
    assert times.find_s("s", now_s=3.0) == 0.024
    assert times.find_s("s", now_s=11.5) == 0.8
    assert times.find_s("s", now_s=13.0) is None


def test_second_attempt_leaves_the_domain_of_an_error_only_for_a_free_slot():
    """Guards against a second error for the same reason, and against a wait for it."""
    near, far = make_replica("a"), make_replica("b")
    assert prefer_other_domains([near, far], {"a"}) == [far]
    for fields in ({"writers": 6}, {"is_recovering": True}, {"is_cold": True}):
        full = dataclasses.replace(far, **fields)
        assert prefer_other_domains([near, full], {"a"}) == [near, full]
