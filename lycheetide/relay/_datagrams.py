"""Sockets for the datagrams between nodes, and what a datagram is about."""

import socket

DATAGRAMS_MOST = 64
"""Datagrams taken in one turn, some 4 ms of work."""
LARGEST_DATAGRAM_BYTES = 65_535
KINDS = {
    b"s": "work",
    b"e": "work",
    b"b": "work",
    b"w": "work",
    b"x": "suspicions",
    b"d": "suspicions",
    b"c": "changes",
    b"h": "greetings",
}
"""What a message is about, by its tag."""
LONG_ARRAY = 0xDC
"""First byte of a message of more than 15 fields; its length takes two more."""


def find_kind(data):
    """Return what a datagram is about.

    Examples
    --------
    >>> from lycheetide.board import Ended, Hello, encode_message
    >>> find_kind(encode_message(Ended("n", "1")))
    'work'
    >>> find_kind(encode_message(Hello("", "", "", "", 0, 0, 0.0)))
    'greetings'
    """
    begins = 4 if data[0] == LONG_ARRAY else 2
    return KINDS.get(data[begins : begins + 1], "other")


def make_listener(address):
    """Return the socket that takes peers' datagrams.

    Parameters
    ----------
    address : str
        "ip:port".
    """
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    listener.bind((host, int(port)))
    listener.setblocking(False)
    return listener


def receive_all(listener):
    """Yield the datagrams that are there, at most so many that others get their turn.

    An error, such as a report that an earlier datagram reached nobody, ends the round.
    """
    for _ in range(DATAGRAMS_MOST):
        try:
            yield listener.recv(LARGEST_DATAGRAM_BYTES)
        except OSError:
            return


def make_sender(address):
    """Return a socket that sends datagrams at once or not at all.

    Parameters
    ----------
    address : str
        "ip:port" of this node; the socket gets another port there.
    """
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sender.bind((address.rpartition(":")[0], 0))
    sender.setblocking(False)
    return sender
