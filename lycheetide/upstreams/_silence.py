"""End a silent call, but only when its request needs it no more."""

import math
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from lycheetide.upstreams._errors import UpstreamSilent


class Silence:
    """Tells whether an upstream has been silent for too long while it is waited for.

    Whoever waits calls ``begin`` before and ``end`` after. Between the two, and only
    there, the call may be left.
    """

    def __init__(self):
        self._over_s = math.inf
        self._wait = anyio.CancelScope()
        self._seek = anyio.CancelScope()
        self.is_left = False

    def begin(self, limit_s):
        """Begin to wait for an upstream.

        Parameters
        ----------
        limit_s : float
            How long it may be silent before a successor is sought.
        """
        self._over_s = self._wait.deadline = anyio.current_time() + limit_s

    def end(self):
        """Note that the upstream has spoken; a successor is sought no more.

        Raises
        ------
        UpstreamSilent
            If one has taken over already. What came too late is dropped here: it would
            be lost at the next await, in which this call is cancelled.
        """
        if self.is_left:
            raise UpstreamSilent("it spoke too late")
        self._over_s = self._wait.deadline = math.inf
        self._seek.cancel()

    def is_over(self, *, now_s):
        """Tell whether the silence has lasted too long."""
        return now_s >= self._over_s

    async def leave(self, seek):
        """Run ``seek`` during each silence that is too long, until it ends.

        Parameters
        ----------
        seek : callable
            A coroutine function that ends when the call is needed no more.
        """
        while not self.is_left:
            with anyio.CancelScope(deadline=self._over_s) as self._wait:
                await anyio.sleep_forever()
            if not self.is_over(now_s=anyio.current_time()):
                continue
            with anyio.CancelScope() as self._seek:
                await seek()
                self.is_left = True


async def run_watched(
    work: Callable[[], Awaitable[Any]],
    silence: Silence,
    seek: Callable[[], Awaitable[None]],
):
    """Run a call, and end it when it is silent and needed no more.

    That is when it has a successor, or nobody waits for it. A call that was ended
    sooner would be lost where no other one may follow, although its upstream might
    only be busy and answer in time.

    Parameters
    ----------
    work : callable
        A coroutine function that makes the call.
    silence : Silence
        What ``work`` tells of its waiting.
    seek : callable
        A coroutine function that ends when the call is needed no more. Before that it
        looks whether the silence still lasts, and awaits nothing after that.

    Returns
    -------
    object
        What ``work`` returned.

    Raises
    ------
    UpstreamSilent
        If it was ended.
    """
    result: Any = None
    error: Exception | None = None
    async with anyio.create_task_group() as group:

        async def watch():
            await silence.leave(seek)
            group.cancel_scope.cancel()

        group.start_soon(watch)
        try:
            result = await work()
        except Exception as caught:
            error = caught
        # A deadline that passes while the watch ends would take the answer away again,
        # and its request would look as if it had never been sent.
        group.cancel_scope.shield = True
        group.cancel_scope.cancel()
    if silence.is_left:
        raise UpstreamSilent("it said nothing for too long")
    if error is not None:
        raise error
    return result
