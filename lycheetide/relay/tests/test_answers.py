"""Callers get whole answers to their own requests, and "not run" is reported truly."""

import time

import anyio
import httpx
import pytest

from lycheetide.gossip import Job, JobPart
from standins.http import LOOPBACK, ConnectionReset, Response
from standins.local import find_port
from standins.relay_deployment import API_KEY, CUSTOMER, RelayDeployment, make_config
from standins.replica import RESPONSE_SEAL, Replica, make_event

pytestmark = pytest.mark.anyio

WHOLE_STREAM = b"".join(make_event(number) for number in range(1, 5))


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def test_a_request_reaches_a_replica_as_it_came():
    async with RelayDeployment() as fleet:
        answer = await fleet.look(
            path="/look/a%20b/?q=1&r=%2f", **{"x-own": "kept", "connection": "x-hop",
                                              "x-hop": "1"}
        )  # fmt: skip
        (request,) = fleet.received()
    assert answer.status_code == 200
    assert answer.headers["lycheetide-response-seal"]
    assert request.target == "/look/a%20b/?q=1&r=%2f"
    assert request.headers["x-own"] == "kept"
    assert request.headers["lycheetide-tenant"] == CUSTOMER
    assert "lycheetide-credential" not in request.headers
    assert API_KEY not in str(request.headers)
    assert "x-hop" not in request.headers
    assert 0 < int(request.headers["lycheetide-deadline-ms"]) <= 3_000


async def test_a_customer_cannot_be_claimed():
    async with RelayDeployment() as fleet:
        await fleet.look(**{"lycheetide-tenant": "another"})
        (request,) = fleet.received()
    assert request.headers["lycheetide-tenant"] == CUSTOMER


async def test_a_stream_passes_whole():
    async with RelayDeployment() as fleet:
        answer = await fleet.stream()
    assert answer.content == WHOLE_STREAM


@pytest.mark.parametrize("path", ["/stream/s", "/look/a"])
async def test_a_caller_that_has_its_whole_answer_is_not_logged_as_gone(path):
    """The server reports a disconnect after each complete answer.

    Guards against counting and logging streams with whole answers as left by their
    callers.
    """
    async with RelayDeployment() as fleet:
        (relay,) = fleet.relays
        send = fleet.stream if "stream" in path else fleet.look
        for _ in range(5):
            await send(path=path)
        counts = relay.counters.counts
        await fleet.wait_for(lambda: relay.active == 0)
    assert counts["ended.answered.200"] == 5
    assert counts["ended.caller_left"] == 0


@pytest.mark.parametrize("step", ["break", "stall"])
async def test_a_stream_that_breaks_off_goes_on_elsewhere(step):
    """A replica dies, or falls silent, in the middle of an event.

    The caller must get each event once and in order, and no partial one.
    """
    async with RelayDeployment() as fleet:
        for replica in fleet.replicas:
            replica.next_steps = []
        fleet.replicas[0].next_steps = [step]
        fleet.replicas[1].next_steps = [step]
        answer = await fleet.stream()
        resume_ids = [
            request.headers["last-event-id"]
            for request in fleet.received()
            if "last-event-id" in request.headers
        ]
    assert answer.content == WHOLE_STREAM
    assert resume_ids == ["2"]
    assert len(fleet.runs()) == 2


async def test_a_stream_that_has_begun_is_not_cut_for_want_of_room():
    """A stream's replica falls silent while all replicas read a huge prompt.

    Guards against aborting a stream after three seconds of good service because a
    second replica, which had seconds of reading queued as well, was tried and refused.
    """
    async with RelayDeployment() as fleet:
        (relay,) = fleet.relays
        for replica in fleet.replicas:
            replica.next_steps = []
        fleet.replicas[0].next_steps = ["stall"]
        fleet.replicas[1].next_steps = ["stall"]

        async def add_backlog_when_started():
            while not fleet.received():
                await anyio.sleep(0.002)
            now_s = time.monotonic()
            for replica in fleet.replicas:
                parts = (JobPart(replica.name, 5.0, 100),)
                job = Job("j", f"other-{replica.name}", parts, now_s, now_s + 20.0)
                relay.job_table.start(job, now_s=now_s)

        relay.list_alive_nodes = lambda now_s: {
            relay.node, *(f"other-{replica.name}" for replica in fleet.replicas)
        }  # fmt: skip
        async with anyio.create_task_group() as group:
            group.start_soon(add_backlog_when_started)
            answer = await fleet.stream()
    assert answer.status_code == 200
    assert answer.content == WHOLE_STREAM


async def test_kept_connections_that_were_dropped_use_up_no_attempts():
    """Both replicas have dropped their kept connections without closing them.

    Requests sent on them are reset. Guards against counting these resets as attempts:
    two of them used up the two attempts of a request, and its caller got a failure
    although both replicas were healthy.
    """
    async with RelayDeployment() as fleet:
        for _ in range(4):
            await fleet.stream()
        (relay,) = fleet.relays
        for replica in fleet.replicas:
            replica.resets_reused_connections = True
        answers = [await fleet.stream() for _ in range(4)]
        counts = relay.counters.counts
    assert [answer.content for answer in answers] == [WHOLE_STREAM] * 4
    assert counts["retries.kept_connection"] >= 1
    assert counts["retries.broken"] == 0


@pytest.mark.parametrize("path", ["/stream/s", "/look/a"])
async def test_replicas_that_are_gone_use_up_no_attempts(path):
    """Three replicas have ended, and the registry still lists them for seconds.

    Guards against counting unreachable replicas as attempts: two of them used up all
    attempts of a request, which was refused 6 ms after it arrived.
    """
    async with RelayDeployment(replicas=4) as fleet:
        (relay,) = fleet.relays
        for replica in fleet.replicas[:3]:
            entry = replica.entry(address=f"{LOOPBACK}:{find_port()}", seq=2)
            fleet.store.put("keyed.servers", replica.name, entry)
        addresses = {replica.address for replica in fleet.replicas[:3]}
        await fleet.wait_for(
            lambda: (
                not addresses.intersection(
                    known.entry.address for known in relay.replicas.replicas.values()
                )
            )
        )
        send = fleet.stream if "stream" in path else fleet.look
        answers = [await send(path=path) for _ in range(3)]
    assert [answer.status_code for answer in answers] == [200] * 3


async def test_replicas_that_are_gone_use_up_no_retries():
    """A replica fails a lookup, and the next one has just ended.

    Guards against spending the only retry of the budget on the unreachable replica:
    the caller got a failure although a third replica had room.
    """
    async with RelayDeployment(replicas=3) as fleet:
        (relay,) = fleet.relays
        failing, ended, sound = fleet.replicas
        failing.default_step = "reset"
        closed = f"{LOOPBACK}:{find_port()}"
        changes = {"address": closed, "seq": 2}
        fleet.store.put("keyed.servers", ended.name, ended.entry(**changes))
        changes = {"zone": "cork-b", "seq": 2}
        fleet.store.put("keyed.servers", sound.name, sound.entry(**changes))
        known = relay.replicas.replicas
        await fleet.wait_for(lambda: known[ended.name].entry.address == closed)
        await fleet.wait_for(lambda: known[sound.name].entry.failure_domain == "cork-b")
        window = relay.retries("models")
        window.ratio, window.extra = 0.0, 1.5
        answer = await fleet.look()
    assert answer.status_code == 200
    assert len(failing.runs) == len(sound.runs) == 1
    assert relay.counters.counts["retries.connect_failed"] == 1


async def test_addresses_that_are_used_again_use_up_no_attempts():
    """Three replicas have restarted under other names at the same addresses.

    They refuse requests that were meant for their predecessors. Guards against counting
    these refusals as attempts: two of them left a request without an attempt although a
    fourth replica had room.
    """
    async with RelayDeployment(replicas=4) as fleet:
        for replica in fleet.replicas[:3]:
            replica.default_step = "other"
        answers = [await fleet.stream() for _ in range(3)]
        suspected = fleet.relays[0].counters.counts["replicas.suspected"]
    assert [answer.content for answer in answers] == [WHOLE_STREAM] * 3
    assert len(fleet.runs()) == 3
    assert suspected <= 3


async def test_a_booking_never_goes_out_on_a_kept_connection():
    """A booking lost on a dropped connection can't be told from one that ran."""
    async with RelayDeployment() as fleet:
        await fleet.book()
        for replica in fleet.replicas:
            replica.resets_reused_connections = True
        answers = [await fleet.book() for _ in range(3)]
    assert [answer.status_code for answer in answers] == [200] * 3


async def test_a_stream_that_may_not_be_resumed_never_looks_whole():
    """A stream that may run only once breaks off in the middle.

    Guards against closing the connection in an orderly way, by which the caller would
    take the part for the whole.
    """
    async with RelayDeployment() as fleet:
        for replica in fleet.replicas:
            replica.next_steps = ["break"]
        with pytest.raises(httpx.RemoteProtocolError):
            await fleet.stream(path="/stream-once/s")
        assert len(fleet.runs()) == 1


@pytest.mark.parametrize(
    ("path", "ratio", "why"),
    [
        ("/stream/s", 100.0, "no_attempts"),
        ("/stream/s", 0.0, "no_budget"),
        ("/stream-once/s", 100.0, "not_repeatable"),
    ],
)
async def test_a_stream_that_breaks_off_for_good_leaves_the_reason(path, ratio, why):
    """Guards against a broken stream whose cause isn't logged.

    The log didn't tell which limit kept the stream from another replica.
    """
    async with RelayDeployment() as fleet:
        (relay,) = fleet.relays
        window = relay.retries("models")
        window.ratio, window.extra = ratio, 0.0
        for replica in fleet.replicas:
            replica.events, replica.default_step = 20, "break"
        with pytest.raises(httpx.RemoteProtocolError):
            await fleet.stream(path=path)
        assert relay.counters.counts[f"not_retried.{why}"] == 1


@pytest.mark.parametrize("step", ["reset", "garbled", "crossed", "break"])
async def test_a_booking_whose_answer_is_lost_is_never_called_not_run(step):
    """The replica has run the booking, and its answer is lost or corrupted.

    Guards against reporting the booking as not run, after which the caller would book
    again.
    """
    async with RelayDeployment() as fleet:
        for replica in fleet.replicas:
            replica.default_step = step
        answer = await fleet.book()
    assert answer.status_code == 502
    assert len(fleet.runs()) == 1


async def test_a_booking_that_stays_unanswered_ends_in_time():
    """The replica accepts the booking and never answers."""
    async with RelayDeployment() as fleet:
        for replica in fleet.replicas:
            replica.default_step = "silent"
        with anyio.fail_after(1.0):
            answer = await fleet.book(deadline_ms=500)
    assert answer.status_code == 504
    assert len(fleet.runs()) == 1


async def test_a_prompt_that_would_wait_in_vain_is_refused_at_once():
    """All replicas have work for many seconds, as other nodes announced.

    The caller would leave after 2 s without an event. Instead it is told at once that
    the prompt hasn't run, which is true, and when a replica will be free.
    """
    async with RelayDeployment() as fleet:
        (relay,) = fleet.relays
        now_s = time.monotonic()
        for replica in fleet.replicas:
            parts = (JobPart(replica.name, 5.0, 100),)
            job = Job("j", f"other-{replica.name}", parts, now_s, now_s + 20.0)
            relay.job_table.start(job, now_s=now_s)
        relay.list_alive_nodes = lambda now_s: {
            relay.node, *(f"other-{replica.name}" for replica in fleet.replicas)
        }  # fmt: skip
        begun_s = time.monotonic()
        answer = await fleet.stream()
        took_s = time.monotonic() - begun_s
    assert answer.status_code == 503
    assert 1.0 < float(answer.headers["retry-after"]) <= 5.0
    assert took_s < 1.0
    assert fleet.runs() == []


@pytest.mark.parametrize("step", ["refuse", "other"])
async def test_a_refused_booking_may_come_back(step):
    """The only replica that may get the booking refuses it before running it."""
    async with RelayDeployment() as fleet:
        for replica in fleet.replicas:
            replica.default_step = step
        answer = await fleet.book()
    assert answer.status_code == 503
    assert 0 < float(answer.headers["retry-after"]) < 2
    assert fleet.runs() == []


@pytest.mark.parametrize(
    "step", ["reset", "refuse", "garbled", "crossed", "break", "fail",
             "unframed-reset", "other"],
)  # fmt: skip
async def test_a_lookup_is_repeated_at_another_replica(step):
    """One replica fails a lookup in one of many ways."""
    async with RelayDeployment() as fleet:
        fleet.replicas[0].default_step = step
        answers = [await fleet.look() for _ in range(4)]
    assert [answer.status_code for answer in answers] == [200] * 4
    assert all(answer.text.startswith("r-1 answers") for answer in answers)


async def test_a_prompt_refused_for_a_leaving_helper_is_read_by_one_replica():
    """Some replicas are leaving, and the store is unavailable, so nodes don't know it.

    Each long prompt that has one of them as a helper is refused. Guards against
    retrying with helpers, where it would be refused until its caller gives up.
    """
    async with RelayDeployment(replicas=6) as fleet:
        for replica in fleet.replicas:
            replica.default_step = "refuse-helped"
        answer = await fleet.stream(tokens="50000,300")
        has_helpers = ["lycheetide-helpers" in one.headers for one in fleet.received()]
    assert answer.content == WHOLE_STREAM
    assert sorted(has_helpers) == [False, True]


async def test_a_prompt_refused_for_a_named_helper_keeps_the_other_helpers():
    """One replica is leaving, and a prompt with it as a helper is refused.

    The refusal names the leaving replica. Guards against retrying the prompt at one
    replica alone, which took 3.6 s longer for an archive search of 425,000 tokens.
    """
    async with RelayDeployment(replicas=6) as fleet:
        leaving = fleet.replicas[-1]
        for replica in fleet.replicas[:-1]:
            replica.refused_helper = leaving.address
        answers = [await fleet.stream(tokens="50000,300") for _ in range(4)]
        refused = [one for one in fleet.received() if names_helper(one, leaving)]
        has_helpers = ["lycheetide-helpers" in one.headers for one in fleet.received()]
    assert [answer.content for answer in answers] == [WHOLE_STREAM] * 4
    assert len(refused) == 1
    assert all(has_helpers)


def names_helper(request, replica):
    """Tell whether a request names a replica as a helper."""
    return replica.address in request.headers.get("lycheetide-helpers", "")


async def test_an_answer_without_a_length_is_whole_at_its_end():
    async with RelayDeployment(replicas=1) as fleet:
        fleet.replicas[0].default_step = "unframed"
        answer = await fleet.look()
    assert answer.content == b"x" * 300


async def test_bytes_behind_an_answer_go_to_nobody():
    """A replica sends a second answer after the first one.

    Guards against giving it to the next caller on the same kept connection.
    """
    async with RelayDeployment(replicas=1) as fleet:
        fleet.replicas[0].next_steps = ["extra"]
        first = await fleet.look()
        second = await fleet.look()
        attempts = [
            request.headers["lycheetide-attempt-id"] for request in fleet.received()
        ]
    assert first.text.endswith(attempts[0])
    assert second.text.endswith(attempts[1])


@pytest.mark.parametrize("path", ["/stream/s", "/look/a"])
async def test_a_replica_stops_when_its_caller_leaves(path):
    """A caller closes its connection while a replica works on its request."""
    async with RelayDeployment(replicas=1) as fleet:
        fleet.replicas[0].default_step = "silent" if path == "/look/a" else "stall"
        with anyio.move_on_after(0.3):
            await (fleet.stream() if path == "/stream/s" else fleet.look())
        took_s = await fleet.wait_for(
            lambda: fleet.replicas[0].cancelled_s, timeout_s=2.0
        )
    assert took_s < 0.4


async def test_a_replica_that_is_not_there_costs_little():
    """A replica has died, and its address refuses connections."""
    async with RelayDeployment(replicas=2) as fleet:
        fleet.store.put(
            "keyed.servers", "dead", fleet.replicas[0].entry(address="127.0.0.1:9")
        )
        await fleet.wait_for(lambda: "dead" in fleet.relays[0].replicas.replicas)
        with anyio.fail_after(2.0):
            answers = [await fleet.look() for _ in range(6)]
            answers += [await fleet.stream() for _ in range(6)]
    assert {answer.status_code for answer in answers} == {200}


async def test_what_is_not_allowed_is_refused_at_once():
    async with RelayDeployment() as fleet:
        unknown = await fleet.look(path="/nowhere/a")
        stranger = await fleet.look(key="stolen")
        headers = fleet.make_headers(tokens="")
        large = await fleet.http.post(
            fleet.url("/look/a"), headers=headers, content=b"x" * 20_000
        )
    assert unknown.status_code == 404
    assert stranger.status_code == 401
    assert large.status_code == 413
    assert fleet.received() == []


async def test_without_replicas_a_request_is_refused_at_once():
    """All replicas have left, so waiting for the deadline wouldn't help."""
    async with RelayDeployment(replicas=1) as fleet:
        fleet.store.remove("keyed.servers", "r-0")
        await fleet.wait_for(
            lambda: not list(fleet.relays[0].candidates(
                fleet.relays[0].route_table.services["models"], now_s=1e9))
        )  # fmt: skip
        with anyio.fail_after(0.3):
            answer = await fleet.stream()
    assert answer.status_code == 503
    assert float(answer.headers["retry-after"]) > 0


async def test_bytes_that_are_no_request_end_their_connection_only():
    async with RelayDeployment() as fleet:
        host, _, port = fleet.relays[0].settings.caller_address.rpartition(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(b"\x00\x01 nonsense\r\n\r\n")
            with anyio.move_on_after(1.0):
                await stream.receive()
        answer = await fleet.look()
    assert answer.status_code == 200


async def test_a_route_without_kinds_of_prompt_keeps_its_own_timeout():
    """The operator's timeout is shorter than the time that the caller waits."""
    config = make_config()
    config["routes"][2]["timeoutMs"] = 400
    config["routes"][2]["attempts"] = 1
    async with RelayDeployment(config=config) as fleet:
        for replica in fleet.replicas:
            replica.default_step = "silent"
        with anyio.fail_after(0.9):
            answer = await fleet.look()
    assert answer.status_code == 504


class BreakingReplica(Replica):
    """A replica that breaks off its errors, with a script shared among replicas."""

    def __init__(self, name, *, next_steps):
        super().__init__(name)
        self.next_steps = next_steps

    async def _run(self, request, stream, step, attempt):
        if step != "fail-short":
            return await super()._run(request, stream, step, attempt)
        head = {
            "Lycheetide-Attempt-Id": attempt,
            "Lycheetide-Response-Seal": RESPONSE_SEAL,
        }
        await stream.send(Response(500, b"x" * 400, head).encode()[:-100])
        raise ConnectionReset


@pytest.mark.parametrize("first_step", ["break", "refuse"])
async def test_an_error_that_breaks_off_is_a_failed_attempt(first_step):
    """A replica breaks off while it sends an error.

    Guards against ending the request as an internal error of the node, although a third
    replica could serve it.
    """
    config = make_config()
    config["routes"][0]["attempts"] = 3
    fleet = RelayDeployment(replicas=0, config=config)
    steps = [first_step, "fail-short"]
    fleet.replicas += [
        BreakingReplica(f"r-{index}", next_steps=steps) for index in range(3)
    ]
    async with fleet:
        answer = await fleet.stream()
        faults = fleet.relays[0].counters.counts["requests.fault"]
    assert answer.content == WHOLE_STREAM
    assert faults == 0


@pytest.mark.parametrize("step", ["endless-head", "endless"])
async def test_bytes_without_end_that_are_no_answer_are_given_up(step, caplog):
    """Guards against a replica whose bytes a node collects until it has no memory."""
    caplog.set_level("INFO")
    async with RelayDeployment(replicas=2) as fleet:
        for replica in fleet.replicas:
            replica.next_steps = [step]
        responses = [await fleet.stream() for _ in range(2)]
        sent = sum(replica.endless_bytes for replica in fleet.replicas)
    assert 0 < sent < 32_000_000
    assert responses[-1].status_code == 200
    assert any(one.message.endswith("An attempt failed.") for one in caplog.records)


@pytest.mark.parametrize("status", [408, 429, 500, 503])
@pytest.mark.parametrize("path", ["/book/b", "/stream-once/s", "/look/a"])
async def test_a_request_that_has_run_is_never_reported_as_not_run(path, status):
    """Guards against a booking that runs twice after a promise that nobody has made.

    Its replica ran it and failed with a status that promises callers the contrary.
    """
    async with RelayDeployment() as fleet:
        for replica in fleet.replicas:
            replica.default_step = f"fail-{status}"
        send = {"/book/b": fleet.book, "/look/a": fleet.look}.get(path, fleet.stream)
        answer = await send() if path == "/book/b" else await send(path=path)
        runs = fleet.runs()
    if path == "/look/a":
        assert answer.status_code == status
        return
    assert len(runs) == 1
    assert answer.status_code == (500 if (path, status) == ("/book/b", 500) else 502)
    assert answer.status_code == 500 or "lycheetide-response-seal" not in answer.headers
