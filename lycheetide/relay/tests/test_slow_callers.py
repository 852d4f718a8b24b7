"""Callers read slowly or not at all, by themselves or hundreds at a time."""

from types import SimpleNamespace
from typing import Any

import anyio
import pytest

from lycheetide.admission import Activation
from lycheetide.buffering import MemoryGauge
from lycheetide.metrics import Counters, get_logger
from lycheetide.relay._memory import NodeMemory, update_memory
from lycheetide.relay._outcomes import StreamAborted
from lycheetide.relay._stream import Progress, record_event
from lycheetide.relay._writer import MAX_CALLER_BYTES, serve_buffered_reply
from standins.relay_deployment import RelayDeployment, make_config
from standins.replica import make_event

pytestmark = pytest.mark.anyio

CONTENDED = ("base", "pressure")
EVENT_BYTES = 50_000
EVENT_COUNT = 6
"""More than the sockets hold, and no more than that and what the relay may hold."""
LARGE_EVENT_BYTES = 120_000
"""The second one of these is held."""
END_MARK = b"\r\n0\r\n\r\n"


@pytest.fixture
def anyio_backend():
    return "asyncio"


def deploy(**fields):
    """Return a deployment whose replicas send events that fill the sockets."""
    limits = make_config()["limits"] | {"maxBodyBytes": 1_000_000}
    config = make_config(limits=limits)
    fleet = RelayDeployment(config=config, **({"contracts": CONTENDED} | fields))
    for replica in fleet.replicas:
        replica.event_bytes = EVENT_BYTES
        replica.events = EVENT_COUNT
        replica.unread_limit_s = 0.3
    return fleet


async def read_rest(stream):
    """Return all bytes up to the end mark or the end of the connection."""
    data = bytearray()
    try:
        while not data.endswith(END_MARK):
            data += await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        pass
    return bytes(data)


def is_whole(data, events=EVENT_COUNT, *, size=EVENT_BYTES):
    """Tell whether an answer has all events, once and in order, and the end mark."""
    places = [
        data.find(make_event(number, size=size)) for number in range(1, events + 1)
    ]
    once = data.count(b"\nid: ") == events
    return once and -1 not in places and places == sorted(places) and (
        data.endswith(END_MARK)
    )  # fmt: skip


def list_held(relay):
    return list(relay.memory.replies.values())


async def test_replica_is_read_while_its_caller_reads_nothing():
    """Guards against streams that replicas cut off because they stay unread."""
    async with deploy() as fleet:
        (relay,) = fleet.relays
        async with fleet.open_slow_reader() as stream:
            await fleet.wait_for(
                lambda: any(reply.is_complete for reply in list_held(relay))
            )
            assert relay.memory.held.total > 0
            # The replica is free, and its connection is used for the next request.
            await fleet.wait_for(lambda: not list(relay.job_table.running(relay.node)))
            assert is_whole(await read_rest(stream))
        await fleet.wait_for(lambda: relay.active == 0)
        assert relay.memory.held.total == 0
        assert sum(replica.cut_unread for replica in fleet.replicas) == 0


async def test_nothing_is_held_where_capacity_is_not_contended():
    """Guards against a change of behaviour in deployments that don't ask for it."""
    async with deploy(contracts=()) as fleet:
        (relay,) = fleet.relays
        async with fleet.open_slow_reader() as stream:
            await fleet.wait_for(fleet.runs)
            await anyio.sleep(0.1)
            assert list_held(relay) == []
            assert is_whole(await read_rest(stream))
        assert relay.memory.make_key() == 1
        assert relay.memory.held.peak == 0


async def test_unread_stream_is_cut_off_where_nothing_is_held():
    """Shows the loss: a replica ends a response that stays unread."""
    async with deploy(contracts=()) as fleet:
        for replica in fleet.replicas:
            replica.events = 1_000
        async with fleet.open_slow_reader():
            await fleet.wait_for(
                lambda: any(replica.cut_unread for replica in fleet.replicas)
            )


async def test_held_events_are_delivered_before_a_stream_is_resumed():
    """Guards against lost or repeated events if a replica breaks off meanwhile."""
    async with deploy() as fleet:
        (relay,) = fleet.relays
        for replica in fleet.replicas:
            replica.next_steps = ["break"]
            replica.events = 4
            replica.event_bytes = LARGE_EVENT_BYTES
        async with fleet.open_slow_reader() as stream:
            await fleet.wait_for(lambda: len(fleet.runs()) == 2)
            assert relay.memory.held.total > 0
            assert is_whole(await read_rest(stream), 4, size=LARGE_EVENT_BYTES)
        last_ids = [one.headers.get("last-event-id") for one in fleet.received()]
        assert sorted(map(str, last_ids)) == ["2", "None"]


async def test_work_is_cancelled_when_a_caller_leaves_with_events_held():
    """Guards against work for nobody, and against bytes that are held for ever."""
    async with deploy() as fleet:
        (relay,) = fleet.relays
        for replica in fleet.replicas:
            replica.events = 1_000
            replica.unread_limit_s = None
        async with fleet.open_slow_reader():
            await fleet.wait_for(lambda: relay.memory.held.total > EVENT_BYTES)
            assert relay.memory.held.total <= MAX_CALLER_BYTES
        await fleet.wait_for(lambda: relay.memory.held.total == 0, timeout_s=1.0)
        await fleet.wait_for(
            lambda: any(replica.cancelled_s for replica in fleet.replicas)
        )


async def test_aborted_answer_has_no_end_mark():
    """Guards against a part that a caller takes for the whole answer."""
    async with deploy(memory_mb=0.4) as fleet:
        (relay,) = fleet.relays
        relay.memory.gauge = MemoryGauge(lambda: None)
        async with fleet.open_slow_reader() as stream:
            # The connection is closed although nothing was read from it.
            await fleet.wait_for(lambda: relay.counters.counts["ended.cut"])
            assert relay.memory.held.total == 0
            assert not is_whole(await read_rest(stream))
        assert relay.counters.counts["memory.aborted"] == 1


async def test_whole_answer_is_delivered_while_the_node_stops():
    """Guards against complete answers that a planned stop cuts off."""
    async with deploy() as fleet:
        (relay,) = fleet.relays
        async with fleet.open_slow_reader() as stream:
            await fleet.wait_for(
                lambda: any(reply.is_complete for reply in list_held(relay))
            )
            fleet.stop_events[0].set()
            await fleet.wait_for(lambda: relay.is_leaving)
            await anyio.sleep(0.1)
            assert is_whole(await read_rest(stream))


async def test_node_near_its_limit_refuses_long_bodies_then_all_requests():
    """Guards against a process that is killed for the bodies it still accepts."""
    async with deploy(memory_mb=100.0, relays=2) as fleet:
        relay, peer = fleet.relays
        # Below the threshold even if the test process itself exceeded the limit.
        used_bytes = 72_000_000
        relay.memory.gauge = MemoryGauge(lambda: used_bytes)
        fleet.replicas[0].event_bytes = fleet.replicas[1].event_bytes = 0

        async def send(size):
            answer = await fleet.http.post(
                fleet.url("/stream/s"), headers=fleet.make_headers(),
                content=b"x" * size,
            )  # fmt: skip
            return answer

        refused = await send(600_000)
        assert refused.status_code == 503
        assert 0 < float(refused.headers["retry-after"]) <= 1.0
        assert fleet.runs() == []
        accepted = await send(10_000)
        assert accepted.status_code == 200, accepted.text
        ready = f"http://{relay.settings.readiness_address}{relay.adapter.READY_PATH}"
        assert (await fleet.http.get(ready)).status_code == 503
        await fleet.wait_for(
            lambda: [one.memory_stage for one in peer.peers.peers.values()] == [1]
        )
        used_bytes = 85_000_000
        await fleet.wait_for(lambda: relay.memory.stage == 2)
        assert (await send(10)).status_code == 503
        used_bytes = 10_000_000
        await fleet.wait_for(lambda: relay.memory.stage == 0)
        for replica in fleet.replicas:
            replica.server.body_bytes_per_s = 4e6
        assert (await send(600_000)).status_code == 200
        assert max(len(one.body) for one in fleet.received()) == 600_000
        assert (await fleet.http.get(ready)).status_code == 200
        assert len(fleet.runs()) == 2


async def test_whole_answer_is_held_once_and_delivered_in_order():
    """Guards against a long answer that the server copies while it isn't read."""
    relay, reply, body = make_node(0), StuckReply(), bytes(range(250)) * 400

    async def serve(relay, call, buffered):
        await buffered.send_whole(200, [], body)
        assert buffered.is_complete

    async with anyio.create_task_group() as reply.group:
        reply.group.start_soon(serve_buffered_reply, relay, make_call(1), reply, serve)
        await anyio.wait_all_tasks_blocked()
        assert relay.memory.held.total == len(body)
        reply.can_read.set()
    assert b"".join(reply.written) == body
    assert relay.memory.held.total == 0


class StuckReply:
    """A reply to a caller that doesn't read, without a connection."""

    is_started = True
    group: Any = None

    def __init__(self):
        self.is_aborted = False
        self.written = []
        self.can_read = anyio.Event()

    async def write(self, data=b""):
        await self.can_read.wait()
        self.written.append(data)

    async def start(self, status, headers, *, length=None):
        await self.can_read.wait()

    end = write

    def has_space(self, size):
        return False

    def abort(self):
        self.is_aborted = True


def make_node(limit_bytes):
    """Return the parts of a node's state that slow readers need."""
    memory = NodeMemory()
    memory.gauge = MemoryGauge(lambda: None)
    return SimpleNamespace(
        memory=memory, activation=Activation(True, limit_bytes), counters=Counters(),
        log=get_logger("relay"), trigger_heartbeat=lambda **_: None,
    )  # fmt: skip


def make_call(index):
    """Return the parts of a call that writing needs."""
    return SimpleNamespace(
        customer=SimpleNamespace(name=f"c-{index % 20}"),
        request=SimpleNamespace(attempt_id=str(index)),
    )


async def test_hundreds_of_slow_readers_stay_below_a_limit_that_changes():
    """Guards against exceeding the limit, and against aborts that free nothing."""
    relay = make_node(40_000_000)
    replies = [StuckReply() for _ in range(300)]
    aborted = []

    async def serve(relay, call, reply):
        for _ in range(50):
            await reply.write(bytes(4_000))
        if int(call.request.attempt_id) % 2:
            await reply.end()
        else:
            await anyio.sleep_forever()

    async def run(index):
        try:
            await serve_buffered_reply(relay, make_call(index), replies[index], serve)
        except StreamAborted:
            aborted.append(index)

    async with anyio.create_task_group() as group:
        for index, reply in enumerate(replies):
            reply.group = group
            group.start_soon(run, index)
        await anyio.wait_all_tasks_blocked()
        held = relay.memory.held
        assert held.peak <= 36_000_000 + 5_000
        assert held.total >= 30_000_000
        assert all(index % 2 == 0 for index in aborted)
        assert all(replies[index].is_aborted for index in aborted)
        relay.activation = Activation(True, 10_000_000)
        update_memory(relay, now_s=1.0)
        assert 8_000_000 < held.total <= 9_000_000
        relay.activation = Activation()
        count = relay.counters.counts["memory.aborted"]
        assert update_memory(relay, now_s=2.0) == 0
        for reply in replies:
            reply.can_read.set()
        group.cancel_scope.deadline = anyio.current_time() + 0.2
    assert relay.counters.counts["memory.aborted"] == count
    assert held.total == 0


def test_slowness_of_a_caller_is_no_pause_of_its_stream():
    """Guards against reports of silent replicas for callers that don't read."""
    relay = SimpleNamespace(metrics_exporter=SimpleNamespace(observe=lambda *a, **k: 0))
    call = SimpleNamespace(request=SimpleNamespace(received_s=0.0))
    progress = Progress()
    for started_s, ended_s in ((0.2, 0.2), (0.3, 5.0), (5.0, 5.1), (5.3, 5.3)):
        record_event(relay, call, progress, started_s, ended_s)
    assert progress.first_event_s == 0.2
    assert progress.longest_pause_s == pytest.approx(0.2)
    assert progress.longest_pause_at_s == 5.3
