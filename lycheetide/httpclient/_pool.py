"""A pool of idle connections that are kept for further requests."""

from collections import defaultdict, deque

from lycheetide.httpclient._channel import MAX_BODY_BYTES, Channel, ChannelError

MAX_IDLE_PER_ADDRESS = 8
"""Maximum idle connections per address; a replica accepts a few hundred in total."""
MAX_IDLE_SHARE = 0.5
"""Share of the connections that a replica accepts from all callers that may be idle.

The rest is left for new connections, which the replica would reset otherwise.
"""


def compute_idle_limit(connections, senders):
    """Return the number of idle connections one sender may keep to a replica.

    Parameters
    ----------
    connections : int
        The number of connections that the replica accepts from all senders.
    senders : int
        The number of nodes that may send to the replica.

    Returns
    -------
    int
        The limit; 0 if no connection may be kept idle.

    Examples
    --------
    >>> compute_idle_limit(434, 9)
    8
    >>> compute_idle_limit(338, 91)
    1
    >>> compute_idle_limit(120, 91)
    0
    """
    return min(
        MAX_IDLE_PER_ADDRESS, int(MAX_IDLE_SHARE * connections / max(1, senders))
    )


async def connect_directly(address, *, timeout_s):
    """Open a connection to a server."""
    return await Channel.connect(address, timeout_s=timeout_s)


def allow_reuse(_):
    """Allow every idle connection to be used again."""
    return True


class ChannelPool:
    """A pool of idle connections by address.

    Attributes
    ----------
    connect : callable
        Coroutine function that opens a connection. Takes an address, ``timeout_s`` and
        the options given to ``open``.
    may_reuse : callable
        Takes an idle connection and the same options; tells whether it may be used.
    opened, reused : int
        How many connections were opened, and how often an idle one was reused.
    """

    def __init__(self):
        self._idle: dict[str, deque[Channel]] = defaultdict(deque)
        self.connect = connect_directly
        self.may_reuse = allow_reuse
        self.opened = 0
        self.reused = 0

    async def open(self, address, *, timeout_s, now_s, fresh=False, **options):
        """Return an idle connection if possible, or open a new one.

        Parameters
        ----------
        address : str
            The address of the server.
        timeout_s : float
            The timeout for opening a connection.
        now_s : float
            The present time.
        fresh : bool, default=False
            Whether a new connection is required. An idle connection may be dead
            without any sign of it, and a request lost on it can't be distinguished
            from one that was run.
        **options : object
            Passed to ``connect`` and ``may_reuse``.

        Raises
        ------
        ChannelConnectError
            If no connection can be opened.
        """
        idle = self._idle[address]
        while idle and not fresh:
            channel = idle.pop()
            is_recent = now_s - channel.idle_since_s < channel.idle_s
            if is_recent and channel.is_alive() and self.may_reuse(channel, **options):
                self.reused += 1
                return channel
            await channel.aclose()
        self.opened += 1
        return await self.connect(address, timeout_s=timeout_s, **options)

    async def call(
        self, address, outgoing, *, timeout_s, read_clock, max_idle=1,
        max_bytes=MAX_BODY_BYTES,
    ):  # fmt: skip
        """Send a small idempotent request and return the whole response.

        If a reused connection breaks before the response is complete, the server most
        likely closed it while the request was on its way; the request is then sent once
        more on a new connection. A request that timed out is not sent again.

        Parameters
        ----------
        address : str
            The address of the server.
        outgoing : OutgoingRequest
            The request.
        timeout_s : float
            The timeout of each step: connecting, reading the head and reading the body.
        read_clock : callable
            Returns the present time.
        max_idle : int, default=1
            The maximum number of idle connections to the address.
        max_bytes : int, default=64_000_000
            The maximum size of the body.

        Returns
        -------
        head : Head
        body : bytes

        Raises
        ------
        ChannelConnectError, ChannelError
            If no complete response was received.
        """
        is_fresh = False
        while True:
            channel = await self.open(
                address, timeout_s=timeout_s, now_s=read_clock(), fresh=is_fresh
            )
            is_reused = channel.request_count > 0
            try:
                head = await channel.request(outgoing, timeout_s=timeout_s)
                body = await channel.read_all(timeout_s=timeout_s, max_bytes=max_bytes)
            except BaseException as error:
                await channel.aclose()
                is_broken = isinstance(error, ChannelError) and not error.is_silent
                if not (is_reused and is_broken):
                    raise
                is_fresh = True
                continue
            await self.give_back(channel, now_s=read_clock(), max_idle=max_idle)
            return head, body

    async def give_back(self, channel, *, now_s, max_idle=MAX_IDLE_PER_ADDRESS):
        """Return a connection to the pool, or close it if it can't be reused.

        Parameters
        ----------
        channel : Channel
            The connection.
        now_s : float
            The present time.
        max_idle : int
            The maximum number of idle connections to its address.
        """
        idle = self._idle[channel.address]
        if not channel.is_alive() or len(idle) >= max_idle:
            await channel.aclose()
            return
        channel.idle_since_s = now_s
        idle.append(channel)

    async def close_idle(self, address):
        """Close the idle connections to an address, for example a suspected replica."""
        for channel in self._idle.pop(address, ()):
            await channel.aclose()

    async def close_expired(self, *, now_s):
        """Close connections that were idle for too long or may not be used again."""
        unusable = [
            channel
            for idle in self._idle.values()
            for channel in idle
            if now_s - channel.idle_since_s >= channel.idle_s
            or not self.may_reuse(channel)
        ]
        for channel in unusable:
            self._idle[channel.address].remove(channel)
        for address in [key for key, idle in self._idle.items() if not idle]:
            del self._idle[address]
        for channel in unusable:
            await channel.aclose()

    async def aclose(self):
        """Close all idle connections."""
        for address in list(self._idle):
            await self.close_idle(address)
