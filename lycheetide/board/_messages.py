"""The datagrams between nodes."""

import msgspec

LARGEST_BYTES = 1_400
"""Fits one Ethernet frame, so a datagram is whole or lost."""


class Part(msgspec.Struct, frozen=True, array_like=True):
    """The part of one request that one replica does.

    Parameters
    ----------
    replica : str
        Which.
    read_s : float
        Its reading at full speed.
    kv_tokens : int
        Memory that the request takes there.
    writes : bool
        Whether it writes the answer.
    """

    replica: str
    read_s: float
    kv_tokens: int = 0
    writes: bool = True


class Started(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """A node has sent a request.

    Times are whole milliseconds, since a number with a fraction takes three times the
    bytes, and all nodes are told of every request.

    Parameters
    ----------
    node, job : str
        Who, and its name for this attempt.
    parts : tuple of Part
        What it costs where.
    lasts_ms : int
        When it has surely ended, from now.
    due_in_ms : int
        When its first event is wanted, from now; below 0 where it is late.
    gap_ms : int
        The longest pause between two events that its caller doesn't notice; 0 where
        there is none.
    weight_hundredths : int
        How many short requests it counts as, times a hundred.
    sent_ms : int
        When it was sent, by the sender's clock, as ``make_sent_ms`` tells; below 0
        where it isn't told.
    """

    node: str
    job: str
    parts: tuple[Part, ...]
    lasts_ms: int
    due_in_ms: int = 60_000
    gap_ms: int = 0
    weight_hundredths: int = 100
    sent_ms: int = -1


class Ended(msgspec.Struct, frozen=True, array_like=True, tag="e"):
    """A request has ended, whatever came of it."""

    node: str
    job: str


class Suspected(msgspec.Struct, frozen=True, array_like=True, tag="x"):
    """A node has waited in vain for a replica, or had a connection refused."""

    node: str
    replica: str


class Doubted(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """A replica has broken an answer off."""

    node: str
    replica: str


class Wants(msgspec.Struct, frozen=True, array_like=True, tag="w"):
    """A request waits for memory of several replicas; told again while it does.

    Parameters
    ----------
    node, job : str
        Whose it is, and its name there; its end is told as any other's.
    number : int
        Its place in the order.
    tokens : int
        What it wants.
    """

    node: str
    job: str
    number: int
    tokens: int


class Hello(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """A node is alive.

    Parameters
    ----------
    fleet : str
        The store that it reads: nodes of other fleets aren't peers, though they may
        have got the address of one that is gone.
    node : str
        Its name and start, never used twice.
    address : str
        Where it takes datagrams and calls of peers.
    failure_domain : str
        Where it stands.
    operator_offset, registry_offset : int
        How much it knows of what operators and replicas wrote; -1 for nothing.
    registry_age_s : float
        How old its knowledge of the registry is.
    registry_digest : int
        The same at nodes that know the same replicas.
    returned_age_s : float
        How long ago the registry was back after an outage for all; below 0 for never.
    heard : tuple of str
        Replicas that it had answers from since its last hello.
    wants_reply : bool
        Whether it knows few peers and asks for theirs.
    is_leaving : bool
        Whether it is about to stop.
    peers : tuple of str
        Addresses of other nodes, in a reply.
    living : tuple of int
        Nodes that the sender heard itself just now, by ``order_node``; only the nodes
        that gather messages for a large fleet fill it in.
    jobs : tuple of str or None
        All that the sender has in flight; None where that wouldn't fit.
    link_mbps : int
        How wide its link is, in Mbit/s; 0 where it isn't told.
    reads_store : bool
        Whether the store served it when it last asked.

    Notes
    -----
    New fields come last and have a default, so that a node of an older or a newer
    version reads the others.
    """

    fleet: str
    node: str
    address: str
    failure_domain: str
    operator_offset: int
    registry_offset: int
    registry_age_s: float
    registry_digest: int = 0
    returned_age_s: float = -1.0
    heard: tuple[str, ...] = ()
    wants_reply: bool = False
    is_leaving: bool = False
    peers: tuple[str, ...] = ()
    living: tuple[int, ...] = ()
    jobs: tuple[str, ...] | None = None
    link_mbps: int = 0
    reads_store: bool = True


class Changed(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """A node has read of replicas that changed.

    Parameters
    ----------
    node : str
        Who read it.
    records : tuple of (int, str, bytes or None)
        Offset, replica and what it wrote; None where its entry is gone.
    returned_age_s : float
        How long ago the registry was back after an outage for all; below 0 for never.
    """

    node: str
    records: tuple[tuple[int, str, bytes | None], ...]
    returned_age_s: float = -1.0


class Bundle(msgspec.Struct, frozen=True, array_like=True, tag="b"):
    """What several nodes tell, in one datagram.

    Parameters
    ----------
    node : str
        Who sends it, which need not be who says it.
    messages : tuple of Started, Ended, Suspected, Doubted or Wants
        What is told.
    spreads : bool
        Whether the receiver is to pass it on within its failure domain.
    """

    node: str
    messages: tuple[Started | Ended | Suspected | Doubted | Wants, ...]
    spreads: bool = False


Message = Started | Ended | Suspected | Doubted | Wants | Hello | Changed | Bundle

_decoder = msgspec.msgpack.Decoder(Message)
_encoder = msgspec.msgpack.Encoder()


def encode_message(message: Message) -> bytes:
    """Return a datagram."""
    return _encoder.encode(message)


def decode_message(data: bytes) -> Message:
    """Return what a datagram says.

    Raises
    ------
    msgspec.MsgspecError
        If it is none of ours.
    """
    return _decoder.decode(data)
