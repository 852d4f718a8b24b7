"""The stream of a prompt's tokens between the task that serves it and its caller."""

import anyio

from lycheetide.metrics import get_logger
from lycheetide.node._disconnects import CallerDisconnected
from lycheetide.node._prompts import Token, serve_prompt, to_request_error
from lycheetide.outcomes import Reason, RequestError, RequestFailedError

TOKEN_BUFFER_SIZE = 64

log = get_logger("prompt")


class AnswerStream:
    """An async iterator over the tokens of a prompt's answer.

    The prompt is served in a task of the node, so that a caller's disconnect cancels
    that task and nothing else.
    """

    def __init__(self):
        self._sender, self._receiver = anyio.create_memory_object_stream[Token](
            TOKEN_BUFFER_SIZE
        )
        self._scope = anyio.CancelScope()
        self._error: RequestError | None = None
        self._is_complete = False

    async def run(self, node, admitted, prompt):
        """Serve the prompt; an error is raised where the answer is read."""
        with self._scope:
            try:
                await serve_prompt(node, admitted, prompt, self._emit)
                self._is_complete = True
            except CallerDisconnected:
                return
            except Exception as error:
                if not isinstance(error, RequestError):
                    log.exception("A prompt failed inside the node.")
                self._error = to_request_error(error)
            finally:
                self._sender.close()

    async def _emit(self, token):
        """Pass a token on to the reader."""
        try:
            await self._sender.send(token)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise CallerDisconnected from error

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
        """Return the stream itself."""
        return self

    async def __anext__(self):
        """Return the next token."""
        try:
            return await self._receiver.receive()
        except anyio.EndOfStream:
            if self._error is not None:
                raise self._error from None
            if not self._is_complete:
                # The task ended in an unforeseen way, and the answer is truncated. It
                # must never look like a complete one.
                raise RequestFailedError(
                    Reason.INTERNAL,
                    "the answer was cut short inside the node",
                    status=500,
                ) from None
            raise StopAsyncIteration from None

    def cancel(self):
        """Cancel the task that serves the prompt, if it still runs."""
        self._scope.cancel()
        self._receiver.close()


def start_answer(node, admitted, prompt):
    """Start to serve a prompt; return its ``AnswerStream``."""
    answer = AnswerStream()
    node.tasks.start_soon(answer.run, node, admitted, prompt)
    return answer
