"""A prompt's answer on its way from the run to the caller."""

import anyio

from lycheetide.metrics import get_log
from lycheetide.node._leaving import CallerLeft
from lycheetide.node._prompts import Token, serve_prompt, to_request_error
from lycheetide.outcomes import Failed, Reason, RequestError

TOKENS_BUFFERED = 64

log = get_log("prompt")


class Answer:
    """A prompt's answer on its way from the run to the caller.

    The run is a task of the node's own, so that the caller's going away cancels it
    and nothing else.
    """

    def __init__(self):
        self._send, self._receive = anyio.create_memory_object_stream[Token](
            TOKENS_BUFFERED
        )
        self._scope = anyio.CancelScope()
        self._error: RequestError | None = None
        self._is_whole = False

    async def run(self, node, admitted, prompt):
        """Serve the prompt; errors are raised at the reader."""
        with self._scope:
            try:
                await serve_prompt(node, admitted, prompt, self._emit)
                self._is_whole = True
            except CallerLeft:
                return
            except Exception as error:
                if not isinstance(error, RequestError):
                    log.exception("A prompt failed inside the node.")
                self._error = to_request_error(error)
            finally:
                self._send.close()

    async def _emit(self, token):
        """Pass a token on to the caller."""
        try:
            await self._send.send(token)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise CallerLeft from error

    async def receive_first(self):
        """Return the first token, or None for an empty answer."""
        try:
            return await anext(self)
        except StopAsyncIteration:
            return None
        except BaseException:
            self.cancel()
            raise

    def __aiter__(self):
        """Return this answer."""
        return self

    async def __anext__(self):
        """Return the next token."""
        try:
            return await self._receive.receive()
        except anyio.EndOfStream:
            if self._error is not None:
                raise self._error from None
            if not self._is_whole:
                # A run that ended in any unforeseen way has left a short answer; it
                # must never look like a whole one.
                raise Failed(
                    Reason.INTERNAL, "the answer was cut inside the node", status=500
                ) from None
            raise StopAsyncIteration from None

    def cancel(self):
        """Stop the run, if it still goes on."""
        self._scope.cancel()
        self._receive.close()


def start_answer(node, admitted, prompt):
    """Begin to serve a prompt."""
    answer = Answer()
    node.tasks.start_soon(answer.run, node, admitted, prompt)
    return answer
