"""Cluster state that every node builds up from the datagrams of its peers.

Each node sends its peers one datagram when it dispatches a request and another when the
request ends. From these every node keeps its own view of the requests in flight on each
replica, of the health of replicas and of the living nodes. The view guides placement
only. Correctness does not depend on it: a lost datagram costs a little latency.

Replicas are said to read a prompt (prefill) and to write an answer (decode).
"""

from lycheetide.gossip._delays import DelayEstimator, make_sent_ms
from lycheetide.gossip._failure_detector import PEER_REPORT_AGE_S, FailureDetector
from lycheetide.gossip._jobs import (
    REPLICA_RETENTION_S,
    START_WINDOW_S,
    Job,
    JobTable,
    make_job,
)
from lycheetide.gossip._lives import Life
from lycheetide.gossip._memory_queue import MemoryQueue, WaitingRequest
from lycheetide.gossip._messages import (
    MAX_DATAGRAM_BYTES,
    BegunPrompt,
    BrokenRequest,
    Bundle,
    CrashReport,
    Deferred,
    Doubted,
    Ended,
    Heartbeat,
    JobPart,
    LimitReport,
    MemoryWanted,
    Message,
    PartsWritten,
    PresentRow,
    Quarantined,
    RegistryUpdate,
    Started,
    Suspected,
    Waiting,
    decode_message,
    encode_message,
    hash_name,
)
from lycheetide.gossip._named_limits import NO_LIMIT, LimitTable
from lycheetide.gossip._paces import PaceTable
from lycheetide.gossip._peers import Peer, PeerTable, order_node
from lycheetide.gossip._rests import RestTable
from lycheetide.gossip._workload import UnreadPart

__all__ = [
    "MAX_DATAGRAM_BYTES",
    "NO_LIMIT",
    "PEER_REPORT_AGE_S",
    "REPLICA_RETENTION_S",
    "START_WINDOW_S",
    "BegunPrompt",
    "BrokenRequest",
    "Bundle",
    "CrashReport",
    "Deferred",
    "DelayEstimator",
    "Doubted",
    "Ended",
    "FailureDetector",
    "Heartbeat",
    "Job",
    "JobPart",
    "JobTable",
    "Life",
    "LimitReport",
    "LimitTable",
    "MemoryQueue",
    "MemoryWanted",
    "Message",
    "PaceTable",
    "PartsWritten",
    "Peer",
    "PeerTable",
    "PresentRow",
    "Quarantined",
    "RegistryUpdate",
    "RestTable",
    "Started",
    "Suspected",
    "UnreadPart",
    "Waiting",
    "WaitingRequest",
    "decode_message",
    "encode_message",
    "hash_name",
    "make_job",
    "make_sent_ms",
    "order_node",
]
