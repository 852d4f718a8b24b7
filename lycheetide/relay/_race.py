"""Attempts at one stream that run side by side."""

from typing import Any

import anyio

from lycheetide.relay._outcomes import AttemptFailed, Refusal


class Race:
    """The attempts at one stream that run at the same time.

    A silent replica may be dead or only busy, and its node can't tell which. So its
    attempt goes on beside that of its successor, and the first that brings an event
    ends the others. Ended before that, a replica that would have gone on is lost where
    its successor refuses the request, breaks off or is silent too.

    Parameters
    ----------
    make_attempt : callable
        A coroutine function that makes one attempt; it gets this race and the cancel
        scope that stands for the attempt.
    """

    def __init__(self, make_attempt):
        self._make_attempt = make_attempt
        self._group: Any = None
        self._running: set[anyio.CancelScope] = set()
        self._is_finished = False
        self._failure: AttemptFailed | Refusal | None = None
        self._error: Exception | None = None

    @property
    def is_alone(self):
        """Whether no more than one attempt is running."""
        return len(self._running) <= 1

    async def run(self):
        """Make attempts until one is finished or none is left.

        Returns
        -------
        AttemptFailed, Refusal or None
            How the last attempt failed, or else why none had a place; None if one was
            finished.
        """
        async with anyio.create_task_group() as self._group:
            self.start()
        if self._error is not None:
            raise self._error
        return None if self._is_finished else self._failure

    def start(self):
        """Make one more attempt beside those that are running."""
        scope = anyio.CancelScope()
        self._running.add(scope)
        self._group.start_soon(self._run_one, scope)

    def lead(self, scope):
        """End all attempts but one."""
        for other in self._running - {scope}:
            other.cancel()

    async def _run_one(self, scope):
        """Make one attempt; an error that is no failure of it ends the race."""
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
