"""Streams reach callers unchanged, however replicas write and cut their events."""

import random

import pytest

from standins.http import ConnectionReset
from standins.relay_deployment import RelayDeployment
from standins.replica import make_event, replace_line_ends

pytestmark = pytest.mark.anyio

EVENTS = 12
LINE_ENDS = {
    "LF": (b"\n",),
    "CR LF": (b"\r\n",),
    "CR": (b"\r",),
    "mixed": (b"\r", b"\r\n", b"\n"),
}


@pytest.fixture
def anyio_backend():
    return "asyncio"


def make_stream(line_ends, *, id_step=1):
    """Return the bytes of a whole stream."""
    events = [make_event(number * id_step) for number in range(1, EVENTS + 1)]
    return b"".join(replace_line_ends(event, line_ends) for event in events)


def draw_random_cuts(event):
    """Return up to five places in an event."""
    return sorted(random.sample(range(1, len(event)), 5))


def cut_before_last_byte(event):
    """Return the place between the last two bytes of an event."""
    return (len(event) - 1,)


def cut_everywhere(event):
    """Return all places in an event."""
    return range(1, len(event))


@pytest.mark.parametrize("framing", ["chunks", "close"])
@pytest.mark.parametrize("line_ends", LINE_ENDS.values(), ids=LINE_ENDS)
@pytest.mark.parametrize(
    "draw_cuts", [draw_random_cuts, cut_before_last_byte, cut_everywhere]
)
async def test_a_stream_passes_unchanged_wherever_it_is_cut(
    draw_cuts, line_ends, framing
):
    """Guards against an event that comes twice if a piece ends between CR and LF."""
    async with RelayDeployment() as fleet:
        for replica in fleet.replicas:
            replica.events, replica.pause_s = EVENTS, 0.0
            replica.line_ends, replica.draw_cuts = line_ends, draw_cuts
            replica.framing = framing
        answers = [await fleet.stream() for _ in range(2)]
        runs = fleet.runs()
    assert [answer.content for answer in answers] == [make_stream(line_ends)] * 2
    assert len(runs) == len(answers)


@pytest.mark.parametrize("id_step", [1, 10, 43])
@pytest.mark.parametrize("step", ["", "break", "stall"])
async def test_ids_that_rise_by_more_than_one_are_no_gap(step, id_step):
    """Guards against sound streams that are cut off as their ids aren't consecutive."""
    steps = [step]
    async with RelayDeployment() as fleet:
        for replica in fleet.replicas:
            replica.events, replica.pause_s = EVENTS, 0.0
            replica.id_step = id_step
            replica.next_steps = steps
        answer = await fleet.stream()
    assert answer.content == make_stream((b"\n",), id_step=id_step)


async def test_a_stream_that_breaks_off_between_cr_and_lf_goes_on_after_that_event():
    """Guards against the last event before a break that is resumed too early."""
    async with RelayDeployment() as fleet:
        attempts = []

        async def break_off(replica, stream, event):
            attempts.append(replica.name)
            if len(attempts) == 3:
                await stream.send(replica._frame(event[:-1]))
                raise ConnectionReset
            await stream.send(replica._frame(event))

        for replica in fleet.replicas:
            replica.events, replica.line_ends = EVENTS, (b"\r\n",)
            replica._send_event = lambda stream, event, replica=replica: break_off(
                replica, stream, replace_line_ends(event, replica.line_ends)
            )
        answer = await fleet.stream()
        resume_ids = [
            request.headers["last-event-id"]
            for request in fleet.received()
            if "last-event-id" in request.headers
        ]
    assert answer.content == make_stream((b"\r\n",))
    assert resume_ids == ["3"]
