"""The protocol of tunnels, and the race between paths."""

from types import SimpleNamespace

import anyio
import msgspec
import pytest

from lycheetide.httpclient import ChannelConnectError
from lycheetide.paths import (
    Path,
    TunnelRequest,
    TunnelStream,
    encode_end,
    encode_frame,
    encode_request,
    race_paths,
    read_request,
)

pytestmark = pytest.mark.anyio

REQUEST = TunnelRequest("10.0.0.1:80", "entry-0.1", "10.0.0.2:80")


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Pieces:
    """A connection that delivers given pieces of bytes and then ends."""

    def __init__(self, *pieces):
        self.pieces = list(pieces)

    async def receive(self, _):
        if not self.pieces:
            raise anyio.EndOfStream
        return self.pieces.pop(0)


async def read_all(*pieces):
    """Return what a tunnel delivers before it ends, and the error that ends it."""
    stream = TunnelStream(Pieces(*pieces))
    parts = []
    try:
        while True:
            parts.append(await stream.receive())
    except (anyio.EndOfStream, anyio.BrokenResourceError) as error:
        return b"".join(parts), type(error)


@pytest.mark.parametrize("size", [1, 3, 7, 100])
async def test_frames_arrive_whole_however_they_are_split(size):
    data = encode_frame(b"one") + encode_frame(b"two and three") + encode_end()
    pieces = [data[at : at + size] for at in range(0, len(data), size)]
    assert await read_all(*pieces) == (b"onetwo and three", anyio.EndOfStream)


@pytest.mark.parametrize("lost", [1, 4, 6])
async def test_a_tunnel_that_ends_without_its_last_frame_is_broken(lost):
    """Guards against a part of an answer that looks whole as its carrier has died.

    An answer without a length ends with its connection, and a process that is killed
    closes its connections as if they were complete.
    """
    data = encode_frame(b"half of an answer") + encode_end()
    _, error = await read_all(data[:-lost])
    assert error is anyio.BrokenResourceError


async def test_a_request_is_read_however_it_is_split():
    data = encode_request(REQUEST)
    pieces = [data[at : at + 2] for at in range(0, len(data), 2)]
    assert await read_request(Pieces(*pieces)) == REQUEST


@pytest.mark.parametrize(
    "data",
    [b"GET / HTTP/1.1\r\n\r\n", encode_frame(b""), encode_frame(b"\x93\x01\x02\x03"),
     encode_frame(b"x" * 513)],
)  # fmt: skip
async def test_what_is_no_request_is_an_error(data):
    """Guards against strangers' bytes that end a task or are kept for ever."""
    with pytest.raises(msgspec.MsgspecError):
        await read_request(Pieces(data))


def make_path(via, *, after_s=0.0, error=None):
    """Return a path that works or fails after some time."""

    async def open_path():
        await anyio.sleep(after_s)
        if error is not None:
            raise error
        return SimpleNamespace(via=via, aclose=anyio.sleep_forever)

    return Path(via, open_path)


async def race(*paths):
    """Return the winner and the paths that it outran."""
    outcome = await race_paths(paths, stagger_s=0.05, timeout_s=0.5)
    return outcome.channel and outcome.channel.via, outcome.outrun


async def test_the_next_path_is_tried_beside_one_that_hangs():
    """Guards against callers who wait for the timeout of a path that hangs."""
    with anyio.fail_after(0.3):
        assert await race(make_path("", after_s=9.0), make_path("p")) == ("p", ("",))


async def test_the_next_path_is_tried_at_once_after_a_failure():
    failing = make_path("", error=ChannelConnectError("refused"))
    with anyio.fail_after(0.04):
        assert await race(failing, make_path("p")) == ("p", ("",))


async def test_no_path_is_tried_after_a_peer_has_confirmed_that_none_works():
    """Guards against a dead replica that is looked for at one peer after the other."""
    confirmed = ChannelConnectError("unreached", is_confirmed=True)
    paths = (
        make_path("", error=ChannelConnectError("")),
        make_path("p", error=confirmed),
    )
    assert await race(*paths, make_path("q")) == (None, ("", "p"))
