"""Sockets for datagrams between nodes, and classification of datagrams."""

import socket

MAX_DATAGRAMS_PER_TURN = 64
"""Datagrams received in one turn of the event loop, some 4 ms of work."""
MAX_DATAGRAM_BYTES = 65_535
KIND_BY_TAG = {
    b"s": "work",
    b"e": "work",
    b"b": "work",
    b"w": "work",
    b"q": "work",
    b"r": "work",
    b"x": "suspicions",
    b"d": "suspicions",
    b"k": "suspicions",
    b"p": "suspicions",
    b"z": "suspicions",
    b"c": "changes",
    b"h": "greetings",
}
"""Category of a message by its tag."""
MSGPACK_ARRAY16 = 0xDC
"""First byte of a MessagePack array of more than 15 fields; its length takes two more
bytes."""


def classify_datagram(data):
    """Return the category of a datagram.

    Examples
    --------
    >>> from lycheetide.gossip import Ended, Heartbeat, encode_message
    >>> classify_datagram(encode_message(Ended("n", "1")))
    'work'
    >>> classify_datagram(encode_message(Heartbeat("", "", "", "", 0, 0, 0.0)))
    'greetings'
    """
    tag_offset = 4 if data[0] == MSGPACK_ARRAY16 else 2
    return KIND_BY_TAG.get(data[tag_offset : tag_offset + 1], "other")


def make_listener(address):
    """Return a non-blocking socket that receives peers' datagrams.

    Parameters
    ----------
    address : str
        Address to bind, "ip:port".
    """
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    listener.bind((host, int(port)))
    listener.setblocking(False)
    return listener


def receive_all(listener):
    """Yield the waiting datagrams, up to a limit so that other tasks can run.

    An error, such as a report that an earlier datagram couldn't be delivered, ends the
    turn.
    """
    for _ in range(MAX_DATAGRAMS_PER_TURN):
        try:
            yield listener.recv(MAX_DATAGRAM_BYTES)
        except OSError:
            return


def make_sender(address):
    """Return a socket that sends datagrams without blocking.

    Parameters
    ----------
    address : str
        Address of this node, "ip:port"; the socket gets another port on the same IP.
    """
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sender.bind((address.rpartition(":")[0], 0))
    sender.setblocking(False)
    return sender
