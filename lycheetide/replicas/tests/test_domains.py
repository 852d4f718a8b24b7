"""Failure of a whole failure domain, and failures of single replicas."""

from lycheetide.replicas import RegistryEntry, Replica, exclude_failed_domains

NEVER_S = float("-inf")


def make_replicas(domains="aaabbbccc"):
    """Return replicas named by their domain and position, such as ``a0``."""
    return [
        Replica(
            RegistryEntry(
                f"{domain}{place}", "models", f"10.0.0.{place}:80", domain, 8
            ),
            offset=place,
            cold_until_s=0.0,
            first_seen_s=0.0,
        )
        for place, domain in enumerate(domains)
    ]


def list_remaining(last_failure_s, last_answer_s, *, now_s=10.0, replicas=None):
    remaining = exclude_failed_domains(
        replicas or make_replicas(),
        last_failure_s=lambda name: last_failure_s.get(name, NEVER_S),
        last_answer_s=lambda name: last_answer_s.get(name, NEVER_S),
        now_s=now_s,
    )
    return {replica.entry.id for replica in remaining}


def test_two_replicas_that_fail_together_mark_their_domain_as_failed():
    """A failure domain loses power while its replicas send answers.

    Requests discovered its failed replicas one by one, at the cost of an attempt each,
    and ran out of attempts before all five were known.
    """
    remaining = list_remaining({"a0": 9.99, "a2": 9.98}, {"a1": 9.95, "b3": 9.999})
    assert remaining == {"b3", "b4", "b5", "c6", "c7", "c8"}


def test_a_domain_in_which_any_replica_still_answers_has_not_failed():
    """Two replicas crash or reset some answers, while the third continues to answer."""
    assert len(list_remaining({"a0": 9.98, "a2": 9.98}, {"a1": 9.99})) == 9


def test_a_single_failed_replica_does_not_mark_its_domain_as_failed():
    assert len(list_remaining({"a0": 9.99}, {})) == 9


def test_a_failed_domain_is_tried_again_after_a_while():
    assert len(list_remaining({"a0": 8.0, "a2": 8.1}, {}, now_s=9.7)) == 9


def test_all_replicas_are_kept_where_most_domains_seem_to_have_failed():
    """This node's own link is cut, so no replica answers it.

    If it excluded all replicas, it would refuse all requests, even after its link is
    restored.
    """
    last_failure_s = dict.fromkeys(("a0", "a1", "b3", "b4", "c6", "c7"), 9.9)
    assert len(list_remaining(last_failure_s, {})) == 9
