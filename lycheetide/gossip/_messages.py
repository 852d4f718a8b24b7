"""Datagrams between nodes."""

import msgspec
import xxhash

from lycheetide.gossip._lives import Life

MAX_DATAGRAM_BYTES = 1_400
"""Fits one Ethernet frame, so that a datagram arrives whole or not at all."""


class JobPart(msgspec.Struct, frozen=True, array_like=True):
    """The part of a job that one replica does.

    Parameters
    ----------
    replica : str
        Id of the replica.
    read_s : float
        Duration of its prefill, at the pace that the replica last reported.
    kv_tokens : int
        Size of the KV cache that the job takes there, in tokens.
    writes : bool
        Whether this replica writes the answer; if not, it only helps with the prompt.
    """

    replica: str
    read_s: float
    kv_tokens: int = 0
    writes: bool = True


def hash_name(name):
    """Return the 32-bit hash by which messages name a customer or a service."""
    return xxhash.xxh32_intdigest(name.encode()) if name else 0


class Started(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """A node has sent a request.

    Times are whole milliseconds: a fractional number takes three times the bytes, and
    every request is announced to all nodes.

    Parameters
    ----------
    node, job : str
        Node that sent the request, and its id for this attempt.
    parts : tuple of JobPart
        Cost of the job at each replica involved.
    expires_in_ms : int
        Time from now by which it has certainly ended.
    due_in_ms : int
        Time from now to the target time of its first event; below 0 if that is past.
    gap_ms : int
        Longest gap between two events that its caller doesn't notice; 0 where there
        is none.
    weight_hundredths : int
        Weight of the job, in hundredths of a short request.
    sent_ms : int
        Send time on the sender's clock, from ``make_sent_ms``; below 0 if not given.
    customer : int
        Hash of the customer's name, from ``hash_name``; 0 if not given.
    """

    node: str
    job: str
    parts: tuple[JobPart, ...]
    expires_in_ms: int
    due_in_ms: int = 60_000
    gap_ms: int = 0
    weight_hundredths: int = 100
    sent_ms: int = -1
    customer: int = 0


class Ended(msgspec.Struct, frozen=True, array_like=True, tag="e"):
    """A job has ended, with whatever outcome, or a request no longer waits."""

    node: str
    job: str


class Suspected(msgspec.Struct, frozen=True, array_like=True, tag="x"):
    """A replica did not answer a node in time, or refused its connection."""

    node: str
    replica: str


class Doubted(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """Other replicas are preferred to one that broke off an answer or asked for rest.

    Parameters
    ----------
    node : str
        Node that it did so to.
    replica : str
        Id of the replica.
    born_ms : int
        Start of its process in Unix milliseconds, where it asked for rest.
    rest_ms : int
        Time for which it asked for rest; 0 if it broke off an answer.
    """

    node: str
    replica: str
    born_ms: int = 0
    rest_ms: int = 0

    @property
    def life(self):
        """The start of the replica that asked for rest."""
        return Life(self.replica, self.born_ms)


class MemoryWanted(msgspec.Struct, frozen=True, array_like=True, tag="w"):
    """A request waits for memory of several replicas; repeated for as long as it waits.

    Parameters
    ----------
    node, job : str
        Node that the request waits at, and the id of the entry within that node. The
        end of the wait is announced by ``Ended``.
    number : int
        Its number in the queue.
    tokens : int
        Size of the KV cache that it needs, in tokens.
    """

    node: str
    job: str
    number: int
    tokens: int


class Waiting(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """A request waits for capacity; repeated for as long as it waits.

    Parameters
    ----------
    node, job : str
        Node that the request waits at, and the id of the entry within that node. The
        end of the wait is announced by ``Ended``.
    number : int
        Its number in the queue.
    service, customer : int
        Hashes of their names, from ``hash_name``.
    engine_ms : int
        Time that one engine needs for its prefill.
    tokens : int
        Size of the KV cache that it needs, in tokens.
    due_in_ms : int
        Time from now to the target time of its first event; below 0 if that is past.
    weight_hundredths : int
        Weight of the request, in hundredths of a short request.
    """

    node: str
    job: str
    number: int
    service: int
    customer: int
    engine_ms: int
    tokens: int
    due_in_ms: int
    weight_hundredths: int = 100


class Deferred(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """A refused request keeps its place in the queue until it returns.

    Parameters
    ----------
    node : str
        Node that refused it.
    return_key : int
        64-bit hash by which the nodes recognize the request when it returns.
    number : int
        Its number in the queue.
    due_in_ms : int
        Time from now to the target time of its first attempt; below 0 if that is past.
    returns_in_ms : int
        Time from now at which its caller was told to return.
    keeps_ms : int
        Time after that for which it keeps its place.
    """

    node: str
    return_key: int
    number: int
    due_in_ms: int
    returns_in_ms: int
    keeps_ms: int


class BegunPrompt(msgspec.Struct, frozen=True, array_like=True):
    """A prompt whose answer was beginning at a replica.

    Parameters
    ----------
    prompt : int
        64-bit hash of its own last part.
    parts : tuple of bytes
        Hashes of its parts, or of some of them where they don't fit one message.
    """

    prompt: int
    parts: tuple[bytes, ...]


class BrokenRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request that a replica broke off.

    Parameters
    ----------
    request : bytes
        Fingerprint of the request.
    generation : int
        Generation of the attempt, as in ``quarantine.Break``.
    call : int
        Hash of the call's id.
    took_ms : int
        Time from the arrival of the call to the break.
    left_ms : int
        Time that its caller waits from the break on.
    """

    request: bytes
    generation: int = 1
    call: int = 0
    took_ms: int = 0
    left_ms: int = 0


class PresentRow(msgspec.Struct, frozen=True, array_like=True):
    """A prompt that a replica had at hand when it crashed.

    Parameters
    ----------
    prompt : int
        64-bit hash of its own last part.
    parts : tuple of bytes
        Hashes of its parts, or of some of them where they don't fit one message.
    age_ms : int
        Time from the first event of its answer to the crash; below 0 if there was none.
    is_ended : bool
        Whether the answer had just ended.
    """

    prompt: int
    parts: tuple[bytes, ...]
    age_ms: int = -1
    is_ended: bool = False


class CrashReport(msgspec.Struct, frozen=True, array_like=True, tag="k"):
    """A replica has crashed, or may have crashed, while it worked on some requests.

    Parameters
    ----------
    node : str
        Node that sent it these requests.
    replica : str
        Id of the replica.
    born_ms : int
        Start of its process in Unix milliseconds; 0 if unknown.
    age_ms : int
        Time since the crash.
    prompts : tuple of BegunPrompt
        The prompts whose answers were beginning.
    requests : tuple of BrokenRequest
        All requests that it broke off.
    is_confirmed : bool
        Whether it has certainly crashed.
    is_alive : bool
        Whether it has answered since, so that it hasn't crashed.
    present : tuple of PresentRow
        All prompts that it had at hand, whatever the moment of their answers.
    survived : tuple of (bytes, int, str, int)
        Hashes of parts that were present at the crash, and of which other replicas have
        survived whole answers: time since the last one, its replica and the start of
        that, in milliseconds.
    elsewhere : tuple of (bytes, tuple of int, tuple of int)
        Such parts, with the hashes of the other replicas that had a prompt with them at
        hand: one that had just begun or ended, or any other.
    """

    node: str
    replica: str
    born_ms: int
    age_ms: int
    prompts: tuple[BegunPrompt, ...]
    requests: tuple[BrokenRequest, ...] = ()
    is_confirmed: bool = True
    is_alive: bool = False
    present: tuple[PresentRow, ...] = ()
    survived: tuple[tuple[bytes, int, str, int], ...] = ()
    elsewhere: tuple[tuple[bytes, tuple[int, ...], tuple[int, ...]], ...] = ()


class PartsWritten(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """Replicas have written on some of the parts that a crash report names.

    Parameters
    ----------
    node : str
        Node that received their answers.
    parts : tuple of (bytes, int)
        Hash of each part, with the time since the last such answer in milliseconds.
    """

    node: str
    parts: tuple[tuple[bytes, int], ...]


class Quarantined(msgspec.Struct, frozen=True, array_like=True, tag="z"):
    """Prompts with some parts, or requests, are kept from replicas, or no longer.

    Parameters
    ----------
    node : str
        Node that sends the message.
    entries : tuple of (tuple of bytes, int, bool, int)
        The first fields of each entry, as of ``QuarantineEntry``.
    until_ms : int
        The field of this name of all entries.
    """

    node: str
    entries: tuple[tuple[tuple[bytes, ...], int, bool, int], ...]
    until_ms: int = 0


class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    """What a replica last said of the requests that it takes.

    Parameters
    ----------
    replica : str
        Id of the replica.
    born_ms : int
        Start of its process in Unix milliseconds; 0 if unknown.
    limit_thousandths : int
        Requests in a thousand seconds that it takes from all nodes together; below 0
        if it has stopped naming a limit.
    version : int
        Number of times that the limit has changed.
    age_ms : int
        Time since its latest answer that said so.
    """

    replica: str
    born_ms: int
    limit_thousandths: int
    version: int
    age_ms: int


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """Heartbeat of a node, with the sender's state.

    Parameters
    ----------
    fleet : str
        Address of the store that the sender reads. Nodes of other fleets aren't peers;
        one of them may have been given the address of a former peer.
    node : str
        Name of the sender, with its start, so that it is never used twice.
    address : str
        Address at which it takes datagrams and calls of peers.
    failure_domain : str
        Failure domain in which it runs.
    operator_offset, registry_offset : int
        Offset up to which it has read the records of operators and of replicas; -1
        for none.
    registry_age_s : float
        Age of its copy of the registry.
    registry_digest : int
        Digest of the replicas it knows; equal on nodes that know the same ones.
    returned_age_s : float
        Time since the registry came back after an outage for all nodes; below 0 if
        there was none.
    heard : tuple of str
        Replicas that answered it within the last second; as many as fit.
    wants_reply : bool
        Whether it knows no living peers and asks the receiver for the addresses it
        knows.
    is_leaving : bool
        Whether it is about to stop.
    peers : tuple of str
        Addresses of other nodes, in a reply.
    living : tuple of int
        Nodes that the sender itself heard from just now, by ``order_node``. Only hubs,
        the nodes that bundle messages in a large fleet, fill it in.
    jobs : tuple of str or None
        Ids of all jobs that the sender has in flight; None where they wouldn't fit.
    link_mbps : int
        Bandwidth of its network link, in Mbit/s; 0 if unknown.
    is_store_reachable : bool
        Whether its last request to the store succeeded.
    paces : tuple of (str, int)
        Replicas that reported their pace to the sender within the last seconds and are
        slow, or have just stopped being slow, each with its pace in hundredths. Only
        hubs fill it in.
    limits : tuple of LimitReport
        Replicas that name a limit, or have just stopped doing so, as far as the sender
        knows; as many as fit.
    tunnel_port : int
        Port at which it carries connections to replicas for peers; 0 if it doesn't.
    tunnels : int
        Number of connections that it carries at present.
    is_cut_off : bool
        Whether it has lost its own paths to all replicas.
    memory_stage : int
        How near the node is to the limit of its memory, a ``MemoryStage``; 0 for not
        near.
    quarantine_digest : int
        Digest of the quarantines it knows; below 0 if it hasn't loaded them.
    is_overloaded : bool
        Whether it gets more work than its processor can do.

    Notes
    -----
    New fields come last and have a default, so that nodes of older and newer versions
    can read the other fields.
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
    is_store_reachable: bool = True
    paces: tuple[tuple[str, int], ...] = ()
    limits: tuple[LimitReport, ...] = ()
    tunnel_port: int = 0
    tunnels: int = 0
    is_cut_off: bool = False
    memory_stage: int = 0
    quarantine_digest: int = -1
    is_overloaded: bool = False


class RegistryUpdate(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """A node has read changes of the replica registry.

    Parameters
    ----------
    node : str
        Node that read them.
    records : tuple of (int, str, bytes or None)
        Offset, replica id and entry of each; None for an entry that was removed.
    returned_age_s : float
        Time since the registry came back after an outage for all nodes; below 0 if
        there was none.
    """

    node: str
    records: tuple[tuple[int, str, bytes | None], ...]
    returned_age_s: float = -1.0


BundledMessage = (
    Started
    | Ended
    | Suspected
    | Doubted
    | MemoryWanted
    | Waiting
    | Deferred
    | CrashReport
    | PartsWritten
    | Quarantined
)


class Bundle(msgspec.Struct, frozen=True, array_like=True, tag="b"):
    """Messages of one or more nodes in one datagram.

    Parameters
    ----------
    node : str
        Node that sends the bundle; the messages may come from others.
    messages : tuple of BundledMessage
        The messages.
    must_forward : bool
        Whether the receiver has to forward them within its failure domain.
    """

    node: str
    messages: tuple[BundledMessage, ...]
    must_forward: bool = False


Message = BundledMessage | Heartbeat | RegistryUpdate | Bundle

_decoder = msgspec.msgpack.Decoder(Message)
_encoder = msgspec.msgpack.Encoder()


def encode_message(message: Message) -> bytes:
    """Return the datagram of a message."""
    return _encoder.encode(message)


def decode_message(data: bytes) -> Message:
    """Return the message in a datagram.

    Raises
    ------
    msgspec.MsgspecError
        If it is not a valid message.
    """
    return _decoder.decode(data)
