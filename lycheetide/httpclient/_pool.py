"""Idle connections that are kept for the next request."""

from collections import defaultdict, deque

from lycheetide.httpclient._channel import Channel

IDLE_KEPT = 8
"""Idle connections kept to one address; a replica takes a few hundred from all."""


class ChannelPool:
    """Kept connections by address."""

    def __init__(self):
        self._idle: dict[str, deque[Channel]] = defaultdict(deque)
        self.opened = 0
        self.reused = 0

    async def open(self, address, *, timeout_s, now_s, fresh=False):
        """Return a connection.

        Parameters
        ----------
        address : str
            Where to.
        timeout_s : float
            How long a new one may take.
        now_s : float
            The present time.
        fresh : bool, default=False
            Whether a kept one won't do. A kept one may be dead without a sign, and
            a request that is lost on it can't be told from one that ran.

        Raises
        ------
        ConnectFailed
            If none can be opened.
        """
        idle = self._idle[address]
        while idle and not fresh:
            channel = idle.pop()
            if now_s - channel.idle_since_s < channel.idle_s and channel.is_alive():
                self.reused += 1
                return channel
            await channel.aclose()
        self.opened += 1
        return await Channel.connect(address, timeout_s=timeout_s)

    async def give_back(self, channel, *, now_s):
        """Keep a connection whose answer was complete, or close it."""
        idle = self._idle[channel.address]
        if not channel.is_alive() or len(idle) >= IDLE_KEPT:
            await channel.aclose()
            return
        channel.idle_since_s = now_s
        idle.append(channel)

    async def forget(self, address):
        """Close the kept connections to an address that is in doubt."""
        for channel in self._idle.pop(address, ()):
            await channel.aclose()

    async def sweep(self, *, now_s):
        """Close what has been idle for too long."""
        for address in list(self._idle):
            idle = self._idle[address]
            while idle and now_s - idle[0].idle_since_s >= idle[0].idle_s:
                await idle.popleft().aclose()
            if not idle:
                del self._idle[address]

    async def aclose(self):
        """Close all."""
        for address in list(self._idle):
            await self.forget(address)
