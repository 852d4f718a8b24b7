"""Calls are sent once, and errors tell whether the call may have been started."""

import anyio
import pytest

from lycheetide.fleet import Upstream
from lycheetide.streams import find_data
from lycheetide.upstreams import (
    ServiceCall,
    UpstreamBrokenError,
    UpstreamConnectError,
    UpstreamRefusedError,
    UpstreamTimeoutError,
    call_service,
    make_http_client,
)
from lycheetide.upstreams._engine import read_events
from standins.local import find_port

REFUSAL = b'{"error": "busy", "started": false}'


def run_call(answer, *, requests, listens=True):
    """Call a server that reads one request and sends ``answer``, or nothing if None.

    The data that the server receives is appended to ``requests``.
    """
    port = find_port()

    async def handle(stream):
        try:
            requests.append(await stream.receive())
            if answer is None:
                await anyio.sleep(5.0)
            elif answer:
                await stream.send(answer)
        except anyio.EndOfStream:
            return
        finally:
            await stream.aclose()

    async def main():
        async with anyio.create_task_group() as group:
            if listens:
                listener = await anyio.create_tcp_listener(
                    local_host="127.0.0.1", local_port=port
                )
                group.start_soon(listener.serve, handle)
            upstream = Upstream(
                "b", "service", "booking", "d", f"http://127.0.0.1:{port}", "c"
            )
            call = ServiceCall("r1", "deposit", b"{}", "key", 3)
            async with make_http_client(connect_s=1.0) as http:
                try:
                    await call_service(http, upstream, call, timeout_s=0.5)
                finally:
                    group.cancel_scope.cancel()

    try:
        anyio.run(main)
    except ExceptionGroup as group:
        raise group.exceptions[0] from None


def make_answer(status, body):
    head = f"HTTP/1.1 {status} X\r\ncontent-length: {len(body)}\r\n\r\n"
    return head.encode() + body


@pytest.mark.parametrize(
    ("answer", "error", "may_have_started"),
    [
        (b"", UpstreamBrokenError, True),
        (None, UpstreamTimeoutError, True),
        (make_answer(500, b"{}"), UpstreamBrokenError, True),
        (make_answer(200, b"no json"), UpstreamBrokenError, True),
        (make_answer(200, b'{"a"')[:-2], UpstreamBrokenError, True),
        (make_answer(503, REFUSAL), UpstreamRefusedError, False),
    ],
)
def test_failed_call_is_sent_once_and_error_tells_whether_it_may_have_started(
    answer, error, may_have_started
):
    """The service hangs up, is silent, sends a broken response or refuses the call.

    A transport that resent the call would book twice. An error that wrongly said "not
    started" would make the caller book twice.
    """
    requests: list[bytes] = []
    with pytest.raises(error) as raised:
        run_call(answer, requests=requests)
    assert raised.value.may_have_started is may_have_started
    assert len(requests) == 1


def test_service_that_does_not_listen_is_reported_as_unreached():
    with pytest.raises(UpstreamConnectError) as raised:
        run_call(b"", requests=[], listens=False)
    assert raised.value.may_have_started is False


@pytest.mark.parametrize("filler", [b"x" * 4_096, b"data: x\r\n" * 512])
def test_an_event_without_end_is_given_up(filler):
    """Guards against an engine whose bytes a node collects until it has no memory."""
    sent = 0

    async def send_without_end():
        nonlocal sent
        yield b"data: 1\r\n\r\ndata: 2\n\n"
        while True:
            sent += len(filler)
            yield filler

    events = []

    async def read():
        async for event in read_events(send_without_end()):
            events.append(find_data(event.data))

    with pytest.raises(UpstreamBrokenError):
        anyio.run(read)
    assert events == [b"1", b"2"]
    assert sent < 2_000_000


@pytest.mark.parametrize("end", [b"\n", b"\r\n", b"\r"])
def test_an_engine_may_end_its_lines_in_any_way_and_send_single_bytes(end):
    """Guards against chunks that are lost or joined where the bytes are cut."""
    stream = b": hello" + end + end
    stream += b"".join(b"data:%d" % number + end + end for number in range(3))

    async def send():
        for byte in stream:
            yield bytes([byte])

    async def read():
        return [find_data(event.data) async for event in read_events(send())]

    assert anyio.run(read) == [None, b"0", b"1", b"2"]


@pytest.mark.parametrize("status", [200, 500])
def test_an_answer_of_a_service_without_end_is_given_up(status):
    """Guards against a service whose bytes a node collects until it has no memory."""
    with pytest.raises(UpstreamBrokenError, match="over"):
        run_call(make_answer(status, b"x" * 17_000_000), requests=[])
