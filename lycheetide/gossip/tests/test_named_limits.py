"""Nodes agree on what a replica last said of its limit."""

import random

import pytest

from lycheetide.gossip import NO_LIMIT, Life, LimitTable

LIFE = Life("r", 1_700_000_000_000)


def limit_of(table, life=LIFE):
    """Return the limit that a table has for a replica, or None."""
    known = table.find(life)
    return None if known is None else known.limit_per_s


def tell(table, other, *, now_s):
    """Let one node send its reports to another."""
    for report in table.make_reports(now_s=now_s):
        other.merge(report, now_s=now_s)


def test_a_limit_holds_until_an_answer_names_none():
    table = LimitTable()
    assert table.hear(LIFE, 1.5, sent_s=0.0, now_s=1.0)
    assert not table.hear(LIFE, 1.4, sent_s=1.1, now_s=1.2)
    assert limit_of(table) == 1.4
    assert table.hear(LIFE, NO_LIMIT, sent_s=1.3, now_s=1.4)
    assert limit_of(table) is None


def test_an_answer_to_an_earlier_request_does_not_end_a_limit():
    """Guards against a slow answer, begun before the need, that ends its limit."""
    table = LimitTable()
    table.hear(LIFE, 1.5, sent_s=0.0, now_s=1.0)
    assert not table.hear(LIFE, NO_LIMIT, sent_s=0.5, now_s=2.0)
    assert limit_of(table) == 1.5


def test_a_new_start_of_a_replica_has_no_limit():
    """Guards against a restarted replica that is held to the word of the last start."""
    table = LimitTable()
    table.hear(LIFE, 0.0, sent_s=0.0, now_s=1.0)
    assert limit_of(table, Life("r", LIFE.born_ms + 1)) is None


def test_the_end_of_a_limit_reaches_nodes_that_may_not_ask():
    """Guards against nodes without a share, which never hear of the end themselves."""
    first, second = LimitTable(), LimitTable()
    first.hear(LIFE, 1.5, sent_s=0.0, now_s=1.0)
    tell(first, second, now_s=1.1)
    assert limit_of(second) == 1.5
    first.hear(LIFE, NO_LIMIT, sent_s=1.2, now_s=1.3)
    tell(second, first, now_s=1.4)
    assert limit_of(first) is None
    tell(first, second, now_s=1.5)
    assert limit_of(second) is None


def test_a_limit_that_changes_at_two_nodes_at_once_ends_equal():
    tables = [LimitTable(), LimitTable(), LimitTable()]
    tables[0].hear(LIFE, 1.0 / 3.0, sent_s=0.0, now_s=1.0)
    tables[1].hear(LIFE, 2.0, sent_s=0.0, now_s=1.0)
    for one in tables:
        for other in tables:
            tell(one, other, now_s=1.1)
    assert [limit_of(table) for table in tables] == [0.333] * 3
    assert not tables[0].hear(LIFE, 1.0 / 3.0, sent_s=1.2, now_s=1.3)


@pytest.mark.parametrize("seed", range(5))
def test_reports_that_go_in_circles_do_not_stay_young(seed):
    """Guards against nodes that refresh one another's word with no new answer.

    Then a share never moves on from a node without callers.
    """
    rng = random.Random(seed)
    tables = [LimitTable() for _ in range(9)]
    tables[0].hear(LIFE, 1.5, sent_s=0.0, now_s=0.0)
    now_s = 0.0
    while now_s < 20.0:
        now_s += 0.03
        one, other = rng.sample(tables, 2)
        for report in one.make_reports(now_s=now_s - 0.05 * rng.random()):
            other.merge(report, now_s=now_s)
    ages_s = [now_s - table.find(LIFE).heard_s for table in tables]
    assert min(ages_s) > 18.0


def test_what_is_gone_is_dropped():
    """Guards against a table that grows with every replica that was ever in need."""
    table = LimitTable()
    for number in range(50):
        table.hear(Life(f"r-{number}", 1), 1.0, sent_s=0.0, now_s=0.0)
    table.hear(Life("r-0", 1), NO_LIMIT, sent_s=1.0, now_s=1.0)
    table.drop_outdated(lambda life: life.replica == "r-1", now_s=20.0)
    assert limit_of(table, Life("r-2", 1)) == 1.0
    assert len(table.make_reports(now_s=20.0)) == 49
    table.drop_outdated(lambda life: life.replica == "r-1", now_s=100.0)
    assert [report.replica for report in table.make_reports(now_s=100.0)] == ["r-1"]
