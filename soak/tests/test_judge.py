"""The judge finds what it is there for; a run that broke a promise must not pass."""

from types import SimpleNamespace

import pytest

from soak.callers import Attempt
from soak.faults import Disturbance
from soak.judge import EVENTS, Record, find_broken
from soak.plan import QUIET_S, draw_faults, draw_quiets
from soak.replicas import SoakReplica
from standins.replica import SEAL

HEADERS = (("lycheetide-attempt-id", "a1"), ("lycheetide-response-seal", SEAL))


def make_stream(attempt_id="a1", numbers=range(1, EVENTS + 1)):
    return b"".join(
        f"id: {number}\ndata: token {number} {attempt_id}\n\n".encode()
        for number in numbers
    )


def make_attempt(kind="look", **fields):
    whole = {
        "id": "a1", "kind": kind, "node": "entry-0", "begun_s": 10.0, "ended_s": 10.2,
        "status": 200, "headers": HEADERS, "is_whole": True,
        "body": make_stream() if kind == "stream" else b"r-0 answers a1",
    }  # fmt: skip
    return Attempt(**(whole | fields))


def make_record(*attempts, replica=None, replicas=(), own_exits=(), **noted):
    faults = SimpleNamespace(disturbances=[], drained=[], revoked=[], closed=[])
    for name, value in noted.items():
        setattr(faults, name, value)
    replicas = list(replicas) or [replica or SoakReplica("r-0")]
    return Record(list(attempts), replicas, faults, list(own_exits), calm_s=100.0)


def rules(record):
    return {line.split()[0] for line in find_broken(record)}


def make_replica(*arrivals, runs=(), name="r-0"):
    replica = SoakReplica(name)
    replica.arrivals = [(at_s, attempt_id, "hule") for at_s, attempt_id in arrivals]
    replica.runs = list(runs)
    return replica


@pytest.mark.parametrize("kind", ["look", "stream"])
def test_a_run_that_keeps_all_promises_passes(kind):
    replica = make_replica((10.1, "a1"), runs=["a1"])
    assert rules(make_record(make_attempt(kind), replica=replica)) == set()


@pytest.mark.parametrize(
    ("attempt", "rule"),
    [
        (make_attempt(headers=(("lycheetide-attempt-id", "b2"), HEADERS[1])), "MIXED"),
        (make_attempt(headers=HEADERS[:1]), "MIXED"),
        (make_attempt(body=b"r-0 answers b2"), "MIXED"),
        (make_attempt("stream", body=make_stream("b2")), "MIXED"),
        (make_attempt("stream", body=make_stream(numbers=(1, 2, 4))), "ORDER"),
        (make_attempt("stream", body=make_stream(numbers=(1, 2))), "ORDER"),
        (make_attempt(ended_s=14.5), "LATE"),
        (make_attempt(begun_s=101.0, ended_s=101.2, status=503), "RECOVER"),
    ],
)
def test_what_a_caller_sees_is_judged(attempt, rule):
    assert rule in rules(make_record(attempt))


def test_a_booking_that_runs_twice_is_found():
    replica = make_replica(runs=["a1", "a1"])
    assert rules(make_record(make_attempt("book"), replica=replica)) == {"TWICE"}


def test_a_refusal_of_what_has_run_is_found():
    attempt = make_attempt("book", status=503, body=b"")
    record = make_record(attempt, replica=make_replica(runs=["a1"]))
    assert rules(record) == {"REFUSED"}


def test_a_request_that_was_passed_on_and_got_no_answer_is_found():
    attempt = make_attempt(status=0, body=b"", is_whole=False)
    replica = make_replica((10.1, "a1"))
    assert rules(make_record(attempt, replica=replica)) == {"LOST"}
    hit = [Disturbance("node entry-0", "kill", 9.0, 11.0)]
    assert rules(make_record(attempt, replica=replica, disturbances=hit)) == set()


def make_cut(kind="stream", **fields):
    cut = {"body": make_stream(numbers=(1, 2)), "is_whole": False,
           "ended_s": 11.6, "silent_s": 1.2}  # fmt: skip
    return make_attempt(kind, **(cut | fields))


def hit(what, from_s=9.0, to_s=10.5, kind="kill"):
    return [Disturbance(what, kind, from_s, to_s)]


@pytest.mark.parametrize(
    "attempt",
    [
        make_cut(),
        make_cut("once"),
        make_cut("patient", ended_s=15.5),
        make_cut("huge", ended_s=12.7, silent_s=2.4),
        make_cut(body=b"", ended_s=11.2),
    ],
)
@pytest.mark.parametrize(
    "disturbances",
    [
        [],
        hit("node entry-1"),
        hit("replica r-1", to_s=12.0, kind="cut_up"),
        hit("node entry-0", to_s=6.5),
        hit("replica r-0", to_s=9.05),
        hit("replica r-0", from_s=16.0, to_s=17.0),
        hit("store"),
    ],
)
def test_a_stream_that_is_cut_while_its_replica_is_sound_is_found(
    attempt, disturbances
):
    replica = make_replica((10.1, "a1"))
    record = make_record(attempt, replica=replica, disturbances=disturbances)
    assert rules(record) == {"CUT"}


@pytest.mark.parametrize(
    ("attempt", "disturbances"),
    [
        (make_cut(), hit("node entry-0")),
        (make_cut(), hit("node entry-0", from_s=11.5, to_s=11.7, kind="front_reset")),
        (make_cut(), hit("replica r-0")),
        (make_cut(), hit("replica r-0", from_s=11.5, to_s=12.0, kind="cut_down")),
        (make_cut("huge"), hit("replica r-0", kind="sick")),
        (make_cut(gave_up=True, ended_s=12.2, silent_s=2.0), []),
        (make_cut(ended_s=12.2, silent_s=1.9), []),
        (make_cut(ended_s=12.9), []),
        (make_cut("patient", ended_s=15.9), []),
        (make_cut("leave"), []),
        (make_cut(body=b"", status=503, is_whole=True, headers=()), []),
    ],
)
def test_a_stream_that_may_end_early_is_no_cut(attempt, disturbances):
    replica = make_replica((10.1, "a1"))
    record = make_record(attempt, replica=replica, disturbances=disturbances)
    assert "CUT" not in rules(record)


@pytest.mark.parametrize("status", [502, 504])
@pytest.mark.parametrize(
    ("spoken_s", "disturbances", "found"),
    [
        ([10.2, 11.2], [], {"CUT"}),
        ([10.2], [], set()),
        ([11.7], [], set()),
        ([11.2], hit("node entry-1", to_s=11.0), set()),
        ([11.2], hit("node entry-1", to_s=9.5), {"CUT"}),
    ],
)
def test_a_stream_that_has_not_begun_is_cut_where_its_replica_is_heard(
    status, spoken_s, disturbances, found
):
    replica = make_replica((10.1, "a1"))
    replica.spoken_s = spoken_s
    attempt = make_cut(body=b"", status=status, is_whole=True, headers=(), silent_s=0.0)
    record = make_record(attempt, replica=replica, disturbances=disturbances)
    assert rules(record) == found


@pytest.mark.parametrize(("disturbed", "found"), [("r-0", {"CUT"}), ("r-1", set())])
def test_a_stream_is_judged_by_the_replica_that_it_reached_last(disturbed, found):
    replicas = [
        make_replica((10.1, "a1")),
        make_replica((10.4, "a1"), name="r-1"),
    ]
    record = make_record(
        make_cut(), replicas=replicas, disturbances=hit(f"replica {disturbed}")
    )
    assert rules(record) == found


@pytest.mark.parametrize(
    ("kind", "left_s", "found"),
    [
        ("refuse", 11.55, set()),
        ("crash", 11.55, set()),
        ("cut_up", 11.55, {"CUT"}),
        ("cut_up", 10.4, set()),
    ],
)
def test_a_stream_that_left_its_replica_may_fail_on_the_way_to_another(
    kind, left_s, found
):
    replicas = [make_replica((10.1, "a1")), make_replica(name="r-1")]
    replicas[0].ends = {"a1": left_s}
    disturbances = hit("replica r-1", to_s=12.0, kind=kind)
    record = make_record(make_cut(), replicas=replicas, disturbances=disturbances)
    assert rules(record) == found


def test_a_huge_prompt_needs_all_replicas():
    replicas = [make_replica((10.1, "a1")), make_replica(name="r-1")]
    for kind, found in (("huge", set()), ("stream", {"CUT"})):
        disturbances = hit("replica r-1", kind="cut_up")
        record = make_record(
            make_cut(kind), replicas=replicas, disturbances=disturbances
        )
        assert rules(record) == found


def test_a_caller_that_gave_up_before_an_answer_must_have_met_a_delay():
    attempt = make_cut(status=0, headers=(), body=b"", gave_up=True, silent_s=2.0)
    replica = make_replica((10.1, "a1"))
    assert rules(make_record(attempt, replica=replica)) == {"LOST"}
    replica.quiet = [(10.0, 11.7)]
    assert rules(make_record(attempt, replica=replica)) == set()


@pytest.mark.parametrize(
    ("noted", "rule"),
    [
        ({"drained": [("r-0", 6.0, 12.0)]}, "DRAIN"),
        ({"closed": [("cork-a", 4.0, 12.0)]}, "EVAC"),
        ({"revoked": [5.0]}, "CONFIG"),
    ],
)
def test_what_reaches_a_replica_that_it_must_not_reach_is_found(noted, rule):
    attempt = make_attempt("second_key")
    replica = make_replica((10.1, "a1"))
    assert rule in rules(make_record(attempt, replica=replica, **noted))
    hit = [Disturbance("store", "store_busy", 8.0, 9.0)]
    record = make_record(attempt, replica=replica, disturbances=hit, **noted)
    assert rule not in rules(record)


def test_a_cold_replica_that_is_overrun_is_found():
    replica = make_replica(*[(10.0 + n / 100, f"b{n}") for n in range(60)])
    replica.cold = [(10.0, 12.0)]
    assert rules(make_record(replica=replica)) == {"FAILBACK"}


def test_work_that_goes_on_after_its_caller_left_is_found():
    attempt = make_attempt("leave", is_whole=False)
    replica = make_replica((10.1, "a1"))
    replica.ends = {"a1": 12.0}
    assert rules(make_record(attempt, replica=replica)) == {"GONE"}
    on_time = make_replica((10.1, "a1"))
    on_time.ends = {"a1": 10.4}
    assert rules(make_record(attempt, replica=on_time)) == set()


def test_memory_that_stays_taken_and_exits_are_found():
    replica = SoakReplica("r-0")
    replica.tickets = {"t": 5}
    replica.lapses_s = {"t": float("inf")}
    record = make_record(replica=replica, own_exits=["entry-0 ended with 1"])
    assert rules(record) == {"LEAK", "EXIT"}


def test_the_same_seed_gives_the_same_faults():
    plans = [list(draw_faults(5, seconds=9.0, count=20)) for _ in range(2)]
    assert plans[0] == plans[1]
    assert plans[0] != list(draw_faults(6, seconds=9.0, count=20))


def test_silences_leave_the_other_faults_of_a_seed_as_they_were():
    plan = list(draw_faults(13, seconds=10.0, count=14))
    begins = [(round(one.at_s, 3), one.kind) for one in plan[:3]]
    assert begins == [(0.144, "revoke"), (0.569, "revoke"), (1.302, "revoke")]
    quiets = draw_quiets(13, seconds=10.0, count=6)
    assert quiets == draw_quiets(13, seconds=10.0, count=6)
    silences = [one for one in quiets if one.kind != "configure"]
    assert len(silences) >= 6
    assert all(QUIET_S[0] <= one.lasts_s <= QUIET_S[1] for one in silences)
