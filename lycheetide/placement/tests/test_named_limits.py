"""Shares of the limits that replicas name."""

import pytest

from lycheetide.placement import make_step_counter, share_named_limit


def list_shares(names, limit_per_s, *, replica="r", silent_s=0.0):
    """Return the share of each of the nodes, which all know one another."""
    return [
        share_named_limit(
            limit_per_s,
            steps=make_step_counter(name, names)(replica),
            nodes=len(names),
            silent_s=silent_s,
        )
        for name in names
    ]


def make_names(count):
    """Return the names of nodes."""
    return [f"node-{number}" for number in range(count)]


@pytest.mark.parametrize("nodes", [1, 2, 3, 9, 60, 950])
@pytest.mark.parametrize("limit_per_s", [0.3, 1.0, 1.4, 7.0, 40.0, 3_000.0])
def test_all_nodes_together_stay_under_a_named_limit(nodes, limit_per_s):
    """Guards against shares that add up to more than the limit in a large fleet."""
    shares = list_shares(make_names(nodes), limit_per_s)
    (window_s,) = {share.window_s for share in shares}
    total = sum(share.requests for share in shares)
    assert 1 <= total <= limit_per_s * window_s
    assert total >= min(0.5 * limit_per_s * window_s, 2) or total == 1


@pytest.mark.parametrize("limit_per_s", [0.0, 1e-9])
def test_a_limit_of_next_to_nothing_leaves_a_request_now_and_then(limit_per_s):
    """Guards against a replica that is never asked again, and so is out for ever."""
    shares = list_shares(make_names(9), limit_per_s)
    assert sum(share.requests for share in shares) == 1
    assert 4.0 <= shares[0].window_s <= 15.0


@pytest.mark.parametrize("known", [3, 5, 8])
@pytest.mark.parametrize("limit_per_s", [1.0, 1.5, 12.0, 100.0])
def test_groups_that_do_not_know_each_other_stay_within_the_excess(known, limit_per_s):
    """Guards against a partition that doubles a limit; half more + 5 is allowed."""
    names = make_names(9)
    groups = [*list_shares(names[:known], limit_per_s)]
    groups += list_shares(names[known:], limit_per_s)
    total = sum(share.requests for share in groups)
    assert total <= 1.5 * limit_per_s * groups[0].window_s + 5


def test_a_share_whose_holder_has_no_callers_moves_on():
    """Guards against a limited replica that no node with callers may ask."""
    names = make_names(9)
    holders = set()
    for silent_s in range(0, 60):
        shares = list_shares(names, 0.5, silent_s=float(silent_s))
        assert sum(share.requests for share in shares) == 1
        holders |= {
            name for name, share in zip(names, shares, strict=True) if share.requests
        }
    assert holders == set(names)


def test_a_node_that_some_do_not_know_changes_little():
    """Guards against senders that change altogether with each node that comes."""
    names = make_names(200)
    for replica in (f"r-{number}" for number in range(20)):
        total = 0
        for place, name in enumerate(names):
            known = [other for other in names if other != names[place - 1]]
            steps = make_step_counter(name, known)(replica)
            total += share_named_limit(4.0, steps=steps, nodes=199).requests
        assert 11 <= total <= 13
