"""An answer that only looks whole isn't passed on as a success."""

import anyio
import httpx
import pytest

from lycheetide.httpclient import Channel, ChannelError, OutgoingRequest
from lycheetide.relay.tests.test_tunnels import wait_for_tunnel_peers
from standins.relay_deployment import RelayDeployment, make_config

pytestmark = pytest.mark.anyio

BODY_BYTES = 8_000_000


@pytest.fixture
def anyio_backend():
    return "asyncio"


def make_upload_config():
    """Return a configuration that allows long request bodies."""
    config = make_config()
    limits = config["limits"] | {"maxBodyBytes": 2 * BODY_BYTES}
    return config | {"limits": limits}


async def upload(fleet, path):
    """Send a long request; return its status, or 0 if the answer isn't whole."""
    headers = fleet.make_headers(tokens="")
    try:
        answer = await fleet.http.post(
            fleet.url(path), headers=headers, content=bytes(BODY_BYTES)
        )
    except httpx.HTTPError:
        return 0
    return answer.status_code


@pytest.mark.parametrize("path", ["/book/b", "/look/a", "/stream-once/s"])
@pytest.mark.parametrize("end", ["reset", "close", "half"])
@pytest.mark.parametrize("is_tunnel", [False, True], ids=["direct", "tunnel"])
async def test_an_early_success_that_ends_during_the_upload_is_not_whole(
    is_tunnel, end, path
):
    """Guards against half an answer that is passed on as the whole one."""
    async with RelayDeployment(relays=2, config=make_upload_config()) as fleet:
        await wait_for_tunnel_peers(fleet)
        if is_tunnel:
            fleet.cut(0, kind="refused")
        for replica in fleet.replicas:
            replica.early_end = end
        statuses = [await upload(fleet, path) for _ in range(2)]
        for replica in fleet.replicas:
            replica.early_end = ""
        assert (await fleet.book()).status_code == 200
    assert 200 not in statuses


@pytest.mark.parametrize(
    "status", ["000", "007", "099", "600", "999", "20", "2000", "+20", "abc"]
)
async def test_a_status_that_is_none_is_no_answer(status):
    """Guards against bytes that are no answer in the protocol and reach a caller."""

    async def answer(stream):
        async with stream:
            await stream.receive()
            head = f"HTTP/1.1 {status} OK\r\nContent-Length: 0\r\n\r\n"
            await stream.send(head.encode())

    async with anyio.create_task_group() as group:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        group.start_soon(listener.serve, answer)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        channel = await Channel.connect(f"127.0.0.1:{port}", timeout_s=1.0)
        with pytest.raises(ChannelError):
            await channel.request(
                OutgoingRequest(b"GET", b"/", ((b"Host", b"x"),)), timeout_s=1.0
            )
        await channel.aclose()
        group.cancel_scope.cancel()
