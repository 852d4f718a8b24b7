"""Which part of prompts is found at fault, from where it was present at crashes."""

import math
import time

import pytest

from lycheetide.gossip import Life
from lycheetide.quarantine import PresenceEvidence, PresentPrompt

BAD, SYSTEM, RARE = b"bad", b"system", b"rare"
REPLICAS = 20


def make_life(number):
    """Return the start of a replica."""
    return Life(f"r-{number}", 1)


def note(evidence, number, *prompts, at_s=None, alive=REPLICAS):
    """Record a crash; each prompt is (number, parts, age, whether it has ended)."""
    at_s = 0.2 * number if at_s is None else at_s
    rows = [
        PresentPrompt(prompt, frozenset(parts) | {b"own-%d" % prompt}, age_s, is_ended)
        for prompt, parts, age_s, is_ended in prompts
    ]
    evidence.note_crash(make_life(number), rows, alive=alive, at_s=at_s, now_s=at_s)


def find(evidence, *, now_s=10.0, quarantined=(), explained=frozenset()):
    """Return the sets of parts that are found at fault."""
    found = evidence.find_culprits(
        quarantined, objection_s=0.1, now_s=now_s, explained=explained
    )
    return [parts for parts, _ in found]


def spread(evidence, number, part, *, fresh=0, others=0):
    """Record at how many other replicas a part was present at a crash."""
    evidence.note_elsewhere(
        make_life(number), part, range(fresh), range(100, 100 + others)
    )


@pytest.mark.parametrize(
    ("age_s", "is_ended"), [(-1.0, False), (0.0, False), (0.3, False), (3.0, True)]
)
def test_a_part_of_four_crashes_is_found_at_each_moment(age_s, is_ended):
    """Guards against a moment of an answer at which a crash accuses nothing."""
    evidence = PresenceEvidence()
    for number in range(4):
        note(evidence, number, (number, {BAD, b"o%d" % number}, age_s, is_ended))
    assert find(evidence) == [frozenset({BAD})]


def test_a_part_that_is_at_hand_everywhere_is_not_found():
    """Guards against blaming what most prompts have wherever replicas are killed."""
    evidence = PresenceEvidence()
    for number in range(8):
        note(evidence, number, (number, {SYSTEM}, 4.0, False))
        spread(evidence, number, SYSTEM, others=REPLICAS - 1)
    assert find(evidence) == []


def test_a_part_is_found_though_others_have_it_at_hand_for_long():
    """Guards against streams in flight that hide a crash at the first event."""
    evidence = PresenceEvidence()
    for number in range(4):
        note(evidence, number, (number, {BAD}, 0.0, False))
        spread(evidence, number, BAD, others=12)
    assert find(evidence) == [frozenset({BAD})]


def test_crashes_of_long_streams_weigh_by_where_else_their_part_is():
    """Guards against blaming a part of long streams for a series of kills."""
    evidence = PresenceEvidence()
    for number in range(8):
        parts = {RARE} if number % 2 else {SYSTEM}
        note(evidence, number, (number, parts, 4.0, False))
        spread(evidence, number, RARE, others=2)
        spread(evidence, number, SYSTEM, others=9)
    assert find(evidence) == []


def test_an_answer_that_was_survived_clears_its_parts_of_crashes_before():
    """Guards against popular parts that are at hand at every crash."""
    evidence = PresenceEvidence()
    for number in range(4):
        note(evidence, number, (number, {SYSTEM}, 0.0, False))
    evidence.note_survived([SYSTEM], make_life(9), at_s=0.5)
    assert find(evidence) == []


def test_an_answer_whose_replica_crashes_just_after_it_clears_nothing():
    """Guards against a part that crashes replicas after the last event."""
    evidence = PresenceEvidence()
    for number in range(4):
        evidence.note_survived([BAD], make_life(number), at_s=0.2 * number - 0.02)
        note(evidence, number, (number, {BAD, b"o%d" % number}, 0.4, True))
    assert evidence.last_survived_s(BAD) == -math.inf
    assert find(evidence) == [frozenset({BAD})]


def test_an_answer_that_was_proven_survived_outlasts_the_crash_of_its_replica():
    """Guards against losing what clears a part when its replicas are killed later."""
    evidence = PresenceEvidence()
    for at_s in (-9.0, -6.0, -3.0, -0.1):
        evidence.note_survived([SYSTEM], make_life(0), at_s=at_s)
    note(evidence, 0, (0, {SYSTEM}, 0.2, False), at_s=0.0)
    assert evidence.last_survived_s(SYSTEM) >= -6.0


def test_two_attempts_of_one_prompt_crash_replicas_separately():
    """Guards against taking a prompt's crashes in quick succession for one failure."""
    evidence = PresenceEvidence()
    for number in range(4):
        at_s = 0.5 * (number // 2) + 0.01 * (number % 2)
        note(evidence, number, (number // 2, {BAD}, 0.0, False), at_s=at_s)
    assert find(evidence) == [frozenset({BAD})]


def test_replicas_that_crash_together_count_once():
    """Guards against a lost failure domain that has a rare part at hand."""
    evidence = PresenceEvidence()
    for number in range(4):
        note(evidence, number, (number, {RARE}, 0.0, False), at_s=0.001 * number)
    assert find(evidence) == []


def test_nothing_is_found_before_the_others_could_answer():
    """Guards against a verdict that doesn't know where else a part is at hand."""
    evidence = PresenceEvidence()
    for number in range(4):
        note(evidence, number, (number, {BAD}, 0.0, False), at_s=1.0 + 0.05 * number)
    assert find(evidence, now_s=1.2) == []
    assert find(evidence, now_s=1.3) == [frozenset({BAD})]


def test_crashes_that_a_known_part_explains_accuse_no_other():
    """Guards against blaming streams that a known part takes along."""
    evidence = PresenceEvidence()
    for number in range(4):
        note(evidence, number, (number, {BAD}, 0.0, False),
             (50 + number, {RARE}, 0.0, False))  # fmt: skip
    assert find(evidence, quarantined=[frozenset({BAD})]) == []


def test_a_part_that_never_survived_goes_before_one_that_did():
    """Guards against blaming an old part for what a new one does."""
    evidence = PresenceEvidence()
    evidence.note_survived([SYSTEM], make_life(99), at_s=-1.0)
    for number in range(4):
        note(evidence, number, (number, {BAD, SYSTEM}, 0.0, False))
    assert find(evidence) == [frozenset({BAD})]


def test_a_part_of_nearly_all_crashes_is_found_where_most_replicas_are_down():
    """Guards against a small fleet in which each part is at hand at most replicas."""
    evidence = PresenceEvidence()
    for number in range(7):
        note(evidence, number, (number, {BAD, b"o%d" % number}, 0.0, False), alive=2)
    assert find(evidence) == [frozenset({BAD})]


def test_the_longest_answer_before_a_crash_is_known():
    """Guards against cancelling streams that have outlived all that crashed."""
    evidence = PresenceEvidence()
    assert evidence.find_longest_s([BAD]) == math.inf
    note(evidence, 0, (0, {BAD}, -1.0, False))
    note(evidence, 1, (1, {BAD}, 0.7, False))
    assert evidence.find_longest_s([BAD]) == 0.7
    note(evidence, 2, (2, {BAD}, 0.2, True))
    assert evidence.find_longest_s([BAD]) == math.inf


def test_memory_and_time_are_bounded_however_many_prompts_crash():
    """Guards against a million made-up parts, and many crashes of busy replicas."""
    evidence = PresenceEvidence()
    for number in range(400):
        rows = [
            (100 * number + place, {b"%d-%d" % (number, part) for part in range(40)},
             1.0, False)
            for place in range(8)
        ]  # fmt: skip
        note(evidence, number, *rows)
    evidence.note_survived((b"%d" % n for n in range(9_000)), make_life(0), at_s=0.0)
    assert len(evidence) <= 256
    assert len(evidence._lives) <= 8_192 + 48
    assert len(evidence._survived) <= 4_096
    begun_s = time.perf_counter()
    find(evidence, now_s=500.0)
    assert time.perf_counter() - begun_s < 0.1


def test_a_look_takes_less_than_the_time_between_looks():
    """Guards against a node that stands still while busy replicas crash in series."""
    evidence = PresenceEvidence()
    for number in range(130):
        prompts = [
            (20 * number + place, {b"system-%d" % ((number + 7 * place) % 60)}, 4.0,
             False)
            for place in range(20)
        ]  # fmt: skip
        note(evidence, number, *prompts)
        for part in range(60):
            spread(evidence, number, b"system-%d" % part, others=REPLICAS)
    begun_s = time.process_time()
    assert find(evidence, now_s=100.0) == []
    assert time.process_time() - begun_s < 0.1
