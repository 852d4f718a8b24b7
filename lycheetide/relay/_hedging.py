"""Hedged attempts: attempts at one stream that run concurrently."""

from typing import Any

import anyio

from lycheetide.relay._outcomes import AttemptFailed, Refusal


class HedgedAttempts:
    """The attempts at one stream that run concurrently.

    A silent replica may be dead or only busy, and the node can't tell which. So its
    attempt continues while another replica is tried, and the first attempt that
    receives an event cancels the others. If the silent attempt were cancelled earlier,
    a stream that would have continued would be lost whenever the other replica refuses
    the request, breaks off or is silent too.

    Parameters
    ----------
    make_attempt : callable
        A coroutine function that makes one attempt. Takes this object and the cancel
        scope of the attempt.
    """

    def __init__(self, make_attempt):
        self._make_attempt = make_attempt
        self._group: Any = None
        self._running: set[anyio.CancelScope] = set()
        self._is_finished = False
        self._failure: AttemptFailed | Refusal | None = None
        self._error: Exception | None = None

    @property
    def is_single(self):
        """Whether at most one attempt is running."""
        return len(self._running) <= 1

    async def run(self):
        """Make attempts until one is complete or none is left.

        Returns
        -------
        AttemptFailed, Refusal or None
            How the last attempt failed, or else why none got a placement; None if one
            was complete.
        """
        async with anyio.create_task_group() as self._group:
            self.start()
        if self._error is not None:
            raise self._error
        return None if self._is_finished else self._failure

    def start(self):
        """Start one more attempt beside those that are running."""
        scope = anyio.CancelScope()
        self._running.add(scope)
        self._group.start_soon(self._run_attempt, scope)

    def cancel_others(self, scope):
        """Cancel all attempts but one.

        Parameters
        ----------
        scope : anyio.CancelScope
            The scope of the attempt that continues.
        """
        for other in self._running - {scope}:
            other.cancel()

    async def _run_attempt(self, scope):
        """Make one attempt; an unexpected error cancels all of them."""
        try:
            with scope:
                await self._make_attempt(self, scope)
                self._is_finished = True
        except AttemptFailed as failure:
            self._failure = failure
        except Refusal as refusal:
            self._failure = self._failure or refusal
        except Exception as error:
            self._error = error
            self._group.cancel_scope.cancel()
        finally:
            self._running.discard(scope)
