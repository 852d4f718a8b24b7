"""Tests of limits that all nodes keep together without calls between them."""

import pytest

from lycheetide.placement import RetryWindow, may_send, share_cold_limits


@pytest.mark.parametrize("nodes", [1, 3, 7, 9, 60, 91, 300])
@pytest.mark.parametrize("limit", [5.0, 26.0, 36.0])
def test_all_nodes_together_stay_under_a_cold_limit(nodes, limit):
    """A cold replica gets as many requests as every node may send.

    Without shares, nine nodes that each send a small rate overload it.
    """
    names = [f"node-{number}" for number in range(nodes)]
    shares = [share_cold_limits(name, names)(limit, "r") for name in names]
    assert 0 < sum(shares) <= limit


@pytest.mark.parametrize("known", [4, 6])
def test_nodes_that_know_fewer_peers_still_stay_under_it(known):
    """A network partition splits seven nodes into groups of four and three."""
    names = [f"node-{number}" for number in range(7)]
    near, far = names[:known], names[known:]
    total = sum(share_cold_limits(name, near)(26.0, "r") for name in near)
    total += sum(share_cold_limits(name, far)(26.0, "r") for name in far)
    assert total <= 26.0 * 1.5 + 5


def test_a_node_that_some_do_not_know_changes_little():
    """Two hundred nodes each don't know one peer, a different one each.

    The set of nodes that send to a replica must stay nearly the same, or too many send.
    """
    names = [f"node-{number}" for number in range(200)]
    for replica in (f"r-{number}" for number in range(20)):
        senders = 0
        for place, name in enumerate(names):
            known = [other for other in names if other != names[place - 1]]
            senders += share_cold_limits(name, known)(17.0, replica)
        assert 10 <= senders <= 12


def test_every_node_may_send_to_some_cold_replicas():
    """With most replicas cold, a node that may send to none refuses its callers."""
    names = [f"node-{number}" for number in range(195)]
    replicas = [f"r-{number}" for number in range(195)]
    for name in names:
        find_allowance = share_cold_limits(name, names)
        assert sum(find_allowance(17.0, replica) for replica in replicas) >= 1


def test_a_service_without_a_limit_has_none():
    assert share_cold_limits("a", ["a"])(0.0, "r") is None
    assert may_send(0.0, allowance=None, own_starts=99, all_starts=99, is_cold=True)


def test_other_nodes_starts_count():
    assert may_send(36.0, allowance=4, own_starts=3, all_starts=10, is_cold=True)
    assert not may_send(36.0, allowance=4, own_starts=4, all_starts=10, is_cold=True)
    assert not may_send(36.0, allowance=4, own_starts=0, all_starts=30, is_cold=True)


def test_a_warm_replica_is_open_to_all_nodes_of_a_large_fleet():
    """The shares of a cold limit don't apply to warm replicas.

    Sixty nodes share 36 requests per second, so most nodes' share is less than one
    request. If that closed warm replicas to them too, a long prompt would find only a
    dozen of 78 replicas for its prefill, and lengthen every gap there by over a second.
    """
    warm = {"allowance": 0, "own_starts": 0, "is_cold": False}
    assert may_send(36.0, all_starts=10, **warm)
    assert not may_send(36.0, all_starts=22, **warm)
    assert not may_send(36.0, all_starts=10, **(warm | {"is_cold": True}))


def test_a_node_with_most_of_the_callers_uses_what_others_leave():
    """A node with most of the callers may use the rest of a warm replica's limit.

    A load balancer's hash sends most callers of a small service to one of four nodes.
    It refused them after four requests per second to each replica, although the
    replicas were warm and could process five times that.
    """
    warm = {"allowance": 4, "own_starts": 9, "is_cold": False}
    assert not may_send(36.0, all_starts=9, **warm)
    assert may_send(36.0, all_starts=9, is_last_resort=True, **warm)
    assert not may_send(36.0, all_starts=22, is_last_resort=True, **warm)
    cold = warm | {"is_cold": True}
    assert not may_send(36.0, all_starts=9, is_last_resort=True, **cold)


@pytest.mark.parametrize("nodes", [1, 9, 60])
def test_all_nodes_together_keep_the_retry_budget(nodes):
    """A service fails every request, and each is retried if the budget allows it.

    Unlimited retries would keep a failing service overloaded.
    """
    windows = [RetryWindow(ratio=0.2, extra=100, window_s=10.0) for _ in range(nodes)]
    requests = retries = 0
    for step in range(1_000):
        now_s = step / 100
        window = windows[step % nodes]
        window.record_request(now_s=now_s)
        requests += 1
        retries += window.spend(nodes, now_s=now_s)
    assert 0 < retries <= 0.2 * requests + 100


def test_a_retry_window_fills_again():
    window = RetryWindow(ratio=0.0, extra=2, window_s=10.0)
    assert window.spend(1, now_s=0.0)
    assert not window.spend(1, now_s=1.0)
    assert window.spend(1, now_s=11.0)
