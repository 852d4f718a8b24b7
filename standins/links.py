"""Links between the nodes and the replicas of one process, which tests can cut.

Nodes and replicas of a test share a process and an address, so a cut can't be made in
the network. Instead each connection that a node opens passes through here.
"""

import errno
import socket
from contextlib import contextmanager, suppress
from contextvars import ContextVar
from dataclasses import dataclass

import anyio

HELD_POLL_S = 0.01

node_index: ContextVar[int | None] = ContextVar("node_index", default=None)
"""Index of the node that the present task belongs to."""


@dataclass(frozen=True)
class Cut:
    """A cut between one node and some addresses.

    Parameters
    ----------
    kind : str
        "silent": open connections and new ones hang. "reset": open connections are
        reset, and new ones refused. "refused": open connections live on, and new ones
        are refused.
    addresses : frozenset of str
        The addresses, "ip:port".
    """

    kind: str
    addresses: frozenset[str]


class Links:
    """All links of one process.

    Attributes
    ----------
    cuts : dict of int to Cut
        The cut of each node that has one, by the index of the node.
    """

    def __init__(self):
        self.cuts = {}
        self._connect = anyio.connect_tcp
        self._streams = set()

    @contextmanager
    def installed(self):
        """Let all connections of this process pass through these links."""
        anyio.connect_tcp = self._connect_tcp
        try:
            yield self
        finally:
            anyio.connect_tcp = self._connect

    def cut(self, node, addresses, *, kind="silent"):
        """Cut a node from some addresses until ``heal`` is called."""
        self.cuts[node] = Cut(kind, frozenset(addresses))
        if kind == "reset":
            for stream in list(self._streams):
                if stream.node == node and stream.address in addresses:
                    stream.shut_down()

    def heal(self, node):
        """End the cut of a node."""
        self.cuts.pop(node, None)

    def find_cut(self, node, address):
        """Return the kind of a node's cut from an address, an empty string for none."""
        cut = self.cuts.get(node)
        return cut.kind if cut is not None and address in cut.addresses else ""

    async def wait_while_silent(self, node, address):
        """Wait until data passes between a node and an address."""
        while self.find_cut(node, address) == "silent":
            await anyio.sleep(HELD_POLL_S)

    async def _connect_tcp(self, remote_host, remote_port, **options):
        """Open a connection of the present node."""
        node, address = node_index.get(), f"{remote_host}:{remote_port}"
        await self.wait_while_silent(node, address)
        if self.find_cut(node, address):
            raise ConnectionRefusedError(errno.ECONNREFUSED, "the link is cut")
        inner = await self._connect(remote_host, remote_port, **options)
        if node is None:
            return inner
        stream = LinkStream(inner, self, node, address)
        self._streams.add(stream)
        return stream


class LinkStream:
    """A connection whose data is held while its link is silent."""

    def __init__(self, inner, links, node, address):
        self.inner = inner
        self.links = links
        self.node = node
        self.address = address
        self._held = None
        self._is_reset = False

    def __getattr__(self, name):
        """Return an attribute of the connection itself."""
        return getattr(self.inner, name)

    async def receive(self, *size):
        """Return the next bytes."""
        # Kept if the wait is cancelled: a reader may give up and read again later.
        if self._held is None:
            try:
                self._held = await self.inner.receive(*size)
            except anyio.EndOfStream:
                if self._is_reset:
                    raise anyio.BrokenResourceError from None
                raise
        await self.links.wait_while_silent(self.node, self.address)
        data, self._held = self._held, None
        return data

    async def send(self, data):
        """Send bytes."""
        await self.links.wait_while_silent(self.node, self.address)
        await self.inner.send(data)

    def shut_down(self):
        """End both directions; reading fails as on a connection that was reset."""
        self._is_reset = True
        raw = self.inner.extra(anyio.abc.SocketAttribute.raw_socket)
        with suppress(OSError):
            raw.shutdown(socket.SHUT_RDWR)

    async def aclose(self):
        """Close the connection."""
        self.links._streams.discard(self)
        await self.inner.aclose()
