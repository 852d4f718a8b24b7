"""What all nodes have sent to the replicas, as far as each one knows.

Every node tells its peers of each request that it places and of its end, in single
datagrams. Placing rests on that; safety doesn't: a lost datagram costs a little time.
"""

from lycheetide.board._board import START_WINDOW_S, Board, Job, make_job
from lycheetide.board._column import Unread
from lycheetide.board._delays import Delays, make_sent_ms
from lycheetide.board._messages import (
    Bundle,
    Changed,
    Doubted,
    Ended,
    Hello,
    Message,
    Part,
    Started,
    Suspected,
    Wants,
    decode_message,
    encode_message,
)
from lycheetide.board._peers import Peer, Peers, order_node
from lycheetide.board._queue import MemoryQueue, Waiting
from lycheetide.board._trust import Trust

__all__ = [
    "START_WINDOW_S",
    "Board",
    "Bundle",
    "Changed",
    "Delays",
    "Doubted",
    "Ended",
    "Hello",
    "Job",
    "MemoryQueue",
    "Message",
    "Part",
    "Peer",
    "Peers",
    "Started",
    "Suspected",
    "Trust",
    "Unread",
    "Waiting",
    "Wants",
    "decode_message",
    "encode_message",
    "make_job",
    "make_sent_ms",
    "order_node",
]
