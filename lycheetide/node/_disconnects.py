"""Detect callers that close their connection before they are answered.

Otherwise the work would go on until its deadline although nobody reads the answer. It
would occupy a slot, memory and the time to prefill a retry at an engine, while the same
caller may be asking again.
"""

import anyio


class CallerDisconnected(Exception):
    """The caller has closed its connection; nobody reads the answer."""


def remember_disconnect(app):
    """Wrap an ASGI application so that each request repeats its disconnect message.

    The server sends ``http.disconnect`` only once. Code that waits for it later, such
    as the writer of a stream, would wait forever.

    Parameters
    ----------
    app : callable
        The ASGI application.
    """

    async def wrapper(scope, receive, send):
        disconnect = None

        async def receive_or_repeat():
            nonlocal disconnect
            if disconnect is not None:
                return disconnect
            message = await receive()
            if message["type"] == "http.disconnect":
                disconnect = message
            return message

        await app(scope, receive_or_repeat, send)

    return wrapper


async def serve_while_connected(request, serve):
    """Serve a request whose body has been read, until its caller disconnects.

    Parameters
    ----------
    request : Request
        The request.
    serve : callable
        Coroutine function that serves it; cancelled when the caller disconnects.

    Returns
    -------
    object
        The result of ``serve``.

    Raises
    ------
    CallerDisconnected
        If the caller disconnected before that.
    """
    result = None
    error: Exception | None = CallerDisconnected()
    async with anyio.create_task_group() as group:
        group.start_soon(_wait_for_disconnect, request, group.cancel_scope)
        try:
            result = await serve()
            error = None
        except Exception as caught:
            error = caught
        group.cancel_scope.cancel()
    if error is not None:
        raise error
    return result


async def _wait_for_disconnect(request, scope):
    """Cancel a scope when the caller of a request disconnects."""
    while (await request.receive())["type"] != "http.disconnect":
        continue
    scope.cancel()
