"""Turn new connections away, unread, while a node has more work than it can do."""

import socket
import struct
from collections.abc import Callable

from hypercorn.config import Config

RESET = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which closing a connection resets it."""


class GuardedListener(socket.socket):
    """A listening socket that may close new connections at once.

    A caller whose connection is closed before its request was read may try another
    node, whatever the request does. A request that was read and waits for its turn is
    lost once its caller's patience ends.

    Attributes
    ----------
    must_refuse : callable
        Tells whether new connections are closed. Each is asked for.
    """

    must_refuse: Callable[[], bool]

    def accept(self):
        """Accept a connection.

        Raises
        ------
        BlockingIOError
            If there is none, or it was closed.
        """
        connection, address = super().accept()
        if not self.must_refuse():
            return connection, address
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        connection.close()
        raise BlockingIOError


class GuardedConfig(Config):
    """Configuration of an HTTP server whose listeners may close new connections.

    Parameters
    ----------
    must_refuse : callable
        As for ``GuardedListener``.
    """

    def __init__(self, must_refuse):
        super().__init__()
        self._must_refuse = must_refuse

    def create_sockets(self):
        """Return the sockets of the server."""
        sockets = super().create_sockets()
        sockets.insecure_sockets = [
            self._guard(one) for one in sockets.insecure_sockets
        ]
        return sockets

    def _guard(self, listener):
        """Return a guarded listener in place of an ordinary one."""
        guarded = GuardedListener(fileno=listener.detach())
        guarded.setblocking(False)
        guarded.must_refuse = self._must_refuse
        return guarded
