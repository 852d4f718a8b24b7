"""Which direct paths count as lost, and when they are tried again."""

import pytest

from lycheetide.paths import PathTable
from lycheetide.paths._table import (
    FIRST_RETRY_S,
    MAX_RETRY_S,
    RELAPSE_S,
    RETENTION_S,
)


def lose(table, *addresses, domain="a", now_s=0.0):
    """Enter the loss of the paths to some replicas of one failure domain."""
    for address in addresses:
        table.note_lost(address, domain, now_s=now_s)


@pytest.mark.parametrize(
    ("lost", "address", "domain", "is_lost"),
    [
        (("r-0",), "r-0", "a", True),
        (("r-0",), "r-1", "a", False),
        (("r-0", "r-1"), "r-2", "a", True),
        (("r-0", "r-1"), "r-9", "b", True),
    ],
)
def test_two_lost_paths_count_for_all_that_are_not_known(
    lost, address, domain, is_lost
):
    """Guards against callers who pay for the loss of each path one by one."""
    table = PathTable()
    lose(table, *lost)
    since_s = table.lost_since_s(address, domain, now_s=1.0)
    assert (since_s is not None) == is_lost


def test_only_the_domain_counts_as_lost_while_others_are_reached():
    """Guards against tunnels to replicas that a node reaches itself."""
    table = PathTable()
    lose(table, "r-0")
    table.note_connected("r-8", "b", now_s=0.5)
    lose(table, "r-1", now_s=1.0)
    assert table.lost_since_s("r-9", "b", now_s=1.0) is None
    assert table.lost_since_s("r-2", "a", now_s=1.0) is not None
    assert not table.is_cut_off(now_s=1.0)


def test_answers_on_older_connections_do_not_restore_a_path():
    """Guards against a cut that refuses new connections while older ones live on."""
    table = PathTable()
    lose(table, "r-0")
    table.note_received("r-0", now_s=1.0)
    assert table.lost_since_s("r-0", "a", now_s=1.0) == 0.0
    assert table.note_connected("r-0", "a", now_s=2.0)
    assert table.lost_since_s("r-0", "a", now_s=2.0) is None


def test_a_path_that_comes_and_goes_is_tried_less_and_less_often():
    """Guards against callers who pay each time that a cut comes back."""
    table = PathTable()
    now_s, pauses_s = 0.0, []
    for _ in range(6):
        lose(table, "r-0", now_s=now_s)
        begun_s = now_s
        while not table.claim_retry("r-0", now_s=now_s):
            now_s += 0.125
        pauses_s.append(now_s - begun_s)
        table.note_connected("r-0", "a", now_s=now_s)
        now_s += 1.0
    assert pauses_s[0] == FIRST_RETRY_S
    assert pauses_s == sorted(pauses_s)
    assert pauses_s[-1] == MAX_RETRY_S
    now_s += RELAPSE_S
    lose(table, "r-0", now_s=now_s)
    assert table.claim_retry("r-0", now_s=now_s + FIRST_RETRY_S)


def test_a_loss_without_new_evidence_is_forgotten():
    table = PathTable()
    lose(table, "r-0", "r-1")
    assert table.is_cut_off(now_s=RETENTION_S - 1)
    assert not table.is_cut_off(now_s=RETENTION_S)
    assert table.lost_since_s("r-0", "a", now_s=RETENTION_S) is None


def test_replicas_that_are_gone_leave_no_state():
    table = PathTable()
    lose(table, "r-0", "r-1")
    table.note_received("r-2", now_s=0.0)
    table.avoid_peer("p", now_s=0.0)
    table.drop_absent({"r-1"}, now_s=10.0)
    assert table.lost_since_s("r-0", "a", now_s=1.0) is None
    assert table.find_latest(without="") is None
    assert not table.is_peer_avoided("p", now_s=0.5)
