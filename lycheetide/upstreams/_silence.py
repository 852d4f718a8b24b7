"""Cancel a call to a silent upstream, but only once the call is no longer needed."""

import math
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from lycheetide.upstreams._errors import UpstreamTimeoutError


class SilenceTimer:
    """Tracks how long a call has been waiting for its upstream.

    The call invokes ``begin`` before each wait and ``end`` after it. It can be
    abandoned only between the two.

    Attributes
    ----------
    is_abandoned : bool
        Whether the call was given up because it was silent and no longer needed.
    """

    def __init__(self):
        self._deadline_s = math.inf
        self._limit_scope = anyio.CancelScope()
        self._unneeded_scope = anyio.CancelScope()
        self.is_abandoned = False

    def begin(self, limit_s):
        """Start a wait for the upstream.

        Parameters
        ----------
        limit_s : float
            The silence after which a replacement attempt may take over.
        """
        self._deadline_s = self._limit_scope.deadline = anyio.current_time() + limit_s

    def end(self):
        """End a wait because the upstream has sent something.

        A replacement attempt is no longer looked for.

        Raises
        ------
        UpstreamTimeoutError
            If the call was abandoned already. Data that arrives too late is dropped
            here; otherwise it would be counted and then lost at the next await, where
            this call is cancelled.
        """
        if self.is_abandoned:
            raise UpstreamTimeoutError(
                "the upstream answered after the call was abandoned"
            )
        self._deadline_s = self._limit_scope.deadline = math.inf
        self._unneeded_scope.cancel()

    def has_expired(self, *, now_s):
        """Return whether the present wait has exceeded its limit."""
        return now_s >= self._deadline_s

    async def leave(self, wait_until_unneeded):
        """Run ``wait_until_unneeded`` in each wait that exceeds its limit.

        It is cancelled when the upstream sends something. This method returns once
        ``wait_until_unneeded`` has returned; the call is then abandoned.

        Parameters
        ----------
        wait_until_unneeded : callable
            A coroutine function that returns when the call is no longer needed.
        """
        while not self.is_abandoned:
            with anyio.CancelScope(deadline=self._deadline_s) as self._limit_scope:
                await anyio.sleep_forever()
            if not self.has_expired(now_s=anyio.current_time()):
                continue
            with anyio.CancelScope() as self._unneeded_scope:
                await wait_until_unneeded()
                self.is_abandoned = True


async def run_until_unneeded(
    work: Callable[[], Awaitable[Any]],
    silence: SilenceTimer,
    wait_until_unneeded: Callable[[], Awaitable[None]],
):
    """Run a call and cancel it when its upstream is silent and it is no longer needed.

    A call is no longer needed when a replacement attempt takes over or when nobody
    waits for its result. Cancelling it sooner would lose the request if no replacement
    is possible, although the upstream might just be busy and answer in time.

    Parameters
    ----------
    work : callable
        A coroutine function that makes the call.
    silence : SilenceTimer
        The waits of ``work``, which calls ``begin`` and ``end`` on it.
    wait_until_unneeded : callable
        A coroutine function that returns when the call is no longer needed. Before it
        returns, it must check that the silence still lasts, and it must not await
        anything after that check.

    Returns
    -------
    object
        The result of ``work``.

    Raises
    ------
    UpstreamTimeoutError
        If the call was cancelled.
    """
    result: Any = None
    error: Exception | None = None
    async with anyio.create_task_group() as group:

        async def watch():
            await silence.leave(wait_until_unneeded)
            group.cancel_scope.cancel()

        group.start_soon(watch)
        try:
            result = await work()
        except Exception as exception:
            error = exception
        # Without the shield, a deadline that passes while the watch task ends would
        # discard the result, and the request would look as if it had never been sent.
        group.cancel_scope.shield = True
        group.cancel_scope.cancel()
    if silence.is_abandoned:
        raise UpstreamTimeoutError("the upstream sent nothing for too long")
    if error is not None:
        raise error
    return result
