"""An answer that may still come isn't given up before another one has begun."""

import math
import time

import anyio
import httpx
import pytest

from lycheetide.gossip import JobPart, Started, make_job
from standins.http import Response
from standins.relay_deployment import (
    RelayDeployment,
    make_config,
    make_long_timeout_config,
)
from standins.replica import Replica, make_event

pytestmark = pytest.mark.anyio

EVENTS = 8
WHOLE_STREAM = b"".join(make_event(number) for number in range(1, EVENTS + 1))
PAUSE_S = 1.6
"""Longer than a node waits for an event before it tries another replica, and shorter
than the 2 s after which callers give up a stream."""


@pytest.fixture
def anyio_backend():
    return "asyncio"


def script_replicas(replicas, steps, *, pause_s=PAUSE_S):
    """Make the first answers of each replica follow the steps."""
    for replica in replicas:
        replica.events, replica.next_steps = EVENTS, list(steps)
        replica.long_pause_s = pause_s


def add_job(relay, replica, *, read_s=0.0, kv_tokens=0):
    """Register a job of 20 s at a replica in a node's job table."""
    now_s = time.monotonic()
    started = Started(
        relay.node, relay.make_attempt_name(),
        (JobPart(replica, read_s, kv_tokens, True),),
        expires_in_ms=20_000, due_in_ms=300, gap_ms=250, weight_hundredths=100,
    )  # fmt: skip
    relay.job_table.start(make_job(started, now_s=now_s), now_s=now_s)


async def read_stream(fleet, **fields):
    """Return the bytes of a stream, aborted or not, and its longest pause in s."""
    parts, longest_pause_s = [], 0.0
    try:
        async with fleet.open_stream(deadline_ms=10_000, **fields) as answer:
            last_s = time.monotonic()
            async for part in answer.aiter_raw():
                now_s = time.monotonic()
                longest_pause_s, last_s = max(longest_pause_s, now_s - last_s), now_s
                parts.append(part)
    except httpx.RemoteProtocolError:
        parts.append(b"(cut)")
    return b"".join(parts), longest_pause_s


async def test_a_stream_that_may_not_be_repeated_stays_at_a_living_replica():
    """A replica is late with the head of a stream that may run only once.

    No other replica may be tried. Guards against ending the attempt before its head
    arrives, by which the caller got 502.
    """
    async with RelayDeployment(config=make_long_timeout_config()) as fleet:
        (relay,) = fleet.relays
        script_replicas(fleet.replicas, ["late"])

        async def report_replicas_alive():
            while True:
                for replica in fleet.replicas:
                    relay.failure_detector.note_peer_report(
                        replica.name, now_s=time.monotonic()
                    )
                await anyio.sleep(0.1)

        async with anyio.create_task_group() as group:
            group.start_soon(report_replicas_alive)
            answer = await fleet.stream(path="/stream-once/s", deadline_ms=10_000)
            group.cancel_scope.cancel()
        retries = len(relay.retries("models")._retries)
    assert (answer.status_code, retries) == (200, 0)


@pytest.mark.parametrize("fault", ["refuse", "other", "unreachable"])
async def test_a_stream_goes_on_where_its_successor_takes_nothing(fault):
    """The replica that was to take over a stream refuses it or is unreachable.

    Guards against aborting the stream although the first replica was only silent and
    would have continued in time.
    """
    spare = Replica("r-spare", events=EVENTS)
    async with RelayDeployment(replicas=1, config=make_long_timeout_config()) as fleet:
        script_replicas(fleet.replicas, ["pause"])
        spare.next_steps = [fault]
        async with spare.server.run():
            entry = spare.entry()
            if fault == "unreachable":
                entry["address"] = "127.0.0.1:9"

            async def add_spare():
                await fleet.wait_for(fleet.runs)
                await anyio.sleep(0.3)
                fleet.store.put("keyed.servers", spare.name, entry)

            async with anyio.create_task_group() as group:
                group.start_soon(add_spare)
                data, longest_pause_s = await read_stream(fleet)
    assert data == WHOLE_STREAM
    assert longest_pause_s < 2.0


@pytest.mark.parametrize("known_as", ["reading", "suspect"])
async def test_a_stream_is_not_moved_to_a_replica_that_is_known_to_be_late(known_as):
    """The only other replica reads for seconds, or is suspected itself.

    Guards against moving a stream from a silent replica to one that is known to be no
    better. The caller waits 2 s; the first replica would have continued after 1.6 s.
    """
    async with RelayDeployment(config=make_long_timeout_config()) as fleet:
        (relay,) = fleet.relays
        first, second = fleet.replicas
        script_replicas([first], ["pause"])
        script_replicas([second], ["late"], pause_s=2.5)
        if known_as == "reading":
            add_job(relay, second.name, read_s=5.0)
        else:
            relay.failure_detector.suspect(second.name, now_s=time.monotonic())
        data, longest_pause_s = await read_stream(fleet)
    assert data == WHOLE_STREAM
    assert longest_pause_s < 2.0


async def test_streams_do_not_leave_together_for_one_place():
    """A silent replica has several streams, and another one has memory for one of them.

    Guards against moving all streams there at once: all but one were aborted, although
    the first replica would have continued.
    """
    spare = Replica("r-spare", events=EVENTS, pause_s=0.5)
    results = []
    async with (
        spare.server.run(),
        RelayDeployment(replicas=1, config=make_long_timeout_config()) as fleet,
    ):
        (relay,) = fleet.relays
        script_replicas(fleet.replicas, ["pause"] * 8)

        async def read():
            results.append(await read_stream(fleet, tokens="1000,10000"))

        async with anyio.create_task_group() as group:
            for _ in range(8):
                group.start_soon(read)
            await fleet.wait_for(lambda: len(fleet.runs()) == 8)
            add_job(relay, spare.name, kv_tokens=85_000)
            fleet.store.put("keyed.servers", spare.name, spare.entry())
    assert [data for data, _ in results] == [WHOLE_STREAM] * 8


class FullReplica(Replica):
    """A replica that can be made to refuse all further reservations."""

    is_full = False

    def _take_order(self, order):
        is_new = order["id"] not in self.tickets
        if self.is_full and is_new and order["operation"] == "reserve":
            return Response(409, b"{}")
        return super()._take_order(order)


async def test_a_shared_stream_stays_where_its_memory_is():
    """Guards against leaving a silent replica before memory is reserved at others."""
    replicas = [FullReplica(f"r-{index}") for index in range(5)]
    fleet = RelayDeployment(replicas=0, config=make_long_timeout_config())
    fleet.replicas += replicas
    async with fleet:
        script_replicas(fleet.replicas, ["pause"])

        async def fill_replicas():
            await fleet.wait_for(fleet.runs)
            for replica in replicas:
                replica.is_full = True

        async with anyio.create_task_group() as group:
            group.start_soon(fill_replicas)
            data, _ = await read_stream(fleet, tokens="130000,200")
    assert data == WHOLE_STREAM


async def test_a_shared_prompt_at_a_dead_replica_is_tried_at_others():
    """A replica dies silently before the answer to a prompt with shared memory begins.

    Guards against a second attempt that never reserved memory, while the memory of the
    first attempt stayed reserved for seconds.
    """
    async with RelayDeployment(replicas=6, config=make_long_timeout_config()) as fleet:
        script_replicas(fleet.replicas, ["silent"])
        for replica in fleet.replicas:
            replica.events = EVENTS

        async def recover():
            await fleet.wait_for(fleet.runs)
            for replica in fleet.replicas:
                replica.next_steps = []

        async with anyio.create_task_group() as group:
            group.start_soon(recover)
            begun_s = time.monotonic()
            data, _ = await read_stream(fleet, tokens="130000,200")
            took_s = time.monotonic() - begun_s
    assert data == WHOLE_STREAM
    assert took_s < 4.0


async def test_a_stream_that_has_begun_asks_a_full_replica_again():
    """A stream's replica breaks off while the only other replica is briefly full.

    Guards against aborting the stream: it never ran at the full replica, and the route
    allows one more attempt.
    """
    async with RelayDeployment(config=make_long_timeout_config(attempts=3)) as fleet:
        steps = ["break", "refuse"]
        for replica in fleet.replicas:
            replica.events, replica.next_steps = EVENTS, steps
        data, _ = await read_stream(fleet)
    assert data == WHOLE_STREAM


async def test_a_lookup_at_a_dead_replica_is_answered_at_once():
    """A lookup may go nowhere else, and no peer reports its replica alive.

    Guards against holding it until its deadline: the caller could retry through another
    node.
    """
    async with RelayDeployment(replicas=1, config=make_long_timeout_config()) as fleet:
        script_replicas(fleet.replicas, ["silent"])
        begun_s = time.monotonic()
        answer = await fleet.look(deadline_ms=4_000)
        took_s = time.monotonic() - begun_s
    assert (answer.status_code, took_s < 2.0) == (502, True)


async def test_a_dead_replica_is_left_alone_while_no_retry_is_left():
    """Lookups are sent to a dead replica while the retry budget is used up.

    Guards against sending one after the other there, each held until its deadline: a
    replica at which a request stays must become suspected as well.
    """
    async with RelayDeployment(config=make_long_timeout_config()) as fleet:
        (relay,) = fleet.relays
        window = relay.retries("models")
        window.ratio, window.extra = 0.0, 0.0
        fleet.replicas[0].default_step = "silent"
        fleet.replicas[1].default_step = ""
        statuses = [(await fleet.look(deadline_ms=1_500)).status_code for _ in range(4)]
    assert statuses.count(200) >= 3


async def test_a_stream_that_stays_ends_at_its_time_limit():
    """Guards against holding a stream at a silent replica beyond its deadline."""
    async with RelayDeployment(replicas=1, config=make_long_timeout_config()) as fleet:
        script_replicas(fleet.replicas, ["stall"])
        begun_s = time.monotonic()
        with pytest.raises(httpx.RemoteProtocolError):
            await fleet.stream(deadline_ms=3_000)
        took_s = time.monotonic() - begun_s
    assert 2.5 < took_s < 3.2


async def test_a_replica_stops_when_the_caller_of_a_silent_stream_leaves():
    """Guards against a replica working on after the caller of a silent stream left."""
    async with RelayDeployment(replicas=1, config=make_long_timeout_config()) as fleet:
        script_replicas(fleet.replicas, ["stall"])
        (replica,) = fleet.replicas
        async with fleet.open_stream(deadline_ms=10_000) as answer:
            assert answer.status_code == 200
            await anyio.sleep(2.0)
        disconnected_s = time.monotonic()
        await fleet.wait_for(lambda: replica.cancelled_s)
        assert replica.cancelled_s[0] - disconnected_s < 0.3


async def test_a_caller_that_leaves_while_its_stream_looks_for_a_place_is_let_go():
    """Guards against sending a stream to a replica after its caller left.

    The caller leaves while the stream waits for a placement.
    """
    spare = Replica("r-spare", events=EVENTS)
    async with (
        spare.server.run(),
        RelayDeployment(replicas=1, config=make_long_timeout_config()) as fleet,
    ):
        script_replicas(fleet.replicas, ["break"])
        async with fleet.open_stream(deadline_ms=10_000) as answer:
            assert answer.status_code == 200
            await anyio.sleep(0.5)
        await anyio.sleep(0.2)
        fleet.store.put("keyed.servers", spare.name, spare.entry())
        await anyio.sleep(1.5)
        assert spare.received == []


@pytest.mark.parametrize("replicas", [1, 2])
async def test_a_stream_outlasts_a_configuration_that_takes_its_route_away(replicas):
    """A new configuration removes a stream's route, service and customer key.

    Guards against aborting a stream that is running.
    """
    async with RelayDeployment(
        replicas=replicas, config=make_long_timeout_config()
    ) as fleet:
        (relay,) = fleet.relays
        script_replicas(fleet.replicas, ["pause"])

        async def configure():
            await fleet.wait_for(fleet.runs)
            changed = make_config(version=2)
            changed["routes"] = [
                route | {"service": "others"} for route in changed["routes"][2:]
            ]
            changed["services"] = [
                service | {"name": "others"} for service in changed["services"]
            ]
            changed["tenants"] = [{"name": "another", "apiKeys": ["another"]}]
            fleet.store.put("keyed.op", "config", changed)

        async with anyio.create_task_group() as group:
            group.start_soon(configure)
            data, _ = await read_stream(fleet)
        assert relay.route_table.routing.version == 2
    assert data == WHOLE_STREAM


async def test_all_nodes_are_told_of_a_replica_that_broke_off():
    """Nine replicas die at once, and each node detects each failure on its own.

    Guards against a stream trying three dead replicas one after the other, for 0.4 s.
    """
    async with RelayDeployment(relays=2, config=make_long_timeout_config()) as fleet:
        await fleet.wait_for(
            lambda: all(
                len(relay.peers.alive(now_s=time.monotonic())) == 1
                for relay in fleet.relays
            )
        )
        steps = ["break"]
        for replica in fleet.replicas:
            replica.events, replica.next_steps = EVENTS, steps
        data, _ = await read_stream(fleet)
        (broken,) = [
            name
            for name in ("r-0", "r-1")
            if math.isfinite(fleet.relays[0].failure_detector.last_failure_s(name))
        ]
        other = fleet.relays[1]
        await fleet.wait_for(
            lambda: math.isfinite(other.failure_detector.last_failure_s(broken))
        )
        assert not other.failure_detector.is_suspect(broken, now_s=time.monotonic())
    assert data == WHOLE_STREAM
