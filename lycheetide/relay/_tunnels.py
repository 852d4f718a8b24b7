"""Carry connections to replicas for peers that don't reach them."""

from functools import partial

import anyio

from lycheetide.exchange import DECODE_ERRORS
from lycheetide.httpclient import Channel, ChannelConnectError, set_socket_options
from lycheetide.paths import TunnelAnswer, encode_end, encode_frame, read_request
from lycheetide.relay._dial import (
    find_domain,
    record_direct_connection,
    retry_direct_path,
)
from lycheetide.relay._state import read_clock

REQUEST_TIMEOUT_S = 0.5
TUNNEL_CONNECT_TIMEOUT_S = 0.18
WITNESS_TIMEOUT_S = 0.08
"""Longest times to connect to a replica for a peer, and then to another one: together
less than the peer waits for the answer."""
MAX_TUNNELS = 600
"""Most tunnels carried at a time; each takes two descriptors."""
RECEIVE_BYTES = 65_536


async def serve_tunnels(relay, stopped, *, graceful_s):
    """Carry connections for peers until the node stops, and those that are open longer.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    stopped : anyio.Event
        Set when no more tunnels may be opened.
    graceful_s : float
        How much longer those that are open may last.
    """
    host, _, port = relay.settings.tunnel_address.rpartition(":")
    try:
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port)
        )
    except OSError as error:
        relay.log.error(
            "Tunnels can't be carried for peers.", extra={"cause": str(error)}
        )
        return
    relay.tunnels.port = int(port)
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, partial(_serve_guarded, relay))
        await stopped.wait()
        relay.tunnels.port = 0
        with anyio.move_on_after(graceful_s):
            while relay.tunnels.count:
                await anyio.sleep(0.02)
        group.cancel_scope.cancel()


async def _serve_guarded(relay, stream):
    """Serve one connection of a peer; an error ends only this connection."""
    relay.tunnels.count += 1
    try:
        await _serve_tunnel(relay, stream)
    except Exception:
        relay.log.exception("A tunnel failed inside the node.")
        relay.counters.add("tunnels.fault")
    finally:
        relay.tunnels.count -= 1
        with anyio.CancelScope(shield=True):
            await stream.aclose()


async def _serve_tunnel(relay, stream):
    """Answer a request for a tunnel, and carry the connection if it can be opened."""
    set_socket_options(stream)
    try:
        with anyio.fail_after(REQUEST_TIMEOUT_S):
            request = await read_request(stream)
    except (*DECODE_ERRORS, TimeoutError, anyio.EndOfStream, OSError,
            anyio.BrokenResourceError):  # fmt: skip
        relay.counters.add("tunnels.broken_request")
        return
    host = stream.extra(anyio.abc.SocketAttribute.remote_address)[0]
    answer, channel = await open_for_peer(relay, request, host)
    relay.counters.add(f"tunnels.answered_{answer.name.lower()}")
    try:
        await stream.send(bytes([answer]))
        if channel is not None:
            await _carry(stream, channel.stream)
    except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
        relay.counters.add("tunnels.broken")
    finally:
        if channel is not None:
            await channel.aclose()


async def open_for_peer(relay, request, host):
    """Open a connection to a replica for a peer, always on this node's own path.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    request : TunnelRequest
        The request.
    host : str
        IP address that it came from.

    Returns
    -------
    answer : TunnelAnswer
    channel : Channel or None
        The connection if the answer is that it is open.
    """
    if not may_ask(relay, request, host):
        return TunnelAnswer.REFUSED, None
    address = request.address
    domain = find_domain(relay, address)
    if relay.paths.lost_since_s(address, domain, now_s=read_clock()) is not None:
        retry_direct_path(relay, address, now_s=read_clock())
        return TunnelAnswer.CUT_OFF, None
    try:
        channel = await Channel.connect(address, timeout_s=TUNNEL_CONNECT_TIMEOUT_S)
    except ChannelConnectError:
        if await reaches_another(relay, address):
            return TunnelAnswer.UNREACHED, None
        return TunnelAnswer.CUT_OFF, None
    record_direct_connection(relay, address, domain, now_s=read_clock())
    return TunnelAnswer.OPEN, channel


async def reaches_another(relay, address):
    """Tell whether this node can connect to a replica other than that at an address.

    What it received a moment ago shows nothing: the node that asks may have lost its
    paths just now, and this one together with it.
    """
    witness = relay.paths.find_latest(without=address)
    if witness is None:
        return False
    try:
        channel = await Channel.connect(witness, timeout_s=WITNESS_TIMEOUT_S)
    except ChannelConnectError:
        return False
    await channel.aclose()
    return True


def may_ask(relay, request, host):
    """Tell whether this node carries a connection for the sender of a request.

    The sender must be a peer at its own address, and the target a registered replica:
    the port is no way to any other server.
    """
    if relay.tunnels.count > MAX_TUNNELS or relay.is_leaving:
        return False
    is_peer = request.fleet == relay.peers.fleet and any(
        peer.node == request.node and peer.address.rpartition(":")[0] == host
        for peer in relay.peers.peers.values()
    )
    return is_peer and relay.replicas.find_at(request.address) is not None


async def _carry(near, far):
    """Carry the bytes of a connection in both directions until either side ends it."""
    async with anyio.create_task_group() as group:
        group.start_soon(_carry_request_bytes, near, far, group.cancel_scope)
        try:
            while True:
                await near.send(encode_frame(await far.receive(RECEIVE_BYTES)))
        except anyio.EndOfStream:
            await near.send(encode_end())
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            # Without the end frame the peer knows that the answer may be cut off.
            pass
        group.cancel_scope.cancel()


async def _carry_request_bytes(near, far, scope):
    """Carry the bytes for the replica, and end the tunnel when the peer closes it."""
    try:
        while True:
            await far.send(await near.receive(RECEIVE_BYTES))
    except (OSError, anyio.EndOfStream, anyio.BrokenResourceError,
            anyio.ClosedResourceError):  # fmt: skip
        scope.cancel()
