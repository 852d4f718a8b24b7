"""Open connections to replicas, through a peer where this node's own path is lost."""

import anyio

from lycheetide.gossip import Peer
from lycheetide.httpclient import (
    Channel,
    ChannelConnectError,
    set_socket_options,
)
from lycheetide.paths import (
    Path,
    TunnelAnswer,
    TunnelChannel,
    TunnelDeclined,
    TunnelRequest,
    TunnelStream,
    encode_request,
    race_paths,
)
from lycheetide.relay._state import read_clock

CONNECT_TIMEOUT_S = 0.4
"""Longest time to open a connection: a hundred round trips between failure domains."""
STAGGER_S = 0.1
"""Time after which another path is tried beside one that hasn't worked yet. Opening a
connection takes a few ms between failure domains, and below 0.1 s between regions."""
MAX_PEERS_TRIED = 6
"""Most peers asked for one connection. Those that don't answer use up the time for it
sooner; one that has no path says so at once."""


async def connect_replica(relay, address, *, timeout_s, homes=(), first_via=None):
    """Open a connection to a replica by the first path that works.

    Parameters
    ----------
    relay : RelayState
        The state of this node.
    address : str
        The address of the replica.
    timeout_s : float
        The longest time for all paths together.
    homes : sequence of sequences of str
        Lists of regions; a peer that carries the connection must be in a region of each
        list that isn't empty.
    first_via : str or None
        Address of the peer to try first; empty for the direct path. By default the
        direct path is tried first unless it is lost.

    Raises
    ------
    ChannelConnectError
        If no path works. It is confirmed if a peer with a path to other replicas
        doesn't reach this one either, or if there is no peer to ask. It is refused if
        the direct path works as far as the replica's host.
    """
    domain = find_domain(relay, address)
    if first_via is None:
        since_s = relay.paths.lost_since_s(address, domain, now_s=read_clock())
        is_direct_first = since_s is None
    else:
        is_direct_first = first_via == ""
    paths = list_paths(
        relay,
        address,
        homes=homes,
        is_direct_first=is_direct_first,
        first_via=first_via,
        timeout_s=timeout_s,
    )
    outcome = await race_paths(paths, stagger_s=STAGGER_S, timeout_s=timeout_s)
    record_outcome(relay, address, domain, outcome, now_s=read_clock())
    if outcome.channel is not None:
        return outcome.channel
    has_asked = any(outcome.outrun)
    is_confirmed = not has_asked or any(
        error.is_confirmed for error in outcome.errors.values()
    )
    direct = outcome.errors.get("")
    raise ChannelConnectError(
        describe_failure(address, outcome),
        is_confirmed=is_confirmed,
        is_refused=direct is not None and direct.is_refused,
    )


def list_paths(relay, address, *, homes, is_direct_first, first_via, timeout_s):
    """Yield the paths to a replica in the order in which they are tried.

    Peers are chosen only when it is their turn: a direct path nearly always works, and
    in a large fleet the choice takes longer than opening the connection.
    """
    direct = Path("", lambda: Channel.connect(address, timeout_s=timeout_s))
    if is_direct_first:
        yield direct
    peers = choose_peers(relay, homes=homes, now_s=read_clock())
    peers.sort(key=lambda peer: peer.tunnel_address != first_via)
    for peer in peers:
        yield make_tunnel_path(relay, peer, address, timeout_s)
    if not is_direct_first:
        yield direct


def describe_failure(address, outcome):
    """Return the message about a replica that no path reaches."""
    errors = [outcome.errors.get(via, f"{via or address}: no answer in time")
              for via in outcome.outrun]  # fmt: skip
    return "; ".join(map(str, errors))


def find_domain(relay, address):
    """Return the failure domain of the replica at an address, or an empty string."""
    known = relay.replicas.find_at(address)
    return "" if known is None else known.entry.failure_domain


def choose_peers(relay, *, homes, now_s):
    """Return the peers to ask for a tunnel, in the order in which they are asked.

    Each is the less loaded one of two drawn at random, so that nodes that are cut off
    together share all peers that aren't. Those that are cut off themselves, or have
    failed a moment ago, come last.
    """

    def is_doubtful(peer):
        return peer.is_cut_off or relay.paths.is_peer_avoided(
            peer.tunnel_address, now_s=now_s
        )

    usable = [
        peer
        for peer in relay.peers.alive(now_s=now_s)
        if is_tunnel_peer(relay, peer, homes=homes)
    ]
    relay.random.shuffle(usable)
    usable.sort(key=is_doubtful)
    chosen: list[Peer] = []
    while usable and len(chosen) < MAX_PEERS_TRIED:
        best = min(usable[:2], key=lambda peer: (is_doubtful(peer), peer.tunnels))
        usable.remove(best)
        chosen.append(best)
    return chosen


def is_tunnel_peer(relay, peer, *, homes):
    """Tell whether a peer may carry a connection."""
    if not peer.tunnel_port or peer.is_leaving:
        return False
    region = relay.find_region(peer.failure_domain)
    return all(region in regions for regions in homes if regions)


def make_tunnel_path(relay, peer, address, timeout_s):
    """Return the path to a replica through a peer."""

    async def open_path():
        return await open_tunnel(relay, peer.tunnel_address, address, timeout_s)

    return Path(peer.tunnel_address, open_path)


async def open_tunnel(relay, via, address, timeout_s):
    """Open a connection to a replica through a peer.

    Raises
    ------
    ChannelConnectError
        If the peer doesn't answer or has no path.
    """
    host, _, port = via.rpartition(":")
    stream = None
    try:
        with anyio.fail_after(timeout_s):
            stream = await anyio.connect_tcp(host, int(port))
            set_socket_options(stream)
            request = TunnelRequest(relay.peers.fleet, relay.node, address)
            await stream.send(encode_request(request))
            answer = TunnelAnswer(ord(await stream.receive(1)))
    except (
        OSError,
        ValueError,
        OverflowError,
        anyio.EndOfStream,
        anyio.BrokenResourceError,
    ) as error:
        await close_if_open(stream)
        raise ChannelConnectError(f"{via}: {error!r}") from error
    except BaseException:
        await close_if_open(stream)
        raise
    if answer is TunnelAnswer.OPEN:
        return TunnelChannel(TunnelStream(stream), address, via=via)
    await close_if_open(stream)
    relay.counters.add(f"tunnels.declined_{answer.name.lower()}")
    raise TunnelDeclined(f"{via} to {address}: {answer.name.lower()}", answer)


async def close_if_open(stream):
    """Close a connection, if there is one."""
    if stream is not None:
        with anyio.CancelScope(shield=True):
            await stream.aclose()


def record_outcome(relay, address, domain, outcome, *, now_s):
    """Record what an attempt to connect shows about paths."""
    if outcome.channel is None:
        return
    for via in filter(None, outcome.outrun):
        relay.paths.avoid_peer(via, now_s=now_s)
    if not outcome.channel.via:
        record_direct_connection(relay, address, domain, now_s=now_s)
        return
    relay.counters.add("tunnels.opened")
    if "" in outcome.outrun:
        record_loss(relay, address, domain, now_s=now_s)


def record_loss(relay, address, domain, *, now_s):
    """Record that a peer reaches a replica which this node doesn't reach."""
    was_cut_off = relay.paths.is_cut_off(now_s=now_s)
    if not relay.paths.note_lost(address, domain, now_s=now_s):
        return
    relay.counters.add("paths.lost")
    relay.log.info(
        "The direct path to a replica is lost.",
        extra={"address": address, "failure_domain": domain},
    )
    if not was_cut_off and relay.paths.is_cut_off(now_s=now_s):
        relay.log.warning("The direct paths to all replicas are lost.")
        relay.trigger_heartbeat()


def record_direct_connection(relay, address, domain, *, now_s):
    """Record that this node has opened a connection to a replica itself."""
    was_cut_off = relay.paths.is_cut_off(now_s=now_s)
    if relay.paths.note_connected(address, domain, now_s=now_s):
        relay.counters.add("paths.restored")
        relay.log.info(
            "The direct path to a replica is restored.", extra={"address": address}
        )
    if was_cut_off:
        relay.trigger_heartbeat()


def retry_direct_path(relay, address, *, now_s):
    """Try the direct path to a replica again if that is due, at no caller's cost."""
    if relay.paths.claim_retry(address, now_s=now_s):
        relay.tasks.start_soon(_retry_direct_path, relay, address)


async def _retry_direct_path(relay, address):
    """Try the direct path to a replica."""
    try:
        channel = await Channel.connect(address, timeout_s=CONNECT_TIMEOUT_S)
    except ChannelConnectError:
        relay.paths.note_retry_failed(address, now_s=read_clock())
        return
    await channel.aclose()
    domain = find_domain(relay, address)
    record_direct_connection(relay, address, domain, now_s=read_clock())


def may_reuse(relay, channel, *, homes=()):
    """Tell whether an idle connection to a replica may be used.

    A connection over a path that is lost may hang. It is known to live if it was used
    since.
    """
    now_s = read_clock()
    domain = find_domain(relay, channel.address)
    lost_since_s = relay.paths.lost_since_s(channel.address, domain, now_s=now_s)
    if not channel.via:
        since_s = [check.begun_s for check in relay.path_checks.values()]
        if lost_since_s is not None:
            since_s.append(lost_since_s)
        return channel.idle_since_s > max(since_s, default=float("-inf"))
    if lost_since_s is None:
        return False
    return any(
        peer.tunnel_address == channel.via and is_tunnel_peer(relay, peer, homes=homes)
        for peer in relay.peers.alive(now_s=now_s)
    )
