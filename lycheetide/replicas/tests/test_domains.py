"""A failure domain that goes dark, and replicas that fail one by one."""

from lycheetide.replicas import Entry, Replica, drop_dark_domains

NEVER_S = float("-inf")


def make_replicas(domains="aaabbbccc"):
    """Return replicas named by their domain and place, such as ``a0``."""
    return [
        Replica(
            Entry(f"{domain}{place}", "models", f"10.0.0.{place}:80", domain, 8),
            offset=place,
            cold_until_s=0.0,
            seen_s=0.0,
        )
        for place, domain in enumerate(domains)
    ]


def list_left(troubled_s, answered_s, *, now_s=10.0, replicas=None):
    left = drop_dark_domains(
        replicas or make_replicas(),
        troubled_s=lambda name: troubled_s.get(name, NEVER_S),
        answered_s=lambda name: answered_s.get(name, NEVER_S),
        now_s=now_s,
    )
    return {replica.entry.id for replica in left}


def test_two_replicas_that_fail_together_speak_for_their_domain():
    """A failure domain loses power while its replicas write.

    Requests found its replicas dead one by one, each at the price of an attempt, and
    ran out of attempts before all five were known.
    """
    left = list_left({"a0": 9.99, "a2": 9.98}, {"a1": 9.95, "b3": 9.999})
    assert left == {"b3", "b4", "b5", "c6", "c7", "c8"}


def test_a_domain_in_which_any_replica_still_answers_is_not_dark():
    """Two replicas crash, or reset some answers, while the third goes on writing."""
    assert len(list_left({"a0": 9.98, "a2": 9.98}, {"a1": 9.99})) == 9


def test_one_replica_that_fails_speaks_for_itself_only():
    assert len(list_left({"a0": 9.99}, {})) == 9


def test_a_dark_domain_is_tried_again_after_a_while():
    assert len(list_left({"a0": 8.0, "a2": 8.1}, {}, now_s=9.7)) == 9


def test_where_most_seem_dark_all_are_kept():
    """This node's own link is cut, and every replica falls silent.

    Without any replica left it would refuse all requests, also once it is back.
    """
    troubled_s = dict.fromkeys(("a0", "a1", "b3", "b4", "c6", "c7"), 9.9)
    assert len(list_left(troubled_s, {})) == 9
