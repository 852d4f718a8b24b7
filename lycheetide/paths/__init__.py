"""The paths by which a node reaches replicas: its own links, or those of a peer.

Whether a replica is alive and whether this node reaches it are different questions. A
node that can't connect to a replica asks peers for a tunnel to it. If a peer opens one,
the node's own path is at fault, and the replica is used through the tunnel.
"""

from lycheetide.paths._race import Path, RaceOutcome, race_paths
from lycheetide.paths._table import PathTable
from lycheetide.paths._tunnel import (
    MAX_REQUEST_BYTES,
    TunnelAnswer,
    TunnelChannel,
    TunnelDeclined,
    TunnelRequest,
    TunnelService,
    TunnelStream,
    encode_end,
    encode_frame,
    encode_request,
    read_request,
)

__all__ = [
    "MAX_REQUEST_BYTES",
    "Path",
    "PathTable",
    "RaceOutcome",
    "TunnelAnswer",
    "TunnelChannel",
    "TunnelDeclined",
    "TunnelRequest",
    "TunnelService",
    "TunnelStream",
    "encode_end",
    "encode_frame",
    "encode_request",
    "race_paths",
    "read_request",
]
