"""Notice a caller that closes its connection before its answer.

Its work would go on to its deadline for nobody: a slot, memory and a retry's worth of
reading at an engine, while the same caller may be asking again.
"""

import anyio


class CallerLeft(Exception):
    """The caller has gone away; nobody reads the answer."""


def remember_leaving(app):
    """Return an application whose requests can be asked again whether they are over.

    The server tells of a caller's leaving once. Whoever waits for it later, like the
    writer of a stream, would wait for ever.

    Parameters
    ----------
    app : callable
        The application.
    """

    async def remembering(scope, receive, send):
        left = None

        async def receive_again():
            nonlocal left
            if left is not None:
                return left
            message = await receive()
            if message["type"] == "http.disconnect":
                left = message
            return message

        await app(scope, receive_again, send)

    return remembering


async def serve_while_present(request, serve):
    """Serve a request whose body has been read, until its caller leaves.

    Parameters
    ----------
    request : Request
        The request.
    serve : callable
        A coroutine function that serves it; cancelled when the caller leaves.

    Returns
    -------
    object
        What ``serve`` returned.

    Raises
    ------
    CallerLeft
        If the caller left before.
    """
    result = None
    error: Exception | None = CallerLeft()
    async with anyio.create_task_group() as group:
        group.start_soon(_wait_for_leaving, request, group.cancel_scope)
        try:
            result = await serve()
            error = None
        except Exception as caught:
            error = caught
        group.cancel_scope.cancel()
    if error is not None:
        raise error
    return result


async def _wait_for_leaving(request, scope):
    """Cancel a scope when the caller of a request leaves."""
    while (await request.receive())["type"] != "http.disconnect":
        continue
    scope.cancel()
